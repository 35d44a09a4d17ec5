package ambertrestle.decide;

/**
 * Tells whether a relay may make new dispatches by the roster that it has. Where the roster is pushed over sockets, a
 * change counts as known once the roster service has it, whether or not this relay's watch is open. A roster that no
 * watch confirms is therefore valid only for as long as a change that the relay missed may be unknown to it, plus the
 * part of the drain grace period that a relay uses.
 *
 * <p>The lease has no end while a watch delivers messages. It ends when the watch is lost, and at a start it has ended
 * already. A call that the service refuses at once shows that the service is down and has told nothing up to then,
 * which renews the lease for a moment. A service that neither answers nor refuses must not stop this relay: after
 * {@link #MAX_WAIT} the roster is used again, until the next answer.
 *
 * <p>Times are in nanoseconds. Not thread-safe.
 */
final class RosterLease {
    private static final long SECOND = 1_000_000_000L;
    /** A change that a silent watch missed counts as known this long after the last message at the latest. */
    private static final long SILENCE_ALLOWANCE = 6 * SECOND;
    /** What a new roster service has counts as known this long after the address changed. */
    private static final long SERVICE_CHANGE_ALLOWANCE = 4 * SECOND;
    /** Longest time that dispatches wait for the service. A call and its delay after a failure take less. */
    private static final long MAX_WAIT = 5 * SECOND;
    /** Value of {@link #expiresAt} and {@link #waivedFrom} while the roster is confirmed. */
    private static final long NEVER = Long.MAX_VALUE;

    /** How long after a change counts as known new dispatches may ignore it. */
    private final long dispatchGrace;
    /** A call that took longer than this before it failed doesn't renew the lease but ends the wait. */
    private final long maxRefusalTime;
    /** The host asked for confirmations; otherwise the roster is always valid. */
    private boolean isEnforced;
    /** From this time on the roster is not valid. */
    private long expiresAt = NEVER;
    /** From this time on the roster is valid although the service hasn't confirmed it. */
    private long waivedFrom = NEVER;

    /**
     * Creates a lease that is valid for good unless {@link #start} is called.
     *
     * @param dispatchGrace time after a drain counts as known in which the backend may still get dispatches
     * @param maxRefusalTime longest time that clients can wait for a call that fails. While the service takes longer to
     *     refuse calls, most clients would wait in vain
     */
    RosterLease(long dispatchGrace, long maxRefusalTime) {
        this.dispatchGrace = dispatchGrace;
        this.maxRefusalTime = maxRefusalTime;
    }

    /** Ends the lease at once: the relay starts, and changes up to now count as known. */
    void start(long now) {
        isEnforced = true;
        expireAt(now);
    }

    /** Records a message or a heartbeat on the current watch. */
    void onConfirmed() {
        expiresAt = NEVER;
        waivedFrom = NEVER;
    }

    /**
     * Records that the roster is no longer confirmed.
     *
     * @param elapsed {@code WATCH_SILENT}: time since the last data arrived; {@code CALL_FAILED}: time since the call
     *     was made; otherwise unused
     */
    void onInterrupted(RosterInterruption cause, long elapsed, long now) {
        if (!isEnforced) {
            return;
        }
        switch (cause) {
            case WATCH_ENDED -> onConfirmationLost(now);
            case WATCH_SILENT -> onConfirmationLost(now - elapsed + SILENCE_ALLOWANCE);
            case SERVICE_CHANGED -> onConfirmationLost(now + SERVICE_CHANGE_ALLOWANCE);
            case CALL_FAILED -> onCallFailed(elapsed, now);
        }
    }

    /** Sets the end of the lease, unless it was set before: what counted as known then still does. */
    private void onConfirmationLost(long changesKnownFrom) {
        if (expiresAt == NEVER) {
            expireAt(changesKnownFrom + dispatchGrace);
        }
    }

    private void onCallFailed(long callDuration, long now) {
        if (callDuration > maxRefusalTime) {
            waivedFrom = Math.min(waivedFrom, now);
        } else {
            expireAt(expiresAt == NEVER ? now + dispatchGrace : Math.max(expiresAt, now + dispatchGrace));
        }
    }

    private void expireAt(long time) {
        expiresAt = time;
        waivedFrom = time + MAX_WAIT;
    }

    /** True if new dispatches may be made by the roster. */
    boolean isValid(long now) {
        return now < expiresAt || now >= waivedFrom;
    }

    /**
     * Returns since when the changes in a message that arrives now may count as known: its time of arrival while the
     * roster is confirmed, otherwise the end of the time for which it was confirmed.
     */
    long changesKnownSince(long now) {
        return expiresAt == NEVER ? now : Math.min(now, expiresAt - dispatchGrace);
    }

    /** Returns when the lease becomes valid by time alone; {@code Long.MAX_VALUE} if it is valid for good. */
    long validAgainAt(long now) {
        return now < waivedFrom ? waivedFrom : NEVER;
    }
}
