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
final class RosterStreamParser {
    /** Bounds what one message may hold in memory: some twenty thousand entries, indented. */
    static final int MAX_MESSAGE_BYTES = 8 << 20;

    private final JsonParser parser = JsonParser.newParser().objectValueMode();
    private final Consumer<NetworkEvent.RosterReceived> messageListener;
    private final Consumer<String> errorListener;
    /** What came since the last value was whole; 0 while none has begun. */
    private int unparsedBytes;

    private boolean hasFailed;

    RosterStreamParser(Consumer<NetworkEvent.RosterReceived> tell, Consumer<String> broke) {
        this.messageListener = tell;
        this.errorListener = broke;
        parser.exceptionHandler(e -> failMalformed(e.getMessage()));
        parser.handler(event -> {
            unparsedBytes = 0;
            if (event.type() == JsonEventType.VALUE && event.isObject()) {
                onMessage(event.objectValue());
            } else {
                failMalformed("a value that is no object");
            }
        });
    }

    void feed(Buffer piece) {
        if (hasFailed) {
            return;
        }
        // Danger: an object without end would fill the memory; empty lines, which come for months, hold none.
        unparsedBytes += piece.length() < 8 && piece.toString().isBlank() ? 0 : piece.length();
        parser.handle(piece);
        if (!hasFailed && unparsedBytes > MAX_MESSAGE_BYTES) {
            fail("a message too long");
        }
    }

    /** Nothing is half heard: the list as it was told stands. */
    boolean isAtMessageBoundary() {
        return !hasFailed && unparsedBytes == 0;
    }

    private void onMessage(JsonObject json) {
        if (hasFailed) {
            return;
        }
        Map<String, String> faulty = new TreeMap<>();
        RosterMessage message;
        try {
            message = RosterMessage.decode(json, faulty::put);
        } catch (IllegalArgumentException e) {
            failMalformed(e.getMessage());
            return;
        }
        messageListener.accept(new NetworkEvent.RosterReceived(message, faulty));
    }

    private void failMalformed(String why) {
        fail("nonsense: " + why);
    }

    private void fail(String why) {
        if (!hasFailed) {
            hasFailed = true;
            errorListener.accept(why);
        }
    }
}
