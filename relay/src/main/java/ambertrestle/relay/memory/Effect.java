package ambertrestle.relay.memory;

import ambertrestle.relay.wire.Ask;
import java.util.Map;

/** All that the reducer can ask for. */
public sealed interface Effect {
    record OnWire(Ask ask) implements Effect { }

    /** Instead of any earlier time. */
    record WakeAt(long time) implements Effect { }

    /** A line of the log: what happened, in words, and to whom by name. */
    record Note(String event, String line, Map<String, String> fields) implements Effect { }

    /** All is settled; the program may end. */
    record Stop() implements Effect { }
}
