package ambertrestle.lab.simulation;

import ambertrestle.decide.BalancingPolicy;
import ambertrestle.lab.policy.BackendGroundTruth;
import ambertrestle.lab.policy.Policies;
import ambertrestle.lab.scenario.RelayConfigurationJson;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.scenario.SplitMix64;
import ambertrestle.relay.connection.Effect;
import ambertrestle.relay.connection.Event;
import ambertrestle.relay.connection.Reducer;
import ambertrestle.relay.persistence.Recovery.InitialState;
import ambertrestle.relay.server.RelayConfiguration;
import ambertrestle.relay.wire.ClientMessage;
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
public final class SimulatedTestbed extends Testbed {
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    /**
     * Danger: the roster tells starts in Unix time and relays go by the model's; two zeros would make every fresh
     * backend start in a future that never comes. So Unix time begins with the run.
     */
    private static final long EPOCH = 0;

    /** What a relay is to the model: events and the time in, effects out. */
    public interface RelayStateMachine {
        List<Effect> apply(Event event, long now);
    }

    private final EventQueue eventQueue;
    private final BalancingPolicy.Factory policy;
    private final UnaryOperator<RelayStateMachine> change;
    private final RelayConfiguration configuration;
    private long starts;

    public SimulatedTestbed(Scenario scenario, String policy, long seed)
            throws RelayConfiguration.InvalidConfigurationException {
        this(scenario, sight -> Policies.forName(policy, sight), program -> program, seed);
    }

    /** With decisions of any kind, and relays changed on purpose, which the judges must catch. */
    public SimulatedTestbed(
            Scenario scenario,
            Function<BackendGroundTruth, BalancingPolicy.Factory> policy,
            UnaryOperator<RelayStateMachine> change,
            long seed)
            throws RelayConfiguration.InvalidConfigurationException {
        this(scenario, new EventQueue(), policy, change, seed);
    }

    private SimulatedTestbed(
            Scenario scenario,
            EventQueue agenda,
            Function<BackendGroundTruth, BalancingPolicy.Factory> policy,
            UnaryOperator<RelayStateMachine> change,
            long seed)
            throws RelayConfiguration.InvalidConfigurationException {
        super(scenario, agenda, 6 * scenario.network().maxLatency() + MS, seed);
        this.eventQueue = agenda;
        this.policy = policy.apply(this);
        this.change = change;
        configuration = RelayConfiguration.read(
                Map.of(),
                RelayConfigurationJson.create(
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
            SimulatedRelay relay = new SimulatedRelay(this, i);
            relay.start(() -> addRelay(relay));
        }
        scheduleArrivalsAndFaults();
        int seconds = (int) ((scenario.endTime() + SECOND - 1) / SECOND);
        for (int s = 1; s <= seconds; s++) {
            eventQueue.runUntil(Math.min(scenario.endTime(), s * SECOND));
            sampleGauges();
            if (!second.test(s)) {
                return false;
            }
        }
        return true;
    }

    /** How many things have happened. */
    public long processedEvents() {
        return eventQueue.processedEvents();
    }

    @Override
    protected long toUnixTime(long time) {
        return EPOCH + time;
    }

    @Override
    protected long drainNotifiedAt(RelayInstance relay, SimulatedBackend backend) {
        return ((SimulatedRelay) relay).drainNotifiedAt(backend.name);
    }

    ClientMessage decode(byte[] raw) {
        return ClientMessage.decode(raw, configuration.names());
    }

    RelayStateMachine newStateMachine(InitialState beginning) {
        return change.apply(new Reducer(
                configuration.reducerConfiguration().withSeed(SplitMix64.mix(++starts * 31 + random.nextLong())),
                beginning,
                scenario.relays().persistsState(),
                policy,
                now())::apply);
    }

    long clientLatency(int relay, long client) {
        return oneWayLatency(relay + 1L, client);
    }

    long rosterLatency(int relay) {
        return oneWayLatency(relay + 1L, -1L);
    }
}
