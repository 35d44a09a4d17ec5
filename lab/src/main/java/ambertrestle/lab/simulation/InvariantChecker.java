package ambertrestle.lab.simulation;

import ambertrestle.lab.scenario.Scenario;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Judges the four rules from what crossed the world. It is told what clients, backends and the roster service saw,
 * never what a relay says of itself; it keeps the first breaches in words and counts all.
 */
public final class InvariantChecker {
    /** What a relay owes; the figures are the mission's rules. */
    public enum Invariant {
        EXACTLY_ONE_FINAL_ANSWER("an association had not exactly one final answer before its cut-off"),
        NOTHING_AFTER_FINAL_ANSWER("something followed a final answer"),
        NO_DUPLICATE_EFFECT("an effect may have run twice"),
        NO_SHED_IF_MAY_HAVE_RUN("shed though a dispatch may have run"),
        NO_CONCURRENT_DISPATCHES("a second dispatch while one was out"),
        NO_DISPATCH_TO_DRAINED_BACKEND("a dispatch to a drained backend after the grace"),
        NO_OVERLOAD_IN_SLOW_START("a cold backend was pushed over"),
        NO_INVALID_REQUEST_AT_BACKEND("what no usual client sent reached a backend");

        public final String description;

        Invariant(String says) {
            this.description = says;
        }
    }

    private static final int MAX_VIOLATION_MESSAGES = 20;
    /**
     * Relays are told a limit and the network adds to what they do; sockets get 50 ms more, the model its longest way.
     */
    private final long slack;

    private final Scenario scenario;
    private final EnumMap<Invariant, Long> counts = new EnumMap<>(Invariant.class);
    private final List<String> violationMessages = new ArrayList<>();

    public InvariantChecker(Scenario scenario, long slack) {
        this.scenario = scenario;
        this.slack = slack;
        Arrays.stream(Invariant.values()).forEach(r -> counts.put(r, 0L));
    }

    /** One association as clients and backends see it. */
    public static final class ObservedAssociation {
        final long id;
        final Scenario.Workload useCase;
        final List<ObservedDispatch> dispatches = new ArrayList<>(1);
        int finalAnswerCount;
        boolean endedUnanswered;

        public ObservedAssociation(long id, Scenario.Workload work) {
            this.id = id;
            this.useCase = work;
        }
    }

    /** One dispatch that reached a backend with its last byte; `never`: the backend answered that it does not run. */
    public static final class ObservedDispatch {
        final String backend;
        final String zone;
        final long reachedAt;
        boolean neverRan;
        boolean ended;

        ObservedDispatch(String backend, String zone, long at) {
            this.backend = backend;
            this.zone = zone;
            this.reachedAt = at;
        }

        public void markNeverRan() {
            neverRan = true;
            ended = true;
        }

        /** The relay learned its end, or ended it. */
        public void markEnded() {
            ended = true;
        }
    }

    /** A dispatch's last byte reached a backend. */
    public ObservedDispatch onDispatchReachedBackend(ObservedAssociation c, String backend, String zone, long now) {
        ObservedDispatch run = new ObservedDispatch(backend, zone, now);
        for (ObservedDispatch before : c.dispatches) {
            boolean far = now - before.reachedAt > c.useCase.deduplicationWindow() + slack
                    || isOutOfScope(c.useCase.deduplicationScope(), before, run);
            if (!before.neverRan
                    && (c.useCase.effect() == Scenario.Effect.BINDING
                            || c.useCase.effect() == Scenario.Effect.FINGERPRINTED && far)) {
                recordViolation(
                        Invariant.NO_DUPLICATE_EFFECT,
                        c,
                        now,
                        c.useCase.effect() + ": " + before.backend + ", then " + backend);
            }
        }
        c.dispatches.add(run);
        return run;
    }

    /**
     * Dispatches of this association before the last that have not ended yet; judged by
     * {@link #checkConcurrentDispatches} once word can have come.
     */
    List<ObservedDispatch> outstandingDispatches(ObservedAssociation c) {
        return c.dispatches.stream()
                .limit(c.dispatches.size() - 1L)
                .filter(r -> !r.ended)
                .toList();
    }

    long slack() {
        return slack;
    }

    void checkConcurrentDispatches(ObservedAssociation c, ObservedDispatch before, ObservedDispatch then, long now) {
        if (!before.ended) {
            recordViolation(Invariant.NO_CONCURRENT_DISPATCHES, c, now, before.backend + ", then " + then.backend);
        }
    }

    /** All scenarios' backends are in one cell. */
    private static boolean isOutOfScope(String scope, ObservedDispatch one, ObservedDispatch other) {
        return scope.equals("zone") && !one.zone.equals(other.zone);
    }

