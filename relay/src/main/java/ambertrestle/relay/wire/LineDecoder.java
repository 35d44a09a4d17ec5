package ambertrestle.relay.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a byte stream, which arrives in chunks of any size, into lines. The caller appends chunks and takes the lines
 * one by one, each with its CRLF. Bytes that were taken hold no memory any more.
 */
final class LineDecoder {
    /**
     * Longest line that is accepted, including its CRLF. Without a limit, a line that never ends would fill the memory.
     */
    static final int MAX_LINE_BYTES = 4096;

    private static final int MIN_CAPACITY_BYTES = 64;
    private static final byte[] NO_BYTES = {};

    /** The bytes from {@link #start} to {@link #end} were appended and not taken yet. */
    private byte[] buffer = NO_BYTES;

    private int start;
    private int end;
    /** The bytes from {@link #start} up to here contain no line end. */
    private int searchedTo;

    /** Appends a chunk. The decoder may keep the array, so the caller must not change it afterwards. */
    void append(byte[] chunk) {
        if (isEmpty()) {
            buffer = chunk;
            start = 0;
            end = chunk.length;
            searchedTo = 0;
            return;
        }
        int length = end - start;
        if (end + chunk.length > buffer.length) {
            int capacity = Math.max(MIN_CAPACITY_BYTES, Math.max(2 * length, length + chunk.length));
            moveTo(new byte[capacity]);
        }
        System.arraycopy(chunk, 0, buffer, end, chunk.length);
        end += chunk.length;
    }

    /** Returns whether a line is complete. */
    boolean hasLine() {
        return findLineEnd() >= 0;
    }

    /** Takes the next line, which includes its CRLF; null if none is complete or the next one is too long. */
    byte[] takeLine() {
        int lineEnd = findLineEnd();
        if (lineEnd < 0) {
            shrink();
            return null;
        }
        byte[] line = Arrays.copyOfRange(buffer, start, lineEnd);
        start = lineEnd;
        searchedTo = lineEnd;
        releaseIfEmpty();
        return line;
    }

    /** Returns the index after the CRLF of the next line; -1 if the line is incomplete or too long. */
    private int findLineEnd() {
        int limit = Math.min(end, start + MAX_LINE_BYTES);
        for (int i = Math.max(searchedTo, start + 1); i < limit; i++) {
            if (buffer[i] == '\n' && buffer[i - 1] == '\r') {
                searchedTo = i;
                return i + 1;
            }
        }
        searchedTo = Math.max(searchedTo, limit);
        return -1;
    }

    /**
     * Returns whether the next line exceeds {@link #MAX_LINE_BYTES}. The decoder doesn't search for the start of the
     * line after it, so the caller must close the connection. Valid after {@link #takeLine} returned null.
     */
    boolean isLineTooLong() {
        return end - start >= MAX_LINE_BYTES;
    }

    /** Returns whether every byte that was appended was also taken. */
    boolean isEmpty() {
        return start == end;
    }

    /** Drops what was not taken. */
    void clear() {
        start = end;
        releaseIfEmpty();
    }

    private void releaseIfEmpty() {
        if (isEmpty()) {
            buffer = NO_BYTES;
            start = 0;
            end = 0;
            searchedTo = 0;
        }
    }

    /** Keeps the start of an incomplete line in an array of its size: a chunk may be many times larger. */
    private void shrink() {
        int length = end - start;
        if (length > 0 && length < MAX_LINE_BYTES && buffer.length > 2 * Math.max(length, MIN_CAPACITY_BYTES)) {
            moveTo(new byte[Math.max(length, MIN_CAPACITY_BYTES)]);
        }
    }

    private void moveTo(byte[] target) {
        System.arraycopy(buffer, start, target, 0, end - start);
        buffer = target;
        searchedTo -= start;
        end -= start;
        start = 0;
    }

    /** Returns the text of a line without its CRLF. Malformed UTF-8 is replaced by U+FFFD. */
    static String decodeText(byte[] raw) {
        return new String(raw, 0, raw.length - 2, StandardCharsets.UTF_8);
    }
}
