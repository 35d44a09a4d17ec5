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

/** Each test breaks a disk in one way and looks at what the next process finds. */
class SnapshotDirectoryTest {
    private static final long DAY = 86_400 * SECOND;

    @TempDir
    private Path dir;

    private final FaultyStorage disk = new FaultyStorage();

    private SnapshotDirectory folder() throws IOException {
        SnapshotDirectory folder = new SnapshotDirectory(disk, "r", DAY, 1 << 20);
        folder.readNewest(NOW);
        return folder;
    }

    private SnapshotDirectory.ReadResult found() throws IOException {
        return new SnapshotDirectory(disk, "r", DAY, 1 << 20).readNewest(NOW);
    }

    private void keep(int mark) throws IOException {
        folder().writeGeneration(StateFileCodec.encode(TestSnapshots.takenAt(NOW - SECOND, mark)));
    }

    private static int mark(SnapshotDirectory.ReadResult found) {
        return (int) found.snapshot().learnedState().relayStatistics().completedConnections();
    }

    @Test
    void findsWholeFileAfterKillAtAnyByteOrStepOfWrite() throws IOException {
        keep(1);
        keep(2);
        Map<String, byte[]> before = Map.copyOf(disk.files);
        byte[] third = StateFileCodec.encode(TestSnapshots.takenAt(NOW, 3));
        int older = 0;
        for (int lives = 0; ; lives++) {
            disk.files.clear();
            disk.files.putAll(before);
            SnapshotDirectory folder = folder();
            disk.unitsBeforeKill = lives;
            boolean killed = false;
            try {
                folder.writeGeneration(third);
            } catch (FaultyStorage.ProcessKilledException e) {
                killed = true;
            }
            disk.unitsBeforeKill = Long.MAX_VALUE;
            SnapshotDirectory.ReadResult found = found();
            assertThat(found.snapshot()).as("killed after " + lives).isNotNull();
            assertThat(mark(found)).as("killed after " + lives).isBetween(2, 3);
            assertThat(found.rejectedFiles())
                    .as("what is half written has not the name of a whole one")
                    .isEmpty();
            older += mark(found) == 2 ? 1 : 0;
            if (!killed) {
                break;
            }
        }
        assertThat(older).as("all bytes, the sync and the rename").isEqualTo(third.length + 2);
    }

    @Test
    void syncsBeforeRenameAndDeletesOldFileAfterDirectorySync() throws IOException {
        keep(1);
        keep(2);
        disk.steps.setLength(0);
        keep(3);
        assertThat(disk.steps.toString()).isEqualTo("write+sync rename sync-names delete ");
        assertThat(disk.files.keySet()).containsExactly("state-000000000000000002", "state-000000000000000003");
    }

    @Test
    void keepsOldFileAndDeletesTemporaryFileOnFullDisk() throws IOException {
        keep(1);
        disk.capacityBytes =
                disk.files.values().stream().mapToLong(f -> f.length).sum() + 20;
        assertThatThrownBy(() -> keep(2)).isInstanceOf(IOException.class).hasMessageContaining("No space left");
        assertThat(disk.files).hasSize(1);
        assertThat(mark(found())).isEqualTo(1);
        disk.capacityBytes = Long.MAX_VALUE;
        keep(3);
        assertThat(mark(found())).isEqualTo(3);
    }

    @Test
    void readsFromReadOnlyDirectory() throws IOException {
        keep(1);
        disk.readOnly = true;
        assertThatThrownBy(() -> keep(2)).hasMessageContaining("Read-only");
        assertThat(mark(found())).isEqualTo(1);
    }

    @Test
    void reportsTruncatedOrCorruptFileAndReadsPreviousOne() throws IOException {
        keep(1);
        keep(2);
        byte[] whole = disk.files.get("state-000000000000000002");
        disk.files.put("state-000000000000000002", java.util.Arrays.copyOf(whole, whole.length / 2));
        assertThat(mark(found())).isEqualTo(1);
        assertThat(found().rejectedFiles()).singleElement().satisfies(p -> assertThat(p.cause().reason)
                .isEqualTo(RejectionReason.TORN));
        byte[] flipped = whole.clone();
        flipped[whole.length - 3] ^= 4;
        disk.files.put("state-000000000000000002", flipped);
        assertThat(mark(found())).isEqualTo(1);
        assertThat(found().rejectedFiles()).singleElement().satisfies(p -> assertThat(p.cause().reason)
                .isEqualTo(RejectionReason.CHECKSUM));
    }

