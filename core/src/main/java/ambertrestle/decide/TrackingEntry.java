package ambertrestle.decide;

import java.util.ArrayList;
import java.util.List;

/**
 * An entry of the tracking table: the backend that a key is pinned to and the key's open connections. A group whose
 * clients are assigned to several backends has a further entry for each subset index above 0. Those entries hold only a
 * pin and no connections.
 */
final class TrackingEntry {
    /** The placement key, or the pin key of a subset index above 0; unsigned. */
    final long key;

    /** The backend of the connection established last; null if the key has no pin. */
    Backend pinnedBackend;

    /**
     * Changed by {@link #addConnection} and {@link #removeConnection} only; most entries have none and hold no list.
     */
    List<Association> openConnections = List.of();
    /** When a connection of the key last ended, in nanoseconds; 0 if none has ended yet. */
    long unusedSince;

    /** True once the entry was removed from the tracking table. */
    boolean removed;

    TrackingEntry(long key) {
        this.key = key;
    }

    void addConnection(Association association) {
        if (openConnections.isEmpty()) {
            openConnections = new ArrayList<>(1);
        }
        openConnections.add(association);
    }

    /** Returns false if the connection is not in this entry. */
    boolean removeConnection(Association association) {
        if (openConnections.isEmpty() || !openConnections.remove(association)) {
            return false;
        }
        if (openConnections.isEmpty()) {
            openConnections = List.of();
        }
        return true;
    }

    /** Returns the part of this entry that is persisted. */
    LearnedState.Pin toPin() {
        boolean isUnpinned = removed || pinnedBackend == null;
        return new LearnedState.Pin(
                key,
                isUnpinned ? 0 : pinnedBackend.id,
                isUnpinned
                        ? LearnedState.Pin.REMOVED
                        : openConnections.isEmpty() && unusedSince > 0 ? unusedSince : LearnedState.Pin.IN_USE);
    }
}
