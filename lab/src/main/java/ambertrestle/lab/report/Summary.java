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

/**
 * The summary of all runs of one scenario (summary.json): the results of each run, and statistics of each policy over
 * its seeds. It also compares two summaries.
 */
public final class Summary {
    /** Two-sided 95% quantiles of Student's t distribution for 1, 2, 3, ... degrees of freedom. */
    private static final double[] STUDENT_T_95 = {
        12.71, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120,
        2.110, 2.101, 2.093, 2.086
    };

    /** The quantile for more degrees of freedom than {@link #STUDENT_T_95} lists. It falls from 2.08 towards 1.96. */
    private static final double STUDENT_T_95_LARGE_SAMPLE = 2;

    /** With a smaller difference of the two shares, the position between them would be a division by almost 0. */
    private static final double MIN_RANDOM_ORACLE_DIFFERENCE = 0.001;

    private Summary() {}

    /**
     * The content of summary.json, without the scenario's description. Runs that were starved of CPU are listed, but
     * left out of the statistics per policy. Shares relative to the oracle are present only if the oracle policy was
     * run, and the position between random and oracle only if both were run and differ.
     */
    public static JsonObject of(String scenario, String mode, List<RunResult> allResults) {
        List<RunResult> usableResults =
                allResults.stream().filter(result -> !result.isCpuStarved()).toList();
        JsonObject policies = new JsonObject();
        Map<String, List<Double>> shares = sharesByPolicy(usableResults);
        shares.forEach((policy, policyShares) -> policies.put(
                policy,
                new JsonObject()
                        .put("seeds", policyShares.size())
                        .put("share, mean", RunResult.roundToFourDecimals(mean(policyShares)))
                        .put(
                                "share, standard deviation",
                                RunResult.roundToFourDecimals(standardDeviation(policyShares)))
                        .put(
                                "share, least",
                                policyShares.stream().mapToDouble(x -> x).min().orElse(0))
                        .put(
                                "share, most",
                                policyShares.stream().mapToDouble(x -> x).max().orElse(0))
                        .put(
                                "rules kept",
                                usableResults.stream()
                                        .filter(result -> result.policy().equals(policy))
                                        .allMatch(RunResult::invariantsHeld))));
        double oracleMean = mean(shares.getOrDefault("oracle", List.of()));
        double randomMean = mean(shares.getOrDefault("random", List.of()));
        if (oracleMean > 0) {
            shares.forEach((policy, policyShares) -> {
                JsonObject policySummary = policies.getJsonObject(policy)
                        .put("of the oracle's", RunResult.roundToFourDecimals(mean(policyShares) / oracleMean));
                if (randomMean > 0 && oracleMean - randomMean > MIN_RANDOM_ORACLE_DIFFERENCE) {
                    policySummary.put(
                            "between random (0) and the oracle (1)",
                            RunResult.roundToFourDecimals(
                                    (mean(policyShares) - randomMean) / (oracleMean - randomMean)));
                }
            });
        }
        return new JsonObject()
                .put("scenario", scenario)
                .put("mode", mode)
                .put("policies", policies)
                .put(
                        "runs",
                        new JsonArray(
                                allResults.stream().map(RunResult::metrics).toList()));
    }

    /** The benefit share of each run, by policy, in the order of the runs. */
    private static Map<String, List<Double>> sharesByPolicy(List<RunResult> results) {
        Map<String, List<Double>> shares = new LinkedHashMap<>();
        results.forEach(result ->
                shares.computeIfAbsent(result.policy(), p -> new ArrayList<>()).add(result.benefitShare()));
        return shares;
    }

    /** The arithmetic mean; 0 for an empty list. */
    static double mean(List<Double> values) {
        return values.stream().mapToDouble(x -> x).average().orElse(0);
    }

