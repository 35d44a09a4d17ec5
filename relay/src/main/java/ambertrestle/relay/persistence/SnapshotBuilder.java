package ambertrestle.relay.persistence;

import ambertrestle.decide.LearnedState;
import ambertrestle.decide.LearnedState.BackendStatistics;
import ambertrestle.decide.LearnedState.Pin;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Maintains a copy of a relay's persistent state from the changes that the relay hands over, so that the event loop
 * never has to copy the whole state. The copy grows no larger than the relay's own state: a pin that the relay removes
 * is removed here too. Does no I/O. Not thread-safe: the writer thread owns it. Times are Unix time in nanoseconds.
 */
public final class SnapshotBuilder {
    private final String relayName;
    /** The roster service that last confirmed the roster; at first that of the initial roster, or empty. */
    private String rosterAddress = "";

    /** When the roster was last confirmed, 0 for never. */
    private long rosterConfirmedAt;

    /** The complete roster. Version -1 means that no roster is known yet. */
    private RosterMessage roster = new RosterMessage(-1, true, List.of());

    private final Map<Long, BackendStatistics> backendStatistics = new HashMap<>();
    /** Pins by key, the least recently changed first. */
    private final LinkedHashMap<Long, Pin> pins = new LinkedHashMap<>();

    private long tableFormat;
    private LearnedState.RelayStatistics relayStatistics = LearnedState.RelayStatistics.EMPTY;

    public SnapshotBuilder(String relayName) {
        this.relayName = relayName;
    }

    /**
     * Sets the roster with which the relay starts. Without it, a relay that never reaches its roster service would lose
     * the persisted roster, because its next state file would hold an empty one.
     *
     * @param rosterAddress the roster service with which the relay starts
     * @param confirmedAt when the roster was last confirmed; 0 if unknown
     */
    public void setInitialRoster(String rosterAddress, long confirmedAt, RosterMessage initialRoster) {
        onRosterConfirmed(rosterAddress, confirmedAt);
        apply(initialRoster);
    }

    /** Applies a message of the roster service: the complete roster or an update. */
    public void apply(RosterMessage message) {
        roster = roster.withUpdate(message);
    }

    /** Records that the roster service at this address confirmed the roster; an earlier time than before is ignored. */
    public void onRosterConfirmed(String rosterAddress, long confirmedAt) {
        this.rosterAddress = rosterAddress;
        rosterConfirmedAt = Math.max(rosterConfirmedAt, confirmedAt);
    }

    /** Merges changed backend statistics and pins by their key; the relay statistics are replaced. */
    public void apply(LearnedState changes) {
        tableFormat = changes.tableFormat();
        relayStatistics = changes.relayStatistics();
        for (BackendStatistics statistics : changes.backends()) {
            backendStatistics.put(statistics.backend(), statistics);
        }
        for (Pin pin : changes.pins()) {
            pins.remove(pin.key());
            if (pin.unusedSince() != Pin.REMOVED) {
                pins.put(pin.key(), pin);
            }
        }
    }

    /**
     * Returns the current state. It has statistics only of backends in the roster, sorted by id; pins are in the order
     * of their last change, the most recent at the end.
     */
    public StateSnapshot build(long now) {
        backendStatistics
                .keySet()
                .retainAll(roster.entries().stream()
                        .map(entry -> RosterMessage.backendId(entry.name()))
                        .collect(Collectors.toSet()));
        List<BackendStatistics> sorted = new ArrayList<>(backendStatistics.values());
        sorted.sort((x, y) -> Long.compareUnsigned(x.backend(), y.backend()));
        return new StateSnapshot(
                relayName,
                rosterAddress,
                now,
                rosterConfirmedAt,
                roster,
                new LearnedState(tableFormat, relayStatistics, sorted, List.copyOf(pins.values()), false));
    }
}
