package ambertrestle.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.scenario.Scenario.TroubleKind;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/**
 * Checks how scenario files are read: faults are reported with file, line and key, also by the command line, and the
 * shipped files cover all kinds of trouble.
 */
class ScenarioTest {
    @TempDir
    private Path dir;

    /** Guards against a kind of trouble, or troubles that overlap, that no shipped scenario exercises. */
    @Test
    void shippedScenariosCoverEveryTroubleKindAndThreeOverlapTroubles() throws Exception {
        Set<TroubleKind> kinds = EnumSet.noneOf(TroubleKind.class);
        int overlappingScenarios = 0;
        for (Path file : TestScenarios.shippedScenarios()) {
            Scenario scenario = Scenario.read(file);
            scenario.troubles().forEach(trouble -> kinds.add(trouble.kind()));
            overlappingScenarios += scenario.troubles().stream().anyMatch(trouble -> scenario.troubles().stream()
                            .anyMatch(other -> other.kind() != trouble.kind()
                                    && other.startOffset() < trouble.startOffset() + trouble.duration()
                                    && trouble.startOffset() < other.startOffset() + other.duration()))
                    ? 1
                    : 0;
        }
        assertThat(kinds).containsExactlyInAnyOrder(TroubleKind.values());
        assertThat(overlappingScenarios).isGreaterThanOrEqualTo(3);
    }

    /** Guards against reports that stop at the first fault or do not say where a fault is. */
    @Test
    void errorsNameFileLineAndKey() {
        assertThatThrownBy(
                        () -> TestScenarios.smallScenario(
                                """
                [[trouble]]
                kind = "kil"
                at = "1s"
                [[trouble]]
                kind = "slow"
                at = "ten"
                factor = -1
                backend = 2
                """))
                .isInstanceOf(Scenario.InvalidScenarioException.class)
                .hasMessageContaining("small.toml:23: trouble[1].kind is not known")
                .hasMessageContaining("the nearest known is kill")
                .hasMessageContaining("small.toml:27: trouble[2].at is malformed: expected a time")
                .hasMessageContaining("small.toml:28: trouble[2].factor is malformed")
                .hasMessageContaining("small.toml:29: trouble[2].backend is not known; the nearest known is backends");
    }

    /** Guards against wrong values that are silently replaced by defaults. */
    @Test
    void persistenceAndRosterFailureSettingsAreValidated() {
        assertThatThrownBy(
                        () -> TestScenarios.smallScenario(
                                """
                [[trouble]]
                kind = "roster-down"
                at = "1s"
                how = "answers-504"
                """))
                .hasMessageContaining("trouble[1].how is not known: expected one of refuses, hangs, "
                        + "answers-503, half-a-line; the nearest known is answers-503, got answers-504");
        assertThatThrownBy(() -> Scenario.read(ambertrestle.relay.toml.TomlDocument.parse(
                        "s.toml",
                        TestScenarios.SMALL
                                .replace("count = 2\n", "count = 2\nkept = \"yes\"\nknown = \"some\"\n")
                                .replace("length = ", "count-from = \"9s\"\nlength = "))))
                .hasMessageContaining("relays.kept is malformed: expected true or false")
                .hasMessageContaining("relays.known is not known")
                .hasMessageContaining("count-from is malformed: expected a time before the run's length");
    }

    /** Guards against a run with the values of a faulty scenario, whose reports would be misleading. */
    @Test
    void invalidScenarioRunsNothingAndExitsWithOne() throws Exception {
        Path file = dir.resolve("faulty.toml");
        Files.writeString(file, TestScenarios.SMALL.replace("rate = 40.0", "rate = \"many\""));
        StringWriter errorOutput = new StringWriter();
        CommandLine commandLine = Lab.commandLine().setErr(new PrintWriter(errorOutput));
        assertThat(commandLine.execute(
                        "run", file.toString(), "--out", dir.resolve("out").toString()))
                .isEqualTo(1);
        assertThat(errorOutput.toString()).contains("faulty.toml:15: use-case[1].rate is malformed: expected a number");
        assertThat(dir.resolve("out")).doesNotExist();
    }

    /** Guards against wrong options that are reported only after a run has started, or not as wrong usage. */
    @Test
    void unknownPoliciesAndMalformedSeedsAreUsageErrors() throws Exception {
        Path file = dir.resolve("small.toml");
        Files.writeString(file, TestScenarios.SMALL);
        StringWriter errorOutput = new StringWriter();
        assertThat(Lab.commandLine()
                        .setErr(new PrintWriter(errorOutput))
                        .execute("run", file.toString(), "--policy", "best"))
                .isEqualTo(2);
        assertThat(Lab.commandLine()
                        .setErr(new PrintWriter(errorOutput))
                        .execute("run", file.toString(), "--seeds", "5-1"))
                .isEqualTo(2);
        assertThat(errorOutput.toString())
                .contains("--policy best is not known")
                .contains("--seeds is malformed");
    }
}
