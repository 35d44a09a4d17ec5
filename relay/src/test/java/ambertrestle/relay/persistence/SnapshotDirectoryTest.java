package ambertrestle.relay.persistence;

import static ambertrestle.relay.persistence.TestSnapshots.NOW;
import static ambertrestle.relay.persistence.TestSnapshots.SECOND;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ambertrestle.relay.persistence.StateFileCodec.RejectionReason;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Each test injects one kind of disk fault and checks what the next process restores. */
class SnapshotDirectoryTest {
    /** The maximum age of state files in nanoseconds. */
    private static final long DAY = 86_400 * SECOND;
    /** The maximum size of state files. */
    private static final int MAX_BYTES = 1 << 20;
    /** Positions of the format version, the checksum and what follows it in a state file. */
    private static final int VERSION_OFFSET = 8;

    private static final int CHECKSUM_OFFSET = 24;
    private static final int CHECKSUM_END = 28;

    @TempDir
    private Path directory;

    private final FaultyStorage storage = new FaultyStorage();

    private SnapshotDirectory openDirectory() throws IOException {
        SnapshotDirectory snapshots = new SnapshotDirectory(storage, "r", DAY, MAX_BYTES);
        snapshots.readNewest(NOW);
        return snapshots;
    }

    private SnapshotDirectory.ReadResult readNewest() throws IOException {
        return new SnapshotDirectory(storage, "r", DAY, MAX_BYTES).readNewest(NOW);
    }

    /** Writes one generation as a new process would do, after it has read the directory. */
    private void persist(int marker) throws IOException {
        openDirectory().writeGeneration(StateFileCodec.encode(TestSnapshots.takenAt(NOW - SECOND, marker)));
    }

    /** Returns the marker of the snapshot that was read; see {@link TestSnapshots#takenAt}. */
    private static int marker(SnapshotDirectory.ReadResult result) {
        return (int) result.snapshot().learnedState().relayStatistics().completedConnections();
    }

    /**
     * A kill during a write must never leave the relay without a valid state file, or a partial file that looks valid.
     */
    @Test
    void findsValidFileAfterKillAtAnyByteOrStepOfWrite() throws IOException {
        persist(1);
        persist(2);
        Map<String, byte[]> before = Map.copyOf(storage.files);
        byte[] third = StateFileCodec.encode(TestSnapshots.takenAt(NOW, 3));
        int restoredPrevious = 0;
        for (int unitsBeforeKill = 0; ; unitsBeforeKill++) {
            storage.files.clear();
            storage.files.putAll(before);
            SnapshotDirectory snapshots = openDirectory();
            storage.unitsBeforeKill = unitsBeforeKill;
            boolean killed = false;
            try {
                snapshots.writeGeneration(third);
            } catch (FaultyStorage.ProcessKilledException e) {
                killed = true;
            }
            storage.unitsBeforeKill = Long.MAX_VALUE;
            SnapshotDirectory.ReadResult result = readNewest();
            assertThat(result.snapshot()).as("killed after " + unitsBeforeKill).isNotNull();
            assertThat(marker(result)).as("killed after " + unitsBeforeKill).isBetween(2, 3);
            assertThat(result.rejectedFiles())
                    .as("a partially written file must not have a final name")
                    .isEmpty();
            restoredPrevious += marker(result) == 2 ? 1 : 0;
            if (!killed) {
                break;
            }
        }
        assertThat(restoredPrevious)
                .as("kills during each byte, the sync and the rename")
                .isEqualTo(third.length + 2);
    }

    /**
     * In any other order, a power failure could leave no complete file: the new one not on disk, the old one deleted.
     */
    @Test
    void syncsBeforeRenameAndDeletesOldFileAfterDirectorySync() throws IOException {
        persist(1);
        persist(2);
        storage.steps.setLength(0);
        persist(3);
        assertThat(storage.steps.toString()).isEqualTo("write+sync rename sync-names delete ");
        assertThat(storage.files.keySet()).containsExactly("state-000000000000000002", "state-000000000000000003");
    }

