package ambertrestle.lab.report;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All runs of one scenario: the figures of each, and of each policy over its seeds. */
public final class Summary {
    /** Student's t for 95%, two-sided, by degrees of freedom from 1 on; beyond the last about two. */
    private static final double[] STUDENT_T_95 = {
        12.71, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120,
        2.110, 2.101, 2.093, 2.086
    };

    private Summary() {}

    public static JsonObject of(String scenario, String mode, List<RunResult> all) {
        List<RunResult> results = all.stream().filter(r -> !r.isCpuStarved()).toList();
        JsonObject policies = new JsonObject();
        Map<String, List<Double>> shares = sharesByPolicy(results);
        shares.forEach((policy, list) -> policies.put(
                policy,
                new JsonObject()
                        .put("seeds", list.size())
                        .put("share, mean", RunResult.roundToFourDecimals(mean(list)))
                        .put("share, standard deviation", RunResult.roundToFourDecimals(standardDeviation(list)))
                        .put(
                                "share, least",
                                list.stream().mapToDouble(x -> x).min().orElse(0))
                        .put(
                                "share, most",
                                list.stream().mapToDouble(x -> x).max().orElse(0))
                        .put(
                                "rules kept",
                                results.stream()
                                        .filter(r -> r.policy().equals(policy))
                                        .allMatch(RunResult::invariantsHeld))));
        double oracle = mean(shares.getOrDefault("oracle", List.of()));
        double random = mean(shares.getOrDefault("random", List.of()));
        if (oracle > 0) {
            shares.forEach((policy, list) -> {
                JsonObject figures = policies.getJsonObject(policy)
                        .put("of the oracle's", RunResult.roundToFourDecimals(mean(list) / oracle));
                if (random > 0 && oracle - random > 0.001) {
                    figures.put(
                            "between random (0) and the oracle (1)",
                            RunResult.roundToFourDecimals((mean(list) - random) / (oracle - random)));
                }
            });
        }
        return new JsonObject()
                .put("scenario", scenario)
                .put("mode", mode)
                .put("policies", policies)
                .put("runs", new JsonArray(all.stream().map(RunResult::metrics).toList()));
    }

    private static Map<String, List<Double>> sharesByPolicy(List<RunResult> results) {
        Map<String, List<Double>> shares = new LinkedHashMap<>();
        results.forEach(
                r -> shares.computeIfAbsent(r.policy(), p -> new ArrayList<>()).add(r.benefitShare()));
        return shares;
    }

    static double mean(List<Double> values) {
        return values.stream().mapToDouble(x -> x).average().orElse(0);
    }

    static double standardDeviation(List<Double> values) {
        double mean = mean(values);
        return values.size() < 2
                ? 0
                : StrictMath.sqrt(values.stream()
                                .mapToDouble(x -> (x - mean) * (x - mean))
                                .sum()
                        / (values.size() - 1));
    }

    /**
     * Two summaries side by side, policy by policy. Where both played the same seeds of the same scenario, seeds are
     * paired. A difference counts as noise where its 95% interval (Student's t) holds zero, or where one seed alone was
     * played.
     */
    public static String compare(Path one, Path other) throws IOException {
        JsonObject a = read(one);
        JsonObject b = read(other);
        StringBuilder out = new StringBuilder(String.format(
                java.util.Locale.ROOT, "%-10s %8s %8s %9s %9s  %s%n", "policy", "A", "B", "B - A", "+-", "verdict"));
        out.append(
                a.getString("scenario").equals(b.getString("scenario"))
                        ? ""
                        : "different scenarios: " + a.getString("scenario") + " and " + b.getString("scenario")
                                + System.lineSeparator());
        for (String policy : a.getJsonObject("policies").fieldNames()) {
            if (b.getJsonObject("policies").containsKey(policy)) {
                Map<Long, Double> x = sharesBySeed(a, policy);
                Map<Long, Double> y = sharesBySeed(b, policy);
                double difference = mean(List.copyOf(y.values())) - mean(List.copyOf(x.values()));
                double within = confidenceHalfWidth(x, y);
                out.append(String.format(
                        java.util.Locale.ROOT,
                        "%-10s %8.4f %8.4f %+9.4f %9s  %s%n",
                        policy,
                        mean(List.copyOf(x.values())),
                        mean(List.copyOf(y.values())),
                        difference,
                        within < 0 ? "?" : String.format(java.util.Locale.ROOT, "%.4f", within),
                        within < 0
                                ? "one seed: nothing can be said"
                                : Math.abs(difference) <= within
                                        ? "noise"
                                        : difference > 0 ? "B is better" : "A is better"));
            }
        }
        return out.toString();
    }

    private static JsonObject read(Path dir) throws IOException {
        Path file = Files.isDirectory(dir) ? dir.resolve("summary.json") : dir;
        try {
            JsonObject summary = new JsonObject(Files.readString(file));
            if (summary.getJsonObject("policies") == null || summary.getJsonArray("runs") == null) {
                throw new IOException(file + " is no summary of a run: policies or runs is missing");
            }
            return summary;
        } catch (io.vertx.core.json.DecodeException | ClassCastException e) {
            throw new IOException(file + " is no summary of a run", e);
        } catch (java.nio.file.NoSuchFileException e) {
            throw new IOException(file + " is not there", e);
        }
    }

    private static Map<Long, Double> sharesBySeed(JsonObject summary, String policy) {
        Map<Long, Double> shares = new LinkedHashMap<>();
        JsonArray runs = summary.getJsonArray("runs");
        for (int i = 0; i < runs.size(); i++) {
            JsonObject run = runs.getJsonObject(i);
            if (policy.equals(run.getString("policy")) && !run.getBoolean("starved", false)) {
                shares.put(run.getLong("seed"), run.getDouble("share"));
            }
        }
        return shares;
    }

    /** Half of the 95% interval of the difference; below 0 where it cannot be known. */
    private static double confidenceHalfWidth(Map<Long, Double> x, Map<Long, Double> y) {
        if (x.size() < 2 || y.size() < 2) {
            return -1;
        }
        if (x.keySet().equals(y.keySet())) {
            List<Double> differences =
                    x.keySet().stream().map(s -> y.get(s) - x.get(s)).toList();
            return studentT(differences.size() - 1)
                    * standardDeviation(differences)
                    / StrictMath.sqrt(differences.size());
        }
        double vx = standardDeviation(List.copyOf(x.values()));
        double vy = standardDeviation(List.copyOf(y.values()));
        return studentT(Math.min(x.size(), y.size()) - 1) * StrictMath.sqrt(vx * vx / x.size() + vy * vy / y.size());
    }

    private static double studentT(int freedom) {
        return freedom <= STUDENT_T_95.length ? STUDENT_T_95[freedom - 1] : 2;
    }
}
