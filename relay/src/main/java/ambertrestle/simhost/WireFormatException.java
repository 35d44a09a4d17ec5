package ambertrestle.simhost;

/** Input that is not the wire's: the message names what and where. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public WireFormatException(String message) {
        super(message);
    }
}
