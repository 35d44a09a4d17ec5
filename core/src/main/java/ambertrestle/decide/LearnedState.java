package ambertrestle.decide;

import java.util.List;

/**
 * Learned state of a balancer that outlives its process: a complete state, or a batch of changes. All times are in
 * nanoseconds.
 *
 * @param tableFormat identifies how the lookup table (Maglev) is built; pins of another format are not restored
 * @param relayStatistics relay-wide values; complete in each batch
 * @param backends statistics of backends, only the changed ones in a batch
 * @param pins pins of keys to backends, only the changed ones in a batch
 * @param hasMore true if further changes are waiting to be taken
 */
public record LearnedState(
        long tableFormat,
        RelayStatistics relayStatistics,
        List<BackendStatistics> backends,
        List<Pin> pins,
        boolean hasMore) {
    /** No learned state. */
    public static final LearnedState EMPTY = new LearnedState(0, RelayStatistics.EMPTY, List.of(), List.of(), false);

    /**
     * Relay-wide values.
     *
     * @param completedConnections exponentially decaying count of connections that ended normally
     * @param observedFor the period over which they were counted, in nanoseconds
     * @param typicalSetUpTime moving average of the set-up time, in nanoseconds
     * @param typicalLoad moving average of a connection's load, in nanoseconds of work per second
     * @param loadReportCount number of load reports that {@code typicalLoad} is based on
     * @param setUpInterval minimum time between two set-ups during widespread set-up failures, in nanoseconds; 0 if
     *     set-ups are not paced
     */
    public record RelayStatistics(
            double completedConnections,
            long observedFor,
            double typicalSetUpTime,
            double typicalLoad,
            int loadReportCount,
            long setUpInterval) {
        /** The values of a relay that has observed nothing. */
        public static final RelayStatistics EMPTY = new RelayStatistics(0, 0, 0, 0, 0, 0);
    }

    /**
     * Statistics of one backend.
     *
     * @param backend id of the backend
     * @param startedAt when the backend started, as the roster gave it; statistics of an earlier start don't apply
     * @param evidenceUpdatedAt the time to which the three counts have been decayed
     * @param successes decaying count of established connections
     * @param failures decaying count of failures
     * @param sharedCauseFailures decaying count of failures that a shared dependency, such as a store, may have caused
     * @param reportedDelay how long a message last took, in nanoseconds; 0 if the backend was not slow
     * @param delayReportedAt when that delay was reported
     * @param drainNoticedAt when this relay learned that the backend drains or is gone; 0 if neither
     */
    public record BackendStatistics(
            long backend,
            long startedAt,
            long evidenceUpdatedAt,
            double successes,
            double failures,
            double sharedCauseFailures,
            long reportedDelay,
            long delayReportedAt,
            long drainNoticedAt) {}

    /**
     * A pin of a key to a backend.
     *
     * @param key placement key or pin key of an association, unsigned
     * @param backend id of the backend; 0 if the pin was removed
     * @param unusedSince when the key's last connection ended, in nanoseconds, or {@link #IN_USE} or {@link #REMOVED}
     */
    public record Pin(long key, long backend, long unusedSince) {
        /** The key has an open connection, or no connection of it has ended yet. */
        public static final long IN_USE = Long.MAX_VALUE;
        /** The pin was removed. */
        public static final long REMOVED = Long.MIN_VALUE;
    }
}
