package ambertrestle.decide;

import java.util.ArrayList;

/**
 * What one relay knows of one backend. Mutable and not thread-safe; owned by the {@link Balancer}. All times are in
 * nanoseconds, loads in nanoseconds of work per second.
 */
final class Backend {
    private static final long SECOND = 1_000_000_000L;
    /** Keeps a backend's hash apart from that of a key with the same number; 2^64 divided by the golden ratio. */
    private static final long ID_HASH_SALT = 0x9e3779b97f4a7c15L;
    /** Initial value of times: before all others, but differences from it don't overflow. */
    static final long LONG_AGO = Long.MIN_VALUE / 2;
    /** Half-life of the counts of successes and failures. */
    static final long EVIDENCE_HALF_LIFE = 4 * SECOND;
    /** Decayed counts below this, in successes or failures, are taken as no evidence. */
    static final double MIN_EVIDENCE = 0.25;
    /** Number of failures that the reset of an established connection counts as. */
    static final double ESTABLISHED_RESET_FAILURES = 0.5;
    /** Consecutive failed set-ups after which a backend that is missing from the roster counts as gone. */
    static final int MAX_FAILURES_WHILE_MISSING = 2;
    /** Time for which a backend is avoided after it refused a dispatch because it was full. */
    static final long OVER_CAPACITY_DURATION = SECOND / 2;
    /** A backend is slow if its reported delay exceeds the shortest message goal divided by this. */
    static final int GOAL_TO_SLOW_DELAY_RATIO = 3;
    /** Seconds for which a delay report is valid while connections are open here; newer reports can follow it then. */
    static final int DELAY_REPORT_SECONDS = 3;
    /** Longest validity of a delay report in seconds, without open connections here. */
    static final int MAX_DELAY_REPORT_SECONDS = 30;
    /** Time in which the load limit grows to 2.5 times the load at which the backend was last slow. */
    static final long LOAD_LIMIT_RELAXATION = 10 * SECOND;
    /** One in this many connections of an overloaded or slow backend is asked to move at a time. */
    static final int OFFLOAD_ONE_IN = 6;
    /** Shortest time between two load-based requests to move connections away. */
    static final long OFFLOAD_INTERVAL = SECOND;
    /** Time after such a request in which the backend counts as over capacity. */
    static final long OFFLOAD_RECOVERY = 5 * SECOND;
    /** Time since the last activity of this relay there after which a backend without connections may count as idle. */
    static final long IDLE_AFTER = 5 * SECOND;
    /** Resets that are at most this far apart are taken as one event. */
    static final long MIN_RESET_GAP = SECOND / 10;
    /** Resets that are at least this far apart are taken as unrelated. */
    static final long MAX_RESET_GAP = 2 * SECOND;

    /** Id of the backend in the roster, unsigned. */
    final long id;
    /** Hash of the id, for the lookup table and for rendezvous hashing. */
    final long hash;

    /** Stage according to the roster; {@code GONE} until the first roster entry. */
    RosterEntry.Stage stage = RosterEntry.Stage.GONE;
    /** Start time of the backend's process; 0 if it started long ago or is unknown. */
    long startedAt;
    /** Cell of the backend, by its number in the roster. Deduplication may be limited to it. */
    int cell;
    /** Zone of the backend, by its number in the roster. Deduplication may be limited to it. */
    int zone;
    /** Capacity relative to other backends; 1 if roster weights don't count. */
    double weight = 1;
    /** The roster calls the backend gone, but failed set-ups haven't confirmed this yet. */
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
    /** Failed dispatches, as a count that decays exponentially; a reset of an established connection counts half. */
    double failures;
    /** Errors and timeouts among the failures, decaying alike; a dependency shared by all backends may cause them. */
    double sharedCauseFailures;
    /** Time up to which the three counts have been decayed. */
    long evidenceUpdatedAt;

    /** The backend refused a dispatch because it was full and is avoided until this time. */
    long overCapacityUntil;
    /** When a dispatch was last sent there or a connection there ended; at first the time of the first roster entry. */
    long lastActiveAt;
    /** Dispatches, including fractions, that the slow start budget still allows; may be negative. */
    double slowStartBudget;
    /** Time up to which the slow start budget has been refilled. */
    long slowStartBudgetUpdatedAt;
    /** Load or number of connections (see {@link #effectiveLoad}) at which the backend turned slow; 0 if never. */
    double observedCapacity;
    /** When a delay report last showed the backend to be slow; meaningless if there was none. */
    long lastSlowAt;
    /** Message delay of the last report; 0 if that was within a third of the goal or there was no report. */
    long reportedDelay;
    /** Time of the last delay report. */
    long delayReportedAt = LONG_AGO;
    /** When the backend last reset an established connection. */
    long lastResetAt = LONG_AGO;
    /** When connections were last asked to move because of the load here. */
    long lastOffloadAt = LONG_AGO;

    /** Number of the last roster update that listed this backend. */
    int visitMark;
    /** Number of the last walk of the lookup table that reached this backend. */
    int walkMark;
    /** Number of the last selection that found an open connection of its key here. */
    int holdsKeyMark;

    Backend(long id) {
        this.id = id;
        hash = mix64(id ^ ID_HASH_SALT);
    }

    /** Hashes an id or key to 64 evenly distributed bits (the finalizer of SplitMix64). */
    static long mix64(long value) {
        value = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        value = (value ^ (value >>> 27)) * 0x94d049bb133111ebL;
        return value ^ (value >>> 31);
    }

    /**
     * Halves the success and failure counts once per half-life of the time since the last call; returns this backend.
     */
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
        // The earlier of both times counts. If the grace period began again with each start of the relay, restarts
        // would extend the time in which a draining backend gets dispatches.
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

    /** Adds an established connection to the open ones and stores its index in the association. */
    void addConnection(Association association) {
        association.openConnectionIndex = openConnections.size();
        openConnections.add(association);
    }

    /** Removes an open connection in constant time by moving the last one to its index; false if it isn't open. */
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

    /** Returns the number of open connections and pending dispatches. */
    int connectionCount() {
        return openConnections.size() + pendingDispatches;
    }

    /**
     * Returns the load in nanoseconds of work per second, including an estimate for pending dispatches; if no load is
     * reported, the number of open connections and pending dispatches.
     *
     * @param meanConnectionLoad mean load of one connection; 0 if no load is reported
     */
    double effectiveLoad(double meanConnectionLoad) {
        return meanConnectionLoad == 0 ? connectionCount() : load + pendingDispatches * meanConnectionLoad;
    }
}
