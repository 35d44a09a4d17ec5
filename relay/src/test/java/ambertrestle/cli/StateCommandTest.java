package ambertrestle.cli;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.LearnedState;
import ambertrestle.decide.LearnedState.BackendStatistics;
import ambertrestle.decide.LearnedState.Pin;
import ambertrestle.decide.LearnedState.RelayStatistics;
import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.relay.persistence.StateFileCodec;
import ambertrestle.relay.persistence.StateSnapshot;
import ambertrestle.relay.server.OperatorConfiguration;
import ambertrestle.relay.wire.RosterMessage;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The `state` commands, and the faults of the operator file's table [durable]. */
class StateCommandTest {
    /** Unix time in nanoseconds. */
    private static final long SNAPSHOT_TIME = 1_700_000_000_000_000_000L;

    @TempDir
    private Path directory;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return Cli.commandLine()
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(args);
    }

    private static StateSnapshot sampleSnapshot() {
        long backendId = RosterMessage.backendId("a");
        return new StateSnapshot(
                "r",
                "d:1",
                SNAPSHOT_TIME,
                SNAPSHOT_TIME,
                new RosterMessage(
                        41, true, List.of(new RosterMessage.Entry("a", "10.0.0.1:80", Stage.READY, "w", "m", 0, 1, 0))),
                new LearnedState(
                        1,
                        new RelayStatistics(22, 10_000_000_000L, 5e6, 0, 0, 0),
                        List.of(new BackendStatistics(
                                backendId, 0, SNAPSHOT_TIME, 1, 8, 4, 40_000_000, SNAPSHOT_TIME, 0)),
                        List.of(new Pin(-7, backendId, Pin.IN_USE), new Pin(8, backendId, SNAPSHOT_TIME)),
                        false));
    }

    private Path writeStateFile(byte[] bytes) throws Exception {
        return Files.write(directory.resolve("state-000000000000000001"), bytes);
    }

    /** Reads an operator file with these keys in [durable]; returns its faults as `line: fault`. */
    private List<String> faultsOfDurableTable(String keys) throws Exception {
        Path file = Files.writeString(directory.resolve("operator.toml"), "[durable]\n" + keys);
        try {
            OperatorConfiguration.read(file);
            return List.of();
        } catch (OperatorConfiguration.InvalidOperatorFileException e) {
            return e.faults().stream()
                    .map(fault -> fault.toString().replace(file + ":", "").replace(directory.toString(), "DIR"))
                    .toList();
        }
    }

    /** Scripts compare these labels, and keys of pins are printed unsigned. */
    @Test
    void verifiesAndShowsValidFile() throws Exception {
        Path file = writeStateFile(StateFileCodec.encode(sampleSnapshot()));
        assertThat(run("state", "verify", file.toString())).isZero();
        assertThat(out.toString()).contains("whole, kept by r at 2023-11-14T22:13:20Z: 1 backends, 1 judged, 2 pins");
        assertThat(run("state", "show", "--pins", file.toString())).isZero();
        assertThat(out.toString())
                .contains("version 41 of d:1")
                .contains("2.00 connections a second")
                .contains("10.0.0.1:80")
                .contains("fffffffffffffff9 a                        open");
    }

    /** A damaged file must not be printed in part, which would look like a smaller state. */
    @Test
    void reportsTruncatedFileWithReasonAndExitCodeOne() throws Exception {
        byte[] complete = StateFileCodec.encode(sampleSnapshot());
        Path file = writeStateFile(java.util.Arrays.copyOf(complete, complete.length - 9));
        assertThat(run("state", "verify", file.toString())).isEqualTo(1);
        assertThat(err.toString())
                .isEqualTo("ambertrestle: " + file + " has a wrong length: " + (complete.length - 41) + " of "
                        + (complete.length - 32) + " bytes" + System.lineSeparator());
        assertThat(run("state", "show", directory.resolve("none").toString())).isEqualTo(1);
        assertThat(err.toString()).contains("none cannot be read");
        assertThat(run("state")).isEqualTo(2);
    }

    /** A value that is out of range must be reported with its line, not replaced by a default. */
    @Test
    void reportsEachFaultyKeyOfDurableTable() throws Exception {
        assertThat(faultsOfDurableTable("interval = \"1s\"\n")).containsExactly("2: durable.folder is missing");
        assertThat(faultsOfDurableTable("folder = \"" + directory.resolve("none") + "\"\n"))
                .containsExactly(
                        "2: durable.folder is not a directory: expected an existing one that outlasts the relay process, got DIR/none");
        String validFolder = "folder = \"" + directory + "\"\n";
        assertThat(faultsOfDurableTable(validFolder)).isEmpty();
        assertThat(faultsOfDurableTable(validFolder + "most-age = \"-5s\"\n"))
                .containsExactly(
                        "3: durable.most-age is malformed: expected a time such as \"250ms\", \"3s\" or \"2m\", got -5s");
        assertThat(faultsOfDurableTable(validFolder + "interval = \"50ms\"\n"))
                .containsExactly("3: durable.interval is malformed: expected a time from 100ms to 1h");
        assertThat(faultsOfDurableTable(validFolder + "interval = \"10s\"\nmost-age = \"10s\"\n"))
                .containsExactly("4: durable.most-age is malformed: expected a time longer than interval");
        assertThat(faultsOfDurableTable(validFolder + "most-megabytes = 0\nsize = 3\n"))
                .containsExactly(
                        "3: durable.most-megabytes is malformed: expected a whole number from 1 to 1024, got 0",
                        "4: durable.size is not known; the nearest known is sure");
    }
}
