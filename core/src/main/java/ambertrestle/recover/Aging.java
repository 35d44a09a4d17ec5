package ambertrestle.recover;

import ambertrestle.decide.Kept;
import ambertrestle.decide.Kept.Judged;
import ambertrestle.decide.Kept.Pin;
import ambertrestle.decide.Kept.Whole;
import java.util.ArrayList;
import java.util.List;

/**
 * What kept judgments are still worth: pure functions of their age, nothing else. A judgment weighs what it would in a
 * relay that had gone on and heard nothing more, so each kind fades as the module lets it fade; what a fleet carries is
 * no judgment of a moment and fades over hours. Times in nanoseconds.
 */
public final class Aging {
    private static final long SECOND = 1_000_000_000L, HOUR = 3_600 * SECOND;
    /** The module's own: evidence of failures halves in this time, and so does the space between set-ups. */
    private static final long DOUBT_HALVES = 4 * SECOND;
    /** As long as the module remembers lateness with nothing left to tell, at the most. */
    private static final long LATE = 30 * SECOND;
    /** As long as the module keeps a pin after its last connection. */
    private static final long PIN = 60 * SECOND;

    private static final long CARRIED_HALVES = HOUR, CARRIED = 24 * HOUR;
    /** Less than this is nothing. */
    private static final double LEAST = 1.0 / 256;

    private Aging() {}

    private static double halved(long age, long half) {
        double left = age < 0 ? 0 : StrictMath.pow(0.5, (double) age / half);
        return left < LEAST ? 0 : left;
    }

    /** Of the counts of set-ups that stood and that failed, and of the pace of set-ups in a jam. */
    public static double doubt(long age) {
        return halved(age, DOUBT_HALVES);
    }

    /** Of a told delay: whole or nothing, as it is a bound and no count. */
    public static double lateness(long age) {
        return age >= 0 && age < LATE ? 1 : 0;
    }

    /** Of what connections lived to their end here, of usual set-ups and loads. */
    public static double carried(long age) {
        return age >= CARRIED ? 0 : halved(age, CARRIED_HALVES);
    }

    /** Of where a key was pinned. */
    public static double pin(long age) {
        return age >= 0 && age < PIN ? 1 : 0;
    }

    /**
     * All of it, as the module takes it back now. `keptAt`: when it was kept. Danger: what comes from the future, since
     * a clock went back, has no age; it would never fade, so nothing of it is taken.
     */
    public static Kept weighed(Kept kept, long keptAt, long now) {
        if (keptAt > now) {
            return Kept.NOTHING;
        }
        Whole w = kept.whole();
        long age = now - keptAt;
        double carried = carried(age);
        Whole whole = new Whole(
                w.ended() * carried,
                w.lived(),
                w.setUp() * carried,
                w.usual() * carried,
                (int) (w.notes() * carried),
                (long) (w.pace() * doubt(age)));
        List<Judged> judged = new ArrayList<>(kept.backends().size());
        for (Judged j : kept.backends()) {
            double doubt = doubt(now - j.evidenceAt());
            boolean late = lateness(now - j.delayAt()) > 0;
            judged.add(new Judged(
                    j.backend(),
                    j.startedAt(),
                    now,
                    j.good() * doubt,
                    j.bad() * doubt,
                    j.slow() * doubt,
                    late ? j.delay() : 0,
                    late ? j.delayAt() : Long.MIN_VALUE / 2,
                    j.heardAt() > now ? 0 : j.heardAt()));
        }
        List<Pin> pins = new ArrayList<>();
        for (Pin p : kept.pins()) {
            // What was open when it was kept ended with the process, then at the earliest.
            long at = p.endedAt() == Pin.OPEN ? keptAt : p.endedAt();
            if (p.endedAt() != Pin.GONE && pin(now - at) > 0) {
                pins.add(new Pin(p.key(), p.backend(), at));
            }
        }
        return new Kept(kept.table(), whole, List.copyOf(judged), List.copyOf(pins), false);
    }
}
