package ambertrestle.relay.connection;

import ambertrestle.relay.wire.Address;
import ambertrestle.relay.wire.NetworkEvent;

/** All that can happen to a relay. */
public sealed interface Event {
    record NetworkEventReceived(NetworkEvent networkEvent) implements Event {}

    /** The time that the last WakeAt named has come. */
    record TimerFired() implements Event {}

    /** The configuration was read anew, and is sound: what of it may change while the relay runs. */
    record ConfigurationReloaded(Address rosterAddress, int maxSockets) implements Event {}

    /** Give a part of what is to be kept beyond this process. */
    record LearnedStateRequested() implements Event {}

    /** This relay shall stop. */
    record ShutdownRequested() implements Event {}
}
