package ambertrestle.relay.memory;

import java.util.Map;
import java.util.TreeMap;

/** Counts those turned away, so that one who comes again and again costs a line in five seconds at the most. */
final class TurnedAway {
    private static final long TOLD_EVERY = 5_000_000_000L;

    private final Map<String, Integer> counts = new TreeMap<>();
    private long toldAt = Long.MIN_VALUE / 2;

    void count(Object why) {
        counts.merge(why.toString(), 1, Integer::sum);
    }

    /** The line to log, or null while there is none or it is too soon. */
    String line(long now) {
        if (counts.isEmpty() || now - toldAt < TOLD_EVERY) {
            return null;
        }
        toldAt = now;
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