    @Test
    void rejectsAnyBitFlipAndAnyTruncation() {
        byte[] whole = StateFileCodec.encode(TestSnapshots.takenAt(NOW, 1));
        for (int i = 0; i < whole.length; i++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] flipped = whole.clone();
                flipped[i] ^= (byte) (1 << bit);
                assertThatThrownBy(() -> StateFileCodec.decode(flipped))
                        .isInstanceOf(StateFileCodec.RejectedException.class);
            }
            byte[] cut = java.util.Arrays.copyOf(whole, i);
            assertThatThrownBy(() -> StateFileCodec.decode(cut)).isInstanceOf(StateFileCodec.RejectedException.class);
        }
    }

    @Test
    void rejectsFileOfNewerVersionWithoutDeletingIt() throws Exception {
        keep(1);
        byte[] newer = StateFileCodec.encode(TestSnapshots.takenAt(NOW, 2));
        ByteBuffer.wrap(newer).putInt(8, StateFileCodec.VERSION + 1);
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(newer, 0, 24);
        crc.update(newer, 28, newer.length - 28);
        ByteBuffer.wrap(newer).putInt(24, (int) crc.getValue());
        disk.files.put("state-000000000000000007", newer);
        assertThat(mark(found())).isEqualTo(1);
        assertThat(found().rejectedFiles()).singleElement().satisfies(p -> assertThat(p.cause())
                .hasMessageContaining("newer version: 2, this one reads up to 1"));
        keep(3);
        keep(4);
        keep(5);
        assertThat(disk.files).containsKey("state-000000000000000007").hasSize(3);
        assertThat(disk.files.lastKey()).as("what is new stands after it").isEqualTo("state-000000000000000010");
        assertThat(mark(found())).isEqualTo(5);
    }

    @Test
    void rejectsFileOfOtherRelayWithoutDeletingIt() throws IOException {
        StateSnapshot p = TestSnapshots.takenAt(NOW, 1);
        disk.files.put(
                "state-000000000000000001",
                StateFileCodec.encode(new StateSnapshot(
                        "other", p.rosterAddress(), p.takenAt(), p.rosterConfirmedAt(), p.roster(), p.learnedState())));
        assertThat(found().snapshot()).isNull();
        assertThat(found().rejectedFiles()).singleElement().satisfies(x -> assertThat(x.cause().reason)
                .isEqualTo(RejectionReason.OTHER_RELAY));
        keep(2);
        keep(3);
        keep(4);
        assertThat(disk.files).containsKey("state-000000000000000001");
    }

    @Test
    void rejectsFileThatIsTooOldOrTooLarge() throws IOException {
        disk.files.put("state-000000000000000001", StateFileCodec.encode(TestSnapshots.takenAt(NOW - DAY - SECOND, 1)));
        assertThat(found().rejectedFiles()).singleElement().satisfies(p -> assertThat(p.cause().reason)
                .isEqualTo(RejectionReason.TOO_OLD));
        disk.files.put("state-000000000000000002", new byte[(1 << 20) + 1]);
        assertThat(found().rejectedFiles()).hasSize(2).first().satisfies(p -> assertThat(p.cause().reason)
                .isEqualTo(RejectionReason.TOO_LARGE));
    }

    @Test
    void reportsFileThatIsNoStateFile() throws IOException {
        disk.files.put(
                "state-000000000000000001",
                "hello, this is a note that somebody left here".getBytes(java.nio.charset.StandardCharsets.UTF_8));
        disk.files.put("state-000000000000000002", new byte[0]);
        disk.files.put("notes.txt", new byte[3]);
        assertThat(found().snapshot()).isNull();
        assertThat(found().rejectedFiles())
                .extracting(p -> p.cause().reason)
                .containsExactly(RejectionReason.TORN, RejectionReason.NOT_OURS);
    }

    // ---- the real folder

    private PersistenceConfiguration sheet() {
        return new PersistenceConfiguration(dir, SECOND, DAY, 1 << 20, 2 * SECOND);
    }

    @Test
    void rejectsSecondRelayUntilFirstReleasesDirectory() throws IOException {
        StateStore first = StateStore.open(sheet(), "r", new ArrayList<>());
        assertThatThrownBy(() -> StateStore.open(sheet(), "r", new ArrayList<>()))
                .isInstanceOf(DirectoryInUseException.class);
        first.close();
        StateStore.open(sheet(), "r", new ArrayList<>()).close();
    }

    @Test
    void restoresStateAndDeletesTemporaryFilesAfterRestart() throws IOException {
        try (StateStore keeper = StateStore.open(sheet(), "r", new ArrayList<>())) {
            assertThat(keeper.restore(NOW, new ArrayList<>())).isNull();
            for (int i = 1; i <= 3; i++) {
                StateChanges hand = new StateChanges();
                hand.add(TestSnapshots.roster(40 + i, i == 1, "a", "b", "c" + i));
                hand.add(TestSnapshots.takenAt(NOW, i).learnedState());
                assertThat(keeper.persist(hand, "d:1", NOW + i, NOW + i)).isNull();
            }
        }
        Files.write(dir.resolve("state-000000000000000004.new"), new byte[10]);
        try (StateStore keeper = StateStore.open(sheet(), "r", new ArrayList<>())) {
            List<LogMessage> said = new ArrayList<>();
            StateSnapshot picture = keeper.restore(NOW + SECOND, said);
            assertThat(said).isEmpty();
            assertThat(picture.roster().entries())
                    .extracting(l -> l.name())
                    .containsExactly("a", "b", "c1", "c2", "c3");
            assertThat(picture.roster().version()).isEqualTo(43);
            assertThat(picture.learnedState().relayStatistics().completedConnections())
                    .isEqualTo(3);
            assertThat(picture.learnedState().backends()).hasSize(2);
            assertThat(dir.resolve("state-000000000000000004.new")).doesNotExist();
        }
    }

    @Test
    void logsFailureOnceAndRecoveryOnce() throws Exception {
        StateStore keeper = StateStore.open(disk, sheet(), "r", new ArrayList<>());
        keeper.restore(NOW, new ArrayList<>());
        disk.readOnly = true;
        assertThat(keeper.persist(new StateChanges(), null, 0, NOW).event()).isEqualTo("state-not-kept");
        assertThat(keeper.persist(new StateChanges(), null, 0, NOW)).isNull();
        disk.readOnly = false;
        assertThat(keeper.persist(new StateChanges(), null, 0, NOW).event()).isEqualTo("state-kept-again");
        assertThat(keeper.persist(new StateChanges(), null, 0, NOW)).isNull();
    }

    @Test
    void writesOnlyOnceDirectoryIsLocked() throws Exception {
        disk.readOnly = true;
        List<LogMessage> said = new ArrayList<>();
        StateStore keeper = StateStore.open(disk, sheet(), "r", said);
        assertThat(said).extracting(LogMessage::event).containsExactly("state-not-kept");
        disk.readOnly = false;
        disk.isLockedByOtherRelay = true;
        assertThat(keeper.persist(new StateChanges(), null, 0, NOW))
                .as("said already")
                .isNull();
        assertThat(disk.files).isEmpty();
        disk.isLockedByOtherRelay = false;
        assertThat(keeper.persist(new StateChanges(), null, 0, NOW).event()).isEqualTo("state-kept-again");
        assertThat(disk.files).hasSize(1);
    }

    @Test
    void persistsWithoutPinsAndLogsWhenTooLarge() throws Exception {
        StateStore keeper = StateStore.open(
                disk, new PersistenceConfiguration(dir, SECOND, DAY, 2_000, SECOND), "r", new ArrayList<>());
        keeper.restore(NOW, new ArrayList<>());
        StateChanges hand = new StateChanges();
        hand.add(TestSnapshots.roster(1, true, "a", "b"));
        hand.add(new ambertrestle.decide.LearnedState(
                1,
                ambertrestle.decide.LearnedState.RelayStatistics.EMPTY,
                List.of(TestSnapshots.backendState("a", NOW)),
                java.util.stream.LongStream.range(0, 500)
                        .mapToObj(k -> new ambertrestle.decide.LearnedState.Pin(k, 1, NOW))
                        .toList(),
                false));
        assertThat(keeper.persist(hand, "d:1", NOW, NOW).event()).isEqualTo("state-too-large");
        assertThat(found().snapshot().learnedState().pins()).isEmpty();
        assertThat(found().snapshot().roster().entries()).hasSize(2);
    }
}
