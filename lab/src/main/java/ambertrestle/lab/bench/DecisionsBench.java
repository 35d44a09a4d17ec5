package ambertrestle.lab.bench;

import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.Listed;
import ambertrestle.decide.Listed.Stage;
import ambertrestle.lab.scenario.RelayFile;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.life.RunSheet;
import ambertrestle.relay.memory.Effect;
import ambertrestle.relay.memory.Event;
import ambertrestle.relay.memory.Reducer;
import ambertrestle.relay.sheet.Sheet;
import ambertrestle.relay.wire.FromBackend;
import ambertrestle.relay.wire.FromClient;
import ambertrestle.relay.wire.Heard;
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
public class DecisionsBench {
    private static final long MS = 1_000_000L;

    @Param({"13", "1000", "10000"})
    public int backends;

    private Balancer balancer;
    private Reducer reducer;
    private RunSheet sheet;
    private long now = 1_700_000_000_000L * MS;
    private long ids;
    private boolean there = true;

    @Setup
    public void begin() throws Exception {
        Scenario scenario = Scenario.read(Sheet.parse(
                "bench.toml",
                "name = \"bench\"\n[[fleet]]\nname = \"s\"\ncount = " + backends
                        + "\n[[use-case]]\nname = \"open\"\n"));
        sheet = RunSheet.read(
                Map.of(),
                RelayFile.make(
                        scenario,
                        "bench",
                        "127.0.0.1:1",
                        "127.0.0.1:2",
                        1,
                        new JsonObject().put("index", 0).put("snapshot", true).put("endpoints", new JsonArray())));
        balancer = new Balancer(sheet.values().jobTicket(), 1, now);
        List<Listed> listed = new ArrayList<>();
        List<RosterMessage.Line> lines = new ArrayList<>();
        for (int i = 1; i <= backends; i++) {
            listed.add(new Listed(i, Stage.READY, 0, 0, 1, 0, 0));
            lines.add(new RosterMessage.Line("s-" + i, "s-" + i + ":1", Stage.READY, "a", "s", 0, 1, 0));
        }
        balancer.roster(listed, true, false, now);
        reducer = new Reducer(sheet.values(), new RosterMessage(1, true, lines), now);
        reducer.apply(new Event.Woke(), now);
    }

    /** One key placed and given back. */
    @Benchmark
    public Object where() {
        now += 10_000;
        Association a =
                new Association(++ids, 0, 0, ids * 0x9e3779b97f4a7c15L | 1, 0, now + 2_000 * MS, 0, false, false);
        Object answer = balancer.where(a, now);
        balancer.clientLeft(a, now);
        return answer;
    }

    /** One backend goes, or comes back: what holds up every decision behind it. */
    @Benchmark
    public void rosterChange() {
        now += MS;
        there = !there;
        balancer.roster(List.of(new Listed(1, there ? Stage.READY : Stage.GONE, 0, 0, 1, 0, 0)), false, false, now);
    }

    /** A client's whole life in the reducer: accepted, opened, up, one line and its answer, gone. */
    @Benchmark
    public Object lifeInTheReducer() {
        now += 100_000;
        long client = ++ids;
        tell(new Heard.Accepted(client));
        byte[] raw = ("OPEN " + Long.toHexString(client) + " " + Long.toHexString(client * 0x9e3779b97f4a7c15L | 1)
                        + " c=open,t=t,d=2000\r\n")
                .getBytes(StandardCharsets.UTF_8);
        long dialled = -client;
        tell(new Heard.ClientSaid(client, FromClient.decode(raw, sheet.names())));
        tell(new Heard.Connected(dialled));
        tell(new Heard.Written(dialled));
        tell(new Heard.BackendSaid(dialled, FromBackend.decode("UP 1\r\n".getBytes(StandardCharsets.UTF_8))));
        tell(new Heard.ClientSaid(client, new FromClient.Text("L\r\n".getBytes(StandardCharsets.UTF_8))));
        tell(new Heard.BackendSaid(dialled, FromBackend.decode("R\r\n".getBytes(StandardCharsets.UTF_8))));
        tell(new Heard.Gone(client, false));
        return tell(new Heard.Gone(dialled, false));
    }

    private List<Effect> tell(Heard heard) {
        return reducer.apply(new Event.OnWire(heard), now);
    }
}
