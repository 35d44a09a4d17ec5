package ambertrestle.relay.wire;

/** What the sockets are asked to do. */
public sealed interface NetworkCommand {
    /** Connects and writes the first line. */
    record Connect(long socket, String address, byte[] firstLine) implements NetworkCommand {}

    record Write(long socket, byte[] line) implements NetworkCommand {}

    /** From now on neither of the two is read faster than the other one takes it in. */
    record LinkFlowControl(long firstSocket, long secondSocket) implements NetworkCommand {}

    /** Ends the sending after what was written. */
    record ShutdownOutput(long socket) implements NetworkCommand {}

    /** Closes after what was written. */
    record Close(long socket) implements NetworkCommand {}

    record Reset(long socket) implements NetworkCommand {}

    /** Watches the roster there from this version on, or, below 0, from the whole list on. */
    record WatchRoster(Address address, long fromVersion) implements NetworkCommand {}
}
