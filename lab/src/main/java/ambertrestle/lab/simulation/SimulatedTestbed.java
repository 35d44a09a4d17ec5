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
 * Runs a scenario in virtual time on one thread, with the production reducer and any balancing policy in every relay.
 * Nothing reads the system clock, so the same scenario and seed give the same run on any machine. A relay's own
 * processing takes no virtual time; the loopback testbed measures that cost.
 */
public final class SimulatedTestbed extends Testbed {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    /**
     * Unix time at the start of the run, in nanoseconds. The roster gives start times of backends in Unix time, and
     * relays compare them with virtual time. Without a common origin, every backend that starts during the run would
     * have a start time in a future that the run never reaches.
     */
    private static final long RUN_START_UNIX_NANOS = 0;
    /** The invariant checker's slack is this many times the longest one-way latency, plus a millisecond. */
    private static final long SLACK_LATENCIES = 6;
    /** The roster service's latency key, which differs from those of backends and clients. */
    private static final long ROSTER_LATENCY_KEY = -1L;
    /** Spreads the seeds of successive state machines before the random part is added. */
    private static final long SEED_STEP = 31;

    /** The logic of a relay: takes events with their times and returns effects to execute. */
    public interface RelayStateMachine {
        /** Processes one event at the time {@code now}, in nanoseconds from the start of the run. */
        List<Effect> apply(Event event, long now);
    }

    private final EventQueue eventQueue;
    /** Creates the policy of each new state machine. */
    private final BalancingPolicy.Factory policyFactory;
    /** Applied to each new state machine of a relay; the identity in regular runs. */
    private final UnaryOperator<RelayStateMachine> relayDecorator;

    /** The configuration of all relays. Addresses and roster in it are placeholders. */
    private final RelayConfiguration configuration;
    /** Number of state machines created so far; gives each its own seed. */
    private long stateMachineCount;

    /** Creates a run with the named policy (see {@link Policies#NAMES}) and unmodified relays. */
    public SimulatedTestbed(Scenario scenario, String policyName, long seed)
            throws RelayConfiguration.InvalidConfigurationException {
        this(scenario, groundTruth -> Policies.forName(policyName, groundTruth), stateMachine -> stateMachine, seed);
    }

    /**
     * Creates a run with any policy and with modified relays. Tests use it to check that the invariant checker detects
     * faulty relays.
     *
     * @param policyProvider returns the policy factory; its argument gives the true state of the backends
     * @param relayDecorator applied to each new state machine of a relay
     */
    public SimulatedTestbed(
            Scenario scenario,
            Function<BackendGroundTruth, BalancingPolicy.Factory> policyProvider,
            UnaryOperator<RelayStateMachine> relayDecorator,
            long seed)
            throws RelayConfiguration.InvalidConfigurationException {
        this(scenario, new EventQueue(), policyProvider, relayDecorator, seed);
    }

    private SimulatedTestbed(
            Scenario scenario,
            EventQueue eventQueue,
            Function<BackendGroundTruth, BalancingPolicy.Factory> policyProvider,
            UnaryOperator<RelayStateMachine> relayDecorator,
            long seed)
            throws RelayConfiguration.InvalidConfigurationException {
        super(scenario, eventQueue, SLACK_LATENCIES * scenario.network().maxLatency() + NANOS_PER_MILLI, seed);
        this.eventQueue = eventQueue;
        this.policyFactory = policyProvider.apply(this);
        this.relayDecorator = relayDecorator;
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
     * Runs the scenario.
     *
     * @param continueAfterSecond called after each virtual second with the number of completed seconds; the run stops
     *     when it returns false
     * @return false if the run was stopped before its end
     */
    public boolean run(IntPredicate continueAfterSecond) {
        for (int number = 0; number < scenario.relays().count(); number++) {
            SimulatedRelay relay = new SimulatedRelay(this, number);
            relay.start(() -> addRelay(relay));
        }
        scheduleArrivalsAndFaults();
        int seconds = (int) ((scenario.endTime() + NANOS_PER_SECOND - 1) / NANOS_PER_SECOND);
        for (int second = 1; second <= seconds; second++) {
            eventQueue.runUntil(Math.min(scenario.endTime(), second * NANOS_PER_SECOND));
            sampleGauges();
            if (!continueAfterSecond.test(second)) {
                return false;
            }
        }
        return true;
    }

    /** Number of events executed so far. */
    public long processedEvents() {
        return eventQueue.processedEvents();
    }

    @Override
    protected long toUnixTime(long time) {
        return RUN_START_UNIX_NANOS + time;
    }

    @Override
    protected long drainNotifiedAt(RelayInstance relay, SimulatedBackend backend) {
        return ((SimulatedRelay) relay).drainNotifiedAt(backend.name);
    }

    /** Decodes a line of a client; it includes its CRLF. */
    ClientMessage decode(byte[] line) {
        return ClientMessage.decode(line, configuration.names());
    }

    /** Creates a relay's state machine that starts from the given state. Each one gets a different seed. */
    RelayStateMachine newStateMachine(InitialState initialState) {
        return relayDecorator.apply(new Reducer(
                configuration
                        .reducerConfiguration()
                        .withSeed(SplitMix64.mix(++stateMachineCount * SEED_STEP + random.nextLong())),
                initialState,
                scenario.relays().persistsState(),
                policyFactory,
                now())::apply);
    }

    /** One-way latency between a relay and the client with that latency key, in nanoseconds. */
    long clientLatency(int relay, long client) {
        return oneWayLatencyByKeys(relay + 1L, client);
    }

    /** One-way latency between a relay and the roster service, in nanoseconds. */
    long rosterLatency(int relay) {
        return oneWayLatencyByKeys(relay + 1L, ROSTER_LATENCY_KEY);
    }
}
