package ambertrestle.decide;

import java.util.List;

/**
 * What the module would keep beyond its process, as plain values: a part of what changed since it was last asked, or
 * all of it. `table`: how its Maglev table is made; pins of another table mean nothing here. `more`: there is more that
 * changed. Times in nanoseconds.
 */
public record LearnedState(
        long tableFormat,
        RelayStatistics relayStatistics,
        List<BackendStatistics> backends,
        List<Pin> pins,
        boolean hasMore) {
    public static final LearnedState EMPTY = new LearnedState(0, RelayStatistics.EMPTY, List.of(), List.of(), false);

    /**
     * Of the relay as a whole. `ended`: connections that lived to their end, decaying, as counted over `lived`;
     * `setUp`: a usual set-up; `usual`: the load of a usual connection, learned from `notes`; `pace`: the time between
     * two set-ups in a jam.
     */
    public record RelayStatistics(
            double completedConnections,
            long observedFor,
            double typicalSetUpTime,
            double typicalLoad,
            int loadReportCount,
            long setUpInterval) {
        public static final RelayStatistics EMPTY = new RelayStatistics(0, 0, 0, 0, 0, 0);
    }

    /**
     * Of one backend, started at `startedAt`: the counts of doubt as they stood at `evidenceAt`, its lateness, and when
     * this relay heard that it drains or is gone (0 while neither).
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
     * Where a key is pinned, and when its last connection ended there: OPEN while one is open, GONE where the pin went.
     */
    public record Pin(long key, long backend, long unusedSince) {
        public static final long IN_USE = Long.MAX_VALUE, REMOVED = Long.MIN_VALUE;
    }
}
