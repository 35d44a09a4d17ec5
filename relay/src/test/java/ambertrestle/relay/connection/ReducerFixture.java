package ambertrestle.relay.connection;

import ambertrestle.decide.Balancer;
import ambertrestle.decide.BalancerFixture;
import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.decide.RosterInterruption;
import ambertrestle.relay.persistence.Recovery;
import ambertrestle.relay.wire.Address;
import ambertrestle.relay.wire.BackendMessage;
import ambertrestle.relay.wire.ClientMessage;
import ambertrestle.relay.wire.ConfiguredNames;
import ambertrestle.relay.wire.NetworkCommand;
import ambertrestle.relay.wire.NetworkEvent;
import ambertrestle.relay.wire.RosterMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies events to a reducer and compares the effects with recorded traces, without sockets. Sockets 1, 2 ... belong
 * to clients, sockets -1, -2 ... to backends. In the traces "dial" is a connect to a backend, "finish" a shutdown of
 * the output, "keep" something to persist and "note" a log line.
 */
abstract class ReducerFixture {
    static final ConfiguredNames NAMES = new ConfiguredNames(List.of("read", "mark", "pay"), List.of("x"));
    final BalancerFixture fixture = new BalancerFixture();
    boolean isPassThrough = true;
    int maxSockets = 100;
    Reducer reducer;

    /**
     * Builds a roster message from names such as "s-1" (READY) or "s-2=DRAINING"; a backend's address is its name and
     * port 80.
     */
    static RosterMessage roster(long version, boolean isComplete, String... names) {
        List<RosterMessage.Entry> entries = new ArrayList<>();
        for (String name : names) {
            String[] parts = name.split("=");
            entries.add(new RosterMessage.Entry(
                    parts[0],
                    parts[0] + ":80",
                    parts.length < 2 ? Stage.READY : Stage.valueOf(parts[1]),
                    "west",
                    "m2",
                    0,
                    1,
                    0));
        }
        return new RosterMessage(version, isComplete, entries);
    }

    ReducerConfiguration configuration() {
        fixture.settings.put("familyInfo.tellsDelay", "unseen");
        return new ReducerConfiguration(
                fixture.settings,
                7,
                List.of(
                        2000 * BalancerFixture.MILLISECOND,
                        2000 * BalancerFixture.MILLISECOND,
                        2000 * BalancerFixture.MILLISECOND),
                List.of("west"),
                List.of("m2"),
                100 * BalancerFixture.MILLISECOND,
                maxSockets,
                150 * BalancerFixture.MILLISECOND,
                isPassThrough,
                new Address("r", 1));
    }

    /** Starts a reducer whose roster the roster service confirms at once. */
    void startReducer(String... names) {
        startUnconfirmedReducer(names);
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.RosterConfirmed()), fixture.now);
    }

    void startUnconfirmedReducer(String... names) {
        reducer = new Reducer(configuration(), roster(3, true, names), fixture.now);
        apply("start", new Event.TimerFired());
    }

    static NetworkEvent watchFailed(RosterInterruption cause, long elapsedMillis) {
        return new NetworkEvent.RosterWatchFailed("it", cause, elapsedMillis * BalancerFixture.MILLISECOND);
    }

    void startReducerWithInitialState(Recovery.InitialState initialState) {
        reducer = new Reducer(configuration(), initialState, true, Balancer::new, fixture.now);
        apply("start", new Event.TimerFired());
    }

    /** Applies an event and appends the label and the effects to the trace. */
    void apply(String label, Event event) {
        fixture.appendToTrace(label);
        for (Effect effect : reducer.apply(event, fixture.now)) {
            String text = describe(effect);
            if (!text.isEmpty()) {
                fixture.trace.append("             ").append(text).append(System.lineSeparator());
            }
        }
    }

    /** Returns an effect's line in the trace; empty for effects that traces leave out. */
    static String describe(Effect effect) {
        if (effect instanceof Effect.ExecuteCommand execution) {
            return describe(execution.command());
        }
        if (effect instanceof Effect.PersistLearnedState persist) {
            return "keep " + persist.part().backends().size() + " judged, "
                    + persist.part().pins().size() + " pins";
        }
        if (effect instanceof Effect.PersistRoster persist) {
            return "keep roster " + persist.message().version();
        }
        if (effect instanceof Effect.WriteLog logged) {
            return "note " + logged.text();
        }
        return effect instanceof Effect.Stop ? "stop" : "";
    }

    static String describe(NetworkCommand command) {
        if (command instanceof NetworkCommand.Connect connect) {
            return "dial " + connect.socket() + " " + connect.address() + " " + decodeLine(connect.firstLine());
        }
        if (command instanceof NetworkCommand.Write write) {
            return "write " + write.socket() + " " + decodeLine(write.line());
        }
        if (command instanceof NetworkCommand.Close close) {
            return "close " + close.socket();
        }
        if (command instanceof NetworkCommand.Reset reset) {
            return "reset " + reset.socket();
        }
        if (command instanceof NetworkCommand.ShutdownOutput shutdown) {
            return "finish " + shutdown.socket();
        }
        if (command instanceof NetworkCommand.WatchRoster watch) {
            return "watch " + watch.address() + " from " + watch.fromVersion();
        }
        return "";
    }

    static String decodeLine(byte[] line) {
        return new String(line, StandardCharsets.UTF_8).replace("\r\n", "");
    }

    static byte[] encodeLine(String line) {
        return (line + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    void applyNetworkEvent(String label, NetworkEvent networkEvent) {
        apply(label, new Event.NetworkEventReceived(networkEvent));
    }

    void receiveFromClient(long socket, String line) {
        applyNetworkEvent(
                "client " + socket + ": " + line,
                new NetworkEvent.ClientMessageReceived(socket, ClientMessage.decode(encodeLine(line), NAMES)));
    }

    void receiveFromBackend(long socket, String line) {
        applyNetworkEvent(
                "backend " + socket + ": " + line,
                new NetworkEvent.BackendMessageReceived(socket, BackendMessage.decode(encodeLine(line))));
    }

    /** Accepts a client and sends its OPEN line; the id is the socket's number with an f appended. */
    void acceptAndOpen(long socket, String parameters) {
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(socket)), fixture.now);
        receiveFromClient(socket, "OPEN " + socket + "f 0 t=x," + parameters);
    }

    /** Reports that the socket is connected and that its first line was written, without a line in the trace. */
    void connectAndWriteFirstLine(long socket) {
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.BackendConnected(socket)), fixture.now);
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.FirstLineWritten(socket)), fixture.now);
    }

    /** Lets the backend accept the dispatch. */
    void answerUp(long socket) {
        connectAndWriteFirstLine(socket);
        receiveFromBackend(socket, "UP r" + -socket);
    }

    void closeSocket(long socket, boolean isReset) {
        applyNetworkEvent(
                "socket " + socket + (isReset ? " broke" : " closed"), new NetworkEvent.SocketClosed(socket, isReset));
    }

    void fireTimerAt(long millis) {
        fixture.atMillis(millis);
        apply("time", new Event.TimerFired());
    }
}
