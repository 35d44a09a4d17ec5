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
 * What keeping costs at 10,000 backends and 65,536 pins that have all changed: each part that the event loop gives, the
 * worst of them included, and what is done beside it. Outside CI: as {@link DecisionBenchmark}, with KeptBench at the
 * end.
 */
@State(Scope.Thread)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 40)
@Measurement(iterations = 200)
public class LearnedStateBenchmark {
    private static final int BACKENDS = 10_000, PINS = 65_536, BATCH_SIZE = 1_024;
    private static final long NOW = 1_700_000_000_000_000_000L;

    private Balancer balancer;
    private LearnedState learnedState;
    private SnapshotBuilder mirror;

    @Setup(Level.Iteration)
    public void setUp() throws Exception {
        Scenario scenario = Scenario.read(TomlDocument.parse(
                "bench.toml", "name = \"bench\"\n[[fleet]]\nname = \"s\"\ncount = 1\n[[use-case]]\nname = \"open\"\n"));
        RelayConfiguration sheet = RelayConfiguration.read(
                Map.of(),
                RelayConfigurationJson.create(
                        scenario,
                        "bench",
                        "127.0.0.1:1",
                        "127.0.0.1:2",
                        1,
                        new JsonObject().put("index", 0).put("snapshot", true).put("endpoints", new JsonArray())));
        balancer = new Balancer(sheet.reducerConfiguration().settings(), 1, NOW);
        List<RosterEntry> listed = new ArrayList<>();
        List<BackendStatistics> judged = new ArrayList<>();
        List<RosterMessage.Entry> lines = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            String name = "s-" + i;
            long id = RosterMessage.backendId(name);
            listed.add(new RosterEntry(id, Stage.READY, 0, 0, 1, 0, 0));
            lines.add(new RosterMessage.Entry(name, "10.0.0.1:80", Stage.READY, "a", "s", 0, 1, 0));
            judged.add(new BackendStatistics(id, 0, NOW, 1, 1, 0, 0, 0, 0));
        }
        balancer.onRosterUpdate(listed, true, false, NOW);
        List<Pin> pins = new ArrayList<>();
        for (int p = 0; p < PINS; p++) {
            pins.add(new Pin(
                    p * 0x9e3779b97f4a7c15L | 1, judged.get(p % BACKENDS).backend(), NOW));
        }
        learnedState = new LearnedState(
                balancer.takeLearnedStateChanges(1, NOW).tableFormat(),
                LearnedState.RelayStatistics.EMPTY,
                judged,
                pins,
                false);
        // A new one: its first call lists all, which a relay pays once, at its start and empty.
        balancer = new Balancer(sheet.reducerConfiguration().settings(), 1, NOW);
        balancer.onRosterUpdate(listed, true, false, NOW);
        balancer.restoreLearnedState(learnedState, false, NOW);
        balancer.takeLearnedStateChanges(1, NOW);
        mirror = new SnapshotBuilder("r");
        mirror.apply(new RosterMessage(1, true, lines));
        mirror.apply(learnedState);
    }

    /** What the loop is held up for at once; single shots, so the worst are seen. */
    @Benchmark
    @BenchmarkMode(Mode.SingleShotTime)
    public Object collectChangeBatch() {
        return balancer.takeLearnedStateChanges(BATCH_SIZE, NOW);
    }

    /** Beside the loop: what one write has to put together. */
    @Benchmark
    @BenchmarkMode(Mode.SingleShotTime)
    public Object encodeSnapshot() {
        new StateChanges().applyTo(mirror);
        return StateFileCodec.encode(mirror.build(NOW));
    }

    /** At a start: taking back what was kept. */
    @Benchmark
    @BenchmarkMode(Mode.SingleShotTime)
    public void restoreLearnedState() {
        balancer.restoreLearnedState(learnedState, true, NOW);
    }
}
