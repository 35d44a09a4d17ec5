package ambertrestle.relay.connection;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;

/** Counts clients that recently reconnected from another relay. Many of them indicate that another relay is down. */
final class ReconnectionTracker {
    /** How long a relay is down at a planned restart. */
    private static final long WINDOW_NANOS = 6_000_000_000L;

    /** Clients from other relays are many if they number more than the associations divided by this number. */
    private static final int MANY_ARRIVALS_DIVISOR = 3;

    /** When a client's connection at this relay was moved or ended by its backend, by client key, oldest first. */
    private final LinkedHashMap<Long, Long> endedHereAt = new LinkedHashMap<>();

    /** When clients arrived that reconnected from another relay, oldest first. */
    private final ArrayDeque<Long> arrivedFromOtherRelaysAt = new ArrayDeque<>();

    /** Records that the client's connection ended here, so that its return isn't attributed to another relay. */
    void onConnectionEnded(long clientKey, long now) {
        endedHereAt.remove(clientKey);
        endedHereAt.put(clientKey, now);
        endedHereAt.values().removeIf(endedAt -> now - endedAt > WINDOW_NANOS);
    }

    /** Records a client that reconnects; it came from another relay unless its connection ended here recently. */
    void onClientReturned(long clientKey, long now) {
        if (endedHereAt.remove(clientKey) == null) {
            arrivedFromOtherRelaysAt.add(now);
        }
    }

    /**
     * Returns true if the clients that arrived from other relays within the window number more than a third of this
     * relay's associations.
     */
    boolean hasManyFromOtherRelays(int associationCount, long now) {
        while (!arrivedFromOtherRelaysAt.isEmpty() && now - arrivedFromOtherRelaysAt.peek() > WINDOW_NANOS) {
            arrivedFromOtherRelaysAt.poll();
        }
        return arrivedFromOtherRelaysAt.size() * MANY_ARRIVALS_DIVISOR > associationCount;
    }
}
