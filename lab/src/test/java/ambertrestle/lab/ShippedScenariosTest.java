package ambertrestle.lab;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.simulation.MetricsRecorder.Series;
import ambertrestle.lab.simulation.SimulatedTestbed;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import org.junit.jupiter.api.Test;

/**
 * Runs every shipped scenario with a small fleet in the simulation. The relay's own policy (`module`) must violate no
 * invariant and reach a minimum share of the offered benefit.
 */
class ShippedScenariosTest {
    /**
     * Minimum benefit share by scenario, well below the shares in docs/distance.md. The bounds only catch gross
     * defects; smaller changes are found with the command `compare`.
     */
    private static final Map<String, Double> MIN_BENEFIT_SHARES = Map.of(
            "retry-storm",
            0.45,
            "store-slow",
            0.55,
            "release-under-load",
            0.6,
            "crash-and-return",
            0.8,
            "short-partition",
            0.8,
            "roll-mass",
            0.6,
            "kept-all",
            0.6,
            "short-away",
            0.5,
            "kept-silent",
            0.8,
            "kept-rolling",
            0.85);

    /** Minimum benefit share of the scenarios without an entry in {@link #MIN_BENEFIT_SHARES}. */
    private static final double MIN_BENEFIT_SHARE = 0.95;

    /** The same for the scenarios whose names start with `away-`, in which the roster service is down. */
    private static final double MIN_BENEFIT_SHARE_ROSTER_AWAY = 0.75;

    /** With fewer files than this, some were not found, and the test would check too little. */
    private static final int MIN_SCENARIO_COUNT = 15;

    /**
     * Guards against changes that break an invariant or lose much benefit in one of the troubles. It also fails if an
     * invalid request got no answer, or if a connection's answer or end is missing in the totals.
     */
    @Test
    void invariantsHoldAndBenefitShareIsReachedInEveryShippedScenario() throws Exception {
        List<Path> scenarioFiles = TestScenarios.shippedScenarios().stream()
                .filter(file -> !file.endsWith("large.toml"))
                .toList();
        assertThat(scenarioFiles.size()).isGreaterThanOrEqualTo(MIN_SCENARIO_COUNT);
        Map<String, String> failures = new ConcurrentSkipListMap<>();
        scenarioFiles.parallelStream().forEach(file -> {
            try {
                SimulatedTestbed testbed = new SimulatedTestbed(Scenario.read(file), "module", 1);
                testbed.run(second -> true);
                double benefitShare = testbed.metrics.sum(Series.BENEFIT) / testbed.metrics.sum(Series.OFFERED_BENEFIT);
                String name = testbed.scenario.name();
                if (!testbed.invariantChecker.hasNoViolations()
                        || benefitShare
                                < MIN_BENEFIT_SHARES.getOrDefault(
                                        name,
                                        name.startsWith("away-") ? MIN_BENEFIT_SHARE_ROSTER_AWAY : MIN_BENEFIT_SHARE)
                        || testbed.unansweredBadClientCount() > 0
                        || testbed.connectionTotals().get("answers unaccounted for") != 0
                        || testbed.connectionTotals().get("ends unaccounted for") != 0) {
                    failures.put(
                            name,
                            benefitShare + " " + testbed.invariantChecker.violationMessages() + " "
                                    + testbed.unansweredBadClientCount() + " " + testbed.connectionTotals());
                }
            } catch (Exception e) {
                failures.put(file.toString(), e.toString());
            }
        });
        assertThat(failures).isEmpty();
    }
}