    /** A write that fails for lack of space must not use up the space that a later one needs, nor lose the old file. */
    @Test
    void keepsOldFileAndDeletesTemporaryFileOnFullDisk() throws IOException {
        persist(1);
        storage.capacityBytes =
                storage.files.values().stream().mapToLong(f -> f.length).sum() + 20;
        assertThatThrownBy(() -> persist(2)).isInstanceOf(IOException.class).hasMessageContaining("No space left");
        assertThat(storage.files).hasSize(1);
        assertThat(marker(readNewest())).isEqualTo(1);
        storage.capacityBytes = Long.MAX_VALUE;
        persist(3);
        assertThat(marker(readNewest())).isEqualTo(3);
    }

    /** A directory that has become read-only must still be restored from. */
    @Test
    void readsFromReadOnlyDirectory() throws IOException {
        persist(1);
        storage.isReadOnly = true;
        assertThatThrownBy(() -> persist(2)).hasMessageContaining("Read-only");
        assertThat(marker(readNewest())).isEqualTo(1);
    }

    /** A damaged newest file must be reported with the right reason, and must not hide the previous generation. */
    @Test
    void reportsTruncatedOrCorruptFileAndReadsPreviousOne() throws IOException {
        persist(1);
        persist(2);
        byte[] validFile = storage.files.get("state-000000000000000002");
        storage.files.put("state-000000000000000002", java.util.Arrays.copyOf(validFile, validFile.length / 2));
        assertThat(marker(readNewest())).isEqualTo(1);
        assertThat(readNewest().rejectedFiles())
                .singleElement()
                .satisfies(rejected -> assertThat(rejected.cause().reason).isEqualTo(RejectionReason.TORN));
        byte[] flipped = validFile.clone();
        flipped[validFile.length - 3] ^= 4;
        storage.files.put("state-000000000000000002", flipped);
        assertThat(marker(readNewest())).isEqualTo(1);
        assertThat(readNewest().rejectedFiles())
                .singleElement()
                .satisfies(rejected -> assertThat(rejected.cause().reason).isEqualTo(RejectionReason.CHECKSUM));
    }

