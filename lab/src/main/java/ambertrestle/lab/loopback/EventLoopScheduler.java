package ambertrestle.lab.loopback;

import ambertrestle.lab.simulation.Scheduler;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.HdrHistogram.Histogram;

/** The wall's time, on one event loop. It also watches whether that loop gets to run: a starved run is no result. */
final class EventLoopScheduler implements Scheduler {
    private static final long TICK_MILLIS = 10;
    /** Later than this, at the 99th percentile of all ticks or at any one, and the run is called starved. */
    private static final long MAX_P99_LATENESS = 25_000_000L, MAX_LATENESS = 400_000_000L;

    private final Vertx vertx;
    private final Context loop;
    private final Histogram lateness = new Histogram(60_000_000_000L, 2);
    private long startNanoTime = System.nanoTime();
    private long startUnixTime = System.currentTimeMillis() * 1_000_000;
    private long nextTickAt;

    EventLoopScheduler(Vertx vertx, Context loop) {
        this.vertx = vertx;
        this.loop = loop;
    }

    /** The run's time begins now. */
    void start() {
        startNanoTime = System.nanoTime();
        startUnixTime = System.currentTimeMillis() * 1_000_000;
        nextTickAt = now() + TICK_MILLIS * 1_000_000;
        vertx.setPeriodic(TICK_MILLIS, timerId -> {
            lateness.recordValue(Math.min(60_000_000_000L, Math.max(0, now() - nextTickAt)));
            nextTickAt = Math.max(now(), nextTickAt) + TICK_MILLIS * 1_000_000;
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
            vertx.setTimer(Math.max(1, (delay + 999_999) / 1_000_000), t -> task.run());
        }
    }

    /** Unix time of a time of the run. */
    long toUnixTime(long time) {
        return startUnixTime + time;
    }

    boolean isCpuStarved() {
        return lateness.getValueAtPercentile(99) > MAX_P99_LATENESS || lateness.getMaxValue() > MAX_LATENESS;
    }

    /** 99th percentile and most, in milliseconds. */
    String describeLateness() {
        return String.format(
                java.util.Locale.ROOT,
                "p99 %.1f ms, most %.1f ms",
                lateness.getValueAtPercentile(99) / 1e6,
                lateness.getMaxValue() / 1e6);
    }
}
