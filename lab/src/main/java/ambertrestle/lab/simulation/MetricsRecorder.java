package ambertrestle.lab.simulation;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Records the metrics of a run: amounts per second of the run, and latencies of answers. Times are in nanoseconds from
 * the start of the run.
 */
public final class MetricsRecorder {
    /**
     * A metric with one value per second of the run. Most series are sums over the events of a second; gauges are
     * sampled at its end. Connections are those between clients and relays, unless stated otherwise.
     */
    public enum Series {
        /** Benefit if every session were established and every line answered within its goal time. */
        OFFERED_BENEFIT("benefit offered"),
        /** Benefit gained. */
        BENEFIT("benefit"),
        /** Connection attempts of clients that have not been connected before, retries included. */
        OPENS("opens"),
        /** Connection attempts of clients that have been connected before. */
        RECONNECTS("reconnects"),
        /** Connections answered with UP. */
        ESTABLISHED("up"),
        /** Connections answered with BUSY. */
        SHED("shed"),
        /** Connections answered with ERR. */
        FORFEITED("forfeited"),
        /** Connections that ended, or reached their cut-off, without a final answer. */
        UNANSWERED("no answer"),
        /** Connections that no relay accepted. */
        REFUSED("not connected"),
        /** Established connections that ended with BYE. */
        DONE("done"),
        /** Established connections that ended without BYE or MOVE. */
        BROKEN("broken"),
        /** Established connections that ended with MOVE. */
        MOVED("moved"),
        /** Answered lines of clients. */
        LINES("lines"),
        /** Answered lines that took longer than their goal time. */
        LATE_LINES("late lines"),
        /** Dispatches that reached a backend. */
        DISPATCHES("dispatches"),
        /** Gauge: connections from relays that backends have admitted. */
        OPEN_CONNECTIONS("open connections"),
        /** Gauge: connections without a final answer. */
        AWAITING_ANSWER("waiting for an answer"),
        /** Gauge: highest utilization of a live backend, in percent. */
        MAX_UTILIZATION("busiest backend, % of its speed"),
        /** Gauge: mean utilization of the live backends, in percent. */
        MEAN_UTILIZATION("mean of backends, %"),
        /** Dispatches that reached a backend in its slow start. */
        DISPATCHES_TO_COLD_BACKENDS("dispatches to backends started within the cold time"),
        /** Gauge: longest queue delay of a backend, in milliseconds. */
        MAX_QUEUE_DELAY("longest queue at a backend, ms"),
        /** Gauge: mean queue delay of all backends, in milliseconds. */
        MEAN_QUEUE_DELAY("mean queue at backends, ms");

        /** Name in summary.json and in the report's plots. */
        public final String label;

        Series(String label) {
            this.label = label;
        }
    }

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MICRO = 1000;
    /** Highest value that the histograms can track, in microseconds. */
    private static final long MAX_TRACKABLE_MICROS = 600_000_000L;
    /** Longer latencies are recorded as this value, in microseconds; a histogram rejects what it cannot track. */
    private static final long MAX_RECORDED_MICROS = 599_000_000L;

    /** Decimal digits to which the histograms are precise. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /** End of the warm-up. */
    private final long recordingStart;
    /** First second, counted from the end of the warm-up, that {@link #sum} and the histograms include. */
    private final int firstCountedSecond;
    /** For each series, one value per second from the end of the warm-up to the end of the run. */
    private final Map<Series, double[]> valuesBySeries = new LinkedHashMap<>();
    /** Sums over the whole run, including the warm-up, for {@link Testbed#connectionTotals}. */
    private final EnumMap<Series, Double> totals = new EnumMap<>(Series.class);
    /** Time from a client's first connection attempt to UP, in microseconds. */
    public final Histogram openingLatency = new Histogram(MAX_TRACKABLE_MICROS, SIGNIFICANT_DIGITS);
    /** Time from when a line was due to be sent to its answer, in microseconds. */
    public final Histogram lineLatency = new Histogram(MAX_TRACKABLE_MICROS, SIGNIFICANT_DIGITS);

    /**
     * Creates a recorder whose values are all 0.
     *
     * @param recordingStart end of the warm-up
     * @param recordingEnd end of the run
     * @param measurementStart from when on values count in sums and latencies, in nanoseconds from
     *     {@code recordingStart}
     */
    public MetricsRecorder(long recordingStart, long recordingEnd, long measurementStart) {
        this.recordingStart = recordingStart;
        this.firstCountedSecond = (int) (measurementStart / NANOS_PER_SECOND);
        for (Series series : Series.values()) {
            valuesBySeries.put(
                    series,
                    new double[(int) ((recordingEnd - recordingStart + NANOS_PER_SECOND - 1) / NANOS_PER_SECOND)]);
        }
    }

    /** Adds an amount to the second that {@code now} lies in; outside the recorded time, to the totals only. */
    public void add(Series series, double amount, long now) {
        totals.merge(series, amount, Double::sum);
        double[] values = valuesBySeries.get(series);
        if (now >= recordingStart && now - recordingStart < values.length * NANOS_PER_SECOND) {
            values[(int) ((now - recordingStart) / NANOS_PER_SECOND)] += amount;
        }
    }

    /** Records a latency in one of the histograms of this recorder, unless the measurement has not started yet. */
    public void recordLatency(Histogram histogram, long latencyNanos, long now) {
        if (now >= recordingStart + firstCountedSecond * NANOS_PER_SECOND) {
            histogram.recordValue(Math.min(MAX_RECORDED_MICROS, Math.max(0, latencyNanos / NANOS_PER_MICRO)));
        }
    }

    /** Values per second from the end of the warm-up on: the recorder's own array, not a copy. */
    public double[] valuesPerSecond(Series series) {
        return valuesBySeries.get(series);
    }

    /** Sum of the given series over the whole run, including the warm-up. */
    public long totalWithWarmUp(Series... selected) {
        return Math.round(Arrays.stream(selected)
                .mapToDouble(series -> totals.getOrDefault(series, 0.0))
                .sum());
    }

    /** Sum of a series over the measured seconds. */
    public double sum(Series series) {
        return Arrays.stream(valuesBySeries.get(series))
                .skip(firstCountedSecond)
                .sum();
    }
}
