package ambertrestle.relay.durable;

import ambertrestle.decide.Kept;
import ambertrestle.relay.wire.RosterMessage;
import java.util.List;

/**
 * All that is kept of one relay at one moment; what a file holds. `rosterAt`: the roster service whose versions the
 * list's is one of; `heardAt`: when that service last said that the list stands; `keptAt`: when this was taken. Times
 * in nanoseconds, Unix time; 0 for never.
 */
public record Picture(String relay, String rosterAt, long keptAt, long heardAt, RosterMessage roster, Kept kept) {
    Picture withoutPins() {
        return new Picture(
                relay,
                rosterAt,
                keptAt,
                heardAt,
                roster,
                new Kept(kept.table(), kept.whole(), kept.backends(), List.of(), false));
    }
}
