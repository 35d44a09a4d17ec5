package ambertrestle.lab.simulation;

import ambertrestle.lab.scenario.Scenario;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the guarantees of the relays. It relies only on what clients, backends and the roster service observe, never
 * on what a relay reports about itself. It counts all violations and describes the first ones in text.
 *
 * <p>Times are in nanoseconds from the start of the run.
 */
public final class InvariantChecker {
    /** A guarantee that relays must keep. */
    public enum Invariant {
        /**
         * Each association gets one final answer (UP, BUSY or ERR) before its cut-off. An established connection isn't
         * closed without MOVE or BYE while its backend still responds.
         */
        EXACTLY_ONE_FINAL_ANSWER("an association had not exactly one final answer before its cut-off"),
        /** No second final answer follows the first, and no line follows BUSY or ERR. */
        NOTHING_AFTER_FINAL_ANSWER("something followed a final answer"),
        /**
         * While an earlier dispatch may have run, a binding association isn't dispatched again, and a fingerprinted one
         * only within its deduplication window and scope.
         */
        NO_DUPLICATE_EFFECT("an effect may have run twice"),
        /**
         * BUSY isn't sent if a dispatch may have run, because the client would try again and the effect could run
         * twice. It may be sent if a repeated request does no harm.
         */
        NO_SHED_IF_MAY_HAVE_RUN("shed though a dispatch may have run"),
        /** An association has no more than one dispatch in flight. */
        NO_CONCURRENT_DISPATCHES("a second dispatch while one was out"),
        /**
         * A backend gets no dispatch from a relay that was notified longer than the drain grace ago that the backend is
         * draining or gone.
         */
        NO_DISPATCH_TO_DRAINED_BACKEND("a dispatch to a drained backend after the grace"),
        /** All relays together send a cold backend no more dispatches than the slow-start limit allows. */
        NO_OVERLOAD_IN_SLOW_START("a cold backend was pushed over"),
        /** Only OPEN lines of regular clients reach a backend. */
        NO_INVALID_REQUEST_AT_BACKEND("what no usual client sent reached a backend");

        /** Text in reports and key in summary.json. */
        public final String description;

        Invariant(String description) {
            this.description = description;
        }
    }

    /** Violations after this number are counted, but not described. */
    private static final int MAX_VIOLATION_MESSAGES = 20;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    /** A cold backend may always get this many dispatches per burst window, however slow it is. */
    private static final double MIN_ALLOWED_DISPATCHES = 5;

    /**
     * Added to each time limit, in nanoseconds. Relays enforce the limits by their own clock, but the network delays
     * what observers see. The loopback testbed allows 50 ms; the simulated testbed derives it from its longest latency.
     */
    private final long slack;

    private final Scenario scenario;
    private final EnumMap<Invariant, Long> violationCounts = new EnumMap<>(Invariant.class);
    private final List<String> violationMessages = new ArrayList<>();

    /** Creates a checker for one run; {@code slack}, in nanoseconds, is added to each time limit. */
    public InvariantChecker(Scenario scenario, long slack) {
        this.scenario = scenario;
        this.slack = slack;
        Arrays.stream(Invariant.values()).forEach(invariant -> violationCounts.put(invariant, 0L));
    }

    /** An association as clients and backends observe it. */
    public static final class ObservedAssociation {
        final long id;
        /** The use case, with its load. */
        final Scenario.Workload useCase;
        /** Dispatches that have reached a backend, in the order of arrival. */
        final List<ObservedDispatch> dispatches = new ArrayList<>(1);
        /** Number of final answers that the client has received. */
        int finalAnswerCount;
        /** The association ended, or its cut-off passed, without a final answer. */
        boolean endedUnanswered;

        public ObservedAssociation(long id, Scenario.Workload useCase) {
            this.id = id;
            this.useCase = useCase;
        }
    }

    /** A dispatch that has reached a backend completely. */
    public static final class ObservedDispatch {
        final String backend;
        final String zone;
        /** When its last byte reached the backend. */
        final long reachedAt;
        /** The backend rejected it with BUSY, so it has not run. */
        boolean neverRan;
        /** No longer in flight: the backend rejected it, or the connection between relay and backend has ended. */
        boolean ended;

        ObservedDispatch(String backend, String zone, long reachedAt) {
            this.backend = backend;
            this.zone = zone;
            this.reachedAt = reachedAt;
        }

        /** The backend rejects it with BUSY. */
        public void markNeverRan() {
            neverRan = true;
            ended = true;
        }

