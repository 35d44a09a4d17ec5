package ambertrestle.lab.world;

import ambertrestle.decide.Listed.Stage;
import ambertrestle.relay.wire.RosterMessage;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * What one relay was told of the roster, as its witness keeps it: the list it has, and since when each backend is to
 * get nothing.
 */
public final class HeardRoster {
    private final TreeMap<String, RosterMessage.Line> lines = new TreeMap<>();
    private final TreeMap<String, Long> drainTold = new TreeMap<>();
    private long index = -1;

    public void take(RosterMessage message, long now) {
        index = message.index();
        if (message.whole()) {
            Set<String> named = new HashSet<>();
            message.lines().forEach(l -> named.add(l.name()));
            lines.keySet().retainAll(named);
        }
        for (RosterMessage.Line line : message.lines()) {
            if (line.stage() == Stage.READY) {
                drainTold.remove(line.name());
            } else {
                drainTold.putIfAbsent(line.name(), now);
            }
            if (line.stage() == Stage.GONE) {
                lines.remove(line.name());
            } else {
                lines.put(line.name(), line);
            }
        }
    }

    /** It was told nothing yet. */
    public boolean isEmpty() {
        return index < 0;
    }

    /** The list as it stands, which a relay is started again with. */
    public RosterMessage known() {
        return new RosterMessage(index, true, List.copyOf(lines.values()));
    }

    /** When it was told that the backend drains or is gone; -1 where it was not. */
    public long drainTold(String backend) {
        return drainTold.getOrDefault(backend, -1L);
    }
}
