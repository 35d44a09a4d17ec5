package ambertrestle.relay.wire;

import io.vertx.core.internal.ContextInternal;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Shares the event loop among sockets that have received more lines than one turn may handle. A socket that fills its
 * turn isn't read until its lines were delivered; it waits here for further turns, in order. All sockets together get a
 * limited number of lines in one iteration of the event loop, so that the other sockets are read in between. Without
 * it, one peer that sends short lines at full speed would keep all others waiting for seconds.
 *
 * <p>Not thread-safe; used on the event loop.
 */
final class InputScheduler {
    /** Lines of one socket that are delivered in one turn. */
    static final int LINES_PER_TURN = 64;
    /** Lines of all waiting sockets together that are delivered in one iteration of the event loop. */
    private static final int LINES_PER_ITERATION = 4 * LINES_PER_TURN;

    private final ContextInternal context;
    /** Sockets that wait for a turn, each once. */
    private final ArrayDeque<LineSocket> waitingSockets = new ArrayDeque<>();

    private boolean isScheduled;

    /** @param context runs the turns; its event loop must be that of the sockets */
    InputScheduler(ContextInternal context) {
        this.context = context;
    }

    /** Adds a socket, which must not be waiting already. */
    void add(LineSocket socket) {
        waitingSockets.add(socket);
        schedule();
    }

    /**
     * Schedules the next turns. A task with a delay runs in the next iteration of the event loop even if the delay is
     * zero; a task without one could run again and again before any socket is read.
     */
    private void schedule() {
        if (!isScheduled) {
            isScheduled = true;
            context.nettyEventLoop().schedule(() -> context.dispatch(v -> runTurns()), 0, TimeUnit.NANOSECONDS);
        }
    }

    private void runTurns() {
        isScheduled = false;
        int remainingTurns = waitingSockets.size();
        int deliveredLines = 0;
        try {
            while (remainingTurns > 0 && deliveredLines < LINES_PER_ITERATION) {
                remainingTurns--;
                // A socket with more lines than a turn adds itself again, behind the others.
                deliveredLines += waitingSockets.poll().takeTurn();
            }
        } finally {
            if (!waitingSockets.isEmpty()) {
                schedule();
            }
        }
    }
}
