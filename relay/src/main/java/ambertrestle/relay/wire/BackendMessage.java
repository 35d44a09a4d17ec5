package ambertrestle.relay.wire;

/** A backend's line, decoded once. `raw` is the line as it came, with its end. */
public sealed interface BackendMessage {
    byte[] raw();

    record Up(byte[] raw) implements BackendMessage {}

    record Busy(byte[] raw) implements BackendMessage {}

    record Bye(byte[] raw) implements BackendMessage {}

    record Move(byte[] raw) implements BackendMessage {}

    record Err(byte[] raw) implements BackendMessage {}

    /** The load of the connection in the settings' unit: microseconds of work a second. */
    record Load(byte[] raw, double microsPerSecond) implements BackendMessage {}

    record Payload(byte[] raw) implements BackendMessage {}

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
            return micros >= 0 && micros < 1e12 ? new Load(raw, micros) : new Payload(raw);
        } catch (NumberFormatException e) {
            return new Payload(raw);
        }
    }
}
