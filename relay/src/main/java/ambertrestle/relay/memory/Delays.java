package ambertrestle.relay.memory;

import ambertrestle.decide.Decisions;
import java.util.Map;
import java.util.TreeMap;

/** How long messages take at each backend, measured from the lines that pass, and told to the module. */
final class Delays {
    static final long TOLD_EVERY = 500_000_000L;

    private static final class Seen {
        double sum;
        int lines;
        /** The longest that a line waits, and how many connections have one that waits. */
        long longest;

        int waiting;
        boolean told;
    }

    private final Map<Long, Seen> backends = new TreeMap<>();
    private final long worthTelling;

    /** `worthTelling`: a third of the shortest goal time of a message. */
    Delays(long worthTelling) {
        this.worthTelling = worthTelling;
    }

    void answered(long backend, long took) {
        Seen seen = backends.computeIfAbsent(backend, b -> new Seen());
        seen.sum += took;
        seen.lines++;
    }

    /** Twice a second: the mean of the lines that came back, and of those that wait longer than is worth telling. */
    void tell(Iterable<Connection> connections, Decisions balancer, long now) {
        for (Connection c : connections) {
            if (c.stage == Connection.Stage.OPEN
                    && !c.unanswered.isEmpty()
                    && now - c.unanswered.peek() > worthTelling) {
                long waits = now - c.unanswered.peek();
                answered(c.backend, waits);
                Seen seen = backends.get(c.backend);
                seen.waiting++;
                seen.longest = Math.max(seen.longest, waits);
            }
        }
        backends.forEach((backend, seen) -> {
            if (seen.lines > 0) {
                // Danger: where nothing at all comes back, the mean of short waits would hide for seconds that it
                // hangs.
                boolean silent = seen.waiting == seen.lines && seen.waiting > 1;
                double mean = silent ? seen.longest : seen.sum / seen.lines;
                if (mean > worthTelling || seen.told) {
                    balancer.delayNote(backend, (long) mean, now);
                }
                seen.told = mean > worthTelling;
            }
            seen.sum = 0;
            seen.lines = 0;
            seen.longest = 0;
            seen.waiting = 0;
        });
    }
}
