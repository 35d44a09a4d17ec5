package ambertrestle.relay.connection;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts clients that recently reconnected from another relay. Many of them indicate that another relay is down. Its
 * memory and the work of a call are bounded, whatever clients send.
 */
final class ReconnectionTracker {
    /** How long a relay is down at a planned restart. */
    private static final long WINDOW_NANOS = 6_000_000_000L;

    /** The window consists of this many slots; a slot leaves it as a whole. */
    private static final int SLOT_COUNT = 60;

    private static final long SLOT_NANOS = WINDOW_NANOS / SLOT_COUNT;

    /** Clients from other relays are many if they number more than the associations divided by this number. */
    private static final int MANY_ARRIVALS_DIVISOR = 3;

    /** Limit on {@link #endedHereAt}; beyond it the oldest end is forgotten. */
    static final int MAX_TRACKED_ENDS = 8_192;

    /** When a client's connection at this relay was moved or ended by its backend, by client key, oldest first. */
    private final LinkedHashMap<Long, Long> endedHereAt = new LinkedHashMap<>();

    /** Arrivals from other relays by slot; slot `n` since the clock's origin is counted at `n` modulo the length. */
    private final int[] arrivalsBySlot = new int[SLOT_COUNT + 1];

    /** Sum of {@link #arrivalsBySlot}. */
    private int arrivalCount;
    /** The slot up to which the counts are current. */
    private long currentSlot;

    /** Records that the client's connection ended here, so that its return isn't attributed to another relay. */
    void onConnectionEnded(long clientKey, long now) {
        endedHereAt.remove(clientKey);
        endedHereAt.put(clientKey, now);
        Iterator<Map.Entry<Long, Long>> oldest = endedHereAt.entrySet().iterator();
        while (endedHereAt.size() > MAX_TRACKED_ENDS
                || now - endedHereAt.values().iterator().next() > WINDOW_NANOS) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Records a client that reconnects; it came from another relay unless its connection ended here recently. */
    void onClientReturned(long clientKey, long now) {
        if (endedHereAt.remove(clientKey) == null) {
            advanceTo(now);
            arrivalsBySlot[slotIndex(currentSlot)]++;
            arrivalCount++;
        }
    }

    /**
     * Returns true if the clients that arrived from other relays within the window number more than a third of this
     * relay's associations.
     */
    boolean hasManyFromOtherRelays(int associationCount, long now) {
        advanceTo(now);
        return (long) arrivalCount * MANY_ARRIVALS_DIVISOR > associationCount;
    }

    /** Returns the number of ends that are tracked now. */
    int trackedEnds() {
        return endedHereAt.size();
    }

    /** Empties the slots that have left the window. */
    private void advanceTo(long now) {
        long slot = now / SLOT_NANOS;
        long steps = Math.min(slot - currentSlot, arrivalsBySlot.length);
        for (long step = 1; step <= steps; step++) {
            int index = slotIndex(slot - steps + step);
            arrivalCount -= arrivalsBySlot[index];
            arrivalsBySlot[index] = 0;
        }
        currentSlot = Math.max(currentSlot, slot);
    }

    private int slotIndex(long slot) {
        return (int) Math.floorMod(slot, (long) arrivalsBySlot.length);
    }
}
