package ambertrestle.relay.connection;

import ambertrestle.decide.BalancingPolicy;
import java.util.Map;
import java.util.TreeMap;

/**
 * Measures how long each backend takes to answer a line and reports slow backends to the balancing policy. Times and
 * latencies are in nanoseconds.
 */
final class BackendLatencyTracker {
    /** Time between two calls of {@link #report}. */
    static final long REPORT_INTERVAL_NANOS = 500_000_000L;

    /** Measurements of one backend since the last report. */
    private static final class LatencyWindow {
        /** Sum of the latencies of answered lines and of the waits of unanswered ones. */
        double totalLatency;
        /** Number of latencies in {@link #totalLatency}. */
        int count;
        /** Longest time that a line has been waiting for its answer. */
        long longestWait;
        /** Number of connections whose oldest unanswered line has waited longer than the threshold. */
        int waitingConnectionCount;
        /** The last report exceeded the threshold, so one more is due when the latency is back to normal. */
        boolean wasReported;
    }

    /** By backend id. */
    private final Map<Long, LatencyWindow> windowsByBackend = new TreeMap<>();
    /** Mean latency above which a backend is reported. */
    private final long reportThreshold;

    /** @param reportThreshold mean latency above which a backend is reported */
    BackendLatencyTracker(long reportThreshold) {
        this.reportThreshold = reportThreshold;
    }

    /** Adds the latency of one line to the backend's current window. */
    void recordLatency(long backendId, long latency) {
        LatencyWindow window = windowsByBackend.computeIfAbsent(backendId, id -> new LatencyWindow());
        window.totalLatency += latency;
        window.count++;
    }

    /**
     * Reports the mean latency of each backend that is above the threshold, or was at the last report, and starts a new
     * window. Called twice a second. The mean covers answered lines and, for each open connection, its oldest
     * unanswered line if that has waited longer than the threshold.
     */
    void report(Iterable<Connection> connections, BalancingPolicy balancer, long now) {
        for (Connection connection : connections) {
            if (connection.state == Connection.State.OPEN
                    && !connection.unansweredSentAt.isEmpty()
                    && now - connection.unansweredSentAt.peek() > reportThreshold) {
                long waitTime = now - connection.unansweredSentAt.peek();
                recordLatency(connection.backendId, waitTime);
                LatencyWindow window = windowsByBackend.get(connection.backendId);
                window.waitingConnectionCount++;
                window.longestWait = Math.max(window.longestWait, waitTime);
            }
        }
        windowsByBackend.forEach((backendId, window) -> {
            if (window.count > 0) {
                // If no line was answered and several connections wait, the backend probably hangs. The longest wait
                // is reported then, because a mean lowered by lines that were sent recently would delay detection by
                // seconds.
                boolean isUnresponsive =
                        window.waitingConnectionCount == window.count && window.waitingConnectionCount > 1;
                double mean = isUnresponsive ? window.longestWait : window.totalLatency / window.count;
                if (mean > reportThreshold || window.wasReported) {
                    balancer.onDelayReport(backendId, (long) mean, now);
                }
                window.wasReported = mean > reportThreshold;
            }
            window.totalLatency = 0;
            window.count = 0;
            window.longestWait = 0;
            window.waitingConnectionCount = 0;
        });
    }
}
