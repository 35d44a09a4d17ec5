package ambertrestle.lab.world;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Counts what a run brought, a second at a time, and how long answers took. Nothing here decides or judges. */
public final class Meter {
    /** What is counted in each second. */
    public enum Series {
        OFFERED("benefit offered"),
        BENEFIT("benefit"),
        OPENS("opens"),
        RETURNS("reconnects"),
        UP("up"),
        BUSY("shed"),
        ERR("forfeited"),
        UNHEARD("no answer"),
        REFUSED("not connected"),
        DONE("done"),
        BROKEN("broken"),
        MOVED("moved"),
        LINES("lines"),
        LATE_LINES("late lines"),
        DISPATCHES("dispatches"),
        OPEN("open connections"),
        WAITING("waiting for an answer"),
        BUSIEST("busiest backend, % of its speed"),
        MEAN_BUSY("mean of backends, %"),
        TO_FRESH("dispatches to backends started within the cold time"),
        WORST_WAIT("longest queue at a backend, ms"),
        MEAN_WAIT("mean queue at backends, ms");

        public final String says;

        Series(String says) {
            this.says = says;
        }
    }

    private static final long SECOND = 1_000_000_000L;
    private final long from;
    /** Sums leave out the seconds before this one. */
    private final int countFrom;

    private final Map<Series, double[]> series = new LinkedHashMap<>();
    /** All that was ever added, the warm-up's too: what the account of answers is made from. */
    private final EnumMap<Series, Double> ever = new EnumMap<>(Series.class);
    /** From when the client wanted it (its first try) to UP; from when a line was due to its answer. Microseconds. */
    public final Histogram opening = new Histogram(600_000_000L, 3);

    public final Histogram line = new Histogram(600_000_000L, 3);

    public Meter(long from, long to, long countFrom) {
        this.from = from;
        this.countFrom = (int) (countFrom / SECOND);
        for (Series s : Series.values()) {
            series.put(s, new double[(int) ((to - from + SECOND - 1) / SECOND)]);
        }
    }

    public void add(Series what, double amount, long now) {
        ever.merge(what, amount, Double::sum);
        double[] row = series.get(what);
        if (now >= from && now - from < row.length * SECOND) {
            row[(int) ((now - from) / SECOND)] += amount;
        }
    }

    public void took(Histogram where, long nanos, long now) {
        if (now >= from + countFrom * SECOND) {
            where.recordValue(Math.min(599_000_000L, Math.max(0, nanos / 1000)));
        }
    }

    public double[] series(Series s) {
        return series.get(s);
    }

    public long ever(Series... all) {
        return Math.round(
                Arrays.stream(all).mapToDouble(s -> ever.getOrDefault(s, 0.0)).sum());
    }

    public double sum(Series s) {
        return Arrays.stream(series.get(s)).skip(countFrom).sum();
    }
}
