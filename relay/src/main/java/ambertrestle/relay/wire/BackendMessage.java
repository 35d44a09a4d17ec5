package ambertrestle.relay.wire;

/** A decoded line from a backend. */
public sealed interface BackendMessage {
    /** The line as received, including its CRLF. */
    byte[] raw();

    /** The backend accepted the connection. */
    record Up(byte[] raw) implements BackendMessage {}

    /** The backend has no capacity for the connection. */
    record Busy(byte[] raw) implements BackendMessage {}

    /** The backend ends the connection normally. */
    record Bye(byte[] raw) implements BackendMessage {}

    /** The backend ends the connection, for example because it drains, and asks the client to reconnect. */
    record Move(byte[] raw) implements BackendMessage {}

    /** The backend reports an error. */
    record Err(byte[] raw) implements BackendMessage {}

    /** The load of the connection, in microseconds of work per second. */
    record Load(byte[] raw, double microsPerSecond) implements BackendMessage {
        /** Exclusive upper bound of a valid load, in microseconds of work per second. */
        private static final double LOAD_LIMIT_MICROS_PER_SECOND = 1e12;
    }

    /** Any other line, including a LOAD whose value is malformed or out of range. */
    record Payload(byte[] raw) implements BackendMessage {}

    /** Decodes a line that ends in CRLF. Never fails: a line that is not recognized becomes a {@link Payload}. */
    static BackendMessage decode(byte[] raw) {
        String line = LineDecoder.decodeText(raw);
        int space = line.indexOf(' ');
        return switch (space < 0 ? line : line.substring(0, space)) {
            case "UP" -> new Up(raw);
            case "BUSY" -> new Busy(raw);
            case "BYE" -> new Bye(raw);
            case "MOVE" -> new Move(raw);
            case "ERR" -> new Err(raw);
            case "LOAD" -> decodeLoad(raw, line.substring(space + 1));
            default -> new Payload(raw);
        };
    }

    private static BackendMessage decodeLoad(byte[] raw, String value) {
        try {
            double micros = Double.parseDouble(value);
            return micros >= 0 && micros < Load.LOAD_LIMIT_MICROS_PER_SECOND ? new Load(raw, micros) : new Payload(raw);
        } catch (NumberFormatException e) {
            return new Payload(raw);
        }
    }
}
