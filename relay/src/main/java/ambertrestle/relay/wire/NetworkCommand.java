package ambertrestle.relay.wire;

/**
 * A command to the network layer. Sockets are identified by the numbers described at {@link NetworkEvent}. A command to
 * a socket that is not open has no effect, except that {@link Close} and {@link Reset} cancel a pending connect.
 */
public sealed interface NetworkCommand {
    /**
     * Connects to a backend and writes the first line.
     *
     * @param socket number for the new socket, negative and not used before
     * @param address `host:port`; if it is malformed, the connect fails and {@link NetworkEvent.SocketClosed} is
     *     reported
     * @param firstLine includes its CRLF
     */
    record Connect(long socket, String address, byte[] firstLine) implements NetworkCommand {}

    /** Writes a line, which includes its CRLF. */
    record Write(long socket, byte[] line) implements NetworkCommand {}

    /** Applies backpressure between two sockets: each is read only while the write queue of the other has room. */
    record LinkFlowControl(long firstSocket, long secondSocket) implements NetworkCommand {}

    /** Closes the sending direction after pending writes are flushed. */
    record ShutdownOutput(long socket) implements NetworkCommand {}

    /** Closes the socket after pending writes are flushed. */
    record Close(long socket) implements NetworkCommand {}

    /** Closes the socket at once with a TCP reset and discards pending writes. */
    record Reset(long socket) implements NetworkCommand {}

    /**
     * Watches the roster service at this address and replaces the current watch. Asks for the changes since
     * `fromVersion`, or, if it is negative, for the complete roster first.
     */
    record WatchRoster(Address address, long fromVersion) implements NetworkCommand {}
}
