package ambertrestle.lab;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.BalancingPolicy;
import ambertrestle.decide.Decision;
import ambertrestle.decide.DispatchOutcome;
import ambertrestle.decide.DueActions;
import ambertrestle.decide.RosterEntry;
import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.simulation.InvariantChecker.Invariant;
import ambertrestle.lab.simulation.SimulatedTestbed;
import ambertrestle.relay.connection.Effect;
import ambertrestle.relay.wire.NetworkCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Runs relays with one deliberate defect each and checks that the invariant checker detects it, and that it reports
 * nothing for a correct relay.
 */
class InvariantCheckerTest {
    private static final String KILL = "[[trouble]]\nkind = \"kill\"\nat = \"1s\"\nlasts = \"2s\"\nbackends = 2\n";
    private static final String DRAIN = "[[trouble]]\nkind = \"drain\"\nat = \"1s\"\nlasts = \"6s\"\nbackends = 2\n";
    private static final String SILENT =
            "[[trouble]]\nkind = \"silent-accept\"\nat = \"1s\"\nlasts = \"5s\"\nbackends = 2\n";
    private static final String BURST = "[[trouble]]\nkind = \"burst\"\nat = \"1s\"\nlasts = \"4s\"\nfactor = 40.0\n";

    /** Runs the scenario with the given policy and modified relays, and returns the violations by invariant. */
    private static Map<Invariant, Long> violationCounts(
            Scenario scenario,
            BalancingPolicy.Factory policyFactory,
            UnaryOperator<SimulatedTestbed.RelayStateMachine> relayDecorator)
            throws Exception {
        SimulatedTestbed testbed = new SimulatedTestbed(scenario, groundTruth -> policyFactory, relayDecorator, 3);
        testbed.run(second -> true);
        return testbed.invariantChecker.violationCounts();
    }

    /** Decorates a relay so that each of its effects is replaced by the effects that the function returns for it. */
    private static UnaryOperator<SimulatedTestbed.RelayStateMachine> replaceEffects(
            java.util.function.Function<Effect, List<Effect>> replacement) {
        return stateMachine -> (event, now) -> {
            List<Effect> replaced = new ArrayList<>();
            stateMachine.apply(event, now).forEach(effect -> replaced.addAll(replacement.apply(effect)));
            return replaced;
        };
    }

    /**
     * Whether the effect sends a client a line that starts with one of the words. Client sockets have positive numbers.
     */
    private static boolean isAnswer(Effect effect, String... firstWords) {
        return effect instanceof Effect.ExecuteCommand execute
                && execute.command() instanceof NetworkCommand.Write write
                && write.socket() > 0
                && List.of(firstWords)
                        .contains(new String(write.line(), java.nio.charset.StandardCharsets.UTF_8)
                                .strip()
                                .split(" ")[0]);
    }

    /**
     * Guards against false alarms: crashes, drains and silent backends make a correct relay retry, shed and forfeit,
     * which must not count as violations.
     */
    @Test
    void correctRelayViolatesNoInvariantUnderFaults() throws Exception {
        Map<Invariant, Long> counts =
                violationCounts(TestScenarios.smallScenario(KILL + DRAIN + SILENT), Balancer::new, relay -> relay);
        assertThat(counts.values()).containsOnly(0L);
    }

    /** The relay sends each BUSY and ERR twice. Silent backends and a burst provide sheds and forfeits. */
    @Test
    void detectsTwoFinalAnswers() throws Exception {
        UnaryOperator<SimulatedTestbed.RelayStateMachine> duplicateAnswers =
                replaceEffects(effect -> isAnswer(effect, "BUSY", "ERR") ? List.of(effect, effect) : List.of(effect));
        assertThat(violationCounts(TestScenarios.smallScenario(SILENT + BURST), Balancer::new, duplicateAnswers)
                        .get(Invariant.NOTHING_AFTER_FINAL_ANSWER))
                .isPositive();
    }

    /** The relay omits BUSY and ERR, so it closes the connection without a final answer. */
    @Test
    void detectsCloseWithoutAnswer() throws Exception {
        UnaryOperator<SimulatedTestbed.RelayStateMachine> omitAnswers =
                replaceEffects(effect -> isAnswer(effect, "BUSY", "ERR") ? List.of() : List.of(effect));
        assertThat(violationCounts(TestScenarios.smallScenario(SILENT + BURST), Balancer::new, omitAnswers)
                        .get(Invariant.EXACTLY_ONE_FINAL_ANSWER))
                .isPositive();
    }

