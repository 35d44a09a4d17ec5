package ambertrestle.lab.world;

import java.util.Arrays;

/**
 * What is to happen and when, in virtual time. Of one moment, what was set first comes first; nothing else orders it.
 */
final class Agenda implements Clock {
    private long[] times = new long[1 << 12];
    private long[] orders = new long[1 << 12];
    private Runnable[] things = new Runnable[1 << 12];
    private int size;
    private long set;
    private long now;
    private long done;

    @Override
    public long now() {
        return now;
    }

    /** How many things have happened. */
    long done() {
        return done;
    }

    @Override
    public void at(long time, Runnable thing) {
        if (size == times.length) {
            times = Arrays.copyOf(times, size * 2);
            orders = Arrays.copyOf(orders, size * 2);
            things = Arrays.copyOf(things, size * 2);
        }
        int i = size++;
        long when = Math.max(now, time);
        long order = set++;
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
    boolean run(long end) {
        while (size > 0 && times[0] < end) {
            now = times[0];
            Runnable thing = things[0];
            drop();
            done++;
            thing.run();
        }
        now = Math.max(now, end);
        return size > 0;
    }

    private void drop() {
        int last = --size;
        long when = times[last];
        long order = orders[last];
        Runnable thing = things[last];
        things[last] = null;
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
        things[to] = things[from];
    }

    private void put(int i, long when, long order, Runnable thing) {
        times[i] = when;
        orders[i] = order;
        things[i] = thing;
    }
}
