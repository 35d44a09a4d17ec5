package ambertrestle.decide;

import java.util.ArrayList;

/** Where a key's established connections are: the server recorded last, and those open now. Kept by the module. */
final class Entry {
    final long key;
    Backend backend;
    final ArrayList<Association> open = new ArrayList<>(2);
    long endedAt;
    /** It is in the tracking table no more. */
    boolean gone;

    Entry(long key) {
        this.key = key;
    }

    /** What of it outlives this process. */
    Kept.Pin pin() {
        boolean none = gone || backend == null;
        return new Kept.Pin(
                key,
                none ? 0 : backend.id,
                none ? Kept.Pin.GONE : open.isEmpty() && endedAt > 0 ? endedAt : Kept.Pin.OPEN);
    }
}
