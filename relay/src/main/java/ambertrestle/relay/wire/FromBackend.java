package ambertrestle.relay.wire;

/** A backend's line, decoded once. `raw` is the line as it came, with its end. */
public sealed interface FromBackend {
    byte[] raw();

    record Up(byte[] raw) implements FromBackend {}

    record Busy(byte[] raw) implements FromBackend {}

    record Bye(byte[] raw) implements FromBackend {}

    record Move(byte[] raw) implements FromBackend {}

    record Err(byte[] raw) implements FromBackend {}

    /** The load of the connection in the settings' unit: microseconds of work a second. */
    record Load(byte[] raw, double micros) implements FromBackend {}

    record Text(byte[] raw) implements FromBackend {}

    static FromBackend decode(byte[] raw) {
        String line = Lines.text(raw);
        int space = line.indexOf(' ');
        return switch (space < 0 ? line : line.substring(0, space)) {
            case "UP" -> new Up(raw);
            case "BUSY" -> new Busy(raw);
            case "BYE" -> new Bye(raw);
            case "MOVE" -> new Move(raw);
            case "ERR" -> new Err(raw);
            case "LOAD" -> load(raw, line.substring(space + 1));
            default -> new Text(raw);
        };
    }

    private static FromBackend load(byte[] raw, String value) {
        try {
            double micros = Double.parseDouble(value);
            return micros >= 0 && micros < 1e12 ? new Load(raw, micros) : new Text(raw);
        } catch (NumberFormatException e) {
            return new Text(raw);
        }
    }
}
