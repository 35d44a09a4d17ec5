package ambertrestle.decide;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Which backends and pins changed since this was last asked; decides nothing. Until it is first asked nobody keeps
 * anything, and it costs nothing. It holds each backend and pin once, however often it changed, so a taker that is slow
 * costs no memory.
 */
final class Ledger {
    private LinkedHashSet<Backend> judged;
    private LinkedHashSet<Entry> pins;

    void changed(Backend b) {
        if (judged != null) {
            judged.add(b);
        }
    }

    void changed(Entry entry) {
        if (pins != null) {
            pins.add(entry);
        }
    }

    /** The pin is in the table no more; always true. */
    boolean gone(Entry entry) {
        entry.gone = true;
        changed(entry);
        return true;
    }

    /** The first call begins with all that there is. Takes time for `most` values and no more. */
    Kept take(int most, long table, Kept.Whole whole, Iterable<Backend> backends, Iterable<Entry> entries) {
        if (judged == null) {
            judged = new LinkedHashSet<>();
            pins = new LinkedHashSet<>();
            backends.forEach(judged::add);
            entries.forEach(pins::add);
        }
        List<Kept.Judged> some = new ArrayList<>(Math.min(most, judged.size()));
        for (Iterator<Backend> i = judged.iterator(); i.hasNext() && some.size() < most; i.remove()) {
            some.add(i.next().judged());
        }
        int left = most - some.size();
        List<Kept.Pin> pinned = new ArrayList<>(Math.min(left, pins.size()));
        for (Iterator<Entry> i = pins.iterator(); i.hasNext() && pinned.size() < left; i.remove()) {
            pinned.add(i.next().pin());
        }
        return new Kept(table, whole, some, pinned, !judged.isEmpty() || !pins.isEmpty());
    }
}
