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
 * What a decision, a change of the roster and an opening through the reducer cost. Outside CI: {@code java -cp
 * 'lab/target/ambertrestle-lab.jar:lab/target/lib/*' org.openjdk.jmh.Main}.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class DecisionBenchmark {
    private static final long MS = 1_000_000L;

    @Param({"13", "1000", "10000"})
    public int backends;

    private Balancer balancer;
    private Reducer reducer;
    private RelayConfiguration configuration;
    private long now = 1_700_000_000_000L * MS;
    private long lastId;
    private boolean isFirstBackendListed = true;

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
        List<RosterEntry> listed = new ArrayList<>();
        List<RosterMessage.Entry> lines = new ArrayList<>();
        for (int i = 1; i <= backends; i++) {
            listed.add(new RosterEntry(i, Stage.READY, 0, 0, 1, 0, 0));
            lines.add(new RosterMessage.Entry("s-" + i, "s-" + i + ":1", Stage.READY, "a", "s", 0, 1, 0));
        }
        balancer.onRosterUpdate(listed, true, false, now);
        reducer = new Reducer(configuration.reducerConfiguration(), new RosterMessage(1, true, lines), now);
        reducer.apply(new Event.TimerFired(), now);
    }

    /** One key placed and given back. */
    @Benchmark
    public Object selectBackend() {
        now += 10_000;
        Association a =
                new Association(++lastId, 0, 0, lastId * 0x9e3779b97f4a7c15L | 1, 0, now + 2_000 * MS, 0, false, false);
        Object answer = balancer.selectBackend(a, now);
        balancer.onClientDisconnected(a, now);
        return answer;
    }

    /** One backend goes, or comes back: what holds up every decision behind it. */
    @Benchmark
    public void updateRoster() {
        now += MS;
        isFirstBackendListed = !isFirstBackendListed;
        balancer.onRosterUpdate(
                List.of(new RosterEntry(1, isFirstBackendListed ? Stage.READY : Stage.GONE, 0, 0, 1, 0, 0)),
                false,
                false,
                now);
    }

    /** A client's whole life in the reducer: accepted, opened, up, one line and its answer, gone. */
    @Benchmark
    public Object reduceClientLifecycle() {
        now += 100_000;
        long client = ++lastId;
        applyNetworkEvent(new NetworkEvent.ClientAccepted(client));
        byte[] raw = ("OPEN " + Long.toHexString(client) + " " + Long.toHexString(client * 0x9e3779b97f4a7c15L | 1)
                        + " c=open,t=t,d=2000\r\n")
                .getBytes(StandardCharsets.UTF_8);
        long dialled = -client;
        applyNetworkEvent(
                new NetworkEvent.ClientMessageReceived(client, ClientMessage.decode(raw, configuration.names())));
        applyNetworkEvent(new NetworkEvent.BackendConnected(dialled));
        applyNetworkEvent(new NetworkEvent.FirstLineWritten(dialled));
        applyNetworkEvent(new NetworkEvent.BackendMessageReceived(
                dialled, BackendMessage.decode("UP 1\r\n".getBytes(StandardCharsets.UTF_8))));
        applyNetworkEvent(new NetworkEvent.ClientMessageReceived(
                client, new ClientMessage.Payload("L\r\n".getBytes(StandardCharsets.UTF_8))));
        applyNetworkEvent(new NetworkEvent.BackendMessageReceived(
                dialled, BackendMessage.decode("R\r\n".getBytes(StandardCharsets.UTF_8))));
        applyNetworkEvent(new NetworkEvent.SocketClosed(client, false));
        return applyNetworkEvent(new NetworkEvent.SocketClosed(dialled, false));
    }

    private List<Effect> applyNetworkEvent(NetworkEvent heard) {
        return reducer.apply(new Event.NetworkEventReceived(heard), now);
    }
}
