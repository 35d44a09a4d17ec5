package ambertrestle.decide;

import java.util.SplittableRandom;

/**
 * When a relay calls the roster service: at a random time after its start, and after failed calls with exponential
 * backoff and jitter. Relays that call in step would overload the service, and all their calls would fail again. Times
 * are in nanoseconds. Not thread-safe.
 */
final class RosterCallSchedule {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;
    /** Time per relay over which the roster calls of all relays are spread, before any backoff. */
    private static final int SPREAD_MILLIS = 50;
    /** Longest time over which roster calls are spread. */
    private static final long MAX_RANGE = 8 * SECOND;
    /** The same with a pushed roster. */
    private static final long MAX_PUSHED_RANGE = SECOND / 4;
    /** Number of times that the backoff doubles. */
    private static final int MAX_DOUBLINGS = 4;
    /**
     * Longest delay of the first call after a failure. If a watch falls silent, the relay must know of a change that it
     * missed after 6 s, and 3.2 s of these pass before the silence is detected.
     */
    private static final long MAX_FIRST_RETRY_DELAY = 2_300 * MILLISECOND;

    /**
     * Longest delay of a later call after a failure. A change counts as known 6 s after the service had it and could be
     * reached; the rest is for the call itself.
     */
    private static final long MAX_RETRY_DELAY = 5 * SECOND;

    private final int relayCount;
    /** Longest time over which this relay spreads its calls. */
    private final long maxRange;
    /** When the next call is due; {@code Long.MAX_VALUE} if none is. */
    private long nextCallAt = Long.MAX_VALUE;
    /** Consecutive failed calls; determines the backoff. */
    private int failures;

    /**
     * @param isPushed a local agent pushes the roster. The relay is expected to know what the agent knows, even while
     *     its watch is broken, so the watch must be opened again soon
     * @param callDeadline time after a roster change within which this relay must know of it; calls are spread over
     *     half of it at most, so that one is made in time
     */
    RosterCallSchedule(int relayCount, boolean isPushed, long callDeadline) {
        this.relayCount = relayCount;
        maxRange = Math.min(isPushed ? MAX_PUSHED_RANGE : MAX_RANGE, callDeadline / 2);
    }

    /** Draws the time of the first call. Relays that start together would otherwise call at the same time. */
    void scheduleFirstCall(SplittableRandom random, long now) {
        nextCallAt = now + random.nextLong(range(0));
    }

    /** Schedules the next call after a failure. */
    void onCallFailed(SplittableRandom random, long now) {
        long range = range(Math.min(failures, MAX_DOUBLINGS));
        // The first retry comes early. After a watch has fallen silent, the relay would otherwise learn of the changes
        // that it missed only after the deadline for knowing them.
        if (failures++ == 0) {
            nextCallAt = now + random.nextLong(Math.min(range, MAX_FIRST_RETRY_DELAY));
        } else {
            long earliest = Math.min(range, MAX_RETRY_DELAY) / 2;
            long latest = Math.min(range / 2 + range, MAX_RETRY_DELAY);
            nextCallAt = now + earliest + random.nextLong(latest - earliest);
        }
    }

    /** Resets the backoff: the service has answered. */
    void onCallSucceeded() {
        failures = 0;
    }

    /** Resets the backoff: the failures before say nothing of the service at the new address. */
    void onServiceChanged() {
        failures = 0;
    }

    /** Returns when the next call is due; {@code Long.MAX_VALUE} if none is. */
    long nextCallAt() {
        return nextCallAt;
    }

    /** Returns whether a call is due; it is then no longer scheduled. */
    boolean pollDue(long now) {
        if (now < nextCallAt) {
            return false;
        }
        nextCallAt = Long.MAX_VALUE;
        return true;
    }

    /** Returns the time over which the calls of all relays are spread: 50 ms for each relay, doubled so often. */
    private long range(int doublings) {
        return Math.max(1, Math.min(maxRange, relayCount * SPREAD_MILLIS * MILLISECOND << doublings));
    }
}
