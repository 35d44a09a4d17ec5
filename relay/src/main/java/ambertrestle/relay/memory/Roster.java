package ambertrestle.relay.memory;

import ambertrestle.decide.Listed;
import ambertrestle.decide.Listed.Stage;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** The roster's names turned into the module's ids, alike at every relay, and into this relay's addresses. */
public final class Roster {
    /** Each backend as it was last listed in use; the address of one that is gone is still wanted. */
    private final Map<Long, RosterMessage.Line> last = new HashMap<>();

    private final List<String> zones;
    private final List<String> types;
    long index = -1;

    Roster(List<String> zones, List<String> types) {
        this.zones = zones;
        this.types = types;
    }

    /** The module's id of a backend. */
    public static long id(String name) {
        return RosterMessage.id(name);
    }

    List<Listed> take(RosterMessage message) {
        index = message.index();
        List<Listed> listed = new ArrayList<>();
        for (RosterMessage.Line line : message.lines()) {
            long id = id(line.name());
            if (line.stage() != Stage.GONE) {
                last.put(id, line);
            }
            listed.add(new Listed(
                    id,
                    line.stage(),
                    line.sinceMillis() * 1_000_000,
                    line.cell(),
                    line.weight(),
                    Math.max(0, zones.indexOf(line.zone())),
                    Math.max(0, types.indexOf(line.type()))));
        }
        return listed;
    }

    /** Danger: in a whole list one faulty entry would pass for a backend that is gone; what was known of it stands. */
    RosterMessage withKnown(RosterMessage message, Set<String> names) {
        if (!message.whole() || names.isEmpty()) {
            return message;
        }
        List<RosterMessage.Line> lines = new ArrayList<>(message.lines());
        names.stream().map(name -> last.get(id(name))).filter(Objects::nonNull).forEach(lines::add);
        return new RosterMessage(message.index(), true, lines);
    }

    String address(long backend) {
        RosterMessage.Line line = last.get(backend);
        return line == null ? null : line.address();
    }
}
