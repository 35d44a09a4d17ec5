package ambertrestle.relay.connection;

import java.util.TreeSet;

/** The timers of all connections, at most one per connection. Times are in nanoseconds. */
final class ConnectionTimers {
    /**
     * A pending timer.
     *
     * @param sequence breaks ties: timers with the same expiry fire in the order in which they were scheduled
     */
    record Timer(long expiresAt, long sequence, Connection connection) {}

    private final TreeSet<Timer> timers = new TreeSet<>((first, second) -> first.expiresAt != second.expiresAt
            ? Long.compare(first.expiresAt, second.expiresAt)
            : Long.compare(first.sequence, second.sequence));
    private long nextSequence;

    /** Sets the connection's timer and replaces the pending one. */
    void schedule(Connection connection, long expiresAt) {
        cancel(connection);
        connection.timer = new Timer(expiresAt, nextSequence++, connection);
        timers.add(connection.timer);
    }

    /** Removes the connection's pending timer, if there is one. */
    void cancel(Connection connection) {
        if (connection.timer != null) {
            timers.remove(connection.timer);
            connection.timer = null;
        }
    }

    /** Removes the earliest timer and returns its connection; null if no timer has expired. */
    Connection pollExpired(long now) {
        if (timers.isEmpty() || timers.first().expiresAt > now) {
            return null;
        }
        Connection connection = timers.pollFirst().connection;
        connection.timer = null;
        return connection;
    }

    /** Returns the earliest expiry, or Long.MAX_VALUE if no timer is pending. */
    long nextExpiry() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.first().expiresAt;
    }
}
