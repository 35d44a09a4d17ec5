package ambertrestle.decide;

import java.util.ArrayList;

/**
 * What one relay knows of one backend. Mutable and not thread-safe; owned by the {@link Balancer}. All times are in
 * nanoseconds, loads in nanoseconds of work per second.
 */
final class Backend {
    final long id;
    /** Hash of the id, for the lookup table and for rendezvous hashing. */
    final long hash;

    /** State according to the roster; GONE until the first roster entry. */
    RosterEntry.Stage stage = RosterEntry.Stage.GONE;
    /** Start time of the backend's process; 0 if it started long ago or is unknown. */
    long startedAt;
    /** Cell of the backend. Deduplication may be limited to it. */
    int cell;
    /** Zone of the backend. Deduplication may be limited to it. */
    int zone;
    /** Capacity relative to other backends. */
    double weight = 1;
    /** The roster calls the backend gone, but this isn't confirmed by failed set-ups yet. */
    boolean missingFromRoster;
    /** Consecutive failed set-ups while the backend is missing from the roster. */
    int setUpFailuresWhileMissing;
    /** When this relay learned that the backend drains or is gone; 0 if never. */
    long drainNoticedAt;

    /** Established connections through this relay, in no particular order. */
    final ArrayList<Association> openConnections = new ArrayList<>();
    /** Dispatches in flight that are not yet established. */
    int pendingDispatches;
    /** Sum of the reported loads of the open connections; 0 if no load is reported. */
    double load;

    /** Successful set-ups, as a count that decays exponentially. */
    double successes;
    /** Failures, as a count that decays exponentially. */
    double failures;
    /** The failures that a dependency shared by all backends may have caused, decaying in the same way. */
    double sharedCauseFailures;
    /** Time up to which the three counts have been decayed. */
    long evidenceUpdatedAt;

    /** The backend refused a dispatch because it was full and is avoided until this time. */
    long overCapacityUntil;
    /** When a dispatch was last sent there or a connection there ended; at first the time of the first roster entry. */
    long lastActiveAt;
    /** Dispatches that the slow start budget still allows, in fractions; may be negative. */
    double slowStartBudget;
    /** Time up to which the slow start budget has been refilled. */
    long slowStartBudgetUpdatedAt;
    /** Load or number of connections (see {@link #effectiveLoad}) at which the backend turned slow; 0 if never. */
    double observedCapacity;
    /** When a delay report last showed the backend to be slow. */
    long lastSlowAt;
    /** Message delay of the last report; 0 if that was within a third of the goal or there was no report. */
    long reportedDelay;
    /** Time of the last delay report; the initial value means long ago and can't overflow when subtracted. */
    long delayReportedAt = Long.MIN_VALUE / 2;
    /** When the backend last reset an established connection; the initial value means long ago. */
    long lastResetAt = Long.MIN_VALUE / 2;
    /** When connections were last asked to move because of the load here; the initial value means long ago. */
    long lastOffloadAt = Long.MIN_VALUE / 2;

    /** Equal to the balancer's current mark if the current pass has visited this backend. */
    int visitMark;
    /** Equal to the mark of the current selection if an open connection of its key is here. */
    int holdsKeyMark;

    Backend(long id) {
        this.id = id;
        hash = mix64(id ^ 0x9e3779b97f4a7c15L);
    }

    /** Hashes an id or key to 64 evenly distributed bits (the finalizer of SplitMix64). */
    static long mix64(long value) {
        value = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        value = (value ^ (value >>> 27)) * 0x94d049bb133111ebL;
        return value ^ (value >>> 31);
    }

    /** Decays the success and failure counts up to now, by one half per half-life, and returns this backend. */
    Backend decayEvidence(long now, long halfLife) {
        if (now != evidenceUpdatedAt) {
            double decayFactor = Math.pow(0.5, (double) (now - evidenceUpdatedAt) / halfLife);
            successes *= decayFactor;
            failures *= decayFactor;
            sharedCauseFailures *= decayFactor;
            evidenceUpdatedAt = now;
        }
        return this;
    }

    /** Returns the part of this state that is persisted. */
    LearnedState.BackendStatistics toStatistics() {
        return new LearnedState.BackendStatistics(
                id,
                startedAt,
                evidenceUpdatedAt,
                successes,
                failures,
                sharedCauseFailures,
                reportedDelay,
                delayReportedAt,
                stage == RosterEntry.Stage.READY ? 0 : drainNoticedAt);
    }

    /**
     * Restores persisted statistics. Returns false without a change if the backend is gone or has another start time,
     * because statistics of an earlier process of the backend don't apply.
     */
    boolean restore(LearnedState.BackendStatistics persisted) {
        if (stage == RosterEntry.Stage.GONE || persisted.startedAt() != startedAt) {
            return false;
        }
        // Takes the earlier time. A grace period that began again with each start of the relay would let restarts
        // extend the time in which a draining backend gets dispatches.
        drainNoticedAt = stage != RosterEntry.Stage.READY && persisted.drainNoticedAt() > 0
                ? Math.min(drainNoticedAt, persisted.drainNoticedAt())
                : drainNoticedAt;
        successes = persisted.successes();
        failures = persisted.failures();
        sharedCauseFailures = persisted.sharedCauseFailures();
        evidenceUpdatedAt = persisted.evidenceUpdatedAt();
        reportedDelay = persisted.reportedDelay();
        delayReportedAt = persisted.delayReportedAt();
        return true;
    }

    /** Adds an established connection and records its index in the list. */
    void addConnection(Association association) {
        association.openConnectionIndex = openConnections.size();
        openConnections.add(association);
    }

    /** Removes the connection in constant time, moving the last one to its index; false if it wasn't open here. */
    boolean removeConnection(Association association) {
        if (association.openConnectionIndex < 0) {
            return false;
        }
        Association last = openConnections.remove(openConnections.size() - 1);
        if (last != association) {
            openConnections.set(association.openConnectionIndex, last);
            last.openConnectionIndex = association.openConnectionIndex;
        }
        association.openConnectionIndex = -1;
        return true;
    }

    /** Open connections and pending dispatches. */
    int connectionCount() {
        return openConnections.size() + pendingDispatches;
    }

    /**
     * Returns the load including an estimate for pending dispatches, or the number of connections if no load is
     * reported.
     *
     * @param meanConnectionLoad mean load of one connection, 0 if no load is reported
     */
    double effectiveLoad(double meanConnectionLoad) {
        return meanConnectionLoad == 0 ? connectionCount() : load + pendingDispatches * meanConnectionLoad;
    }
}
