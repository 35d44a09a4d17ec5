package ambertrestle.lab.simulation;

import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.relay.wire.RosterMessage;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * The roster as delivered to one relay, recorded by the testbed: the entries that the relay knows, and since when each
 * backend has been known to it as draining or gone.
 */
public final class DeliveredRoster {
    /** Ready and draining backends by name. */
    private final TreeMap<String, RosterMessage.Entry> entries = new TreeMap<>();
    /**
     * When the relay was first notified that a backend is draining or gone, by the backend's name. Backends that are
     * ready, or were merely missing from a complete roster, have no entry.
     */
    private final TreeMap<String, Long> drainNotifiedAt = new TreeMap<>();
    /** Version of the last message; -1 before the first. */
    private long version = -1;

    /** Records a message delivered at {@code now}, in nanoseconds from the start of the run. */
    public void apply(RosterMessage message, long now) {
        version = message.version();
        if (message.isComplete()) {
            Set<String> listedNames = new HashSet<>();
            message.entries().forEach(entry -> listedNames.add(entry.name()));
            entries.keySet().retainAll(listedNames);
        }
        for (RosterMessage.Entry entry : message.entries()) {
            if (entry.stage() == Stage.READY) {
                drainNotifiedAt.remove(entry.name());
            } else {
                drainNotifiedAt.putIfAbsent(entry.name(), now);
            }
            if (entry.stage() == Stage.GONE) {
                entries.remove(entry.name());
            } else {
                entries.put(entry.name(), entry);
            }
        }
    }

    /** No message has been delivered yet. */
    public boolean isUninitialized() {
        return version < 0;
    }

    /** The current entries as a complete roster, for the configuration of a relay that is started again. */
    public RosterMessage snapshot() {
        return new RosterMessage(version, true, List.copyOf(entries.values()));
    }

    /**
     * When the relay was first notified that the backend is draining or gone, in nanoseconds from the start of the run;
     * -1 if it was not, or if the backend has been ready again since. A backend that is merely missing from a complete
     * roster doesn't count as gone.
     */
    public long drainNotifiedAt(String backend) {
        return drainNotifiedAt.getOrDefault(backend, -1L);
    }
}
