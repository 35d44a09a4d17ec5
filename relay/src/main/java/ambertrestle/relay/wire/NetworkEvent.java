package ambertrestle.relay.wire;

import ambertrestle.decide.RosterInterruption;
import java.util.Map;

/**
 * An event of the network layer. Sockets are identified by numbers that are not reused: accepted sockets count up from
 * 1, sockets to backends count down from -1.
 */
public sealed interface NetworkEvent {
    /** A client connected. */
    record ClientAccepted(long socket) implements NetworkEvent {}

    /** A client sent a line. */
    record ClientMessageReceived(long socket, ClientMessage message) implements NetworkEvent {}

    /** A backend sent a line. */
    record BackendMessageReceived(long socket, BackendMessage message) implements NetworkEvent {}

    /** The connection to a backend is up; its first line is written next. */
    record BackendConnected(long socket) implements NetworkEvent {}

    /** The first line to a backend was written completely to the operating system. */
    record FirstLineWritten(long socket) implements NetworkEvent {}

    /** The peer closed its sending direction; it may still read. */
    record InputShutdown(long socket) implements NetworkEvent {}

    /**
     * The socket was released, whichever side closed it, or could not be connected. It is the last event of a socket.
     *
     * @param isReset true after an I/O error, such as a reset by the peer, and after a failed connect
     */
    record SocketClosed(long socket, boolean isReset) implements NetworkEvent {}

    /** The peer sent a line that is too long. May be reported again until the socket is closed. */
    record FramingError(long socket) implements NetworkEvent {}

    /**
     * The roster service sent a message.
     *
     * @param message the message with the valid entries only
     * @param faultyEntries the reasons why entries were skipped, by the entries' names; what earlier messages listed
     *     for those backends remains valid
     */
    record RosterReceived(RosterMessage message, Map<String, String> faultyEntries) implements NetworkEvent {
        /** A message without faulty entries. */
        public RosterReceived(RosterMessage message) {
            this(message, Map.of());
        }
    }

    /** The first data of a watch is an empty line: the roster that the relay has is the current one. */
    record RosterConfirmed() implements NetworkEvent {}

    /**
     * The watch on the roster service ended and must be requested again.
     *
     * @param reason text for the log
     * @param elapsedNanos time since the last data arrived for a silent watch, since the call was made for a failed
     *     call, otherwise 0
     */
    record RosterWatchFailed(String reason, RosterInterruption cause, long elapsedNanos) implements NetworkEvent {}
}
