package ambertrestle.relay.wire;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.JsonEventType;
import io.vertx.core.parsetools.JsonParser;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Reads what a watch brings: JSON values one after the other, whatever white space stands in or between them and
 * wherever the pieces are cut. No socket, no timer. What is no JSON, or no message, is told once and ends it; one
 * faulty entry does not.
 */
final class RosterStream {
    /** Bounds what one message may hold in memory: some twenty thousand entries, indented. */
    static final int LONGEST = 8 << 20;

    private final JsonParser parser = JsonParser.newParser().objectValueMode();
    private final Consumer<Heard.Roster> tell;
    private final Consumer<String> broke;
    /** What came since the last value was whole; 0 while none has begun. */
    private int unread;

    private boolean over;

    RosterStream(Consumer<Heard.Roster> tell, Consumer<String> broke) {
        this.tell = tell;
        this.broke = broke;
        parser.exceptionHandler(e -> nonsense(e.getMessage()));
        parser.handler(event -> {
            unread = 0;
            if (event.type() == JsonEventType.VALUE && event.isObject()) {
                message(event.objectValue());
            } else {
                nonsense("a value that is no object");
            }
        });
    }

    void feed(Buffer piece) {
        if (over) {
            return;
        }
        // Danger: an object without end would fill the memory; empty lines, which come for months, hold none.
        unread += piece.length() < 8 && piece.toString().isBlank() ? 0 : piece.length();
        parser.handle(piece);
        if (!over && unread > LONGEST) {
            end("a message too long");
        }
    }

    /** Nothing is half heard: the list as it was told stands. */
    boolean whole() {
        return !over && unread == 0;
    }

    private void message(JsonObject json) {
        if (over) {
            return;
        }
        Map<String, String> faulty = new TreeMap<>();
        RosterMessage message;
        try {
            message = RosterMessage.decode(json, faulty::put);
        } catch (IllegalArgumentException e) {
            nonsense(e.getMessage());
            return;
        }
        tell.accept(new Heard.Roster(message, faulty));
    }

    private void nonsense(String why) {
        end("nonsense: " + why);
    }

    private void end(String why) {
        if (!over) {
            over = true;
            broke.accept(why);
        }
    }
}
