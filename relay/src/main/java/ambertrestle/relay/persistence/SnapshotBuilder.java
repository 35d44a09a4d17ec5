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
 * What a relay would keep, put together from the changes it hands over, so that the event loop never copies all of it.
 * Whoever writes it owns it; no I/O here. It holds what the relay itself holds and no more: a pin that went there goes
 * here.
 */
public final class SnapshotBuilder {
    private final String relay;
    private String rosterAt = "";
    private long heardAt;
    private RosterMessage list = new RosterMessage(-1, true, List.of());
    private final Map<Long, BackendStatistics> judged = new HashMap<>();
    /** Least lately changed first. */
    private final LinkedHashMap<Long, Pin> pins = new LinkedHashMap<>();

    private long table;
    private LearnedState.RelayStatistics relayStatistics = LearnedState.RelayStatistics.EMPTY;

    public SnapshotBuilder(String relay) {
        this.relay = relay;
    }

    /** Begins with the list that the relay begins with, so that one that never hears another does not lose it. */
    public void setInitialRoster(String from, long at, RosterMessage list) {
        onRosterConfirmed(from, at);
        apply(list);
    }

    /** The list as that service has it, whole or what changed. */
    public void apply(RosterMessage message) {
        list = list.withUpdate(message);
    }

    public void onRosterConfirmed(String from, long at) {
        rosterAt = from;
        heardAt = Math.max(heardAt, at);
    }

    public void apply(LearnedState changes) {
        table = changes.tableFormat();
        relayStatistics = changes.relayStatistics();
        for (BackendStatistics j : changes.backends()) {
            judged.put(j.backend(), j);
        }
        for (Pin p : changes.pins()) {
            pins.remove(p.key());
            if (p.unusedSince() != Pin.REMOVED) {
                pins.put(p.key(), p);
            }
        }
    }

    /** All of it now: judgments of backends that are listed, the pins changed last at the end. */
    public StateSnapshot build(long now) {
        judged.keySet()
                .retainAll(list.entries().stream()
                        .map(l -> RosterMessage.backendId(l.name()))
                        .collect(Collectors.toSet()));
        List<BackendStatistics> sorted = new ArrayList<>(judged.values());
        sorted.sort((x, y) -> Long.compareUnsigned(x.backend(), y.backend()));
        return new StateSnapshot(
                relay,
                rosterAt,
                now,
                heardAt,
                list,
                new LearnedState(table, relayStatistics, sorted, List.copyOf(pins.values()), false));
    }
}
