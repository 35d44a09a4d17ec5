package ambertrestle.lab.benchmark;

import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.RosterEntry;
import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.lab.scenario.RelayConfigurationJson;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.connection.Effect;
import ambertrestle.relay.connection.Event;
import ambertrestle.relay.connection.Reducer;
import ambertrestle.relay.server.RelayConfiguration;
import ambertrestle.relay.toml.TomlDocument;
import ambertrestle.relay.wire.BackendMessage;
import ambertrestle.relay.wire.ClientMessage;
import ambertrestle.relay.wire.NetworkEvent;
import ambertrestle.relay.wire.RosterMessage;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of a placement decision, of a roster update and of a client connection in the reducer.
 *
 * <p>CI doesn't run it. To start it: {@code java -cp 'lab/target/ambertrestle-lab.jar:lab/target/lib/*'
 * org.openjdk.jmh.Main DecisionBenchmark}.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class DecisionBenchmark {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Odd multiplier (2^64 divided by the golden ratio) that spreads consecutive ids over all 64-bit keys. */
    private static final long KEY_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private static final long CLIENT_TIMEOUT_MILLIS = 2_000;

    /** Virtual time between two placement decisions. */
    private static final long DECISION_INTERVAL_NANOS = 10_000L;

    /** Virtual time between two client connections. */
    private static final long CONNECTION_INTERVAL_NANOS = 100_000L;

    /** Number of backends in the roster. */
    @Param({"13", "1000", "10000"})
    public int backends;

    private Balancer balancer;
    private Reducer reducer;
    private RelayConfiguration configuration;

    /** Virtual time in nanoseconds since the epoch; every call of a benchmark advances it. */
    private long now = 1_700_000_000_000L * NANOS_PER_MILLI;

    private long lastId;

    /** Whether the last roster update listed backend 1. */
    private boolean isFirstBackendListed = true;

    /** Creates a balancer and a reducer, both with a roster of {@link #backends} backends. */
    @Setup
    public void setUp() throws Exception {
        Scenario scenario = Scenario.read(TomlDocument.parse(
                "bench.toml",
                "name = \"bench\"\n[[fleet]]\nname = \"s\"\ncount = " + backends
                        + "\n[[use-case]]\nname = \"open\"\n"));
        configuration = RelayConfiguration.read(
                Map.of(),
                RelayConfigurationJson.create(
                        scenario,
                        "bench",
                        "127.0.0.1:1",
                        "127.0.0.1:2",
                        1,
                        new JsonObject().put("index", 0).put("snapshot", true).put("endpoints", new JsonArray())));
        balancer = new Balancer(configuration.reducerConfiguration().settings(), 1, now);
        List<RosterEntry> rosterEntries = new ArrayList<>();
        List<RosterMessage.Entry> rosterMessageEntries = new ArrayList<>();
        for (int i = 1; i <= backends; i++) {
            rosterEntries.add(new RosterEntry(i, Stage.READY, 0, 0, 1, 0, 0));
            rosterMessageEntries.add(
                    new RosterMessage.Entry("s-" + i, "s-" + i + ":1", Stage.READY, "a", "s", 0, 1, 0));
        }
        balancer.onRosterUpdate(rosterEntries, true, false, now);
        reducer = new Reducer(
                configuration.reducerConfiguration(), new RosterMessage(1, true, rosterMessageEntries), now);
        reducer.apply(new Event.TimerFired(), now);
    }

    /** Selects a backend for a new association, then closes the association. */
    @Benchmark
    public Object selectBackend() {
        now += DECISION_INTERVAL_NANOS;
        Association association = new Association(
                ++lastId,
                0,
                0,
                lastId * KEY_MULTIPLIER | 1,
                0,
                now + CLIENT_TIMEOUT_MILLIS * NANOS_PER_MILLI,
                0,
                false,
                false);
        Object decision = balancer.selectBackend(association, now);
        balancer.onClientDisconnected(association, now);
        return decision;
    }

    /**
     * Removes one backend from the roster or adds it again. Decisions wait on the event loop for as long as this takes.
     */
    @Benchmark
    public void updateRoster() {
        now += NANOS_PER_MILLI;
        isFirstBackendListed = !isFirstBackendListed;
        balancer.onRosterUpdate(
                List.of(new RosterEntry(1, isFirstBackendListed ? Stage.READY : Stage.GONE, 0, 0, 1, 0, 0)),
                false,
                false,
                now);
    }

    /**
     * A client connection from accept to close: OPEN, backend connected, UP, one line and its answer, both ends closed.
     */
    @Benchmark
    public Object reduceClientLifecycle() {
        now += CONNECTION_INTERVAL_NANOS;
        long clientId = ++lastId;
        applyNetworkEvent(new NetworkEvent.ClientAccepted(clientId));
        byte[] openLine = ("OPEN " + Long.toHexString(clientId) + " " + Long.toHexString(clientId * KEY_MULTIPLIER | 1)
                        + " c=open,t=t,d=2000\r\n")
                .getBytes(StandardCharsets.UTF_8);
        long backendConnectionId = -clientId;
        applyNetworkEvent(new NetworkEvent.ClientMessageReceived(
                clientId, ClientMessage.decode(openLine, configuration.names())));
        applyNetworkEvent(new NetworkEvent.BackendConnected(backendConnectionId));
        applyNetworkEvent(new NetworkEvent.FirstLineWritten(backendConnectionId));
        applyNetworkEvent(new NetworkEvent.BackendMessageReceived(
                backendConnectionId, BackendMessage.decode("UP 1\r\n".getBytes(StandardCharsets.UTF_8))));
        applyNetworkEvent(new NetworkEvent.ClientMessageReceived(
                clientId, new ClientMessage.Payload("L\r\n".getBytes(StandardCharsets.UTF_8))));
        applyNetworkEvent(new NetworkEvent.BackendMessageReceived(
                backendConnectionId, BackendMessage.decode("R\r\n".getBytes(StandardCharsets.UTF_8))));
        applyNetworkEvent(new NetworkEvent.SocketClosed(clientId, false));
        return applyNetworkEvent(new NetworkEvent.SocketClosed(backendConnectionId, false));
    }

    private List<Effect> applyNetworkEvent(NetworkEvent networkEvent) {
        return reducer.apply(new Event.NetworkEventReceived(networkEvent), now);
    }
}
