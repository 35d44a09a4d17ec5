package ambertrestle.relay.durable;

import ambertrestle.decide.Kept;
import ambertrestle.decide.Kept.Judged;
import ambertrestle.decide.Kept.Pin;
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
public final class Mirror {
    private final String relay;
    private String rosterAt = "";
    private long heardAt;
    private RosterMessage list = new RosterMessage(-1, true, List.of());
    private final Map<Long, Judged> judged = new HashMap<>();
    /** Least lately changed first. */
    private final LinkedHashMap<Long, Pin> pins = new LinkedHashMap<>();

    private long table;
    private Kept.Whole whole = Kept.Whole.NOTHING;

    public Mirror(String relay) {
        this.relay = relay;
    }

    /** Begins with the list that the relay begins with, so that one that never hears another does not lose it. */
    public void begin(String from, long at, RosterMessage list) {
        heard(from, at);
        take(list);
    }

    /** The list as that service has it, whole or what changed. */
    public void take(RosterMessage message) {
        list = list.after(message);
    }

    public void heard(String from, long at) {
        rosterAt = from;
        heardAt = Math.max(heardAt, at);
    }

    public void take(Kept changes) {
        table = changes.table();
        whole = changes.whole();
        for (Judged j : changes.backends()) {
            judged.put(j.backend(), j);
        }
        for (Pin p : changes.pins()) {
            pins.remove(p.key());
            if (p.endedAt() != Pin.GONE) {
                pins.put(p.key(), p);
            }
        }
    }

    /** All of it now: judgments of backends that are listed, the pins changed last at the end. */
    public Picture picture(long now) {
        judged.keySet()
                .retainAll(list.lines().stream()
                        .map(l -> RosterMessage.id(l.name()))
                        .collect(Collectors.toSet()));
        List<Judged> sorted = new ArrayList<>(judged.values());
        sorted.sort((x, y) -> Long.compareUnsigned(x.backend(), y.backend()));
        return new Picture(
                relay, rosterAt, now, heardAt, list, new Kept(table, whole, sorted, List.copyOf(pins.values()), false));
    }
}
