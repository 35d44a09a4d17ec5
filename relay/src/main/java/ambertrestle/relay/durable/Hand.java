package ambertrestle.relay.durable;

import ambertrestle.decide.Kept;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What has changed since the last hand-over, gathered on the event loop a part at a time. A list that changes again and
 * again while the disk stalls takes the room of one list.
 */
public final class Hand {
    private final Map<String, RosterMessage.Line> lines = new LinkedHashMap<>();
    private boolean whole;
    private long index = -1;
    private final List<Kept> parts = new ArrayList<>();

    public void take(RosterMessage message) {
        if (message.whole()) {
            lines.clear();
            whole = true;
        }
        index = message.index();
        message.lines().forEach(l -> lines.put(l.name(), l));
    }

    public void take(Kept part) {
        parts.add(part);
    }

    /** Off the loop: from here on nobody else may touch it. */
    public void into(Mirror mirror) {
        if (index >= 0) {
            mirror.take(new RosterMessage(index, whole, List.copyOf(lines.values())));
        }
        parts.forEach(mirror::take);
    }
}
