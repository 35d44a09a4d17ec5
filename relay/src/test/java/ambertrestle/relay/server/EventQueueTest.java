package ambertrestle.relay.server;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.relay.connection.Event;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventQueueTest {
    private final List<Integer> exitCodes = new ArrayList<>();
    private int handledCount;

    /**
     * Guards against a relay that accepts clients and answers none: after an exhausted heap, events were queued and
     * never handled again.
     */
    @Test
    void errorEndsTheProcessWhileAnExceptionCostsOneEvent() {
        List<Throwable> failures = new ArrayList<>(List.of(new IllegalStateException("x"), new OutOfMemoryError("y")));
        EventQueue queue = new EventQueue(
                event -> {
                    handledCount++;
                    EventQueueTest.<RuntimeException>raise(failures.remove(0));
                },
                exitCodes::add);
        queue.add(new Event.TimerFired());
        assertThat(exitCodes).isEmpty();
        queue.add(new Event.TimerFired());
        assertThat(exitCodes).containsExactly(EventQueue.INTERNAL_ERROR_EXIT_CODE);
        assertThat(handledCount).isEqualTo(2);
    }

    /** An event that is raised while another one is handled must not be handled in the middle of it. */
    @Test
    void eventRaisedByAnotherIsHandledAfterIt() {
        List<String> steps = new ArrayList<>();
        EventQueue[] queue = new EventQueue[1];
        queue[0] = new EventQueue(
                event -> {
                    steps.add("begin");
                    if (event instanceof Event.TimerFired) {
                        queue[0].add(new Event.ShutdownRequested());
                    }
                    steps.add("end");
                },
                exitCodes::add);
        queue[0].add(new Event.TimerFired());
        assertThat(steps).containsExactly("begin", "end", "begin", "end");
    }

    /** Throws any throwable without declaring it. */
    @SuppressWarnings("unchecked")
    private static <T extends Throwable> void raise(Throwable failure) throws T {
        throw (T) failure;
    }
}