    /** A client read a final answer: UP (whose end is another matter), BUSY or ERR. */
    public void onFinalAnswer(ObservedAssociation c, boolean shed, long now) {
        c.finalAnswerCount++;
        if (c.finalAnswerCount > 1) {
            recordViolation(Invariant.NOTHING_AFTER_FINAL_ANSWER, c, now, "answer " + c.finalAnswerCount);
        }
        boolean mayHaveRun = c.dispatches.stream().anyMatch(r -> !r.neverRan);
        boolean harmless = c.useCase.effect() == Scenario.Effect.RETRIABLE
                || c.useCase.effect() == Scenario.Effect.FINGERPRINTED
                        && c.useCase.deduplicationScope().equals("all");
        if (shed && mayHaveRun && !harmless) {
            recordViolation(
                    Invariant.NO_SHED_IF_MAY_HAVE_RUN,
                    c,
                    now,
                    c.useCase.effect().toString());
        }
    }

    /** A client read a line after its association's final answer that was no UP. */
    public void onLineAfterFinalAnswer(ObservedAssociation c, long now) {
        recordViolation(Invariant.NOTHING_AFTER_FINAL_ANSWER, c, now, "a line after the final answer");
    }

    /** The connection ended, or the client's time was up, while the relay could have answered. */
    public void onEndWithoutAnswer(ObservedAssociation c, String how, long now) {
        if (c.finalAnswerCount == 0 && !c.endedUnanswered) {
            recordViolation(Invariant.EXACTLY_ONE_FINAL_ANSWER, c, now, how);
        }
        c.endedUnanswered = true;
    }

    /** An open connection was cut off by the relay though its backend still answered. */
    public void onUnexpectedClose(ObservedAssociation c, long now) {
        recordViolation(Invariant.EXACTLY_ONE_FINAL_ANSWER, c, now, "cut off while open");
    }

    /**
     * A dispatch's first byte left for a backend of which that relay had heard at `heardAt` that it drains or is gone.
     */
    public void onDispatchSent(String backend, long heardAt, long now) {
        if (heardAt >= 0 && now - heardAt > scenario.rules().drainGrace() + slack) {
            recordViolation(
                    Invariant.NO_DISPATCH_TO_DRAINED_BACKEND,
                    null,
                    now,
                    backend + " " + (now - heardAt) / 1_000_000 + " ms after hearing");
        }
    }

    /** An opening that no usual client sent, or whose client had its end, reached a backend. */
    public void onInvalidRequestReachedBackend(String backend, long now) {
        recordViolation(Invariant.NO_INVALID_REQUEST_AT_BACKEND, null, now, backend);
    }

    /** What reached one backend since it last started, kept for as long as it is cold. */
    public static final class SlowStartTracker {
        private final ArrayDeque<Long> recentDispatches = new ArrayDeque<>();
        private boolean violationReported;
        private double allowed = 1;

        /** What reached it within the fall before `now`, as a share of what was allowed last. */
        double usedShare(long now, long fall) {
            return recentDispatches.stream().filter(at -> now - at <= fall).count() / allowed;
        }
    }

    /**
     * A dispatch reached a backend started at `startedAt`. Within any stretch as long as the fall, all relays together
     * may send it `fallMultiple` times what one of that size and age sets up: `perSecond` when warm, by its speed.
     */
    public void onDispatchReachedColdBackend(
            SlowStartTracker cold, String backend, long startedAt, double perSecond, long now) {
        long fall = scenario.rules().slowStartBurstWindow();
        cold.recentDispatches.add(now);
        while (now - cold.recentDispatches.peek() > fall) {
            cold.recentDispatches.poll();
        }
        double age = Math.min(1.0, (double) (now - startedAt) / scenario.rules().slowStartDuration());
        double warmth = scenario.rules().slowStartInitialFactor()
                + (1 - scenario.rules().slowStartInitialFactor()) * age;
        double allowed = Math.max(5, scenario.rules().slowStartBurstMultiple() * warmth * perSecond * fall / 1e9);
        cold.allowed = allowed;
        if (cold.recentDispatches.size() > allowed && !cold.violationReported) {
            cold.violationReported = true;
            recordViolation(
                    Invariant.NO_OVERLOAD_IN_SLOW_START,
                    null,
                    now,
                    backend + " got " + cold.recentDispatches.size() + " of " + (long) allowed);
        }
    }

    private void recordViolation(Invariant rule, ObservedAssociation c, long now, String what) {
        counts.merge(rule, 1L, Long::sum);
        if (violationMessages.size() < MAX_VIOLATION_MESSAGES) {
            violationMessages.add(now / 1_000_000 + " ms: " + rule.description
                    + (c == null ? "" : ", " + Long.toHexString(c.id)) + ": " + what);
        }
    }

    public Map<Invariant, Long> violationCounts() {
        return counts;
    }

    public boolean hasNoViolations() {
        return counts.values().stream().allMatch(n -> n == 0);
    }

    /** The first of them, in words. */
    public List<String> violationMessages() {
        return violationMessages;
    }
}
