package ambertrestle.relay.connection;

import ambertrestle.decide.Balancer;
import ambertrestle.decide.BalancerFixture;
import ambertrestle.decide.LearnedState;
import ambertrestle.decide.RosterEntry.Stage;
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
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Events in, effects out; no socket. Sockets 1, 2 ... are clients', -1, -2 ... dialled. */
class ReducerTest {
    private static final ConfiguredNames NAMES = new ConfiguredNames(List.of("read", "mark", "pay"), List.of("x"));
    private final BalancerFixture s = new BalancerFixture();
    private boolean packetsPass = true;
    private int mostSockets = 100;
    private Reducer reducer;

    private static RosterMessage list(long index, boolean whole, String... names) {
        List<RosterMessage.Entry> lines = new ArrayList<>();
        for (String name : names) {
            String[] parts = name.split("=");
            lines.add(new RosterMessage.Entry(
                    parts[0],
                    parts[0] + ":80",
                    parts.length < 2 ? Stage.READY : Stage.valueOf(parts[1]),
                    "west",
                    "m2",
                    0,
                    1,
                    0));
        }
        return new RosterMessage(index, whole, lines);
    }

    private void start(String... names) {
        s.settings.put("familyInfo.tellsDelay", "unseen");
        reducer = new Reducer(
                new ReducerConfiguration(
                        s.settings,
                        7,
                        List.of(
                                2000 * BalancerFixture.MILLISECOND,
                                2000 * BalancerFixture.MILLISECOND,
                                2000 * BalancerFixture.MILLISECOND),
                        List.of("west"),
                        List.of("m2"),
                        100 * BalancerFixture.MILLISECOND,
                        mostSockets,
                        150 * BalancerFixture.MILLISECOND,
                        packetsPass,
                        new Address("r", 1)),
                list(3, true, names),
                s.now);
        apply("start", new Event.TimerFired());
    }

    private void startWithInitialState(Recovery.InitialState beginning) {
        s.settings.put("familyInfo.tellsDelay", "unseen");
        reducer = new Reducer(
                new ReducerConfiguration(
                        s.settings,
                        7,
                        List.of(
                                2000 * BalancerFixture.MILLISECOND,
                                2000 * BalancerFixture.MILLISECOND,
                                2000 * BalancerFixture.MILLISECOND),
                        List.of("west"),
                        List.of("m2"),
                        100 * BalancerFixture.MILLISECOND,
                        mostSockets,
                        150 * BalancerFixture.MILLISECOND,
                        packetsPass,
                        new Address("r", 1)),
                beginning,
                true,
                Balancer::new,
                s.now);
        apply("start", new Event.TimerFired());
    }

    /** An hour old: it names one that is gone and one that drains; the roster is away for 2 s. */
    @Test
    void servesFromStaleRosterUntilRosterServiceAnswers() throws Exception {
        LearnedState kept = new LearnedState(
                0,
                new LearnedState.RelayStatistics(300, 10_000 * BalancerFixture.MILLISECOND, 0, 0, 0, 0),
                List.of(),
                List.of(),
                false);
        startWithInitialState(new Recovery.InitialState(
                Recovery.RosterSource.KEPT,
                list(3, true, "s-1", "s-2", "s-3", "s-4"),
                s.now - 3_600_000 * BalancerFixture.MILLISECOND,
                true,
                true,
                kept,
                List.of()));
        applyNetworkEvent("roster service refuses", new NetworkEvent.RosterWatchFailed("not connected"));
        s.atMillis(300);
        acceptAndOpen(1, "c=pay,d=2000,g=a1");
        applyNetworkEvent("no connection", new NetworkEvent.SocketClosed(-1, true));
        answerUp(-2);
        s.atMillis(2000);
        applyNetworkEvent(
                "roster: 1 gone, 2 drains",
                new NetworkEvent.RosterReceived(list(9, false, "s-1=GONE", "s-2=DRAINING", "s-3")));
        apply("keep", new Event.LearnedStateRequested());
        acceptAndOpen(2, "c=pay,d=2000,g=a1");
        fireTimerAt(5_001);
        s.assertTraceMatches("oldlist");
    }

    private void apply(String what, Event event) {
        s.appendToTrace(what);
        for (Effect effect : reducer.apply(event, s.now)) {
            String text = describe(effect);
            if (!text.isEmpty()) {
                s.trace.append("             ").append(text).append(System.lineSeparator());
            }
        }
    }

