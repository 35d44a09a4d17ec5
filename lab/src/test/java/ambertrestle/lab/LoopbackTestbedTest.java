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

/** The shipped scenario on sockets, against the daemon's jar as the build has just made it. */
class LoopbackTestbedTest {
    private static final Path JAR = Path.of("..", "relay", "target", "ambertrestle.jar");

    @TempDir
    private Path dir;

    private LoopbackTestbed runScenario(String name) throws Exception {
        LoopbackTestbed world = LoopbackTestbed.create(Scenario.read(Path.of("scenarios", name)), 1, JAR, dir);
        assertThat(world.run(second -> true)).isTrue();
        return world;
    }

    private static void assertInvariantsHold(LoopbackTestbed world) {
        assertThat(world.connectionTotals())
                .containsEntry("answers unaccounted for", 0L)
                .containsEntry("ends unaccounted for", 0L);
        for (Invariant rule : new Invariant[] {
            Invariant.NOTHING_AFTER_FINAL_ANSWER,
            Invariant.NO_DUPLICATE_EFFECT,
            Invariant.NO_SHED_IF_MAY_HAVE_RUN,
            Invariant.NO_DISPATCH_TO_DRAINED_BACKEND,
            Invariant.NO_OVERLOAD_IN_SLOW_START,
            Invariant.NO_INVALID_REQUEST_AT_BACKEND
        }) {
            assertThat(world.invariantChecker.violationCounts().get(rule))
                    .as(rule.description + " " + world.invariantChecker.violationMessages())
                    .isZero();
        }
    }

    /** Counts, not times, so that a busy machine gives the same verdict. */
    @Test
    void invariantsHoldDuringDrainBackendCrashAndRelayCrash() throws Exception {
        LoopbackTestbed world = runScenario("short-sockets.toml");
        assertInvariantsHold(world);
        assertThat(world.metrics.sum(Series.ESTABLISHED)).isGreaterThan(100);
        assertThat(world.metrics.sum(Series.DONE)).isPositive();
        assertThat(world.metrics.sum(Series.BROKEN))
                .as("the dead backend's and the dead relay's")
                .isPositive();
        assertThat(world.metrics.sum(Series.RECONNECTS)).isPositive();
        assertThat(world.eventLog()).anyMatch(line -> line.contains("relay-kill of 1 relays begins"));
    }

    /** Killed with the roster service away and no list in their configuration, relays serve on what they kept. */
    @Test
    void restartedRelaysServeFromPersistedRosterWhileRosterServiceIsDown() throws Exception {
        LoopbackTestbed world = runScenario("short-away.toml");
        assertInvariantsHold(world);
        for (String relay : new String[] {"relay-0", "relay-1"}) {
            int died = indexOf(world, "relay-kill of 2 relays begins");
            int up = indexOf(world, relay + " has its first UP");
            assertThat(up)
                    .as(world.eventLog().toString())
                    .isGreaterThan(died)
                    .isLessThan(indexOf(world, "roster-down ends"));
            String log = Files.readString(dir.resolve(relay + ".log"));
            assertThat(log)
                    .contains("start-from-known: ")
                    .contains("start-from-kept: starts with the persisted roster of 8 backends")
                    .contains("all backends count as cold until the roster service answers")
                    .contains("converging: ");
        }
    }

    private static int indexOf(LoopbackTestbed world, String what) {
        for (int i = 0; i < world.eventLog().size(); i++) {
            if (world.eventLog().get(i).contains(what)) {
                return i;
            }
        }
        return -1;
    }

    /** While cut off, dials never come up: the relay must call them not connected and go on elsewhere. */
    @Test
    void invariantsHoldDuringPartitionAndBackendHang() throws Exception {
        LoopbackTestbed world = runScenario("short-partition.toml");
        assertInvariantsHold(world);
        assertThat(world.metrics.sum(Series.ESTABLISHED)).isGreaterThan(50);
        assertThat(world.eventLog())
                .anyMatch(line -> line.contains("partition of 3 backends begins"))
                .anyMatch(line -> line.endsWith("partition ends"));
    }
}
