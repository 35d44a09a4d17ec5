package ambertrestle.decide;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Records which backends and pins changed since the changes were last taken, for incremental state snapshots. Recording
 * starts with the first call of {@link #takeChanges}; a relay that doesn't persist its state never pays for it. Each
 * backend and pin is held once however often it changes, so memory stays bounded if changes are taken slowly.
 */
final class ChangeTracker {
    /** Changed backends in order of their first change; null until changes are first taken. */
    private LinkedHashSet<Backend> changedBackends;

    /** Changed tracking entries in order of their first change; null until changes are first taken. */
    private LinkedHashSet<TrackingEntry> changedEntries;

    void markChanged(Backend backend) {
        if (changedBackends != null) {
            changedBackends.add(backend);
        }
    }

    void markChanged(TrackingEntry entry) {
        if (changedEntries != null) {
            changedEntries.add(entry);
        }
    }

    /** Records that the entry was removed from the tracking table. Always returns true, for use in a predicate. */
    boolean markRemoved(TrackingEntry entry) {
        entry.removed = true;
        markChanged(entry);
        return true;
    }

    /**
     * Takes up to {@code maxChanges} changes, backends first; the first call starts with every backend and entry. Apart
     * from that first call, the time is bounded by {@code maxChanges}, not by the size of the state.
     *
     * @param tableFormat identifies the lookup table's format, see {@link LearnedState}
     * @param relayStatistics relay-wide values, passed through unchanged
     * @param backends all backends, read by the first call only
     * @param entries all tracking entries, read by the first call only
     */
    LearnedState takeChanges(
            int maxChanges,
            long tableFormat,
            LearnedState.RelayStatistics relayStatistics,
            Iterable<Backend> backends,
            Iterable<TrackingEntry> entries) {
        if (changedBackends == null) {
            changedBackends = new LinkedHashSet<>();
            changedEntries = new LinkedHashSet<>();
            backends.forEach(changedBackends::add);
            entries.forEach(changedEntries::add);
        }
        List<LearnedState.BackendStatistics> backendStatistics =
                new ArrayList<>(Math.min(maxChanges, changedBackends.size()));
        for (Iterator<Backend> iterator = changedBackends.iterator();
                iterator.hasNext() && backendStatistics.size() < maxChanges;
                iterator.remove()) {
            backendStatistics.add(iterator.next().toStatistics());
        }
        int remaining = maxChanges - backendStatistics.size();
        List<LearnedState.Pin> pins = new ArrayList<>(Math.min(remaining, changedEntries.size()));
        for (Iterator<TrackingEntry> iterator = changedEntries.iterator();
                iterator.hasNext() && pins.size() < remaining;
                iterator.remove()) {
            pins.add(iterator.next().toPin());
        }
        return new LearnedState(
                tableFormat,
                relayStatistics,
                backendStatistics,
                pins,
                !changedBackends.isEmpty() || !changedEntries.isEmpty());
    }
}
