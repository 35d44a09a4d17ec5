package ambertrestle.decide;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Which backends and pins changed since this was last asked; decides nothing. Until it is first asked nobody keeps
 * anything, and it costs nothing. It holds each backend and pin once, however often it changed, so a taker that is slow
 * costs no memory.
 */
final class ChangeTracker {
    private LinkedHashSet<Backend> changedBackends;
    private LinkedHashSet<TrackingEntry> changedEntries;

    void markChanged(Backend b) {
        if (changedBackends != null) {
            changedBackends.add(b);
        }
    }

    void markChanged(TrackingEntry entry) {
        if (changedEntries != null) {
            changedEntries.add(entry);
        }
    }

    /** The pin is in the table no more; always true. */
    boolean markRemoved(TrackingEntry entry) {
        entry.removed = true;
        markChanged(entry);
        return true;
    }

    /** The first call begins with all that there is. Takes time for `most` values and no more. */
    LearnedState takeChanges(
            int most,
            long table,
            LearnedState.RelayStatistics whole,
            Iterable<Backend> backends,
            Iterable<TrackingEntry> entries) {
        if (changedBackends == null) {
            changedBackends = new LinkedHashSet<>();
            changedEntries = new LinkedHashSet<>();
            backends.forEach(changedBackends::add);
            entries.forEach(changedEntries::add);
        }
        List<LearnedState.BackendStatistics> some = new ArrayList<>(Math.min(most, changedBackends.size()));
        for (Iterator<Backend> i = changedBackends.iterator(); i.hasNext() && some.size() < most; i.remove()) {
            some.add(i.next().toStatistics());
        }
        int left = most - some.size();
        List<LearnedState.Pin> pinned = new ArrayList<>(Math.min(left, changedEntries.size()));
        for (Iterator<TrackingEntry> i = changedEntries.iterator(); i.hasNext() && pinned.size() < left; i.remove()) {
            pinned.add(i.next().toPin());
        }
        return new LearnedState(table, whole, some, pinned, !changedBackends.isEmpty() || !changedEntries.isEmpty());
    }
}
