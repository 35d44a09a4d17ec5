package ambertrestle.relay.connection;

import ambertrestle.decide.RosterEntry;
import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** The roster's names turned into the module's ids, alike at every relay, and into this relay's addresses. */
public final class BackendDirectory {
    /** Each backend as it was last listed in use; the address of one that is gone is still wanted. */
    private final Map<Long, RosterMessage.Entry> lastEntries = new HashMap<>();

    private final List<String> zones;
    private final List<String> machineTypes;
    long rosterVersion = -1;

    BackendDirectory(List<String> zones, List<String> types) {
        this.zones = zones;
        this.machineTypes = types;
    }

    /** The module's id of a backend. */
    public static long backendId(String name) {
        return RosterMessage.backendId(name);
    }

    List<RosterEntry> update(RosterMessage message) {
        rosterVersion = message.version();
        List<RosterEntry> listed = new ArrayList<>();
        for (RosterMessage.Entry line : message.entries()) {
            long id = backendId(line.name());
            if (line.stage() != Stage.GONE) {
                lastEntries.put(id, line);
            }
            listed.add(new RosterEntry(
                    id,
                    line.stage(),
                    line.startedAtMillis() * 1_000_000,
                    line.cell(),
                    line.weight(),
                    Math.max(0, zones.indexOf(line.zone())),
                    Math.max(0, machineTypes.indexOf(line.type()))));
        }
        return listed;
    }

    /** Danger: in a whole list one faulty entry would pass for a backend that is gone; what was known of it stands. */
    RosterMessage withLastKnownEntries(RosterMessage message, Set<String> names) {
        if (!message.isComplete() || names.isEmpty()) {
            return message;
        }
        List<RosterMessage.Entry> lines = new ArrayList<>(message.entries());
        names.stream()
                .map(name -> lastEntries.get(backendId(name)))
                .filter(Objects::nonNull)
                .forEach(lines::add);
        return new RosterMessage(message.version(), true, lines);
    }

    String addressOf(long backend) {
        RosterMessage.Entry line = lastEntries.get(backend);
        return line == null ? null : line.address();
    }
}
