package ambertrestle.relay.persistence;

import ambertrestle.decide.LearnedState;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What has changed since the last hand-over, gathered on the event loop a part at a time. A list that changes again and
 * again while the disk stalls takes the room of one list.
 */
public final class StateChanges {
    private final Map<String, RosterMessage.Entry> lines = new LinkedHashMap<>();
    private boolean replacesRoster;
    private long rosterVersion = -1;
    private final List<LearnedState> parts = new ArrayList<>();

    public void add(RosterMessage message) {
        if (message.isComplete()) {
            lines.clear();
            replacesRoster = true;
        }
        rosterVersion = message.version();
        message.entries().forEach(l -> lines.put(l.name(), l));
    }

    public void add(LearnedState part) {
        parts.add(part);
    }

    /** Off the loop: from here on nobody else may touch it. */
    public void applyTo(SnapshotBuilder mirror) {
        if (rosterVersion >= 0) {
            mirror.apply(new RosterMessage(rosterVersion, replacesRoster, List.copyOf(lines.values())));
        }
        parts.forEach(mirror::apply);
    }
}
