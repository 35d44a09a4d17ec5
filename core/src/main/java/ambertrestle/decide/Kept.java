package ambertrestle.decide;

import java.util.List;

/**
 * What the module would keep beyond its process, as plain values: a part of what changed since it was last asked, or
 * all of it. `table`: how its Maglev table is made; pins of another table mean nothing here. `more`: there is more that
 * changed. Times in nanoseconds.
 */
public record Kept(long table, Whole whole, List<Judged> backends, List<Pin> pins, boolean more) {
    public static final Kept NOTHING = new Kept(0, Whole.NOTHING, List.of(), List.of(), false);

    /**
     * Of the relay as a whole. `ended`: connections that lived to their end, decaying, as counted over `lived`;
     * `setUp`: a usual set-up; `usual`: the load of a usual connection, learned from `notes`; `pace`: the time between
     * two set-ups in a jam.
     */
    public record Whole(double ended, long lived, double setUp, double usual, int notes, long pace) {
        public static final Whole NOTHING = new Whole(0, 0, 0, 0, 0, 0);
    }

    /**
     * Of one backend, started at `startedAt`: the counts of doubt as they stood at `evidenceAt`, its lateness, and when
     * this relay heard that it drains or is gone (0 while neither).
     */
    public record Judged(
            long backend,
            long startedAt,
            long evidenceAt,
            double good,
            double bad,
            double slow,
            long delay,
            long delayAt,
            long heardAt) {}

    /**
     * Where a key is pinned, and when its last connection ended there: OPEN while one is open, GONE where the pin went.
     */
    public record Pin(long key, long backend, long endedAt) {
        public static final long OPEN = Long.MAX_VALUE, GONE = Long.MIN_VALUE;
    }
}
