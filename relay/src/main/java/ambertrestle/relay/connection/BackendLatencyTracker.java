package ambertrestle.relay.connection;

import ambertrestle.decide.BalancingPolicy;
import java.util.Map;
import java.util.TreeMap;

/** How long messages take at each backend, measured from the lines that pass, and told to the module. */
final class BackendLatencyTracker {
    static final long REPORT_INTERVAL_NANOS = 500_000_000L;

    private static final class LatencyWindow {
        double sum;
        int count;
        /** The longest that a line waits, and how many connections have one that waits. */
        long longestWait;

        int waitingConnections;
        boolean isReported;
    }

    private final Map<Long, LatencyWindow> backends = new TreeMap<>();
    private final long reportThreshold;

    /** `worthTelling`: a third of the shortest goal time of a message. */
    BackendLatencyTracker(long worthTelling) {
        this.reportThreshold = worthTelling;
    }

    void recordLatency(long backend, long took) {
        LatencyWindow seen = backends.computeIfAbsent(backend, b -> new LatencyWindow());
        seen.sum += took;
        seen.count++;
    }

    /** Twice a second: the mean of the lines that came back, and of those that wait longer than is worth telling. */
    void report(Iterable<Connection> connections, BalancingPolicy balancer, long now) {
        for (Connection c : connections) {
            if (c.state == Connection.State.OPEN
                    && !c.unansweredSentAt.isEmpty()
                    && now - c.unansweredSentAt.peek() > reportThreshold) {
                long waits = now - c.unansweredSentAt.peek();
                recordLatency(c.backendId, waits);
                LatencyWindow seen = backends.get(c.backendId);
                seen.waitingConnections++;
                seen.longestWait = Math.max(seen.longestWait, waits);
            }
        }
        backends.forEach((backend, seen) -> {
            if (seen.count > 0) {
                // Danger: where nothing at all comes back, the mean of short waits would hide for seconds that it
                // hangs.
                boolean silent = seen.waitingConnections == seen.count && seen.waitingConnections > 1;
                double mean = silent ? seen.longestWait : seen.sum / seen.count;
                if (mean > reportThreshold || seen.isReported) {
                    balancer.onDelayReport(backend, (long) mean, now);
                }
                seen.isReported = mean > reportThreshold;
            }
            seen.sum = 0;
            seen.count = 0;
            seen.longestWait = 0;
            seen.waitingConnections = 0;
        });
    }
}
