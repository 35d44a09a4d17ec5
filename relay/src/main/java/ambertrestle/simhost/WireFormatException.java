package ambertrestle.simhost;

/** The simulator's input violates the protocol; the message says where and how. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public WireFormatException(String message) {
        super(message);
    }
}
