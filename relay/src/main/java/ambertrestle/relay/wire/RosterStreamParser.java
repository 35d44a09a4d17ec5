package ambertrestle.relay.wire;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.JsonEventType;
import io.vertx.core.parsetools.JsonParser;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Parses the response body of a roster watch: a sequence of JSON objects with any white space in or between them, in
 * chunks of any size. Input that is not JSON, or not a roster message, is reported once and ends parsing; a faulty
 * entry is skipped and doesn't. Uses no socket and no timer.
 */
final class RosterStreamParser {
    /** Bounds the memory that one message takes. It is enough for about 20,000 entries in indented JSON. */
    static final int MAX_MESSAGE_BYTES = 8 << 20;

    /** Only chunks shorter than this are checked for being blank; empty lines arrive in such chunks. */
    private static final int BLANK_CHUNK_LIMIT_BYTES = 8;

    private final JsonParser parser = JsonParser.newParser().objectValueMode();
    private final Consumer<NetworkEvent.RosterReceived> messageListener;
    private final Consumer<String> errorListener;
    /**
     * Size in bytes of the chunks since the last complete value. Short blank chunks don't count, nor does the start of
     * a message that shares a chunk with the end of the previous one.
     */
    private int unparsedBytes;

    private boolean hasFailed;

    /** `errorListener` receives the reason, once; nothing is reported to either listener after that. */
    RosterStreamParser(Consumer<NetworkEvent.RosterReceived> messageListener, Consumer<String> errorListener) {
        this.messageListener = messageListener;
        this.errorListener = errorListener;
        parser.exceptionHandler(e -> failMalformed(e.getMessage()));
        parser.handler(event -> {
            unparsedBytes = 0;
            if (event.type() == JsonEventType.VALUE && event.isObject()) {
                onMessage(event.objectValue());
            } else {
                failMalformed("expected a JSON object");
            }
        });
    }

    /** Parses a chunk and reports the messages that it completes. Ignored after a failure. */
    void feed(Buffer chunk) {
        if (hasFailed) {
            return;
        }
        // Without a limit, an object that never ends would exhaust the memory. Empty lines take no memory; if they
        // counted, the limit would be reached, because the service sends them for months.
        unparsedBytes +=
                chunk.length() < BLANK_CHUNK_LIMIT_BYTES && chunk.toString().isBlank() ? 0 : chunk.length();
        parser.handle(chunk);
        if (!hasFailed && unparsedBytes > MAX_MESSAGE_BYTES) {
            fail("message exceeds " + MAX_MESSAGE_BYTES + " bytes");
        }
    }

    /**
     * Returns true if the last reported roster is current: no message is partly received and parsing has not failed. A
     * message whose start shared a chunk with the end of the previous one counts as partly received only from its next
     * chunk on.
     */
    boolean isAtMessageBoundary() {
        return !hasFailed && unparsedBytes == 0;
    }

    private void onMessage(JsonObject json) {
        if (hasFailed) {
            return;
        }
        Map<String, String> faultyEntries = new TreeMap<>();
        RosterMessage message;
        try {
            message = RosterMessage.decode(json, faultyEntries::put);
        } catch (IllegalArgumentException e) {
            failMalformed(e.getMessage());
            return;
        }
        messageListener.accept(new NetworkEvent.RosterReceived(message, faultyEntries));
    }

    private void failMalformed(String reason) {
        fail("malformed message: " + reason);
    }

    private void fail(String reason) {
        if (!hasFailed) {
            hasFailed = true;
            errorListener.accept(reason);
        }
    }
}
