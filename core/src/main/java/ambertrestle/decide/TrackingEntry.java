package ambertrestle.decide;

import java.util.ArrayList;

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

    final ArrayList<Association> openConnections = new ArrayList<>(2);
    /** When a connection of the key last ended, in nanoseconds; 0 if none has ended yet. */
    long unusedSince;

    /** True once the entry was removed from the tracking table. */
    boolean removed;

    TrackingEntry(long key) {
        this.key = key;
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
