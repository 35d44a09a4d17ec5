package ambertrestle.relay.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/** Cuts what arrives, in pieces of any size, into lines that keep their end. */
final class LineDecoder {
    private static final int MAX_LINE_BYTES = 4096;

    private byte[] buffer = new byte[128];
    private int length;

    /** False when a line is longer than any may be: the rest of this connection means nothing. */
    boolean feed(byte[] piece, Consumer<byte[]> line) {
        for (byte b : piece) {
            if (length == buffer.length) {
                buffer = Arrays.copyOf(buffer, length * 2);
            }
            buffer[length++] = b;
            if (b == '\n' && length > 1 && buffer[length - 2] == '\r') {
                byte[] whole = Arrays.copyOf(buffer, length);
                length = 0;
                line.accept(whole);
            } else if (length >= MAX_LINE_BYTES) {
                return false;
            }
        }
        return true;
    }

    /** What a line says, without its end. */
    static String decodeText(byte[] raw) {
        return new String(raw, 0, raw.length - 2, StandardCharsets.UTF_8);
    }
}
