package ambertrestle.relay.wire;

import io.netty.channel.EventLoop;
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

    /** Sockets that wait for a turn, each once. */
    private final ArrayDeque<LineSocket> waitingSockets = new ArrayDeque<>();

    private boolean isScheduled;

    /** Adds a socket, which must not be waiting already. */
    void add(LineSocket socket, EventLoop eventLoop) {
        waitingSockets.add(socket);
        schedule(eventLoop);
    }

    /**
     * Schedules the next turns. A task with a delay runs in the next iteration of the event loop even if the delay is
     * zero; a task without one could run again and again before any socket is read.
     */
    private void schedule(EventLoop eventLoop) {
        if (!isScheduled) {
            isScheduled = true;
            eventLoop.schedule(() -> runTurns(eventLoop), 0, TimeUnit.NANOSECONDS);
        }
    }

    private void runTurns(EventLoop eventLoop) {
        isScheduled = false;
        int remainingTurns = waitingSockets.size();
        int deliveredLines = 0;
        while (remainingTurns > 0 && deliveredLines < LINES_PER_ITERATION) {
            remainingTurns--;
            // A socket with more lines than a turn adds itself again, behind the others.
            deliveredLines += waitingSockets.poll().takeTurn();
        }
        if (!waitingSockets.isEmpty()) {
            schedule(eventLoop);
        }
    }
}
