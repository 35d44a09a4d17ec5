package ambertrestle.lab.loopback;

import ambertrestle.lab.simulation.Scheduler;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.HdrHistogram.Histogram;

/**
 * Schedules tasks in real time on one event loop. It also measures how late a periodic timer fires, because the results
 * of a run whose event loop gets too little CPU are unusable.
 */
final class EventLoopScheduler implements Scheduler {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Interval of the timer whose lateness is measured. */
    private static final long TICK_MILLIS = 10;
    /** A run counts as starved of CPU if the 99th percentile of all lateness values is above this, in nanoseconds. */
    private static final long MAX_P99_LATENESS = 25_000_000L;
    /** A run counts as starved of CPU if any tick is later than this, in nanoseconds. */
    private static final long MAX_LATENESS = 400_000_000L;
    /** Upper limit of the histogram, in nanoseconds; higher values are recorded as this. */
    private static final long MAX_RECORDED_LATENESS = 60_000_000_000L;
    /** Decimal digits to which the histogram is precise. */
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Vertx vertx;
    private final Context loop;
    private final Histogram lateness = new Histogram(MAX_RECORDED_LATENESS, SIGNIFICANT_DIGITS);
    /** Start of the run by `System.nanoTime`. */
    private long startNanoTime = System.nanoTime();
    /** Start of the run as Unix time, in nanoseconds. */
    private long startUnixTime = System.currentTimeMillis() * NANOS_PER_MILLI;
    /** When the next tick is due, in nanoseconds from the run's start. */
    private long nextTickAt;

    EventLoopScheduler(Vertx vertx, Context loop) {
        this.vertx = vertx;
        this.loop = loop;
    }

    /** Sets the run's time to 0 and starts measuring lateness. */
    void start() {
        startNanoTime = System.nanoTime();
        startUnixTime = System.currentTimeMillis() * NANOS_PER_MILLI;
        nextTickAt = now() + TICK_MILLIS * NANOS_PER_MILLI;
        vertx.setPeriodic(TICK_MILLIS, timerId -> {
            lateness.recordValue(Math.min(MAX_RECORDED_LATENESS, Math.max(0, now() - nextTickAt)));
            nextTickAt = Math.max(now(), nextTickAt) + TICK_MILLIS * NANOS_PER_MILLI;
        });
    }

    @Override
    public long now() {
        return System.nanoTime() - startNanoTime;
    }

    @Override
    public void scheduleAt(long time, Runnable task) {
        long delay = time - now();
        if (delay <= 0) {
            loop.runOnContext(v -> task.run());
        } else {
            // Rounds up, because a timer has whole milliseconds and a task must not run early.
            vertx.setTimer(Math.max(1, (delay + (NANOS_PER_MILLI - 1)) / NANOS_PER_MILLI), t -> task.run());
        }
    }

    /** Converts a time of the run to Unix time, both in nanoseconds. */
    long toUnixTime(long time) {
        return startUnixTime + time;
    }

    /** Whether the event loop was so late that the run's figures are unusable. */
    boolean isCpuStarved() {
        return lateness.getValueAtPercentile(99) > MAX_P99_LATENESS || lateness.getMaxValue() > MAX_LATENESS;
    }

    /** The 99th percentile and the maximum of the lateness in milliseconds, as text for the report. */
    String describeLateness() {
        return String.format(
                java.util.Locale.ROOT,
                "p99 %.1f ms, most %.1f ms",
                lateness.getValueAtPercentile(99) / (double) NANOS_PER_MILLI,
                lateness.getMaxValue() / (double) NANOS_PER_MILLI);
    }
}
