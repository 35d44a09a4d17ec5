package ambertrestle.relay.wire;

import java.util.Map;

/** What the sockets tell. Accepted sockets are numbered upwards from 1, dialled ones downwards from -1. */
public sealed interface NetworkEvent {
    record ClientAccepted(long socket) implements NetworkEvent {}

    record ClientMessageReceived(long socket, ClientMessage message) implements NetworkEvent {}

    record BackendMessageReceived(long socket, BackendMessage message) implements NetworkEvent {}

    /** A dialled socket is up and its first line about to go out. */
    record BackendConnected(long socket) implements NetworkEvent {}

    /** The first line is out to its last byte. */
    record FirstLineWritten(long socket) implements NetworkEvent {}

    /** The peer has ended its sending; it may still listen. */
    record InputShutdown(long socket) implements NetworkEvent {}

    /** The socket is given back, whoever closed it; `reset`: the peer broke it off. */
    record SocketClosed(long socket, boolean isReset) implements NetworkEvent {}

    /** The peer sent what is no line. */
    record FramingError(long socket) implements NetworkEvent {}

    /** `faulty`: why entries were left out, by their names; what was known of those stands. */
    record RosterReceived(RosterMessage message, Map<String, String> faultyEntries) implements NetworkEvent {
        public RosterReceived(RosterMessage message) {
            this(message, Map.of());
        }
    }

    record RosterWatchFailed(String reason) implements NetworkEvent {}
}