    /** The relay neither answers nor closes every tenth client connection, so the client waits until its cut-off. */
    @Test
    void detectsAssociationNeverAnsweredNorClosed() throws Exception {
        UnaryOperator<SimulatedTestbed.RelayStateMachine> ignoreEveryTenthClient =
                replaceEffects(effect -> effect instanceof Effect.ExecuteCommand execute
                                && (execute.command() instanceof NetworkCommand.Write write
                                                && write.socket() > 0
                                                && write.socket() % 10 == 0
                                        || execute.command() instanceof NetworkCommand.Close close
                                                && close.socket() > 0
                                                && close.socket() % 10 == 0)
                        ? List.of()
                        : List.of(effect));
        assertThat(violationCounts(TestScenarios.smallScenario(""), Balancer::new, ignoreEveryTenthClient)
                        .get(Invariant.EXACTLY_ONE_FINAL_ANSWER))
                .isPositive();
    }

    /** The relay closes every tenth client connection after its first reply, though the backend still responds. */
    @Test
    void detectsCloseWithoutMove() throws Exception {
        UnaryOperator<SimulatedTestbed.RelayStateMachine> closeAfterFirstReply = stateMachine -> {
            TreeMap<Long, Integer> replyCounts = new TreeMap<>();
            return replaceEffects(effect -> isAnswer(effect, "R")
                                    && replyCounts.merge(
                                                    ((NetworkCommand.Write) ((Effect.ExecuteCommand) effect).command())
                                                            .socket(),
                                                    1,
                                                    Integer::sum)
                                            == 1
                                    && ((NetworkCommand.Write) ((Effect.ExecuteCommand) effect).command()).socket() % 10
                                            == 0
                            ? List.of(
                                    effect,
                                    new Effect.ExecuteCommand(new NetworkCommand.Close(
                                            ((NetworkCommand.Write) ((Effect.ExecuteCommand) effect).command())
                                                    .socket())))
                            : List.of(effect))
                    .apply(stateMachine);
        };
        assertThat(violationCounts(TestScenarios.smallScenario(""), Balancer::new, closeAfterFirstReply)
                        .get(Invariant.EXACTLY_ONE_FINAL_ANSWER))
                .isPositive();
    }

    /** The policy retries a binding association after a time-out, when the first dispatch may have run. */
    @Test
    void detectsBindingAssociationDispatchedTwice() throws Exception {
        assertThat(violationCounts(TestScenarios.smallScenario(SILENT), RetryAfterTimeoutPolicy::new, relay -> relay)
                        .get(Invariant.NO_DUPLICATE_EFFECT))
                .isPositive();
    }

    /** The policy sheds a binding association that may have run, so the client tries again. */
    @Test
    void detectsShedOfBindingAssociationThatMayHaveRun() throws Exception {
        assertThat(violationCounts(TestScenarios.smallScenario(SILENT), ShedInsteadOfForfeitPolicy::new, relay -> relay)
                        .get(Invariant.NO_SHED_IF_MAY_HAVE_RUN))
                .isPositive();
    }

    /** The policy treats draining backends as ready and keeps sending to them after the grace. */
    @Test
    void detectsDispatchToDrainedBackend() throws Exception {
        assertThat(violationCounts(TestScenarios.smallScenario(DRAIN), IgnoreDrainPolicy::new, relay -> relay)
                        .get(Invariant.NO_DISPATCH_TO_DRAINED_BACKEND))
                .isPositive();
    }

    /** The policy sends everything to the newest backend, without slow start, when killed backends come back. */
    @Test
    void detectsColdBackendOverload() throws Exception {
        assertThat(violationCounts(
                                TestScenarios.smallScenario(KILL + BURST), NewestBackendOnlyPolicy::new, relay -> relay)
                        .get(Invariant.NO_OVERLOAD_IN_SLOW_START))
                .isPositive();
    }

    /** Delegates to the production balancer; each subclass overrides one method with a faulty one. */
    private static class DelegatingPolicy implements BalancingPolicy {
        final Balancer balancer;

        DelegatingPolicy(Map<String, String> settings, long seed, long now) {
            balancer = new Balancer(settings, seed, now);
        }

        @Override
        public Decision selectBackend(Association association, long now) {
            return balancer.selectBackend(association, now);
        }

        @Override
        public Decision onDispatchFinished(
                Association association, int dispatch, DispatchOutcome outcome, boolean finished, long now) {
            return balancer.onDispatchFinished(association, dispatch, outcome, finished, now);
        }

