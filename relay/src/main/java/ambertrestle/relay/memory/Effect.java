package ambertrestle.relay.memory;

import ambertrestle.relay.wire.Ask;

/** All that the reducer can ask for. */
public sealed interface Effect {
    record OnWire(Ask ask) implements Effect { }

    /** Instead of any earlier time. */
    record WakeAt(long time) implements Effect { }

    record Note(String line) implements Effect { }

    /** All is settled; the program may end. */
    record Stop() implements Effect { }
}
