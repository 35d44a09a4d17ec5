package ambertrestle.relay.wire;

/** What the sockets are asked to do. */
public sealed interface Ask {
    /** Connects and writes the first line. */
    record Dial(long socket, String address, byte[] line) implements Ask {}

    record Write(long socket, byte[] line) implements Ask {}

    /** From now on neither of the two is read faster than the other one takes it in. */
    record Couple(long one, long other) implements Ask {}

    /** Ends the sending after what was written. */
    record Finish(long socket) implements Ask {}

    /** Closes after what was written. */
    record Close(long socket) implements Ask {}

    record Reset(long socket) implements Ask {}

    /** Watches the roster there from this version on, or, below 0, from the whole list on. */
    record Watch(Address at, long index) implements Ask {}
}
