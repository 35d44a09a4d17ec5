package ambertrestle.lab.world;

import ambertrestle.decide.Decisions;
import ambertrestle.lab.policy.Policies;
import ambertrestle.lab.policy.Sight;
import ambertrestle.lab.scenario.RelayFile;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.scenario.Spread;
import ambertrestle.relay.durable.Recovery.Beginning;
import ambertrestle.relay.life.RunSheet;
import ambertrestle.relay.memory.Effect;
import ambertrestle.relay.memory.Event;
import ambertrestle.relay.memory.Reducer;
import ambertrestle.relay.wire.FromClient;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntPredicate;
import java.util.function.UnaryOperator;

/**
 * The model: one scenario in virtual time, in one thread, with the real reducer and the real decisions in every relay.
 * Nothing here reads a clock, so one file and one seed give the same run anywhere. A relay's own work takes no time
 * here; what that costs is measured on sockets.
 */
public final class Model extends World {
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    /**
     * Danger: the roster tells starts in Unix time and relays go by the model's; two zeros would make every fresh
     * backend start in a future that never comes. So Unix time begins with the run.
     */
    private static final long EPOCH = 0;

    /** What a relay is to the model: events and the time in, effects out. */
    public interface Program {
        List<Effect> apply(Event event, long now);
    }

    private final Agenda agenda;
    private final Decisions.Maker policy;
    private final UnaryOperator<Program> change;
    private final RunSheet sheet;
    private long starts;

    public Model(Scenario scenario, String policy, long seed) throws RunSheet.BadSheet {
        this(scenario, sight -> Policies.named(policy, sight), program -> program, seed);
    }

    /** With decisions of any kind, and relays changed on purpose, which the judges must catch. */
    public Model(Scenario scenario, Function<Sight, Decisions.Maker> policy, UnaryOperator<Program> change, long seed)
            throws RunSheet.BadSheet {
        this(scenario, new Agenda(), policy, change, seed);
    }

    private Model(
            Scenario scenario,
            Agenda agenda,
            Function<Sight, Decisions.Maker> policy,
            UnaryOperator<Program> change,
            long seed)
            throws RunSheet.BadSheet {
        super(scenario, agenda, 6 * scenario.network().most() + MS, seed);
        this.agenda = agenda;
        this.policy = policy.apply(this);
        this.change = change;
        sheet = RunSheet.read(
                Map.of(),
                RelayFile.make(
                        scenario,
                        "model",
                        "127.0.0.1:1",
                        "127.0.0.1:2",
                        1,
                        new JsonObject().put("index", 0).put("snapshot", true).put("endpoints", new JsonArray())));
    }

    /**
     * Plays all; `second` hears after each second of the run how many are over. False when told to stop before the end.
     */
    public boolean run(IntPredicate second) {
        for (int i = 0; i < scenario.relays().count(); i++) {
            RelayNode relay = new RelayNode(this, i);
            relay.start(() -> serves(relay));
        }
        begin();
        int seconds = (int) ((scenario.end() + SECOND - 1) / SECOND);
        for (int s = 1; s <= seconds; s++) {
            agenda.run(Math.min(scenario.end(), s * SECOND));
            sample();
            if (!second.test(s)) {
                return false;
            }
        }
        return true;
    }

    /** How many things have happened. */
    public long events() {
        return agenda.done();
    }

    @Override
    protected long wall(long time) {
        return EPOCH + time;
    }

    @Override
    protected long drainTold(RelayEnd relay, BackendNode backend) {
        return ((RelayNode) relay).drainTold(backend.name);
    }

    FromClient decode(byte[] raw) {
        return FromClient.decode(raw, sheet.names());
    }

    Program program(Beginning beginning) {
        return change.apply(new Reducer(
                sheet.values().withSeed(Spread.mix(++starts * 31 + chance.nextLong())),
                beginning,
                scenario.relays().kept(),
                policy,
                now())::apply);
    }

    long clientWay(int relay, long client) {
        return way(relay + 1L, client);
    }

    long rosterWay(int relay) {
        return way(relay + 1L, -1L);
    }
}
