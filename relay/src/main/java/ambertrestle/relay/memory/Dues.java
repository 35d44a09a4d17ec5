package ambertrestle.relay.memory;

import java.util.TreeSet;

/** Owns all times at which something is due: one for a connection at the most. */
final class Dues {
    record Due(long time, long order, Connection connection) {}

    private final TreeSet<Due> dues =
            new TreeSet<>((x, y) -> x.time != y.time ? Long.compare(x.time, y.time) : Long.compare(x.order, y.order));
    private long orders;

    /** Instead of what was due for it before. */
    void set(Connection c, long time) {
        cancel(c);
        c.due = new Due(time, orders++, c);
        dues.add(c.due);
    }

    void cancel(Connection c) {
        if (c.due != null) {
            dues.remove(c.due);
            c.due = null;
        }
    }

    /** The next connection whose time has come, or null. */
    Connection next(long now) {
        if (dues.isEmpty() || dues.first().time > now) {
            return null;
        }
        Connection c = dues.pollFirst().connection;
        c.due = null;
        return c;
    }

    long earliest() {
        return dues.isEmpty() ? Long.MAX_VALUE : dues.first().time;
    }
}