    private String describe(Effect effect) {
        if (effect instanceof Effect.ExecuteCommand wire) {
            NetworkCommand ask = wire.command();
            return ask instanceof NetworkCommand.Connect d
                    ? "dial " + d.socket() + " " + d.address() + " " + text(d.firstLine())
                    : ask instanceof NetworkCommand.Write w
                            ? "write " + w.socket() + " " + text(w.line())
                            : ask instanceof NetworkCommand.Close c
                                    ? "close " + c.socket()
                                    : ask instanceof NetworkCommand.Reset r
                                            ? "reset " + r.socket()
                                            : ask instanceof NetworkCommand.ShutdownOutput f
                                                    ? "finish " + f.socket()
                                                    : ask instanceof NetworkCommand.WatchRoster w
                                                            ? "watch " + w.address() + " from " + w.fromVersion()
                                                            : "";
        }
        if (effect instanceof Effect.PersistLearnedState keep) {
            return "keep " + keep.part().backends().size() + " judged, "
                    + keep.part().pins().size() + " pins";
        }
        return effect instanceof Effect.PersistRoster keep
                ? "keep roster " + keep.message().version()
                : effect instanceof Effect.WriteLog note
                        ? "note " + note.text()
                        : effect instanceof Effect.Stop ? "stop" : "";
    }

    private static String text(byte[] raw) {
        return new String(raw, StandardCharsets.UTF_8).replace("\r\n", "");
    }

    private static byte[] raw(String line) {
        return (line + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    private void applyNetworkEvent(String what, NetworkEvent heard) {
        apply(what, new Event.NetworkEventReceived(heard));
    }

    private void receiveFromClient(long socket, String line) {
        applyNetworkEvent(
                "client " + socket + ": " + line,
                new NetworkEvent.ClientMessageReceived(socket, ClientMessage.decode(raw(line), NAMES)));
    }

    private void receiveFromBackend(long socket, String line) {
        applyNetworkEvent(
                "backend " + socket + ": " + line,
                new NetworkEvent.BackendMessageReceived(socket, BackendMessage.decode(raw(line))));
    }

    private void acceptAndOpen(long socket, String list) {
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(socket)), s.now);
        receiveFromClient(socket, "OPEN " + socket + "f 0 t=x," + list);
    }

