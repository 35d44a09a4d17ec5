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

/** Relays that are broken on purpose, one a rule: the world's judges must catch each, and none that is sound. */
class InvariantCheckerTest {
    private static final String KILL = "[[trouble]]\nkind = \"kill\"\nat = \"1s\"\nlasts = \"2s\"\nbackends = 2\n";
    private static final String DRAIN = "[[trouble]]\nkind = \"drain\"\nat = \"1s\"\nlasts = \"6s\"\nbackends = 2\n";
    private static final String SILENT =
            "[[trouble]]\nkind = \"silent-accept\"\nat = \"1s\"\nlasts = \"5s\"\nbackends = 2\n";
    private static final String BURST = "[[trouble]]\nkind = \"burst\"\nat = \"1s\"\nlasts = \"4s\"\nfactor = 40.0\n";

    private static Map<Invariant, Long> violationCounts(
            Scenario s, BalancingPolicy.Factory decisions, UnaryOperator<SimulatedTestbed.RelayStateMachine> change)
            throws Exception {
        SimulatedTestbed world = new SimulatedTestbed(s, sight -> decisions, change, 3);
        world.run(second -> true);
        return world.invariantChecker.violationCounts();
    }

    /** Effects as the sound relay asks for them, changed one by one. */
    private static UnaryOperator<SimulatedTestbed.RelayStateMachine> replaceEffects(
            java.util.function.Function<Effect, List<Effect>> change) {
        return program -> (event, now) -> {
            List<Effect> out = new ArrayList<>();
            program.apply(event, now).forEach(e -> out.addAll(change.apply(e)));
            return out;
        };
    }

    private static boolean isAnswer(Effect e, String... words) {
        return e instanceof Effect.ExecuteCommand w
                && w.command() instanceof NetworkCommand.Write write
                && write.socket() > 0
                && List.of(words)
                        .contains(new String(write.line(), java.nio.charset.StandardCharsets.UTF_8)
                                .strip()
                                .split(" ")[0]);
    }

    @Test
    void correctRelayViolatesNoInvariantUnderFaults() throws Exception {
        Map<Invariant, Long> counts =
                violationCounts(TestScenarios.smallScenario(KILL + DRAIN + SILENT), Balancer::new, p -> p);
        assertThat(counts.values()).containsOnly(0L);
    }

    @Test
    void detectsTwoFinalAnswers() throws Exception {
        UnaryOperator<SimulatedTestbed.RelayStateMachine> twice =
                replaceEffects(e -> isAnswer(e, "BUSY", "ERR") ? List.of(e, e) : List.of(e));
        assertThat(violationCounts(TestScenarios.smallScenario(SILENT + BURST), Balancer::new, twice)
                        .get(Invariant.NOTHING_AFTER_FINAL_ANSWER))
                .isPositive();
    }

    @Test
    void detectsCloseWithoutAnswer() throws Exception {
        UnaryOperator<SimulatedTestbed.RelayStateMachine> mute =
                replaceEffects(e -> isAnswer(e, "BUSY", "ERR") ? List.of() : List.of(e));
        assertThat(violationCounts(TestScenarios.smallScenario(SILENT + BURST), Balancer::new, mute)
                        .get(Invariant.EXACTLY_ONE_FINAL_ANSWER))
                .isPositive();
    }

    @Test
    void detectsAssociationNeverAnsweredNorClosed() throws Exception {
        UnaryOperator<SimulatedTestbed.RelayStateMachine> forgets = replaceEffects(e -> e
                                instanceof Effect.ExecuteCommand w
                        && (w.command() instanceof NetworkCommand.Write x && x.socket() > 0 && x.socket() % 10 == 0
                                || w.command() instanceof NetworkCommand.Close c
                                        && c.socket() > 0
                                        && c.socket() % 10 == 0)
                ? List.of()
                : List.of(e));
        assertThat(violationCounts(TestScenarios.smallScenario(""), Balancer::new, forgets)
                        .get(Invariant.EXACTLY_ONE_FINAL_ANSWER))
                .isPositive();
    }

    @Test
    void detectsCloseWithoutMove() throws Exception {
        UnaryOperator<SimulatedTestbed.RelayStateMachine> rude = program -> {
            TreeMap<Long, Integer> lines = new TreeMap<>();
            return replaceEffects(e -> isAnswer(e, "R")
                                    && lines.merge(
                                                    ((NetworkCommand.Write) ((Effect.ExecuteCommand) e).command())
                                                            .socket(),
                                                    1,
                                                    Integer::sum)
                                            == 1
                                    && ((NetworkCommand.Write) ((Effect.ExecuteCommand) e).command()).socket() % 10 == 0
                            ? List.of(
                                    e,
                                    new Effect.ExecuteCommand(new NetworkCommand.Close(
                                            ((NetworkCommand.Write) ((Effect.ExecuteCommand) e).command()).socket())))
                            : List.of(e))
                    .apply(program);
        };
        assertThat(violationCounts(TestScenarios.smallScenario(""), Balancer::new, rude)
                        .get(Invariant.EXACTLY_ONE_FINAL_ANSWER))
                .isPositive();
    }

    @Test
    void detectsBindingAssociationDispatchedTwice() throws Exception {
        assertThat(violationCounts(TestScenarios.smallScenario(SILENT), RetryAfterTimeoutPolicy::new, p -> p)
                        .get(Invariant.NO_DUPLICATE_EFFECT))
                .isPositive();
    }

