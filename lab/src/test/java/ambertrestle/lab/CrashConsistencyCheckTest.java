package ambertrestle.lab;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.lab.loopback.CrashConsistencyCheck;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A few of the thousand kills that docs/recovery.md tells of; how old the files were is for a quiet machine to say. */
class CrashConsistencyCheckTest {
    @TempDir
    private Path dir;

    @Test
    void killedWriterAlwaysLeavesAnIntactStateFile() throws Exception {
        CrashConsistencyCheck.Report report = new CrashConsistencyCheck(dir, 200_000_000L, 200, 2000).run(8, 2, 5);
        assertThat(report.failures()).isEmpty();
        assertThat(report.intactFiles()).isEqualTo(8);
        assertThat(report.skippedFiles()).isZero();
    }
}
