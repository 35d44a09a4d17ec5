package ambertrestle.decide;

import java.util.ArrayList;

/** Where a key's established connections are: the server recorded last, and those open now. Kept by the module. */
final class TrackingEntry {
    final long key;
    Backend pinnedBackend;
    final ArrayList<Association> openConnections = new ArrayList<>(2);
    long unusedSince;
    /** It is in the tracking table no more. */
    boolean removed;

    TrackingEntry(long key) {
        this.key = key;
    }

    /** What of it outlives this process. */
    LearnedState.Pin toPin() {
        boolean none = removed || pinnedBackend == null;
        return new LearnedState.Pin(
                key,
                none ? 0 : pinnedBackend.id,
                none
                        ? LearnedState.Pin.REMOVED
                        : openConnections.isEmpty() && unusedSince > 0 ? unusedSince : LearnedState.Pin.IN_USE);
    }
}
