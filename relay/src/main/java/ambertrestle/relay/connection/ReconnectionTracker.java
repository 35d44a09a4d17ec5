package ambertrestle.relay.connection;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;

/** Who came back lately from a relay other than this one: many at once show that another one is away. */
final class ReconnectionTracker {
    /** As long as a relay is away at a planned restart. */
    private static final long WINDOW_NANOS = 6_000_000_000L;

    /** Clients whose connections ended here by move or break, and when. */
    private final LinkedHashMap<Long, Long> endedHereAt = new LinkedHashMap<>();

    private final ArrayDeque<Long> arrivalsFromOtherRelays = new ArrayDeque<>();

    void onConnectionEnded(long client, long now) {
        endedHereAt.remove(client);
        endedHereAt.put(client, now);
        endedHereAt.values().removeIf(at -> now - at > WINDOW_NANOS);
    }

    void onClientReturned(long client, long now) {
        if (endedHereAt.remove(client) == null) {
            arrivalsFromOtherRelays.add(now);
        }
    }

    /** At least a third of the connections open here came lately from another relay. */
    boolean hasManyFromOtherRelays(int open, long now) {
        while (!arrivalsFromOtherRelays.isEmpty() && now - arrivalsFromOtherRelays.peek() > WINDOW_NANOS) {
            arrivalsFromOtherRelays.poll();
        }
        return arrivalsFromOtherRelays.size() * 3 > open;
    }
}