        @Override
        public DueActions pollDueActions(long now) {
            return balancer.pollDueActions(now);
        }

        @Override
        public void onRosterUpdate(List<RosterEntry> entries, boolean isComplete, boolean isCached, long now) {
            balancer.onRosterUpdate(entries, isComplete, isCached, now);
        }

        @Override
        public void onRosterCallFailed(long now) {
            balancer.onRosterCallFailed(now);
        }

        @Override
        public void onConnectionAdopted(Association association, long backend, long now) {
            balancer.onConnectionAdopted(association, backend, now);
        }

        @Override
        public void onConnectionEstablished(Association association, int dispatch, long setUpTime, long now) {
            balancer.onConnectionEstablished(association, dispatch, setUpTime, now);
        }

        @Override
        public void onLoadReport(Association association, double load, long now) {
            balancer.onLoadReport(association, load, now);
        }

        @Override
        public void onDelayReport(long backend, long delay, long now) {
            balancer.onDelayReport(backend, delay, now);
        }

        @Override
        public void onClientDisconnected(Association association, long now) {
            balancer.onClientDisconnected(association, now);
        }
    }

    /** Reports time-outs to the balancer as failed connects, so that it assumes that the dispatches never ran. */
    private static final class RetryAfterTimeoutPolicy extends DelegatingPolicy {
        RetryAfterTimeoutPolicy(Map<String, String> settings, long seed, long now) {
            super(settings, seed, now);
        }

        @Override
        public Decision onDispatchFinished(
                Association association, int dispatch, DispatchOutcome outcome, boolean finished, long now) {
            return balancer.onDispatchFinished(
                    association,
                    dispatch,
                    outcome == DispatchOutcome.TIMED_OUT ? DispatchOutcome.NOT_CONNECTED : outcome,
                    finished,
                    now);
        }
    }

    /** Sheds every association that the balancer forfeits. */
    private static final class ShedInsteadOfForfeitPolicy extends DelegatingPolicy {
        ShedInsteadOfForfeitPolicy(Map<String, String> settings, long seed, long now) {
            super(settings, seed, now);
        }

        @Override
        public Decision onDispatchFinished(
                Association association, int dispatch, DispatchOutcome outcome, boolean finished, long now) {
            Decision decision = balancer.onDispatchFinished(association, dispatch, outcome, finished, now);
            return decision.kind == Decision.Kind.FORFEIT ? new Decision(Decision.Kind.SHED, 0, 0) : decision;
        }
    }

    /** Hides from the balancer that backends drain: draining entries are passed on as ready. */
    private static final class IgnoreDrainPolicy extends DelegatingPolicy {
        IgnoreDrainPolicy(Map<String, String> settings, long seed, long now) {
            super(settings, seed, now);
        }

        @Override
        public void onRosterUpdate(List<RosterEntry> entries, boolean isComplete, boolean isCached, long now) {
            balancer.onRosterUpdate(
                    entries.stream()
                            .map(entry -> entry.stage() == Stage.DRAINING
                                    ? new RosterEntry(
                                            entry.backend(),
                                            Stage.READY,
                                            entry.startedAt(),
                                            entry.cell(),
                                            entry.weight(),
                                            entry.zone(),
                                            entry.instanceType())
                                    : entry)
                            .toList(),
                    isComplete,
                    isCached,
                    now);
        }
    }

    /**
     * Gives the balancer a roster that lists only the backend that started last. The entry has start time 0, so the
     * balancer applies no slow start to it.
     */
    private static final class NewestBackendOnlyPolicy extends DelegatingPolicy {
        /** Start times of the ready backends by their ids. */
        private final TreeMap<Long, Long> startTimes = new TreeMap<>();

        NewestBackendOnlyPolicy(Map<String, String> settings, long seed, long now) {
            super(settings, seed, now);
        }

        @Override
        public void onRosterUpdate(List<RosterEntry> entries, boolean isComplete, boolean isCached, long now) {
            entries.forEach(entry -> {
                startTimes.remove(entry.backend());
                if (entry.stage() == Stage.READY) {
                    startTimes.put(entry.backend(), entry.startedAt());
                }
            });
            balancer.onRosterUpdate(
                    startTimes.entrySet().stream().max(Map.Entry.comparingByValue()).stream()
                            .map(newest -> new RosterEntry(newest.getKey(), Stage.READY, 0, 0, 1, 0, 0))
                            .toList(),
                    true,
                    isCached,
                    now);
        }
    }
}
