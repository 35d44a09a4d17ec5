package ambertrestle.relay.connection;

import java.util.TreeSet;

/** Owns all times at which something is due: one for a connection at the most. */
final class ConnectionTimers {
    record Timer(long expiresAt, long sequence, Connection connection) {}

    private final TreeSet<Timer> timers = new TreeSet<>((x, y) ->
            x.expiresAt != y.expiresAt ? Long.compare(x.expiresAt, y.expiresAt) : Long.compare(x.sequence, y.sequence));
    private long nextSequence;

    /** Instead of what was due for it before. */
    void schedule(Connection c, long time) {
        cancel(c);
        c.timer = new Timer(time, nextSequence++, c);
        timers.add(c.timer);
    }

    void cancel(Connection c) {
        if (c.timer != null) {
            timers.remove(c.timer);
            c.timer = null;
        }
    }

    /** The next connection whose time has come, or null. */
    Connection pollExpired(long now) {
        if (timers.isEmpty() || timers.first().expiresAt > now) {
            return null;
        }
        Connection c = timers.pollFirst().connection;
        c.timer = null;
        return c;
    }

    long nextExpiry() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.first().expiresAt;
    }
}
