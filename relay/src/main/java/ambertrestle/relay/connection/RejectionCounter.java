package ambertrestle.relay.connection;

import java.util.Map;
import java.util.TreeMap;

/** Counts rejected clients by reason and limits logging to one line in five seconds, however often clients retry. */
final class RejectionCounter {
    private static final long LOG_INTERVAL_NANOS = 5_000_000_000L;

    /** Number of rejections since the last log line, by the text of their reason. */
    private final Map<String, Integer> counts = new TreeMap<>();
    /** Time of the last log line; the initial value makes the first one due at once without overflow. */
    private long loggedAt = Long.MIN_VALUE / 2;

    /** Counts a rejection; the text of its reason, an enumeration's value, is the result of `toString`. */
    void count(Enum<?> reason) {
        counts.merge(reason.toString(), 1, Integer::sum);
    }

    /**
     * Returns the text to log and clears the counts; null if nothing was counted or the last log line is too recent.
     */
    String pollLogText(long now) {
        if (counts.isEmpty() || now - loggedAt < LOG_INTERVAL_NANOS) {
            return null;
        }
        loggedAt = now;
        StringBuilder text = new StringBuilder("rejected clients:");
        String separator = " ";
        for (Map.Entry<String, Integer> entry : counts.entrySet()) {
            text.append(separator).append(entry.getValue()).append(" for ").append(entry.getKey());
            separator = ", ";
        }
        counts.clear();
        return text.toString();
    }
}
