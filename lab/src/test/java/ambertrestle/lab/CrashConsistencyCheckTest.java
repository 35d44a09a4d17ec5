package ambertrestle.lab;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.lab.loopback.CrashConsistencyCheck;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A short form of the check with a thousand kills that docs/recovery.md describes. It has no bound for the age of the
 * restored state, because that depends on the load of the machine.
 */
class CrashConsistencyCheckTest {
    private static final long WRITE_INTERVAL_NANOS = 200_000_000L;
    private static final int BACKENDS = 200;
    private static final int PINS = 2_000;
    private static final int KILLS = 8;
    private static final int CONCURRENT_WRITERS = 2;
    private static final long SEED = 5;

    @TempDir
    private Path dir;

    /** Guards against a relay that loses its state because it was killed while it wrote a state file. */
    @Test
    void killedWriterAlwaysLeavesAnIntactStateFile() throws Exception {
        CrashConsistencyCheck.Report report = new CrashConsistencyCheck(dir, WRITE_INTERVAL_NANOS, BACKENDS, PINS)
                .run(KILLS, CONCURRENT_WRITERS, SEED);
        assertThat(report.failures()).isEmpty();
        assertThat(report.intactFiles()).isEqualTo(KILLS);
        assertThat(report.skippedFiles()).isZero();
    }
}
