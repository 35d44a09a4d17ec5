package ambertrestle.lab.report;

import ambertrestle.lab.simulation.InvariantChecker;
import ambertrestle.lab.simulation.MetricsRecorder;
import ambertrestle.lab.simulation.MetricsRecorder.Series;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What one run of one policy with one seed brought, as it stands in summary.json: nothing in it tells of this machine
 * or of the time it took. Latencies in milliseconds, counted from when a client wanted its answer, so a relay that is
 * slow cannot hide it by slowing its clients down.
 */
public record RunResult(
        String policy,
        long seed,
        boolean isComplete,
        JsonObject metrics,
        List<String> eventLog,
        MetricsRecorder meter) {
    public static RunResult of(
            String policy,
            long seed,
            boolean whole,
            MetricsRecorder meter,
            InvariantChecker judge,
            List<String> happened,
            Map<String, Long> account,
            int badSent,
            int badUnanswered) {
        double offered = meter.sum(Series.OFFERED_BENEFIT);
        JsonObject answers = new JsonObject();
        for (Series s : List.of(
                Series.ESTABLISHED,
                Series.SHED,
                Series.FORFEITED,
                Series.UNANSWERED,
                Series.REFUSED,
                Series.DONE,
                Series.BROKEN,
                Series.MOVED)) {
            answers.put(s.label, Math.round(meter.sum(s)));
        }
        JsonObject rules = new JsonObject();
        judge.violationCounts().forEach((rule, n) -> rules.put(rule.description, n));
        JsonObject figures = new JsonObject()
                .put("policy", policy)
                .put("seed", seed)
                .put("played to its end", whole)
                .put("benefit", roundToFourDecimals(meter.sum(Series.BENEFIT)))
                .put("offered", roundToFourDecimals(offered))
                .put("share", roundToFourDecimals(offered == 0 ? 0 : meter.sum(Series.BENEFIT) / offered))
                .put("rules kept", judge.hasNoViolations())
                .put("breaches", rules)
                .put("first breaches", new JsonArray(judge.violationMessages()))
                .put("answers", answers)
                .put("account, warm-up included", new JsonObject(new LinkedHashMap<>(account)))
                .put("opens", Math.round(meter.sum(Series.OPENS)))
                .put("reconnects", Math.round(meter.sum(Series.RECONNECTS)))
                .put(
                        "most reconnects in a second",
                        Math.round(Arrays.stream(meter.valuesPerSecond(Series.RECONNECTS))
                                .max()
                                .orElse(0)))
                .put("dispatches", Math.round(meter.sum(Series.DISPATCHES)))
                .put("lines", Math.round(meter.sum(Series.LINES)))
                .put("late lines", Math.round(meter.sum(Series.LATE_LINES)))
                .put("opening, ms", percentiles(meter.openingLatency))
                .put("line, ms", percentiles(meter.lineLatency))
                .put("bad clients", badSent)
                .put("bad clients left alone", badUnanswered)
                .put("troubles", new JsonArray(happened));
        return new RunResult(policy, seed, whole, figures, happened, meter);
    }

    /** The same with what it cost on sockets; a starved run is marked as none. */
    public RunResult addResourceUsage(List<String> costs, boolean starved) {
        metrics.put("costs", new JsonArray(costs)).put("starved", starved);
        return this;
    }

    /** The machine gave too little CPU for the figures to mean anything. */
    public boolean isCpuStarved() {
        return metrics.getBoolean("starved", false);
    }

    public double benefitShare() {
        return metrics.getDouble("share");
    }

    public boolean invariantsHeld() {
        return metrics.getBoolean("rules kept");
    }

    private static JsonObject percentiles(Histogram h) {
        JsonObject out = new JsonObject().put("count", h.getTotalCount());
        for (double p : new double[] {50, 90, 99, 99.9}) {
            out.put(
                    "p" + (p == Math.rint(p) ? Long.toString((long) p) : Double.toString(p)),
                    h.getValueAtPercentile(p) / 1000.0);
        }
        return out.put("max", h.getMaxValue() / 1000.0);
    }

    static double roundToFourDecimals(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }
}
