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

class SimulatedTestbedTest {
    @TempDir
    private Path dir;

    private static double benefitShare(Scenario s, String policy) throws Exception {
        SimulatedTestbed world = new SimulatedTestbed(s, policy, 5);
        world.run(second -> true);
        return world.metrics.sum(Series.BENEFIT) / world.metrics.sum(Series.OFFERED_BENEFIT);
    }

    private int run(String name, Object... more) throws Exception {
        Path file = dir.resolve("small.toml");
        Files.writeString(
                file,
                TestScenarios.SMALL + "[[trouble]]\nkind = \"kill\"\nat = \"2s\"\nlasts = \"2s\"\nbackends = 2\n");
        String[] args = new String[4 + more.length];
        args[0] = "run";
        args[1] = file.toString();
        args[2] = "--out";
        args[3] = dir.resolve(name).toString();
        for (int i = 0; i < more.length; i++) {
            args[4 + i] = more[i].toString();
        }
        return Lab.commandLine().setOut(new PrintWriter(new StringWriter())).execute(args);
    }

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

    @Test
    void differentSeedsGiveDifferentResults() throws Exception {
        run("one", "--seeds", "1");
        run("other", "--seeds", "2");
        assertThat(Files.readString(dir.resolve("one/summary.json")))
                .isNotEqualTo(Files.readString(dir.resolve("other/summary.json")));
        assertThat(Summary.compare(dir.resolve("one"), dir.resolve("other"))).contains("one seed: nothing can be said");
    }

    @Test
    void comparingARunWithItselfReportsNoise() throws Exception {
        run("one", "--seeds", "1-3");
        assertThat(Summary.compare(dir.resolve("one"), dir.resolve("one")))
                .contains("noise")
                .doesNotContain("better");
    }

    /** What is accounted for: each arrival ends in exactly one way while nothing is in trouble. */
    @Test
    void everyArrivalIsServedWithoutFaults() throws Exception {
        SimulatedTestbed world = new SimulatedTestbed(TestScenarios.smallScenario(""), "module", 1);
        world.run(second -> true);
        assertThat(world.invariantChecker.hasNoViolations()).isTrue();
        assertThat(world.metrics.sum(Series.ESTABLISHED))
                .isBetween(world.metrics.sum(Series.OPENS) - 5, world.metrics.sum(Series.OPENS) + 5);
        assertThat(world.metrics.sum(Series.BENEFIT) / world.metrics.sum(Series.OFFERED_BENEFIT))
                .isGreaterThan(0.98);
    }

    @Test
    void betterInformedPoliciesGetMoreBenefitWhileBackendsAreSilent() throws Exception {
        Scenario s = TestScenarios.smallScenario(
                "[[trouble]]\nkind = \"silent-accept\"\nat = \"1s\"\nlasts = \"6s\"\nbackends = 3\n");
        double random = benefitShare(s, "random");
        double module = benefitShare(s, "module");
        double oracle = benefitShare(s, "oracle");
        assertThat(oracle).isGreaterThan(module);
        assertThat(module).isGreaterThan(random + 0.02);
    }

    /** Open load: what is offered is the same whatever the relays make of it. */
    @Test
    void offeredLoadIsIndependentOfBackendSpeed() throws Exception {
        SimulatedTestbed quiet = new SimulatedTestbed(TestScenarios.smallScenario(""), "module", 1);
        SimulatedTestbed slow = new SimulatedTestbed(
                TestScenarios.smallScenario(
                        "[[trouble]]\nkind = \"slow\"\nat = \"0s\"\nlasts = \"8s\"\nfactor = 0.01\nbackends = 6\n"),
                "module",
                1);
        quiet.run(second -> true);
        slow.run(second -> true);
        double arrivals = slow.metrics.sum(Series.OFFERED_BENEFIT) / quiet.metrics.sum(Series.OFFERED_BENEFIT);
        assertThat(arrivals).isBetween(0.8, 1.2);
        assertThat(slow.metrics.sum(Series.BENEFIT)).isLessThan(0.7 * quiet.metrics.sum(Series.BENEFIT));
    }
}
