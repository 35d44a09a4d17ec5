package ambertrestle.lab.standin;

import ambertrestle.lab.world.Clock;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.HdrHistogram.Histogram;

/** The wall's time, on one event loop. It also watches whether that loop gets to run: a starved run is no result. */
final class RealClock implements Clock {
    private static final long TICK_MILLIS = 10;
    /** Later than this, at the 99th percentile of all ticks or at any one, and the run is called starved. */
    private static final long LATE = 25_000_000L, VERY_LATE = 400_000_000L;

    private final Vertx vertx;
    private final Context loop;
    private final Histogram lateness = new Histogram(60_000_000_000L, 2);
    private long zero = System.nanoTime();
    private long wallAtZero = System.currentTimeMillis() * 1_000_000;
    private long expected;

    RealClock(Vertx vertx, Context loop) {
        this.vertx = vertx;
        this.loop = loop;
    }

    /** The run's time begins now. */
    void start() {
        zero = System.nanoTime();
        wallAtZero = System.currentTimeMillis() * 1_000_000;
        expected = now() + TICK_MILLIS * 1_000_000;
        vertx.setPeriodic(TICK_MILLIS, t -> {
            lateness.recordValue(Math.min(60_000_000_000L, Math.max(0, now() - expected)));
            expected = Math.max(now(), expected) + TICK_MILLIS * 1_000_000;
        });
    }

    @Override
    public long now() {
        return System.nanoTime() - zero;
    }

    @Override
    public void at(long time, Runnable thing) {
        long wait = time - now();
        if (wait <= 0) {
            loop.runOnContext(v -> thing.run());
        } else {
            vertx.setTimer(Math.max(1, (wait + 999_999) / 1_000_000), t -> thing.run());
        }
    }

    /** Unix time of a time of the run. */
    long wall(long time) {
        return wallAtZero + time;
    }

    boolean starved() {
        return lateness.getValueAtPercentile(99) > LATE || lateness.getMaxValue() > VERY_LATE;
    }

    /** 99th percentile and most, in milliseconds. */
    String lateness() {
        return String.format(
                java.util.Locale.ROOT,
                "p99 %.1f ms, most %.1f ms",
                lateness.getValueAtPercentile(99) / 1e6,
                lateness.getMaxValue() / 1e6);
    }
}
