package ambertrestle.relay.connection;

import ambertrestle.relay.wire.Address;
import ambertrestle.relay.wire.NetworkEvent;

/** The inputs of {@link Reducer#apply}. */
public sealed interface Event {
    /** Something happened on a socket or on the roster watch. */
    record NetworkEventReceived(NetworkEvent networkEvent) implements Event {}

    /** The time of the latest {@link Effect.ScheduleTimer} was reached. */
    record TimerFired() implements Event {}

    /**
     * The configuration was read again and is valid. Carries the values that may change while the relay runs.
     *
     * @param maxSockets limit on the sockets in use by clients and backends together
     */
    record ConfigurationReloaded(Address rosterAddress, int maxSockets) implements Event {}

    /** The next part of the learned state is to be persisted; answered by {@link Effect.PersistLearnedState}. */
    record LearnedStateRequested() implements Event {}

    /** The relay is to shut down; {@link Effect.Stop} follows once no association is left. */
    record ShutdownRequested() implements Event {}
}
