package ambertrestle.lab.simulation;

import java.util.Arrays;

/**
 * What is to happen and when, in virtual time. Of one moment, what was set first comes first; nothing else orders it.
 */
final class EventQueue implements Scheduler {
    private long[] times = new long[1 << 12];
    private long[] orders = new long[1 << 12];
    private Runnable[] actions = new Runnable[1 << 12];
    private int size;
    private long nextOrder;
    private long now;
    private long processedEvents;

    @Override
    public long now() {
        return now;
    }

    /** How many things have happened. */
    long processedEvents() {
        return processedEvents;
    }

    @Override
    public void scheduleAt(long time, Runnable thing) {
        if (size == times.length) {
            times = Arrays.copyOf(times, size * 2);
            orders = Arrays.copyOf(orders, size * 2);
            actions = Arrays.copyOf(actions, size * 2);
        }
        int i = size++;
        long when = Math.max(now, time);
        long order = nextOrder++;
        while (i > 0) {
            int up = (i - 1) >> 2;
            if (times[up] < when || times[up] == when && orders[up] < order) {
                break;
            }
            move(up, i);
            i = up;
        }
        put(i, when, order, thing);
    }

    /** Lets all happen that is due before `end`; false when there is nothing left. */
    boolean runUntil(long end) {
        while (size > 0 && times[0] < end) {
            now = times[0];
            Runnable thing = actions[0];
            removeFirst();
            processedEvents++;
            thing.run();
        }
        now = Math.max(now, end);
        return size > 0;
    }

    private void removeFirst() {
        int last = --size;
        long when = times[last];
        long order = orders[last];
        Runnable thing = actions[last];
        actions[last] = null;
        if (last == 0) {
            return;
        }
        int i = 0;
        for (int first = 1; first < last; first = 4 * i + 1) {
            int least = first;
            for (int c = first + 1; c < Math.min(first + 4, last); c++) {
                if (times[c] < times[least] || times[c] == times[least] && orders[c] < orders[least]) {
                    least = c;
                }
            }
            if (times[least] > when || times[least] == when && orders[least] > order) {
                break;
            }
            move(least, i);
            i = least;
        }
        put(i, when, order, thing);
    }

    private void move(int from, int to) {
        times[to] = times[from];
        orders[to] = orders[from];
        actions[to] = actions[from];
    }

    private void put(int i, long when, long order, Runnable thing) {
        times[i] = when;
        orders[i] = order;
        actions[i] = thing;
    }
}
