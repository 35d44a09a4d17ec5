package ambertrestle.lab;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.lab.report.Summary;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.simulation.MetricsRecorder.Series;
import ambertrestle.lab.simulation.SimulatedTestbed;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that simulated runs are reproducible, account for every client and rank the policies plausibly. */
class SimulatedTestbedTest {
    @TempDir
    private Path dir;

    /** Gained benefit as a share of the offered benefit. */
    private static double benefitShare(Scenario scenario, String policy) throws Exception {
        SimulatedTestbed testbed = new SimulatedTestbed(scenario, policy, 5);
        testbed.run(second -> true);
        return testbed.metrics.sum(Series.BENEFIT) / testbed.metrics.sum(Series.OFFERED_BENEFIT);
    }

    /** Runs the small scenario with a crash of two backends by the command line; returns the exit code. */
    private int run(String outputFolder, Object... extraArguments) throws Exception {
        Path file = dir.resolve("small.toml");
        Files.writeString(
                file,
                TestScenarios.SMALL + "[[trouble]]\nkind = \"kill\"\nat = \"2s\"\nlasts = \"2s\"\nbackends = 2\n");
        String[] arguments = new String[4 + extraArguments.length];
        arguments[0] = "run";
        arguments[1] = file.toString();
        arguments[2] = "--out";
        arguments[3] = dir.resolve(outputFolder).toString();
        for (int i = 0; i < extraArguments.length; i++) {
            arguments[4 + i] = extraArguments[i].toString();
        }
        return Lab.commandLine().setOut(new PrintWriter(new StringWriter())).execute(arguments);
    }

    /**
     * Guards against state shared between runs: if runs influenced each other, their results would depend on how many
     * run in parallel.
     */
    @Test
    void resultsAreIdenticalForAnyNumberOfParallelJobs() throws Exception {
        assertThat(run("one", "--seeds", "1-3", "--policy", "module,random,oracle", "--jobs", 1))
                .isZero();
        assertThat(run("other", "--seeds", "1-3", "--policy", "module,random,oracle", "--jobs", 4))
                .isZero();
        assertThat(Files.readString(dir.resolve("one/summary.json")))
                .isEqualTo(Files.readString(dir.resolve("other/summary.json")));
        assertThat(Files.readString(dir.resolve("one/summary.json"))).contains("\"of the oracle's\"");
        assertThat(Files.readString(dir.resolve("one/report.html")))
                .contains("data:image/png;base64,")
                .contains("kill of 2 backends begins");
    }

    /**
     * Guards against a seed that has no effect, and against a verdict of {@code compare} from one seed each, which says
     * nothing about the spread.
     */
    @Test
    void differentSeedsGiveDifferentResults() throws Exception {
        run("one", "--seeds", "1");
        run("other", "--seeds", "2");
        assertThat(Files.readString(dir.resolve("one/summary.json")))
                .isNotEqualTo(Files.readString(dir.resolve("other/summary.json")));
        assertThat(Summary.compare(dir.resolve("one"), dir.resolve("other"))).contains("one seed: nothing can be said");
    }

    /** Guards against a comparison that reports a difference where there is none. */
    @Test
    void comparingARunWithItselfReportsNoise() throws Exception {
        run("one", "--seeds", "1-3");
        assertThat(Summary.compare(dir.resolve("one"), dir.resolve("one")))
                .contains("noise")
                .doesNotContain("better");
    }

    /**
     * Guards against lost or doubly counted arrivals: without faults, every arrival is established, and nearly all of
     * the benefit is gained.
     */
    @Test
    void everyArrivalIsServedWithoutFaults() throws Exception {
        SimulatedTestbed testbed = new SimulatedTestbed(TestScenarios.smallScenario(""), "module", 1);
        testbed.run(second -> true);
        assertThat(testbed.invariantChecker.hasNoViolations()).isTrue();
        assertThat(testbed.metrics.sum(Series.ESTABLISHED))
                .isBetween(testbed.metrics.sum(Series.OPENS) - 5, testbed.metrics.sum(Series.OPENS) + 5);
        assertThat(testbed.metrics.sum(Series.BENEFIT) / testbed.metrics.sum(Series.OFFERED_BENEFIT))
                .isGreaterThan(0.98);
    }

    /**
     * Guards against a simulation in which decisions make no difference: while half of the backends are silent, the
     * oracle must gain more than the production policy, and that more than random choice.
     */
    @Test
    void betterInformedPoliciesGetMoreBenefitWhileBackendsAreSilent() throws Exception {
        Scenario scenario = TestScenarios.smallScenario(
                "[[trouble]]\nkind = \"silent-accept\"\nat = \"1s\"\nlasts = \"6s\"\nbackends = 3\n");
        double random = benefitShare(scenario, "random");
        double module = benefitShare(scenario, "module");
        double oracle = benefitShare(scenario, "oracle");
        assertThat(oracle).isGreaterThan(module);
        assertThat(module).isGreaterThan(random + 0.02);
    }

    /**
     * Guards against a closed-loop load, in which slow backends reduce the arrivals and so hide that clients aren't
     * served.
     */
    @Test
    void offeredLoadIsIndependentOfBackendSpeed() throws Exception {
        SimulatedTestbed normal = new SimulatedTestbed(TestScenarios.smallScenario(""), "module", 1);
        SimulatedTestbed slow = new SimulatedTestbed(
                TestScenarios.smallScenario(
                        "[[trouble]]\nkind = \"slow\"\nat = \"0s\"\nlasts = \"8s\"\nfactor = 0.01\nbackends = 6\n"),
                "module",
                1);
        normal.run(second -> true);
        slow.run(second -> true);
        double offeredRatio = slow.metrics.sum(Series.OFFERED_BENEFIT) / normal.metrics.sum(Series.OFFERED_BENEFIT);
        assertThat(offeredRatio).isBetween(0.8, 1.2);
        assertThat(slow.metrics.sum(Series.BENEFIT)).isLessThan(0.7 * normal.metrics.sum(Series.BENEFIT));
    }
}
