package ambertrestle.relay.connection;

import java.util.List;

/**
 * The times of a relay's shutdown. Open connections are handed over once clients have stopped opening new ones; clients
 * that are still sending their OPEN line, or wait for an answer, have until {@link #answerDeadline}. All times are in
 * nanoseconds on the reducer's clock.
 */
final class ShutdownSchedule {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** How long clients may still open connections after a shutdown request; each new one restarts the time. */
    private static final long GRACE_NANOS = 500 * NANOS_PER_MILLI;
    /** Clients may connect for this long after the shutdown request; the load balancer in front has noticed it then. */
    private static final long ARRIVAL_PERIOD_NANOS = 400 * NANOS_PER_MILLI;
    /** The platform waits for the longest deadline of a client, up to this, before it kills a relay. */
    private static final long MAX_CLIENT_DEADLINE_NANOS = 3_000 * NANOS_PER_MILLI;
    /**
     * Latest start of the hand-over, counted from the shutdown request: the shortest time after which the platform
     * kills a relay after asking it to stop, less the time that the hand-over takes.
     */
    private static final long MAX_HAND_OVER_DELAY_NANOS = 3_200 * NANOS_PER_MILLI;
    /** Time between two batches of the hand-over. */
    private static final long HAND_OVER_INTERVAL_NANOS = GRACE_NANOS / 8;

    /** How long after the shutdown request a client may still wait for its answer. */
    private final long answerPeriod;
    /** Time of the first shutdown request. */
    private long requestedAt = Long.MAX_VALUE;
    /** When the next batch of the hand-over is due; Long.MAX_VALUE before a shutdown request and after the end. */
    private long nextHandOverAt = Long.MAX_VALUE;

    private boolean isFinished;

    /** @param cutOffs time limits of the clients' requests, one for each use case */
    ShutdownSchedule(List<Long> cutOffs) {
        long longestCutOff = cutOffs.stream().mapToLong(Long::longValue).max().orElse(MAX_CLIENT_DEADLINE_NANOS);
        answerPeriod = Math.min(longestCutOff, MAX_CLIENT_DEADLINE_NANOS) + ARRIVAL_PERIOD_NANOS;
    }

    /** Records a shutdown request; further ones only shorten the grace time. */
    void onRequested(long now) {
        if (isFinished) {
            return;
        }
        requestedAt = Math.min(requestedAt, now);
        nextHandOverAt = Math.min(nextHandOverAt, now + GRACE_NANOS);
    }

    /** Prolongs the grace time, since further clients may follow; never beyond {@link #answerDeadline}. */
    void onOpenRequest(long now) {
        if (isRequested() && !isFinished) {
            nextHandOverAt = Math.max(nextHandOverAt, Math.min(now + GRACE_NANOS, answerDeadline()));
        }
    }

    boolean isRequested() {
        return requestedAt != Long.MAX_VALUE;
    }

    /** When every client that this relay accepted must have its answer; Long.MAX_VALUE before a shutdown request. */
    long answerDeadline() {
        return isRequested() ? requestedAt + answerPeriod : Long.MAX_VALUE;
    }

    /** When the hand-over must start even if another relay is down; Long.MAX_VALUE before a shutdown request. */
    long latestHandOverAt() {
        return isRequested() ? requestedAt + MAX_HAND_OVER_DELAY_NANOS : Long.MAX_VALUE;
    }

    /** When the next batch of the hand-over is due; Long.MAX_VALUE if none is. */
    long nextHandOverAt() {
        return nextHandOverAt;
    }

    /** Puts the hand-over off to its latest start; the answer deadline, if it comes first, still gets its turn. */
    void postponeHandOver(long now) {
        nextHandOverAt = now < answerDeadline() ? Math.min(answerDeadline(), latestHandOverAt()) : latestHandOverAt();
    }

    void scheduleNextBatch(long now) {
        nextHandOverAt = now + HAND_OVER_INTERVAL_NANOS;
    }

    /** Ends the shutdown: no client waits for an answer, and no connection is open. */
    void finish() {
        isFinished = true;
        nextHandOverAt = Long.MAX_VALUE;
    }

    boolean isFinished() {
        return isFinished;
    }
}
