package ambertrestle.relay.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;

/**
 * The clients that wait until the roster is usable, in the order in which they connected: those whose association waits
 * for a backend and, until the relay is ready for the first time, those that sent PING. Times are in nanoseconds.
 */
final class RosterWaitList {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Connections in state DISPATCHING whose association waits for the roster, by the client's socket. */
    private final TreeMap<Long, Connection> associations = new TreeMap<>();
    /** Connections in state AWAITING_OPEN whose PING has no answer yet, by the client's socket. */
    private final TreeMap<Long, Connection> pings = new TreeMap<>();
    /** The roster was usable at least once. */
    private boolean isReady;
    /** When the wait began: at the start, later with the first association that waits. */
    private long waitingSince;
    /** The end of the current wait was logged; some associations may still have to ask for a backend. */
    private boolean isEnding;
    /** Associations that have waited since then, those that were given up included. */
    private int associationsInWait;

    /**
     * @param isReady true if the relay may be given clients from the start
     * @param now when the relay started
     */
    RosterWaitList(boolean isReady, long now) {
        this.isReady = isReady;
        waitingSince = now;
    }

    /** True once the relay may be given clients. */
    boolean isReady() {
        return isReady;
    }

    /** True if anything waits for the roster, the start of the relay included. */
    boolean isWaiting() {
        return !isReady || !associations.isEmpty();
    }

    /** Number of associations that wait. Each needs a socket to a backend later. */
    int associationCount() {
        return associations.size();
    }

    void addAssociation(Connection connection, long now) {
        if (!isWaiting() || isEnding) {
            waitingSince = now;
            associationsInWait = 0;
            isEnding = false;
        }
        associations.put(connection.clientSocket, connection);
        associationsInWait++;
    }

    void addPing(Connection connection) {
        pings.put(connection.clientSocket, connection);
    }

    /** Removes the connection's association; returns whether it waited. */
    boolean removeAssociation(Connection connection) {
        return associations.remove(connection.clientSocket) != null;
    }

    /** Removes the connection's PING; returns whether it waited for its answer. */
    boolean removePing(Connection connection) {
        return pings.remove(connection.clientSocket) != null;
    }

    /**
     * Ends the wait. The associations that still wait are to ask for a backend one batch after the other.
     *
     * @param isConfirmed true if the roster service has confirmed the roster, false if it is used without
     * @return the text to log; null if this wait has been ended before
     */
    String end(boolean isConfirmed, long now) {
        if (isEnding) {
            return null;
        }
        isEnding = true;
        isReady = true;
        return String.format(
                Locale.ROOT,
                "%s after %.3f s, %d associations waited for it",
                isConfirmed ? "the roster is confirmed" : "the roster is used unconfirmed",
                (now - waitingSince) / NANOS_PER_SECOND,
                associationsInWait);
    }

    /** Removes and returns the connections whose PING is answered now. */
    List<Connection> takePings() {
        List<Connection> taken = new ArrayList<>(pings.values());
        pings.clear();
        return taken;
    }

    /** Removes and returns the connections whose association asks again for a backend now, {@code limit} at most. */
    List<Connection> takeAssociations(int limit) {
        List<Connection> taken = associations.values().stream().limit(limit).toList();
        taken.forEach(this::removeAssociation);
        return taken;
    }
}