    /** Damage of a single bit, or a missing end, must never be restored as state. */
    @Test
    void rejectsAnyBitFlipAndAnyTruncation() {
        byte[] validFile = StateFileCodec.encode(TestSnapshots.takenAt(NOW, 1));
        for (int i = 0; i < validFile.length; i++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] flipped = validFile.clone();
                flipped[i] ^= (byte) (1 << bit);
                assertThatThrownBy(() -> StateFileCodec.decode(flipped))
                        .isInstanceOf(StateFileCodec.RejectedException.class);
            }
            byte[] truncated = java.util.Arrays.copyOf(validFile, i);
            assertThatThrownBy(() -> StateFileCodec.decode(truncated))
                    .isInstanceOf(StateFileCodec.RejectedException.class);
        }
    }

    /** After a downgrade, the newer version's file must survive for the next upgrade, and must not be overwritten. */
    @Test
    void rejectsFileOfNewerVersionWithoutDeletingIt() throws Exception {
        persist(1);
        byte[] newerFile = StateFileCodec.encode(TestSnapshots.takenAt(NOW, 2));
        ByteBuffer.wrap(newerFile).putInt(VERSION_OFFSET, StateFileCodec.VERSION + 1);
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(newerFile, 0, CHECKSUM_OFFSET);
        crc.update(newerFile, CHECKSUM_END, newerFile.length - CHECKSUM_END);
        ByteBuffer.wrap(newerFile).putInt(CHECKSUM_OFFSET, (int) crc.getValue());
        storage.files.put("state-000000000000000007", newerFile);
        assertThat(marker(readNewest())).isEqualTo(1);
        assertThat(readNewest().rejectedFiles()).singleElement().satisfies(rejected -> assertThat(rejected.cause())
                .hasMessageContaining("newer format version: 2, this relay reads versions up to 1"));
        persist(3);
        persist(4);
        persist(5);
        assertThat(storage.files).containsKey("state-000000000000000007").hasSize(3);
        assertThat(storage.files.lastKey())
                .as("a new file gets a higher number")
                .isEqualTo("state-000000000000000010");
        assertThat(marker(readNewest())).isEqualTo(5);
    }

    /** A wrongly configured directory must not make a relay use or delete the state of another relay. */
    @Test
    void rejectsFileOfOtherRelayWithoutDeletingIt() throws IOException {
        StateSnapshot snapshot = TestSnapshots.takenAt(NOW, 1);
        storage.files.put(
                "state-000000000000000001",
                StateFileCodec.encode(new StateSnapshot(
                        "other",
                        snapshot.rosterAddress(),
                        snapshot.takenAt(),
                        snapshot.rosterConfirmedAt(),
                        snapshot.roster(),
                        snapshot.learnedState())));
        assertThat(readNewest().snapshot()).isNull();
        assertThat(readNewest().rejectedFiles())
                .singleElement()
                .satisfies(rejected -> assertThat(rejected.cause().reason).isEqualTo(RejectionReason.OTHER_RELAY));
        persist(2);
        persist(3);
        persist(4);
        assertThat(storage.files).containsKey("state-000000000000000001");
    }

    /** Old state is misleading, and a file above the size limit could exhaust the heap. */
    @Test
    void rejectsFileThatIsTooOldOrTooLarge() throws IOException {
        storage.files.put(
                "state-000000000000000001", StateFileCodec.encode(TestSnapshots.takenAt(NOW - DAY - SECOND, 1)));
        assertThat(readNewest().rejectedFiles())
                .singleElement()
                .satisfies(rejected -> assertThat(rejected.cause().reason).isEqualTo(RejectionReason.TOO_OLD));
        storage.files.put("state-000000000000000002", new byte[MAX_BYTES + 1]);
        assertThat(readNewest().rejectedFiles()).hasSize(2).first().satisfies(rejected -> assertThat(
                        rejected.cause().reason)
                .isEqualTo(RejectionReason.TOO_LARGE));
    }

    /** Foreign content under a state file's name is reported; files with other names are ignored. */
    @Test
    void reportsFileThatIsNotStateFile() throws IOException {
        storage.files.put(
                "state-000000000000000001",
                "hello, this is a note that somebody left here".getBytes(java.nio.charset.StandardCharsets.UTF_8));
        storage.files.put("state-000000000000000002", new byte[0]);
        storage.files.put("notes.txt", new byte[3]);
        assertThat(readNewest().snapshot()).isNull();
        assertThat(readNewest().rejectedFiles())
                .extracting(rejected -> rejected.cause().reason)
                .containsExactly(RejectionReason.TORN, RejectionReason.NOT_OURS);
    }

    // ---- StateStore

    private PersistenceConfiguration configuration() {
        return new PersistenceConfiguration(directory, SECOND, DAY, MAX_BYTES, 2 * SECOND);
    }

    /** Two relays that use one directory would delete each other's state files. */
    @Test
    void rejectsSecondRelayUntilFirstReleasesDirectory() throws IOException {
        StateStore first = StateStore.open(configuration(), "r", new ArrayList<>());
        assertThatThrownBy(() -> StateStore.open(configuration(), "r", new ArrayList<>()))
                .isInstanceOf(DirectoryInUseException.class);
        first.close();
        StateStore.open(configuration(), "r", new ArrayList<>()).close();
    }

    /** Changes of several generations must add up to the complete state, on the real file system. */
    @Test
    void restoresStateAndDeletesTemporaryFilesAfterRestart() throws IOException {
        try (StateStore store = StateStore.open(configuration(), "r", new ArrayList<>())) {
            assertThat(store.restore(NOW, new ArrayList<>())).isNull();
            for (int i = 1; i <= 3; i++) {
                StateChanges changes = new StateChanges();
                changes.add(TestSnapshots.roster(40 + i, i == 1, "a", "b", "c" + i));
                changes.add(TestSnapshots.takenAt(NOW, i).learnedState());
                assertThat(store.persist(changes, "d:1", NOW + i, NOW + i)).isNull();
            }
        }
        Files.write(directory.resolve("state-000000000000000004.new"), new byte[10]);
        try (StateStore store = StateStore.open(configuration(), "r", new ArrayList<>())) {
            List<LogMessage> logMessages = new ArrayList<>();
            StateSnapshot snapshot = store.restore(NOW + SECOND, logMessages);
            assertThat(logMessages).isEmpty();
            assertThat(snapshot.roster().entries())
                    .extracting(entry -> entry.name())
                    .containsExactly("a", "b", "c1", "c2", "c3");
            assertThat(snapshot.roster().version()).isEqualTo(43);
            assertThat(snapshot.learnedState().relayStatistics().completedConnections())
                    .isEqualTo(3);
            assertThat(snapshot.learnedState().backends()).hasSize(2);
            assertThat(directory.resolve("state-000000000000000004.new")).doesNotExist();
        }
    }

    /** A disk that fails for hours must not log a message for each write. */
    @Test
    void logsFailureOnceAndRecoveryOnce() throws Exception {
        StateStore store = StateStore.open(storage, configuration(), "r", new ArrayList<>());
        store.restore(NOW, new ArrayList<>());
        storage.isReadOnly = true;
        assertThat(store.persist(new StateChanges(), null, 0, NOW).event()).isEqualTo("state-not-kept");
        assertThat(store.persist(new StateChanges(), null, 0, NOW)).isNull();
        storage.isReadOnly = false;
        assertThat(store.persist(new StateChanges(), null, 0, NOW).event()).isEqualTo("state-kept-again");
        assertThat(store.persist(new StateChanges(), null, 0, NOW)).isNull();
    }

    /** A relay that could not lock its directory at start-up must not write once another relay holds the lock. */
    @Test
    void writesOnlyAfterDirectoryIsLocked() throws Exception {
        storage.isReadOnly = true;
        List<LogMessage> logMessages = new ArrayList<>();
        StateStore store = StateStore.open(storage, configuration(), "r", logMessages);
        assertThat(logMessages).extracting(LogMessage::event).containsExactly("state-not-kept");
        storage.isReadOnly = false;
        storage.isLockedByOtherRelay = true;
        assertThat(store.persist(new StateChanges(), null, 0, NOW))
                .as("the failure was logged before")
                .isNull();
        assertThat(storage.files).isEmpty();
        storage.isLockedByOtherRelay = false;
        assertThat(store.persist(new StateChanges(), null, 0, NOW).event()).isEqualTo("state-kept-again");
        assertThat(storage.files).hasSize(1);
    }

    /** Too many pins must not keep the roster and the backend statistics from being persisted. */
    @Test
    void persistsWithoutPinsAndLogsWhenTooLarge() throws Exception {
        StateStore store = StateStore.open(
                storage, new PersistenceConfiguration(directory, SECOND, DAY, 2_000, SECOND), "r", new ArrayList<>());
        store.restore(NOW, new ArrayList<>());
        StateChanges changes = new StateChanges();
        changes.add(TestSnapshots.roster(1, true, "a", "b"));
        changes.add(new ambertrestle.decide.LearnedState(
                1,
                ambertrestle.decide.LearnedState.RelayStatistics.EMPTY,
                List.of(TestSnapshots.backendStatistics("a", NOW)),
                java.util.stream.LongStream.range(0, 500)
                        .mapToObj(key -> new ambertrestle.decide.LearnedState.Pin(key, 1, NOW))
                        .toList(),
                false));
        assertThat(store.persist(changes, "d:1", NOW, NOW).event()).isEqualTo("state-too-large");
        assertThat(readNewest().snapshot().learnedState().pins()).isEmpty();
        assertThat(readNewest().snapshot().roster().entries()).hasSize(2);
    }
}
