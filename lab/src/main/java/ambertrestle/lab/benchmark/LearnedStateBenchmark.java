package ambertrestle.lab.benchmark;

import ambertrestle.decide.Balancer;
import ambertrestle.decide.LearnedState;
import ambertrestle.decide.LearnedState.BackendStatistics;
import ambertrestle.decide.LearnedState.Pin;
import ambertrestle.decide.RosterEntry;
import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.lab.scenario.RelayConfigurationJson;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.persistence.SnapshotBuilder;
import ambertrestle.relay.persistence.StateChanges;
import ambertrestle.relay.persistence.StateFileCodec;
import ambertrestle.relay.server.RelayConfiguration;
import ambertrestle.relay.toml.TomlDocument;
import ambertrestle.relay.wire.RosterMessage;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures state persistence with 10,000 backends and 65,536 pins that have all changed: the collection of one batch of
 * changes, which blocks the event loop, and the work outside of the event loop.
 *
 * <p>CI doesn't run it. To start it: as {@link DecisionBenchmark}, with {@code LearnedStateBenchmark} as the argument.
 */
@State(Scope.Thread)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 40)
@Measurement(iterations = 200)
public class LearnedStateBenchmark {
    private static final int BACKEND_COUNT = 10_000;
    private static final int PIN_COUNT = 65_536;

    /** Maximum number of changed backends and pins that one call collects. */
    private static final int BATCH_SIZE = 1_024;

    /** Odd multiplier (2^64 divided by the golden ratio) that spreads consecutive numbers over all 64-bit keys. */
    private static final long KEY_MULTIPLIER = 0x9e3779b97f4a7c15L;

    /** Nanoseconds since the epoch. */
    private static final long NOW = 1_700_000_000_000_000_000L;

    private Balancer balancer;
    private LearnedState learnedState;
    private SnapshotBuilder snapshotBuilder;

    /** Creates a balancer whose learned state has all changed, and a snapshot builder that contains this state. */
    @Setup(Level.Iteration)
    public void setUp() throws Exception {
        Scenario scenario = Scenario.read(TomlDocument.parse(
                "bench.toml", "name = \"bench\"\n[[fleet]]\nname = \"s\"\ncount = 1\n[[use-case]]\nname = \"open\"\n"));
        RelayConfiguration configuration = RelayConfiguration.read(
                Map.of(),
                RelayConfigurationJson.create(
                        scenario,
                        "bench",
                        "127.0.0.1:1",
                        "127.0.0.1:2",
                        1,
                        new JsonObject().put("index", 0).put("snapshot", true).put("endpoints", new JsonArray())));
        balancer = new Balancer(configuration.reducerConfiguration().settings(), 1, NOW);
        List<RosterEntry> rosterEntries = new ArrayList<>();
        List<BackendStatistics> backendStatistics = new ArrayList<>();
        List<RosterMessage.Entry> rosterMessageEntries = new ArrayList<>();
        for (int i = 0; i < BACKEND_COUNT; i++) {
            String name = "s-" + i;
            long id = RosterMessage.backendId(name);
            rosterEntries.add(new RosterEntry(id, Stage.READY, 0, 0, 1, 0, 0));
            rosterMessageEntries.add(new RosterMessage.Entry(name, "10.0.0.1:80", Stage.READY, "a", "s", 0, 1, 0));
            backendStatistics.add(new BackendStatistics(id, 0, NOW, 1, 1, 0, 0, 0, 0));
        }
        balancer.onRosterUpdate(rosterEntries, true, false, NOW);
        List<Pin> pins = new ArrayList<>();
        for (int pinIndex = 0; pinIndex < PIN_COUNT; pinIndex++) {
            pins.add(new Pin(
                    pinIndex * KEY_MULTIPLIER | 1,
                    backendStatistics.get(pinIndex % BACKEND_COUNT).backend(),
                    NOW));
        }
        learnedState = new LearnedState(
                balancer.takeLearnedStateChanges(1, NOW).tableFormat(),
                LearnedState.RelayStatistics.EMPTY,
                backendStatistics,
                pins,
                false);
        // A new balancer marks everything as changed on its first call of takeLearnedStateChanges. A relay makes that
        // call once, at its start, while its state is empty. It is made here so that the benchmark doesn't measure it.
        balancer = new Balancer(configuration.reducerConfiguration().settings(), 1, NOW);
        balancer.onRosterUpdate(rosterEntries, true, false, NOW);
        balancer.restoreLearnedState(learnedState, false, NOW);
        balancer.takeLearnedStateChanges(1, NOW);
        snapshotBuilder = new SnapshotBuilder("r");
        snapshotBuilder.apply(new RosterMessage(1, true, rosterMessageEntries));
        snapshotBuilder.apply(learnedState);
    }

    /**
     * Collects one batch, which blocks the event loop. Single shots, so that the percentiles show the slowest calls.
     */
    @Benchmark
    @BenchmarkMode(Mode.SingleShotTime)
    public Object collectChangeBatch() {
        return balancer.takeLearnedStateChanges(BATCH_SIZE, NOW);
    }

    /** Builds and encodes the snapshot for one write, outside of the event loop. */
    @Benchmark
    @BenchmarkMode(Mode.SingleShotTime)
    public Object encodeSnapshot() {
        new StateChanges().applyTo(snapshotBuilder);
        return StateFileCodec.encode(snapshotBuilder.build(NOW));
    }

    /** Restores the learned state as at a relay's start, with a roster that counts as stale because of its age. */
    @Benchmark
    @BenchmarkMode(Mode.SingleShotTime)
    public void restoreLearnedState() {
        balancer.restoreLearnedState(learnedState, true, NOW);
    }
}
