package ambertrestle.lab.bench;

import ambertrestle.decide.Balancer;
import ambertrestle.decide.Kept;
import ambertrestle.decide.Kept.Judged;
import ambertrestle.decide.Kept.Pin;
import ambertrestle.decide.Listed;
import ambertrestle.decide.Listed.Stage;
import ambertrestle.lab.scenario.RelayFile;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.durable.Hand;
import ambertrestle.relay.durable.Mirror;
import ambertrestle.relay.durable.StateFile;
import ambertrestle.relay.life.RunSheet;
import ambertrestle.relay.sheet.Sheet;
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
 * worst of them included, and what is done beside it. Outside CI: as {@link DecisionsBench}, with KeptBench at the end.
 */
@State(Scope.Thread)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 40)
@Measurement(iterations = 200)
public class KeptBench {
    private static final int BACKENDS = 10_000, PINS = 65_536, PART = 1_024;
    private static final long NOW = 1_700_000_000_000_000_000L;

    private Balancer balancer;
    private Kept all;
    private Mirror mirror;

    @Setup(Level.Iteration)
    public void begin() throws Exception {
        Scenario scenario = Scenario.read(Sheet.parse(
                "bench.toml", "name = \"bench\"\n[[fleet]]\nname = \"s\"\ncount = 1\n[[use-case]]\nname = \"open\"\n"));
        RunSheet sheet = RunSheet.read(
                Map.of(),
                RelayFile.make(
                        scenario,
                        "bench",
                        "127.0.0.1:1",
                        "127.0.0.1:2",
                        1,
                        new JsonObject().put("index", 0).put("snapshot", true).put("endpoints", new JsonArray())));
        balancer = new Balancer(sheet.values().jobTicket(), 1, NOW);
        List<Listed> listed = new ArrayList<>();
        List<Judged> judged = new ArrayList<>();
        List<RosterMessage.Line> lines = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            String name = "s-" + i;
            long id = RosterMessage.id(name);
            listed.add(new Listed(id, Stage.READY, 0, 0, 1, 0, 0));
            lines.add(new RosterMessage.Line(name, "10.0.0.1:80", Stage.READY, "a", "s", 0, 1, 0));
            judged.add(new Judged(id, 0, NOW, 1, 1, 0, 0, 0, 0));
        }
        balancer.roster(listed, true, false, NOW);
        List<Pin> pins = new ArrayList<>();
        for (int p = 0; p < PINS; p++) {
            pins.add(new Pin(
                    p * 0x9e3779b97f4a7c15L | 1, judged.get(p % BACKENDS).backend(), NOW));
        }
        all = new Kept(balancer.changes(1, NOW).table(), Kept.Whole.NOTHING, judged, pins, false);
        // A new one: its first call lists all, which a relay pays once, at its start and empty.
        balancer = new Balancer(sheet.values().jobTicket(), 1, NOW);
        balancer.roster(listed, true, false, NOW);
        balancer.remember(all, false, NOW);
        balancer.changes(1, NOW);
        mirror = new Mirror("r");
        mirror.take(new RosterMessage(1, true, lines));
        mirror.take(all);
    }

    /** What the loop is held up for at once; single shots, so the worst are seen. */
    @Benchmark
    @BenchmarkMode(Mode.SingleShotTime)
    public Object onePart() {
        return balancer.changes(PART, NOW);
    }

    /** Beside the loop: what one write has to put together. */
    @Benchmark
    @BenchmarkMode(Mode.SingleShotTime)
    public Object pictureAndBytes() {
        new Hand().into(mirror);
        return StateFile.encode(mirror.picture(NOW));
    }

    /** At a start: taking back what was kept. */
    @Benchmark
    @BenchmarkMode(Mode.SingleShotTime)
    public void remember() {
        balancer.remember(all, true, NOW);
    }
}