        /** The relay has been notified of the end of the dispatch, or has ended it. */
        public void markEnded() {
            ended = true;
        }
    }

    /** Records that the last byte of a dispatch reached a backend, and checks for duplicate effects. */
    public ObservedDispatch onDispatchReachedBackend(
            ObservedAssociation association, String backend, String zone, long now) {
        ObservedDispatch dispatch = new ObservedDispatch(backend, zone, now);
        for (ObservedDispatch earlier : association.dispatches) {
            boolean isOutsideDeduplication = now - earlier.reachedAt > association.useCase.deduplicationWindow() + slack
                    || isOutOfScope(association.useCase.deduplicationScope(), earlier, dispatch);
            if (!earlier.neverRan
                    && (association.useCase.effect() == Scenario.Effect.BINDING
                            || association.useCase.effect() == Scenario.Effect.FINGERPRINTED
                                    && isOutsideDeduplication)) {
                recordViolation(
                        Invariant.NO_DUPLICATE_EFFECT,
                        association,
                        now,
                        association.useCase.effect() + ": " + earlier.backend + ", then " + backend);
            }
        }
        association.dispatches.add(dispatch);
        return dispatch;
    }

    /**
     * Dispatches of the association before the last one that have not ended yet. {@link #checkConcurrentDispatches}
     * checks them after the slack, when their ends must have become visible.
     */
    List<ObservedDispatch> outstandingDispatches(ObservedAssociation association) {
        return association.dispatches.stream()
                .limit(association.dispatches.size() - 1L)
                .filter(dispatch -> !dispatch.ended)
                .toList();
    }

    /** Nanoseconds that are added to each time limit. */
    long slack() {
        return slack;
    }

    /** Reports a violation if the earlier dispatch has not ended although the later one has been sent. */
    void checkConcurrentDispatches(
            ObservedAssociation association, ObservedDispatch earlier, ObservedDispatch later, long now) {
        if (!earlier.ended) {
            recordViolation(
                    Invariant.NO_CONCURRENT_DISPATCHES, association, now, earlier.backend + ", then " + later.backend);
        }
    }

    /**
     * The backends of the two dispatches don't share deduplication. Only the scope {@code zone} can separate them,
     * because all backends of a scenario are in one cell.
     */
    private static boolean isOutOfScope(String scope, ObservedDispatch first, ObservedDispatch second) {
        return scope.equals("zone") && !first.zone.equals(second.zone);
    }

    /**
     * Records that a client received a final answer: UP, BUSY or ERR. How an established connection ends is checked by
     * {@link #onUnexpectedClose}.
     *
     * @param shed the answer is BUSY
     */
    public void onFinalAnswer(ObservedAssociation association, boolean shed, long now) {
        association.finalAnswerCount++;
        if (association.finalAnswerCount > 1) {
            recordViolation(
                    Invariant.NOTHING_AFTER_FINAL_ANSWER, association, now, "answer " + association.finalAnswerCount);
        }
        boolean mayHaveRun = association.dispatches.stream().anyMatch(dispatch -> !dispatch.neverRan);
        boolean isRepeatHarmless = association.useCase.effect() == Scenario.Effect.RETRIABLE
                || association.useCase.effect() == Scenario.Effect.FINGERPRINTED
                        && association.useCase.deduplicationScope().equals("all");
        if (shed && mayHaveRun && !isRepeatHarmless) {
            recordViolation(
                    Invariant.NO_SHED_IF_MAY_HAVE_RUN,
                    association,
                    now,
                    association.useCase.effect().toString());
        }
    }

    /**
     * Records that a client received a line although its connection is over: after BUSY or ERR, or after the connection
     * was closed without MOVE or BYE.
     */
    public void onLineAfterFinalAnswer(ObservedAssociation association, long now) {
        recordViolation(Invariant.NOTHING_AFTER_FINAL_ANSWER, association, now, "a line after the final answer");
    }

    /**
     * Records that a connection ended, or its cut-off passed, while the relay could have answered. This is a violation
     * if the client has received no final answer. It is reported once per association.
     */
    public void onEndWithoutAnswer(ObservedAssociation association, String reason, long now) {
        if (association.finalAnswerCount == 0 && !association.endedUnanswered) {
            recordViolation(Invariant.EXACTLY_ONE_FINAL_ANSWER, association, now, reason);
        }
        association.endedUnanswered = true;
    }

