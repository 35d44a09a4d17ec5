package ambertrestle.relay.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/** Splits a byte stream, which arrives in chunks of any size, into lines. Each line includes its CRLF. */
final class LineDecoder {
    /**
     * Longest line that is accepted, including its CRLF. Without a limit, a line that never ends would fill the memory.
     */
    private static final int MAX_LINE_BYTES = 4096;

    private static final int INITIAL_BUFFER_BYTES = 128;

    /** The first {@link #length} bytes are the start of a line whose end has not arrived yet. */
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

    private int length;

    /**
     * Decodes a chunk and passes each complete line to the consumer. Returns false when a line exceeds
     * {@link #MAX_LINE_BYTES}: the decoder doesn't search for the start of the next line, so the caller must close the
     * connection.
     */
    boolean feed(byte[] chunk, Consumer<byte[]> lineConsumer) {
        for (byte b : chunk) {
            if (length == buffer.length) {
                buffer = Arrays.copyOf(buffer, length * 2);
            }
            buffer[length++] = b;
            if (b == '\n' && length > 1 && buffer[length - 2] == '\r') {
                byte[] line = Arrays.copyOf(buffer, length);
                length = 0;
                lineConsumer.accept(line);
            } else if (length >= MAX_LINE_BYTES) {
                return false;
            }
        }
        return true;
    }

    /** Returns the text of a line without its CRLF. Malformed UTF-8 is replaced by U+FFFD. */
    static String decodeText(byte[] raw) {
        return new String(raw, 0, raw.length - 2, StandardCharsets.UTF_8);
    }
}
