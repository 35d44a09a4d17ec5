package ambertrestle.relay.connection;

import java.util.ArrayDeque;

/**
 * The lines that a client sends before its connection is open, in order. Its size is limited: without a limit, clients
 * that keep sending before they are answered would use up the memory.
 */
final class LineBuffer {
    private static final int MAX_LINES = 16;
    /** Limit on the bytes of all lines together; room for a few of the longest length. */
    private static final int MAX_BYTES = 16 * 1024;

    private final ArrayDeque<byte[]> lines = new ArrayDeque<>(0);
    private int bytes;

    /** Appends a line, which includes its CRLF; returns false, and drops the line, if there is no room for it. */
    boolean add(byte[] line) {
        if (lines.size() >= MAX_LINES || bytes + line.length > MAX_BYTES) {
            return false;
        }
        bytes += line.length;
        return lines.add(line);
    }

    /** Removes the oldest line and returns it; null if there is none. */
    byte[] poll() {
        byte[] line = lines.poll();
        bytes -= line == null ? 0 : line.length;
        return line;
    }

    void clear() {
        lines.clear();
        bytes = 0;
    }
}