    /** Records that the relay closed an open connection although its backend still responds. */
    public void onUnexpectedClose(ObservedAssociation association, long now) {
        recordViolation(Invariant.EXACTLY_ONE_FINAL_ANSWER, association, now, "cut off while open");
    }

    /**
     * Records that a relay has sent a dispatch, at the first moment at which this is visible outside the relay.
     *
     * @param notifiedAt when the relay was notified that the backend is draining or gone; negative if it was not
     */
    public void onDispatchSent(String backend, long notifiedAt, long now) {
        if (notifiedAt >= 0 && now - notifiedAt > scenario.rules().drainGrace() + slack) {
            recordViolation(
                    Invariant.NO_DISPATCH_TO_DRAINED_BACKEND,
                    null,
                    now,
                    backend + " " + (now - notifiedAt) / NANOS_PER_MILLI + " ms after hearing");
        }
    }

    /** Records that an OPEN line that no regular client sent reached a backend. */
    public void onInvalidRequestReachedBackend(String backend, long now) {
        recordViolation(Invariant.NO_INVALID_REQUEST_AT_BACKEND, null, now, backend);
    }

    /** Dispatches that reached one backend since its last start, recorded while it is cold. */
    public static final class SlowStartTracker {
        /** Arrival times within the last burst window before the newest one, oldest first. */
        private final ArrayDeque<Long> recentDispatches = new ArrayDeque<>();

        /** The limit was exceeded since the backend's last start. */
        private boolean violationReported;
        /** Limit per burst window, as computed at the last dispatch; 1 before the first. */
        private double allowedDispatches = 1;

        /** Dispatches within the burst window before {@code now}, as a share of the last computed limit. */
        double usedShare(long now, long burstWindow) {
            return recentDispatches.stream()
                            .filter(at -> now - at <= burstWindow)
                            .count()
                    / allowedDispatches;
        }
    }

    /**
     * Records that a dispatch reached a backend in its slow start, and checks the limit: within any burst window, all
     * relays together may send it the burst multiple of the set-ups that it can complete in that time at its current
     * slow-start speed. A violation is reported once per start of the backend.
     *
     * @param startedAt when the backend started
     * @param warmSetUpsPerSecond set-ups that it can complete per second after its slow start
     */
    public void onDispatchReachedColdBackend(
            SlowStartTracker tracker, String backend, long startedAt, double warmSetUpsPerSecond, long now) {
        long burstWindow = scenario.rules().slowStartBurstWindow();
        tracker.recentDispatches.add(now);
        while (now - tracker.recentDispatches.peek() > burstWindow) {
            tracker.recentDispatches.poll();
        }
        double slowStartProgress =
                Math.min(1.0, (double) (now - startedAt) / scenario.rules().slowStartDuration());
        double slowStartFactor = scenario.rules().slowStartInitialFactor()
                + (1 - scenario.rules().slowStartInitialFactor()) * slowStartProgress;
        double allowedDispatches = Math.max(
                MIN_ALLOWED_DISPATCHES,
                scenario.rules().slowStartBurstMultiple()
                        * slowStartFactor
                        * warmSetUpsPerSecond
                        * burstWindow
                        / NANOS_PER_SECOND);
        tracker.allowedDispatches = allowedDispatches;
        if (tracker.recentDispatches.size() > allowedDispatches && !tracker.violationReported) {
            tracker.violationReported = true;
            recordViolation(
                    Invariant.NO_OVERLOAD_IN_SLOW_START,
                    null,
                    now,
                    backend + " got " + tracker.recentDispatches.size() + " of " + (long) allowedDispatches);
        }
    }

    /** Counts a violation, and describes it if it is among the first; {@code association} may be null. */
    private void recordViolation(Invariant invariant, ObservedAssociation association, long now, String detail) {
        violationCounts.merge(invariant, 1L, Long::sum);
        if (violationMessages.size() < MAX_VIOLATION_MESSAGES) {
            violationMessages.add(now / NANOS_PER_MILLI + " ms: " + invariant.description
                    + (association == null ? "" : ", " + Long.toHexString(association.id)) + ": " + detail);
        }
    }

    /** Number of violations of each invariant, including those without any. */
    public Map<Invariant, Long> violationCounts() {
        return violationCounts;
    }

    public boolean hasNoViolations() {
        return violationCounts.values().stream().allMatch(count -> count == 0);
    }

    /** Descriptions of the first 20 violations, with times in milliseconds from the start of the run. */
    public List<String> violationMessages() {
        return violationMessages;
    }
}