    private void connectAndWriteFirstLine(long socket) {
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.BackendConnected(socket)), s.now);
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.FirstLineWritten(socket)), s.now);
    }

    private void answerUp(long socket) {
        connectAndWriteFirstLine(socket);
        receiveFromBackend(socket, "UP r" + -socket);
    }

    private void closeSocket(long socket, boolean reset) {
        applyNetworkEvent(
                "socket " + socket + (reset ? " broke" : " closed"), new NetworkEvent.SocketClosed(socket, reset));
    }

    private void fireTimerAt(long ms) {
        s.atMillis(ms);
        apply("time", new Event.TimerFired());
    }

    @Test
    void connectionLifecycle() throws Exception {
        start("s-1");
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(1)), s.now);
        receiveFromClient(1, "PING");
        acceptAndOpen(2, "c=read,d=2000,g=5c,z=9");
        receiveFromClient(2, "M 1 early");
        answerUp(-1);
        receiveFromClient(2, "M 2");
        receiveFromBackend(-1, "LOAD 1200.5");
        receiveFromBackend(-1, "M 2 back");
        receiveFromBackend(-1, "BYE");
        applyNetworkEvent("socket -1 ends its sending", new NetworkEvent.InputShutdown(-1));
        closeSocket(2, false);
        closeSocket(-1, false);
        s.assertTraceMatches("life");
    }

    @Test
    void dispatchOutcomes() throws Exception {
        start("s-1", "s-2", "s-3");
        acceptAndOpen(1, "c=pay,d=2000");
        closeSocket(-1, true);
        connectAndWriteFirstLine(-2);
        receiveFromBackend(-2, "BUSY");
        connectAndWriteFirstLine(-3);
        closeSocket(-3, true);
        acceptAndOpen(2, "c=read,d=2000");
        connectAndWriteFirstLine(-4);
        fireTimerAt(201);
        fireTimerAt(202);
        receiveFromBackend(-4, "UP late");
        answerUp(-5);
        s.assertTraceMatches("outcomes");
    }

    @Test
    void sendsOneFinalAnswerOnConcurrentFailures() throws Exception {
        start("s-1");
        acceptAndOpen(1, "c=pay,d=120");
        connectAndWriteFirstLine(-1);
        fireTimerAt(101);
        fireTimerAt(102);
        closeSocket(-1, true);
        closeSocket(1, false);
        acceptAndOpen(2, "c=read,d=2000");
        closeSocket(2, true);
        receiveFromBackend(-2, "UP late");
        closeSocket(-2, false);
        s.assertTraceMatches("once");
    }

    @Test
    void rejectsMalformedOpenRequestsWithoutDispatch() throws Exception {
        start("s-1");
        String[] bad = {
            "HELLO",
            "OPEN",
            "OPEN 1",
            "OPEN x 1 c=read",
            "OPEN 1 1 t=x,c=read,d=-5",
            "OPEN 1 1 c=read,t=y",
            "OPEN 1 1 t=x,c=other,d=9",
            "OPEN 1 1 =read",
            "OPEN 1 1 c=read,c=read",
            "OPEN 1 1 c=read,h=x",
            "OPEN 1 1 c=\ufffd",
            "OPEN 1 1 c=read,t=x,d=",
            "OPEN 1 1 c=read,t=x,d=99999999999"
        };
        for (int i = 0; i < bad.length; i++) {
            reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(i + 1)), s.now);
            receiveFromClient(i + 1, bad[i]);
        }
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(20)), s.now);
        applyNetworkEvent("socket 20 sends no line", new NetworkEvent.FramingError(20));
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(21)), s.now);
        fireTimerAt(1000);
        fireTimerAt(2000);
        fireTimerAt(6000);
        s.assertTraceMatches("garbage");
    }

    @Test
    void rejectsDuplicateIdsAndCommandsBeforeAnswer() throws Exception {
        start("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(2)), s.now);
        receiveFromClient(2, "OPEN 1f 77 c=read,t=x,d=2000");
        answerUp(-1);
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(3)), s.now);
        receiveFromClient(3, "OPEN 1f 77 c=read,t=x,d=2000,mid=1");
        closeSocket(1, false);
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(4)), s.now);
        receiveFromClient(4, "OPEN 1f 77 c=read,t=x,d=2000");
        receiveFromClient(4, "OPEN 5f 77 c=read,t=x,d=2000");
        acceptAndOpen(5, "c=read,d=2000");
        applyNetworkEvent("socket 5 sends no line", new NetworkEvent.FramingError(5));
        fireTimerAt(1000);
        s.assertTraceMatches("misuse");
    }

    @Test
    void evictsClientsThatOnlyPingOrSendNothing() throws Exception {
        mostSockets = 3;
        start("s-1");
        for (int i = 1; i < 5; i++) {
            applyNetworkEvent("accepted " + i, new NetworkEvent.ClientAccepted(i));
            receiveFromClient(i, "PING");
        }
        receiveFromClient(2, "PING");
        fireTimerAt(600);
        for (int i = 1; i < 5; i++) {
            reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.SocketClosed(i, false)), s.now);
        }
        acceptAndOpen(5, "c=read,d=2000");
        answerUp(-1);
        closeSocket(-1, false);
        fireTimerAt(3600);
        s.assertTraceMatches("silence");
    }

    @Test
    void shedsWhenSocketLimitIsReached() throws Exception {
        mostSockets = 3;
        start("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        acceptAndOpen(2, "c=pay,d=2000");
        closeSocket(2, false);
        acceptAndOpen(3, "c=read,d=2000");
        s.assertTraceMatches("sockets");
    }

    @Test
    void relayDelayDoesNotCountAsBackendLatency() throws Exception {
        start("s-1", "s-2");
        acceptAndOpen(1, "c=read,d=2000");
        s.atMillis(140);
        connectAndWriteFirstLine(-1);
        fireTimerAt(300);
        fireTimerAt(345);
        receiveFromBackend(-1, "UP r1");
        acceptAndOpen(2, "c=read,d=2000");
        fireTimerAt(496);
        fireTimerAt(497);
        s.assertTraceMatches("delayed");
    }

    @Test
    void resumedAndMidFlowConnections() throws Exception {
        start("s-1", "s-2");
        acceptAndOpen(1, "c=read,d=3000,at=s-2");
        closeSocket(-1, true);
        fireTimerAt(250);
        answerUp(-2);
        acceptAndOpen(2, "c=read,d=2000,mid=1,g=5c");
        acceptAndOpen(3, "c=read,d=2000,at=s-9");
        s.assertTraceMatches("standing");
    }

    /** One entry that cannot be read must not pass for a backend that is gone. */
    @Test
    void keepsLastKnownEntryWhenNewOneIsFaulty() throws Exception {
        start("s-1", "s-2");
        applyNetworkEvent(
                "whole list, s-2 faulty",
                new NetworkEvent.RosterReceived(
                        list(4, true, "s-1=DRAINING"),
                        new TreeMap<>(
                                Map.of("s-2", "status of s-2 is not known", "s-9", "address of s-9 is missing"))));
        for (int i = 1; i < 5; i++) {
            s.atMillis(1500);
            acceptAndOpen(i, "c=read,d=2000");
        }
        s.assertTraceMatches("faulty");
    }

    @Test
    void restartsRosterWatchAfterFailure() throws Exception {
        s.settings.put("discovery", "pushed");
        start("s-1");
        applyNetworkEvent("roster 4", new NetworkEvent.RosterReceived(list(4, false, "s-2")));
        applyNetworkEvent("roster 2", new NetworkEvent.RosterReceived(list(2, false, "s-1=GONE")));
        applyNetworkEvent("roster 2, whole", new NetworkEvent.RosterReceived(list(2, true, "s-2")));
        applyNetworkEvent("watch broke", new NetworkEvent.RosterWatchFailed("silent"));
        fireTimerAt(500);
        s.assertTraceMatches("watch");
    }

    @Test
    void reloadMovesWatchOnceAndCancelsPendingRetry() throws Exception {
        start("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        answerUp(-1);
        applyNetworkEvent("watch broke", new NetworkEvent.RosterWatchFailed("cut off"));
        apply("read again", new Event.ConfigurationReloaded(new Address("q", 2), 100));
        fireTimerAt(500);
        apply("read again, unchanged", new Event.ConfigurationReloaded(new Address("q", 2), 100));
        applyNetworkEvent("roster 4", new NetworkEvent.RosterReceived(list(4, false, "s-2")));
        applyNetworkEvent("watch broke", new NetworkEvent.RosterWatchFailed("ended"));
        fireTimerAt(1000);
        receiveFromClient(1, "M 1");
        s.assertTraceMatches("reread");
    }

    @Test
    void detectsHungBackendAndDeadConnection() throws Exception {
        start("s-1", "s-2");
        acceptAndOpen(1, "c=read,d=2000,g=1");
        answerUp(-1);
        acceptAndOpen(2, "c=read,d=2000,g=1");
        answerUp(-2);
        s.atMillis(100);
        receiveFromClient(1, "M 1");
        s.atMillis(400);
        receiveFromClient(2, "M 1");
        for (int ms = 500; ms <= 2000; ms += 500) {
            fireTimerAt(ms);
        }
        closeSocket(-1, false);
        s.assertTraceMatches("silent");
    }

    @Test
    void movesOneDeadConnectionAmongHealthyOnes() throws Exception {
        start("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        answerUp(-1);
        acceptAndOpen(2, "c=read,d=2000");
        answerUp(-2);
        receiveFromClient(1, "M 1");
        ClientMessage said = ClientMessage.decode(raw("M"), NAMES);
        BackendMessage back = BackendMessage.decode(raw("M"));
        for (int ms = 10; ms < 5500; ms += 10) {
            s.atMillis(ms);
            reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientMessageReceived(2, said)), s.now);
            reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.BackendMessageReceived(-2, back)), s.now);
        }
        fireTimerAt(5500);
        s.assertTraceMatches("dead");
    }

    @Test
    void shutdownFinishesAcceptedAssociations() throws Exception {
        packetsPass = false;
        start("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        answerUp(-1);
        apply("told to stop", new Event.ShutdownRequested());
        s.atMillis(305);
        acceptAndOpen(2, "c=read,d=2000");
        fireTimerAt(501);
        answerUp(-2);
        fireTimerAt(806);
        s.assertTraceMatches("stop");
    }

    @Test
    void shutdownHandsOverConnectionsUnlessAnotherRelayIsDown() throws Exception {
        start("s-1");
        for (int i = 1; i < 7; i++) {
            acceptAndOpen(i, "c=read,d=2000");
            answerUp(-i);
        }
        apply("told to stop", new Event.ShutdownRequested());
        fireTimerAt(501);
        fireTimerAt(564);
        fireTimerAt(627);
        start("s-1");
        s.atMillis(10_000);
        acceptAndOpen(1, "c=read,d=2000,again=1");
        answerUp(-1);
        apply("told to stop", new Event.ShutdownRequested());
        fireTimerAt(10_501);
        receiveFromClient(1, "M 1");
        receiveFromBackend(-1, "M 1");
        fireTimerAt(13_200);
        fireTimerAt(13_300);
        s.assertTraceMatches("passing");
    }
}
