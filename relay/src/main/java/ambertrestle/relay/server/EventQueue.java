package ambertrestle.relay.server;

import ambertrestle.relay.connection.Event;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * Handles events one at a time: an event that is raised while another one is handled waits until that one is finished.
 * An exception costs the event that raised it. After an {@link Error}, such as an exhausted heap, the state may be half
 * changed; the process then ends with a log line, so that its supervisor starts it again, rather than accept clients
 * that it cannot answer. Not thread-safe; used on the event loop.
 */
final class EventQueue {
    /** Exit code of a process that ends because of an internal error; EX_SOFTWARE of sysexits. */
    static final int INTERNAL_ERROR_EXIT_CODE = 70;

    private final Consumer<Event> handler;
    private final IntConsumer exit;
    /** Events that arrived while another one was being handled, oldest first. */
    private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();

    private boolean isHandlingEvents;

    /**
     * @param handler handles one event
     * @param exit ends the process at once with the given code
     */
    EventQueue(Consumer<Event> handler, IntConsumer exit) {
        this.handler = handler;
        this.exit = exit;
    }

    /** Handles the event, or queues it if another one is being handled. */
    void add(Event event) {
        pendingEvents.add(event);
        if (isHandlingEvents) {
            return;
        }
        isHandlingEvents = true;
        try {
            while (!pendingEvents.isEmpty()) {
                handle(pendingEvents.poll());
            }
        } finally {
            isHandlingEvents = false;
        }
    }

    private void handle(Event event) {
        try {
            handler.accept(event);
        } catch (RuntimeException | Error e) {
            onFailure(e);
        }
    }

    /** Logs a failure that was caught on the event loop; ends the process if it is an {@link Error}. */
    void onFailure(Throwable failure) {
        try {
            if (failure instanceof Error) {
                Log.logFailure("internal-error", "ending the process, because its state may be inconsistent", failure);
            } else {
                Log.logFailure("event-failed", "handling an event failed", failure);
            }
        } finally {
            if (failure instanceof Error) {
                exit.accept(INTERNAL_ERROR_EXIT_CODE);
            }
        }
    }
}
