package ambertrestle.relay.memory;

import ambertrestle.decide.Kept;
import ambertrestle.relay.wire.Ask;
import ambertrestle.relay.wire.RosterMessage;
import java.util.Map;

/** All that the reducer can ask for. */
public sealed interface Effect {
    record OnWire(Ask ask) implements Effect {}

    /** Instead of any earlier time. */
    record WakeAt(long time) implements Effect {}

    /** A line of the log: what happened, in words, and to whom by name. */
    record Note(String event, String line, Map<String, String> fields) implements Effect {}

    /** A part of what the module would keep beyond this process. */
    record Keep(Kept part) implements Effect {}

    /** The roster service said this, and it was taken. */
    record KeepRoster(RosterMessage message) implements Effect {}

    /** All is settled; the program may end. */
    record Stop() implements Effect {}
}
