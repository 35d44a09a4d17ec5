package ambertrestle.relay.persistence;

import ambertrestle.decide.LearnedState;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The changes since the last persisted snapshot, collected on the event loop in small parts. Roster entries are merged
 * by name, so a roster that changes repeatedly while the disk is stalled needs no more memory than one roster.
 *
 * <p>Not thread-safe: the event loop fills an instance, then hands it over to the writer thread for good.
 */
public final class StateChanges {
    /** The latest entry of each backend, by name. */
    private final Map<String, RosterMessage.Entry> rosterEntries = new LinkedHashMap<>();
    /** Whether {@link #rosterEntries} is a complete roster and not an update. */
    private boolean replacesRoster;
    /** The version of the last roster message, or -1 if there was none. */
    private long rosterVersion = -1;

    private final List<LearnedState> learnedStateParts = new ArrayList<>();

    /** Adds a message of the roster service; a complete roster replaces all entries added before. */
    public void add(RosterMessage message) {
        if (message.isComplete()) {
            rosterEntries.clear();
            replacesRoster = true;
        }
        rosterVersion = message.version();
        message.entries().forEach(entry -> rosterEntries.put(entry.name(), entry));
    }

    /** Adds changed learned state. Parts are applied in the order in which they were added. */
    public void add(LearnedState part) {
        learnedStateParts.add(part);
    }

    /**
     * Applies the changes to the builder. Runs on the writer thread; after the hand-over no other thread may use this
     * instance.
     */
    public void applyTo(SnapshotBuilder builder) {
        if (rosterVersion >= 0) {
            builder.apply(new RosterMessage(rosterVersion, replacesRoster, List.copyOf(rosterEntries.values())));
        }
        learnedStateParts.forEach(builder::apply);
    }
}
