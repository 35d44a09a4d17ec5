package ambertrestle.lab;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.lab.loopback.LoopbackTestbed;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.simulation.InvariantChecker.Invariant;
import ambertrestle.lab.simulation.MetricsRecorder.Series;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs shipped scenarios on sockets, with relay processes from the jar that the build has just made. */
class LoopbackTestbedTest {
    private static final Path JAR = Path.of("..", "relay", "target", "ambertrestle.jar");

    @TempDir
    private Path dir;

    /** Runs a file of the directory `scenarios` to its end. */
    private LoopbackTestbed runScenario(String name) throws Exception {
        LoopbackTestbed testbed = LoopbackTestbed.create(Scenario.read(Path.of("scenarios", name)), 1, JAR, dir);
        assertThat(testbed.run(second -> true)).isTrue();
        return testbed;
    }

    /**
     * Asserts that the totals miss no connection's answer or end, and that no listed invariant was violated. The others
     * (EXACTLY_ONE_FINAL_ANSWER, NO_CONCURRENT_DISPATCHES) are not asserted.
     */
    private static void assertInvariantsHold(LoopbackTestbed testbed) {
        assertThat(testbed.connectionTotals())
                .containsEntry("answers unaccounted for", 0L)
                .containsEntry("ends unaccounted for", 0L);
        for (Invariant invariant : new Invariant[] {
            Invariant.NOTHING_AFTER_FINAL_ANSWER,
            Invariant.NO_DUPLICATE_EFFECT,
            Invariant.NO_SHED_IF_MAY_HAVE_RUN,
            Invariant.NO_DISPATCH_TO_DRAINED_BACKEND,
            Invariant.NO_OVERLOAD_IN_SLOW_START,
            Invariant.NO_INVALID_REQUEST_AT_BACKEND
        }) {
            assertThat(testbed.invariantChecker.violationCounts().get(invariant))
                    .as(invariant.description + " " + testbed.invariantChecker.violationMessages())
                    .isZero();
        }
    }

    /**
     * Guards against relays that break an invariant on real sockets though they keep it in the simulation. It checks
     * counts and not times, so that the result does not depend on the load of the machine.
     */
    @Test
    void invariantsHoldDuringDrainBackendCrashAndRelayCrash() throws Exception {
        LoopbackTestbed testbed = runScenario("short-sockets.toml");
        assertInvariantsHold(testbed);
        assertThat(testbed.metrics.sum(Series.ESTABLISHED)).isGreaterThan(100);
        assertThat(testbed.metrics.sum(Series.DONE)).isPositive();
        assertThat(testbed.metrics.sum(Series.BROKEN))
                .as("connections broken by the backend's and the relay's death")
                .isPositive();
        assertThat(testbed.metrics.sum(Series.RECONNECTS)).isPositive();
        assertThat(testbed.eventLog()).anyMatch(event -> event.contains("relay-kill of 1 relays begins"));
    }

    /**
     * Guards against relays that cannot serve after a crash while the roster service is down. All relays are killed and
     * restarted without a roster in their configuration, so they depend on the persisted one.
     */
    @Test
    void restartedRelaysServeFromPersistedRosterWhileRosterServiceIsDown() throws Exception {
        LoopbackTestbed testbed = runScenario("short-away.toml");
        assertInvariantsHold(testbed);
        for (String relay : new String[] {"relay-0", "relay-1"}) {
            int killedIndex = indexOfEvent(testbed, "relay-kill of 2 relays begins");
            int firstUpIndex = indexOfEvent(testbed, relay + " has its first UP");
            assertThat(firstUpIndex)
                    .as(testbed.eventLog().toString())
                    .isGreaterThan(killedIndex)
                    .isLessThan(indexOfEvent(testbed, "roster-down ends"));
            String log = Files.readString(dir.resolve(relay + ".log"));
            assertThat(log)
                    .contains("start-from-known: ")
                    .contains("start-from-kept: starts with the persisted roster of 8 backends")
                    .contains("all backends count as cold until the roster service answers")
                    .contains("converging: ");
        }
    }

    private static int indexOfEvent(LoopbackTestbed testbed, String text) {
        for (int i = 0; i < testbed.eventLog().size(); i++) {
            if (testbed.eventLog().get(i).contains(text)) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Guards against relays that wait for a connect that never completes. During a partition connects get no answer;
     * the relay has to treat them as not connected and select another backend.
     */
    @Test
    void invariantsHoldDuringPartitionAndBackendHang() throws Exception {
        LoopbackTestbed testbed = runScenario("short-partition.toml");
        assertInvariantsHold(testbed);
        assertThat(testbed.metrics.sum(Series.ESTABLISHED)).isGreaterThan(50);
        assertThat(testbed.eventLog())
                .anyMatch(event -> event.contains("partition of 3 backends begins"))
                .anyMatch(event -> event.endsWith("partition ends"));
    }
}