    @Test
    void detectsShedOfBindingAssociationThatMayHaveRun() throws Exception {
        assertThat(violationCounts(TestScenarios.smallScenario(SILENT), ShedInsteadOfForfeitPolicy::new, p -> p)
                        .get(Invariant.NO_SHED_IF_MAY_HAVE_RUN))
                .isPositive();
    }

    @Test
    void detectsDispatchToDrainedBackend() throws Exception {
        assertThat(violationCounts(TestScenarios.smallScenario(DRAIN), IgnoreDrainPolicy::new, p -> p)
                        .get(Invariant.NO_DISPATCH_TO_DRAINED_BACKEND))
                .isPositive();
    }

    @Test
    void detectsColdBackendOverload() throws Exception {
        assertThat(violationCounts(TestScenarios.smallScenario(KILL + BURST), NewestBackendOnlyPolicy::new, p -> p)
                        .get(Invariant.NO_OVERLOAD_IN_SLOW_START))
                .isPositive();
    }

    /** The module, but for what a test changes. */
    private static class DelegatingPolicy implements BalancingPolicy {
        final Balancer balancer;

        DelegatingPolicy(Map<String, String> ticket, long seed, long now) {
            balancer = new Balancer(ticket, seed, now);
        }

        @Override
        public Decision selectBackend(Association a, long now) {
            return balancer.selectBackend(a, now);
        }

        @Override
        public Decision onDispatchFinished(
                Association a, int dispatch, DispatchOutcome outcome, boolean finished, long now) {
            return balancer.onDispatchFinished(a, dispatch, outcome, finished, now);
        }

        @Override
        public DueActions pollDueActions(long now) {
            return balancer.pollDueActions(now);
        }

        @Override
        public void onRosterUpdate(List<RosterEntry> lines, boolean whole, boolean cached, long now) {
            balancer.onRosterUpdate(lines, whole, cached, now);
        }

        @Override
        public void onRosterCallFailed(long now) {
            balancer.onRosterCallFailed(now);
        }

        @Override
        public void onConnectionAdopted(Association a, long backend, long now) {
            balancer.onConnectionAdopted(a, backend, now);
        }

        @Override
        public void onConnectionEstablished(Association a, int dispatch, long took, long now) {
            balancer.onConnectionEstablished(a, dispatch, took, now);
        }

        @Override
        public void onLoadReport(Association a, double load, long now) {
            balancer.onLoadReport(a, load, now);
        }

        @Override
        public void onDelayReport(long backend, long delay, long now) {
            balancer.onDelayReport(backend, delay, now);
        }

        @Override
        public void onClientDisconnected(Association a, long now) {
            balancer.onClientDisconnected(a, now);
        }
    }

    /** Takes every failure for one that never ran. */
    private static final class RetryAfterTimeoutPolicy extends DelegatingPolicy {
        RetryAfterTimeoutPolicy(Map<String, String> ticket, long seed, long now) {
            super(ticket, seed, now);
        }

        @Override
        public Decision onDispatchFinished(
                Association a, int dispatch, DispatchOutcome outcome, boolean finished, long now) {
            return balancer.onDispatchFinished(
                    a,
                    dispatch,
                    outcome == DispatchOutcome.TIMED_OUT ? DispatchOutcome.NOT_CONNECTED : outcome,
                    finished,
                    now);
        }
    }

    /** Sheds what should be forfeited. */
    private static final class ShedInsteadOfForfeitPolicy extends DelegatingPolicy {
        ShedInsteadOfForfeitPolicy(Map<String, String> ticket, long seed, long now) {
            super(ticket, seed, now);
        }

        @Override
        public Decision onDispatchFinished(
                Association a, int dispatch, DispatchOutcome outcome, boolean finished, long now) {
            Decision answer = balancer.onDispatchFinished(a, dispatch, outcome, finished, now);
            return answer.kind == Decision.Kind.FORFEIT ? new Decision(Decision.Kind.SHED, 0, 0) : answer;
        }
    }

    /** Never told that a backend drains. */
    private static final class IgnoreDrainPolicy extends DelegatingPolicy {
        IgnoreDrainPolicy(Map<String, String> ticket, long seed, long now) {
            super(ticket, seed, now);
        }

        @Override
        public void onRosterUpdate(List<RosterEntry> lines, boolean whole, boolean cached, long now) {
            balancer.onRosterUpdate(
                    lines.stream()
                            .map(l -> l.stage() == Stage.DRAINING
                                    ? new RosterEntry(
                                            l.backend(),
                                            Stage.READY,
                                            l.startedAt(),
                                            l.cell(),
                                            l.weight(),
                                            l.zone(),
                                            l.instanceType())
                                    : l)
                            .toList(),
                    whole,
                    cached,
                    now);
        }
    }

    /** Everything goes to the backend that started last. */
    private static final class NewestBackendOnlyPolicy extends DelegatingPolicy {
        private final TreeMap<Long, Long> started = new TreeMap<>();

        NewestBackendOnlyPolicy(Map<String, String> ticket, long seed, long now) {
            super(ticket, seed, now);
        }

        @Override
        public void onRosterUpdate(List<RosterEntry> lines, boolean whole, boolean cached, long now) {
            lines.forEach(l -> {
                started.remove(l.backend());
                if (l.stage() == Stage.READY) {
                    started.put(l.backend(), l.startedAt());
                }
            });
            balancer.onRosterUpdate(
                    started.entrySet().stream().max(Map.Entry.comparingByValue()).stream()
                            .map(e -> new RosterEntry(e.getKey(), Stage.READY, 0, 0, 1, 0, 0))
                            .toList(),
                    true,
                    cached,
                    now);
        }
    }
}
