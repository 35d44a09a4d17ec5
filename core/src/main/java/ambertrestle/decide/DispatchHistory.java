package ambertrestle.decide;

import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the dispatches of associations that have ended, as far as they may have run, by the associations' ids. A
 * client that left and comes again with the same id is thereby bound by its earlier dispatches. Entries are kept for a
 * limited time and in a limited number; ids beyond that count as new. Times are in nanoseconds.
 */
final class DispatchHistory {
    /** How long an entry is kept; clients that come again do so within seconds. */
    static final long RETENTION = 60_000_000_000L;

    /** Limit on the entries; beyond it the oldest is forgotten. An entry takes about 150 bytes. */
    static final int MAX_ENTRIES = 8_192;

    /**
     * The dispatches of one association that may have run.
     *
     * @param endedAt when the association ended
     * @param sentTo backend id of each dispatch
     * @param sentAt time of each dispatch
     */
    private record Entry(long endedAt, long[] sentTo, long[] sentAt) {}

    /** By association id, in the order in which the associations ended. */
    private final LinkedHashMap<Long, Entry> entries = new LinkedHashMap<>();

    /**
     * Records an association that has ended; does nothing if none of its dispatches may have run, or if they may be
     * repeated without limit.
     */
    void record(Association association, UseCase useCase, long now) {
        if (useCase.effect() == UseCase.Effect.RETRIABLE || association.noDispatchRan()) {
            return;
        }
        long[] sentTo = new long[association.dispatchCount];
        long[] sentAt = new long[association.dispatchCount];
        int count = 0;
        for (int dispatch = 0; dispatch < association.dispatchCount; dispatch++) {
            if (association.dispatchStates[dispatch] != Association.DispatchState.NEVER_RAN) {
                sentTo[count] = association.sentTo[dispatch];
                sentAt[count++] = association.sentAt[dispatch];
            }
        }
        entries.remove(association.id);
        entries.put(association.id, new Entry(now, Arrays.copyOf(sentTo, count), Arrays.copyOf(sentAt, count)));
        removeOld(now);
    }

    private void removeOld(long now) {
        Iterator<Map.Entry<Long, Entry>> oldest = entries.entrySet().iterator();
        while (oldest.hasNext()
                && (now - oldest.next().getValue().endedAt >= RETENTION || entries.size() > MAX_ENTRIES)) {
            oldest.remove();
        }
    }

    /**
     * Adds the dispatches of an earlier association with the same id to one that has none yet. They don't count towards
     * the limit on dispatches.
     */
    void restoreInto(Association association, long now) {
        Entry entry = entries.get(association.id);
        if (entry == null || now - entry.endedAt >= RETENTION) {
            return;
        }
        for (int dispatch = 0; dispatch < entry.sentTo.length; dispatch++) {
            association.recordDispatch(entry.sentTo[dispatch], entry.sentAt[dispatch]);
            association.dispatchStates[dispatch] = Association.DispatchState.MAY_HAVE_RUN;
        }
        association.uncountedDispatches += entry.sentTo.length;
    }

    int size() {
        return entries.size();
    }
}