    /** The sample standard deviation; 0 for fewer than two values. */
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
     * Compares the benefit shares of two summaries, policy by policy, and returns a table as text. If both have the
     * same seeds, the shares are compared in pairs, seed by seed. A difference is called noise if its 95% confidence
     * interval (Student's t) contains 0. With fewer than two seeds on either side there is no interval and no verdict.
     *
     * @param baselinePath a summary.json or the directory that contains it; column A of the table
     * @param candidatePath the same for column B
     * @throws IOException if a file is missing, cannot be read, or is not a summary
     */
    public static String compare(Path baselinePath, Path candidatePath) throws IOException {
        JsonObject baseline = readSummary(baselinePath);
        JsonObject candidate = readSummary(candidatePath);
        StringBuilder table = new StringBuilder(String.format(
                java.util.Locale.ROOT, "%-10s %8s %8s %9s %9s  %s%n", "policy", "A", "B", "B - A", "+-", "verdict"));
        table.append(
                baseline.getString("scenario").equals(candidate.getString("scenario"))
                        ? ""
                        : "different scenarios: " + baseline.getString("scenario") + " and "
                                + candidate.getString("scenario") + System.lineSeparator());
        for (String policy : baseline.getJsonObject("policies").fieldNames()) {
            if (candidate.getJsonObject("policies").containsKey(policy)) {
                Map<Long, Double> baselineShares = sharesBySeed(baseline, policy);
                Map<Long, Double> candidateShares = sharesBySeed(candidate, policy);
                double difference =
                        mean(List.copyOf(candidateShares.values())) - mean(List.copyOf(baselineShares.values()));
                double halfWidth = confidenceHalfWidth(baselineShares, candidateShares);
                table.append(String.format(
                        java.util.Locale.ROOT,
                        "%-10s %8.4f %8.4f %+9.4f %9s  %s%n",
                        policy,
                        mean(List.copyOf(baselineShares.values())),
                        mean(List.copyOf(candidateShares.values())),
                        difference,
                        halfWidth < 0 ? "?" : String.format(java.util.Locale.ROOT, "%.4f", halfWidth),
                        halfWidth < 0
                                ? "one seed: nothing can be said"
                                : Math.abs(difference) <= halfWidth
                                        ? "noise"
                                        : difference > 0 ? "B is better" : "A is better"));
            }
        }
        return table.toString();
    }

    private static JsonObject readSummary(Path path) throws IOException {
        Path file = Files.isDirectory(path) ? path.resolve("summary.json") : path;
        try {
            JsonObject summary = new JsonObject(Files.readString(file));
            if (summary.getJsonObject("policies") == null || summary.getJsonArray("runs") == null) {
                throw new IOException(file + " is not a summary of a run: expected the keys policies and runs");
            }
            return summary;
        } catch (io.vertx.core.json.DecodeException | ClassCastException e) {
            throw new IOException(file + " is not a summary of a run: expected the JSON of summary.json", e);
        } catch (java.nio.file.NoSuchFileException e) {
            throw new IOException(file + " does not exist", e);
        }
    }

    /** The benefit share of each run of a policy that was not starved of CPU, by seed. */
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

    /**
     * Half the width of the 95% confidence interval of the difference of the means: of a paired test if both have the
     * same seeds, otherwise of an unpaired test with unequal variances. -1 if either side has fewer than two seeds.
     */
    private static double confidenceHalfWidth(Map<Long, Double> baselineShares, Map<Long, Double> candidateShares) {
        if (baselineShares.size() < 2 || candidateShares.size() < 2) {
            return -1;
        }
        if (baselineShares.keySet().equals(candidateShares.keySet())) {
            List<Double> differences = baselineShares.keySet().stream()
                    .map(seed -> candidateShares.get(seed) - baselineShares.get(seed))
                    .toList();
            return studentTQuantile95(differences.size() - 1)
                    * standardDeviation(differences)
                    / StrictMath.sqrt(differences.size());
        }
        // The smaller sample's degrees of freedom give an interval that is rather too wide than too narrow.
        double baselineDeviation = standardDeviation(List.copyOf(baselineShares.values()));
        double candidateDeviation = standardDeviation(List.copyOf(candidateShares.values()));
        return studentTQuantile95(Math.min(baselineShares.size(), candidateShares.size()) - 1)
                * StrictMath.sqrt(baselineDeviation * baselineDeviation / baselineShares.size()
                        + candidateDeviation * candidateDeviation / candidateShares.size());
    }

    private static double studentTQuantile95(int degreesOfFreedom) {
        return degreesOfFreedom <= STUDENT_T_95.length ? STUDENT_T_95[degreesOfFreedom - 1] : STUDENT_T_95_LARGE_SAMPLE;
    }
}
