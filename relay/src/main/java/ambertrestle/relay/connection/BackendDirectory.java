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

/**
 * Translates roster entries for the balancing policy and maps backend ids to addresses. An id depends on the backend's
 * name only, so it is the same at every relay.
 */
public final class BackendDirectory {
    private static final int NANOS_PER_MILLI = 1_000_000;

    /**
     * Latest entry by backend id. A GONE entry doesn't replace the previous one, because connections may still need the
     * address of a backend that is gone.
     */
    private final Map<Long, RosterMessage.Entry> lastEntries = new HashMap<>();

    /** Zone names; a name's position is its index for the balancing policy. */
    private final List<String> zones;
    /** Machine type names; a name's position is its index for the balancing policy. */
    private final List<String> machineTypes;
    /** Version of the latest roster message; -1 requests the complete roster with the next watch. */
    long rosterVersion = -1;

    BackendDirectory(List<String> zones, List<String> machineTypes) {
        this.zones = zones;
        this.machineTypes = machineTypes;
    }

    /** Returns the id under which the balancing policy knows the backend with this name. */
    public static long backendId(String name) {
        return RosterMessage.backendId(name);
    }

    /**
     * Records the message's version and entries and returns the entries in the balancing policy's form. An unknown zone
     * or machine type gets index 0.
     */
    List<RosterEntry> update(RosterMessage message) {
        rosterVersion = message.version();
        List<RosterEntry> rosterEntries = new ArrayList<>();
        for (RosterMessage.Entry entry : message.entries()) {
            long id = backendId(entry.name());
            if (entry.stage() != Stage.GONE) {
                lastEntries.put(id, entry);
            }
            rosterEntries.add(new RosterEntry(
                    id,
                    entry.stage(),
                    entry.startedAtMillis() * NANOS_PER_MILLI,
                    entry.cell(),
                    entry.weight(),
                    Math.max(0, zones.indexOf(entry.zone())),
                    Math.max(0, machineTypes.indexOf(entry.type()))));
        }
        return rosterEntries;
    }

    /**
     * Adds the last known entries of the named backends, whose new entries are faulty, to a complete roster. Without
     * this, one faulty entry would remove its backend, because a complete roster removes all backends that it doesn't
     * list. An update that lists changes only is returned as it is.
     */
    RosterMessage withLastKnownEntries(RosterMessage message, Set<String> faultyNames) {
        if (!message.isComplete() || faultyNames.isEmpty()) {
            return message;
        }
        List<RosterMessage.Entry> entries = new ArrayList<>(message.entries());
        faultyNames.stream()
                .map(name -> lastEntries.get(backendId(name)))
                .filter(Objects::nonNull)
                .forEach(entries::add);
        return new RosterMessage(message.version(), true, entries);
    }

    /** Returns the last known address, also of a backend that is gone; null if it was never listed. */
    String addressOf(long backendId) {
        RosterMessage.Entry entry = lastEntries.get(backendId);
        return entry == null ? null : entry.address();
    }
}
