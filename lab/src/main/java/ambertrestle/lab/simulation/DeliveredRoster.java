package ambertrestle.lab.simulation;

import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.relay.wire.RosterMessage;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * What one relay was told of the roster, as its witness keeps it: the list it has, and since when each backend is to
 * get nothing.
 */
public final class DeliveredRoster {
    private final TreeMap<String, RosterMessage.Entry> lines = new TreeMap<>();
    private final TreeMap<String, Long> drainNotifiedAt = new TreeMap<>();
    private long index = -1;

    public void apply(RosterMessage message, long now) {
        index = message.version();
        if (message.isComplete()) {
            Set<String> named = new HashSet<>();
            message.entries().forEach(l -> named.add(l.name()));
            lines.keySet().retainAll(named);
        }
        for (RosterMessage.Entry line : message.entries()) {
            if (line.stage() == Stage.READY) {
                drainNotifiedAt.remove(line.name());
            } else {
                drainNotifiedAt.putIfAbsent(line.name(), now);
            }
            if (line.stage() == Stage.GONE) {
                lines.remove(line.name());
            } else {
                lines.put(line.name(), line);
            }
        }
    }

    /** It was told nothing yet. */
    public boolean isUninitialized() {
        return index < 0;
    }

    /** The list as it stands, which a relay is started again with. */
    public RosterMessage snapshot() {
        return new RosterMessage(index, true, List.copyOf(lines.values()));
    }

    /** When it was told that the backend drains or is gone; -1 where it was not. */
    public long drainNotifiedAt(String backend) {
        return drainNotifiedAt.getOrDefault(backend, -1L);
    }
}
