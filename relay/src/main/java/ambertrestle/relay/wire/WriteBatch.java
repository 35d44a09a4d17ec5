package ambertrestle.relay.wire;

import java.util.ArrayDeque;

/**
 * Collects the sockets that are written to while lines of one socket are delivered, and flushes each of them once
 * afterwards. A system call for every short line would cost more than handling the line. Not thread-safe; used on the
 * event loop.
 */
final class WriteBatch {
    /** Sockets with unflushed lines, each once, in the order of their first line. */
    private final ArrayDeque<LineSocket> unflushedSockets = new ArrayDeque<>();

    private boolean isOpen;

    /** Runs the body; what it writes is flushed when it ends. */
    void run(Runnable body) {
        if (isOpen) {
            body.run();
            return;
        }
        isOpen = true;
        try {
            body.run();
        } finally {
            isOpen = false;
            while (!unflushedSockets.isEmpty()) {
                unflushedSockets.poll().flush();
            }
        }
    }

    /** Returns whether what is written now is flushed later. */
    boolean isOpen() {
        return isOpen;
    }

    /** Adds a socket that has its first unflushed line. */
    void add(LineSocket socket) {
        unflushedSockets.add(socket);
    }
}
