package ambertrestle.relay.memory;

import ambertrestle.relay.wire.Address;
import ambertrestle.relay.wire.Heard;

/** All that can happen to a relay. */
public sealed interface Event {
    record OnWire(Heard heard) implements Event {}

    /** The time that the last WakeAt named has come. */
    record Woke() implements Event {}

    /** The configuration was read anew, and is sound: what of it may change while the relay runs. */
    record Reread(Address rosterAt, int mostSockets) implements Event {}

    /** Give a part of what is to be kept beyond this process. */
    record Keep() implements Event {}

    /** This relay shall stop. */
    record ToldToStop() implements Event {}
}
