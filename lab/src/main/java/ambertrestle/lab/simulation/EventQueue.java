package ambertrestle.lab.simulation;

import java.util.Arrays;

/**
 * Scheduler in virtual time: the clock jumps from one event to the next. Events are ordered by time, and events of the
 * same time by the order in which they were scheduled, so runs are reproducible.
 *
 * <p>The events form a min-heap with four children per entry, stored in parallel arrays. Slot 0 is the next event; the
 * children of slot {@code i} are the slots from {@code 4 * i + 1} to {@code 4 * i + 4}.
 */
final class EventQueue implements Scheduler {
    /** Number of entries that the arrays hold before they grow for the first time. */
    private static final int INITIAL_CAPACITY = 1 << 12;
    /** Children per heap entry. */
    private static final int CHILD_COUNT = 4;

    /** When each event is due, in nanoseconds from the start of the run. */
    private long[] times = new long[INITIAL_CAPACITY];
    /** Position of each event in the order of scheduling; decides between events of the same time. */
    private long[] sequenceNumbers = new long[INITIAL_CAPACITY];

    private Runnable[] actions = new Runnable[INITIAL_CAPACITY];
    private int size;
    private long nextSequenceNumber;
    private long now;
    private long processedEvents;

    @Override
    public long now() {
        return now;
    }

    /** Number of events executed so far. */
    long processedEvents() {
        return processedEvents;
    }

    @Override
    public void scheduleAt(long time, Runnable action) {
        if (size == times.length) {
            times = Arrays.copyOf(times, size * 2);
            sequenceNumbers = Arrays.copyOf(sequenceNumbers, size * 2);
            actions = Arrays.copyOf(actions, size * 2);
        }
        int slot = size++;
        long dueAt = Math.max(now, time);
        long sequenceNumber = nextSequenceNumber++;
        while (slot > 0) {
            int parent = (slot - 1) >> 2; // (slot - 1) / CHILD_COUNT
            if (times[parent] < dueAt || times[parent] == dueAt && sequenceNumbers[parent] < sequenceNumber) {
                break;
            }
            moveEntry(parent, slot);
            slot = parent;
        }
        setEntry(slot, dueAt, sequenceNumber, action);
    }

    /** Executes all events due before {@code end} and sets the clock to it. Returns false if no events remain. */
    boolean runUntil(long end) {
        while (size > 0 && times[0] < end) {
            now = times[0];
            Runnable action = actions[0];
            removeFirst();
            processedEvents++;
            action.run();
        }
        now = Math.max(now, end);
        return size > 0;
    }

    /** Removes the event in slot 0: the last event takes its place and sinks to its position. */
    private void removeFirst() {
        int last = --size;
        long time = times[last];
        long sequenceNumber = sequenceNumbers[last];
        Runnable action = actions[last];
        actions[last] = null;
        if (last == 0) {
            return;
        }
        int slot = 0;
        for (int firstChild = 1; firstChild < last; firstChild = CHILD_COUNT * slot + 1) {
            int earliestChild = firstChild;
            for (int child = firstChild + 1; child < Math.min(firstChild + CHILD_COUNT, last); child++) {
                if (times[child] < times[earliestChild]
                        || times[child] == times[earliestChild]
                                && sequenceNumbers[child] < sequenceNumbers[earliestChild]) {
                    earliestChild = child;
                }
            }
            if (times[earliestChild] > time
                    || times[earliestChild] == time && sequenceNumbers[earliestChild] > sequenceNumber) {
                break;
            }
            moveEntry(earliestChild, slot);
            slot = earliestChild;
        }
        setEntry(slot, time, sequenceNumber, action);
    }

    private void moveEntry(int from, int to) {
        times[to] = times[from];
        sequenceNumbers[to] = sequenceNumbers[from];
        actions[to] = actions[from];
    }

    private void setEntry(int slot, long time, long sequenceNumber, Runnable action) {
        times[slot] = time;
        sequenceNumbers[slot] = sequenceNumber;
        actions[slot] = action;
    }
}
