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
    @TempDir
    private Path dir;

    /** Guards against a relay that loses its state because it was killed while it wrote a state file. */
    @Test
    void killedWriterAlwaysLeavesAnIntactStateFile() throws Exception {
        CrashConsistencyCheck.Report report = new CrashConsistencyCheck(dir, 200_000_000L, 200, 2000).run(8, 2, 5);
        assertThat(report.failures()).isEmpty();
        assertThat(report.intactFiles()).isEqualTo(8);
        assertThat(report.skippedFiles()).isZero();
    }
}
