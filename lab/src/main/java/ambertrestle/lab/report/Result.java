package ambertrestle.lab.report;

import ambertrestle.lab.world.Judge;
import ambertrestle.lab.world.Meter;
import ambertrestle.lab.world.Meter.Series;
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
public record Result(String policy, long seed, boolean whole, JsonObject figures, List<String> happened, Meter meter) {
    public static Result of(
            String policy,
            long seed,
            boolean whole,
            Meter meter,
            Judge judge,
            List<String> happened,
            Map<String, Long> account,
            int badSent,
            int badUnanswered) {
        double offered = meter.sum(Series.OFFERED);
        JsonObject answers = new JsonObject();
        for (Series s : List.of(
                Series.UP,
                Series.BUSY,
                Series.ERR,
                Series.UNHEARD,
                Series.REFUSED,
                Series.DONE,
                Series.BROKEN,
                Series.MOVED)) {
            answers.put(s.says, Math.round(meter.sum(s)));
        }
        JsonObject rules = new JsonObject();
        judge.counts().forEach((rule, n) -> rules.put(rule.says, n));
        JsonObject figures = new JsonObject()
                .put("policy", policy)
                .put("seed", seed)
                .put("played to its end", whole)
                .put("benefit", round(meter.sum(Series.BENEFIT)))
                .put("offered", round(offered))
                .put("share", round(offered == 0 ? 0 : meter.sum(Series.BENEFIT) / offered))
                .put("rules kept", judge.kept())
                .put("breaches", rules)
                .put("first breaches", new JsonArray(judge.breaches()))
                .put("answers", answers)
                .put("account, warm-up included", new JsonObject(new LinkedHashMap<>(account)))
                .put("opens", Math.round(meter.sum(Series.OPENS)))
                .put("reconnects", Math.round(meter.sum(Series.RETURNS)))
                .put(
                        "most reconnects in a second",
                        Math.round(Arrays.stream(meter.series(Series.RETURNS))
                                .max()
                                .orElse(0)))
                .put("dispatches", Math.round(meter.sum(Series.DISPATCHES)))
                .put("lines", Math.round(meter.sum(Series.LINES)))
                .put("late lines", Math.round(meter.sum(Series.LATE_LINES)))
                .put("opening, ms", percentiles(meter.opening))
                .put("line, ms", percentiles(meter.line))
                .put("bad clients", badSent)
                .put("bad clients left alone", badUnanswered)
                .put("troubles", new JsonArray(happened));
        return new Result(policy, seed, whole, figures, happened, meter);
    }

    /** The same with what it cost on sockets; a starved run is marked as none. */
    public Result withCosts(List<String> costs, boolean starved) {
        figures.put("costs", new JsonArray(costs)).put("starved", starved);
        return this;
    }

    /** The machine gave too little CPU for the figures to mean anything. */
    public boolean starved() {
        return figures.getBoolean("starved", false);
    }

    public double share() {
        return figures.getDouble("share");
    }

    public boolean rulesKept() {
        return figures.getBoolean("rules kept");
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

    static double round(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }
}
