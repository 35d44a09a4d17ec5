package ambertrestle.relay.connection;

import java.util.Map;
import java.util.TreeMap;

/** Counts those turned away, so that one who comes again and again costs a line in five seconds at the most. */
final class RejectionCounter {
    private static final long LOG_INTERVAL_NANOS = 5_000_000_000L;

    private final Map<String, Integer> counts = new TreeMap<>();
    private long loggedAt = Long.MIN_VALUE / 2;

    void count(Object why) {
        counts.merge(why.toString(), 1, Integer::sum);
    }

    /** The line to log, or null while there is none or it is too soon. */
    String pollLogText(long now) {
        if (counts.isEmpty() || now - loggedAt < LOG_INTERVAL_NANOS) {
            return null;
        }
        loggedAt = now;
        StringBuilder line = new StringBuilder("turned away:");
        String between = " ";
        for (Map.Entry<String, Integer> e : counts.entrySet()) {
            line.append(between).append(e.getValue()).append(" for ").append(e.getKey());
            between = ", ";
        }
        counts.clear();
        return line.toString();
    }
}
