package ambertrestle.lab.report;

import ambertrestle.lab.simulation.InvariantChecker;
import ambertrestle.lab.simulation.MetricsRecorder;
import ambertrestle.lab.simulation.MetricsRecorder.Series;
import ambertrestle.lab.simulation.Testbed;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * The result of one run of one policy with one seed. Apart from the resource usage of a run on sockets, nothing in it
 * describes the machine or how long the run took. Latencies are in milliseconds and start when the client wanted its
 * answer, not when it sent the request, so that a slow relay cannot hide its delay by slowing its clients down
 * (coordinated omission).
 *
 * @param isComplete whether the run reached its end; false if it was interrupted
 * @param metrics the run's entry in summary.json
 * @param eventLog begin and end of troubles and restarts of relays, one per line; each line starts with the time in
 *     seconds from the end of the warm-up
 * @param recorder the counts per second, for the plots
 */
public record RunResult(
        String policy,
        long seed,
        boolean isComplete,
        JsonObject metrics,
        List<String> eventLog,
        MetricsRecorder recorder) {
    private static final double MICROS_PER_MILLI = 1_000.0;
    /** 10 to the power of the number of decimals in summary.json. */
    private static final double DECIMAL_SCALE = 10_000.0;

    /** Collects the results of a finished or interrupted run from its testbed. */
    public static RunResult of(String policy, long seed, boolean isComplete, Testbed testbed) {
        MetricsRecorder recorder = testbed.metrics;
        InvariantChecker invariantChecker = testbed.invariantChecker;
        double offeredBenefit = recorder.sum(Series.OFFERED_BENEFIT);
        JsonObject answers = new JsonObject();
        for (Series series : List.of(
                Series.ESTABLISHED,
                Series.SHED,
                Series.FORFEITED,
                Series.UNANSWERED,
                Series.REFUSED,
                Series.DONE,
                Series.BROKEN,
                Series.MOVED)) {
            answers.put(series.label, Math.round(recorder.sum(series)));
        }
        JsonObject violationCounts = new JsonObject();
        invariantChecker
                .violationCounts()
                .forEach((invariant, count) -> violationCounts.put(invariant.description, count));
        JsonObject metrics = new JsonObject()
                .put("policy", policy)
                .put("seed", seed)
                .put("played to its end", isComplete)
                .put("benefit", roundToFourDecimals(recorder.sum(Series.BENEFIT)))
                .put("offered", roundToFourDecimals(offeredBenefit))
                .put(
                        "share",
                        roundToFourDecimals(offeredBenefit == 0 ? 0 : recorder.sum(Series.BENEFIT) / offeredBenefit))
                .put("rules kept", invariantChecker.hasNoViolations())
                .put("breaches", violationCounts)
                .put("first breaches", new JsonArray(invariantChecker.violationMessages()))
                .put("answers", answers)
                .put("account, warm-up included", new JsonObject(new LinkedHashMap<>(testbed.connectionTotals())))
                .put("opens", Math.round(recorder.sum(Series.OPENS)))
                .put("reconnects", Math.round(recorder.sum(Series.RECONNECTS)))
                .put(
                        "most reconnects in a second",
                        Math.round(Arrays.stream(recorder.valuesPerSecond(Series.RECONNECTS))
                                .max()
                                .orElse(0)))
                .put("dispatches", Math.round(recorder.sum(Series.DISPATCHES)))
                .put("lines", Math.round(recorder.sum(Series.LINES)))
                .put("late lines", Math.round(recorder.sum(Series.LATE_LINES)))
                .put("opening, ms", percentiles(recorder.openingLatency))
                .put("line, ms", percentiles(recorder.lineLatency))
                .put("bad clients", testbed.badClientCount())
                .put("bad clients left alone", testbed.unansweredBadClientCount())
                .put("troubles", new JsonArray(testbed.eventLog()));
        return new RunResult(policy, seed, isComplete, metrics, testbed.eventLog(), recorder);
    }

    /**
     * Adds to this result what a run on sockets consumed.
     *
     * @param resourceUsage lines for the reader
     * @param starved whether the run got too little CPU, which makes its figures unusable
     * @return this result
     */
    public RunResult addResourceUsage(List<String> resourceUsage, boolean starved) {
        metrics.put("costs", new JsonArray(resourceUsage)).put("starved", starved);
        return this;
    }

    /** Whether the run got too little CPU for its figures to be meaningful. False for runs in the simulation. */
    public boolean isCpuStarved() {
        return metrics.getBoolean("starved", false);
    }

    /** Benefit that clients got, as a share of the benefit offered; 0 if none was offered. */
    public double benefitShare() {
        return metrics.getDouble("share");
    }

    /** Whether the invariant checker found no violation. */
    public boolean invariantsHeld() {
        return metrics.getBoolean("rules kept");
    }

    /** Count, percentiles and maximum of a histogram of microseconds; the latter two in milliseconds. */
    private static JsonObject percentiles(Histogram histogram) {
        JsonObject json = new JsonObject().put("count", histogram.getTotalCount());
        for (double percentile : new double[] {50, 90, 99, 99.9}) {
            json.put(
                    "p"
                            + (percentile == Math.rint(percentile)
                                    ? Long.toString((long) percentile)
                                    : Double.toString(percentile)),
                    histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI);
        }
        return json.put("max", histogram.getMaxValue() / MICROS_PER_MILLI);
    }

    static double roundToFourDecimals(double value) {
        return Math.round(value * DECIMAL_SCALE) / DECIMAL_SCALE;
    }
}
