package ambertrestle.lab.simulation;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Counts what a run brought, a second at a time, and how long answers took. Nothing here decides or judges. */
public final class MetricsRecorder {
    /** What is counted in each second. */
    public enum Series {
        OFFERED_BENEFIT("benefit offered"),
        BENEFIT("benefit"),
        OPENS("opens"),
        RECONNECTS("reconnects"),
        ESTABLISHED("up"),
        SHED("shed"),
        FORFEITED("forfeited"),
        UNANSWERED("no answer"),
        REFUSED("not connected"),
        DONE("done"),
        BROKEN("broken"),
        MOVED("moved"),
        LINES("lines"),
        LATE_LINES("late lines"),
        DISPATCHES("dispatches"),
        OPEN_CONNECTIONS("open connections"),
        AWAITING_ANSWER("waiting for an answer"),
        MAX_UTILIZATION("busiest backend, % of its speed"),
        MEAN_UTILIZATION("mean of backends, %"),
        DISPATCHES_TO_COLD_BACKENDS("dispatches to backends started within the cold time"),
        MAX_QUEUE_DELAY("longest queue at a backend, ms"),
        MEAN_QUEUE_DELAY("mean queue at backends, ms");

        public final String label;

        Series(String says) {
            this.label = says;
        }
    }

    private static final long SECOND = 1_000_000_000L;
    private final long from;
    /** Sums leave out the seconds before this one. */
    private final int countFrom;

    private final Map<Series, double[]> series = new LinkedHashMap<>();
    /** All that was ever added, the warm-up's too: what the account of answers is made from. */
    private final EnumMap<Series, Double> totals = new EnumMap<>(Series.class);
    /** From when the client wanted it (its first try) to UP; from when a line was due to its answer. Microseconds. */
    public final Histogram openingLatency = new Histogram(600_000_000L, 3);

    public final Histogram lineLatency = new Histogram(600_000_000L, 3);

    public MetricsRecorder(long from, long to, long countFrom) {
        this.from = from;
        this.countFrom = (int) (countFrom / SECOND);
        for (Series s : Series.values()) {
            series.put(s, new double[(int) ((to - from + SECOND - 1) / SECOND)]);
        }
    }

    public void add(Series what, double amount, long now) {
        totals.merge(what, amount, Double::sum);
        double[] row = series.get(what);
        if (now >= from && now - from < row.length * SECOND) {
            row[(int) ((now - from) / SECOND)] += amount;
        }
    }

    public void recordLatency(Histogram where, long nanos, long now) {
        if (now >= from + countFrom * SECOND) {
            where.recordValue(Math.min(599_000_000L, Math.max(0, nanos / 1000)));
        }
    }

    public double[] valuesPerSecond(Series s) {
        return series.get(s);
    }

    public long totalWithWarmUp(Series... all) {
        return Math.round(
                Arrays.stream(all).mapToDouble(s -> totals.getOrDefault(s, 0.0)).sum());
    }

    public double sum(Series s) {
        return Arrays.stream(series.get(s)).skip(countFrom).sum();
    }
}
