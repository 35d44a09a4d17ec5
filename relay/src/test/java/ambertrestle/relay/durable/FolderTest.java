package ambertrestle.relay.durable;

import static ambertrestle.relay.durable.Pictures.NOW;
import static ambertrestle.relay.durable.Pictures.SECOND;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ambertrestle.relay.durable.StateFile.Reason;
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
class FolderTest {
    private static final long DAY = 86_400 * SECOND;

    @TempDir
    private Path dir;

    private final FaultyDisk disk = new FaultyDisk();

    private Folder folder() throws IOException {
        Folder folder = new Folder(disk, "r", DAY, 1 << 20);
        folder.read(NOW);
        return folder;
    }

    private Folder.Found found() throws IOException {
        return new Folder(disk, "r", DAY, 1 << 20).read(NOW);
    }

    private void keep(int mark) throws IOException {
        folder().write(StateFile.encode(Pictures.at(NOW - SECOND, mark)));
    }

    private static int mark(Folder.Found found) {
        return (int) found.picture().kept().whole().ended();
    }

    @Test
    void killedAtAnyByteAndAtAnyStepOfAWriteTheNextProcessFindsAWholeFile() throws IOException {
        keep(1);
        keep(2);
        Map<String, byte[]> before = Map.copyOf(disk.files);
        byte[] third = StateFile.encode(Pictures.at(NOW, 3));
        int older = 0;
        for (int lives = 0; ; lives++) {
            disk.files.clear();
            disk.files.putAll(before);
            Folder folder = folder();
            disk.lives = lives;
            boolean killed = false;
            try {
                folder.write(third);
            } catch (FaultyDisk.Killed e) {
                killed = true;
            }
            disk.lives = Long.MAX_VALUE;
            Folder.Found found = found();
            assertThat(found.picture()).as("killed after " + lives).isNotNull();
            assertThat(mark(found)).as("killed after " + lives).isBetween(2, 3);
            assertThat(found.passed())
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
    void aFileGetsItsNameOnlyOnceItIsSyncedAndTheOldOneGoesOnlyOnceThatNameIs() throws IOException {
        keep(1);
        keep(2);
        disk.steps.setLength(0);
        keep(3);
        assertThat(disk.steps.toString()).isEqualTo("write+sync rename sync-names delete ");
        assertThat(disk.files.keySet()).containsExactly("state-000000000000000002", "state-000000000000000003");
    }

    @Test
    void aFullDiskKeepsTheOldFileAndIsNotKeptFullByHalfOfANewOne() throws IOException {
        keep(1);
        disk.room = disk.files.values().stream().mapToLong(f -> f.length).sum() + 20;
        assertThatThrownBy(() -> keep(2)).isInstanceOf(IOException.class).hasMessageContaining("No space left");
        assertThat(disk.files).hasSize(1);
        assertThat(mark(found())).isEqualTo(1);
        disk.room = Long.MAX_VALUE;
        keep(3);
        assertThat(mark(found())).isEqualTo(3);
    }

    @Test
    void whereNothingCanBeWrittenWhatIsThereIsStillRead() throws IOException {
        keep(1);
        disk.readOnly = true;
        assertThatThrownBy(() -> keep(2)).hasMessageContaining("Read-only");
        assertThat(mark(found())).isEqualTo(1);
    }

    @Test
    void aTornOrFlippedFileIsNamedAndTheOneBeforeIsTaken() throws IOException {
        keep(1);
        keep(2);
        byte[] whole = disk.files.get("state-000000000000000002");
        disk.files.put("state-000000000000000002", java.util.Arrays.copyOf(whole, whole.length / 2));
        assertThat(mark(found())).isEqualTo(1);
        assertThat(found().passed()).singleElement().satisfies(p -> assertThat(p.why().reason)
                .isEqualTo(Reason.TORN));
        byte[] flipped = whole.clone();
        flipped[whole.length - 3] ^= 4;
        disk.files.put("state-000000000000000002", flipped);
        assertThat(mark(found())).isEqualTo(1);
        assertThat(found().passed()).singleElement().satisfies(p -> assertThat(p.why().reason)
                .isEqualTo(Reason.CHECKSUM));
    }

    @Test
    void anyOneBitFlippedAndAnyCutIsRefusedNeverHalfRead() {
        byte[] whole = StateFile.encode(Pictures.at(NOW, 1));
        for (int i = 0; i < whole.length; i++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] flipped = whole.clone();
                flipped[i] ^= (byte) (1 << bit);
                assertThatThrownBy(() -> StateFile.decode(flipped)).isInstanceOf(StateFile.Refused.class);
            }
            byte[] cut = java.util.Arrays.copyOf(whole, i);
            assertThatThrownBy(() -> StateFile.decode(cut)).isInstanceOf(StateFile.Refused.class);
        }
    }

    @Test
    void aFileOfANewerVersionIsRefusedAndLeftWhereItIs() throws Exception {
        keep(1);
        byte[] newer = StateFile.encode(Pictures.at(NOW, 2));
        ByteBuffer.wrap(newer).putInt(8, StateFile.VERSION + 1);
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(newer, 0, 24);
        crc.update(newer, 28, newer.length - 28);
        ByteBuffer.wrap(newer).putInt(24, (int) crc.getValue());
        disk.files.put("state-000000000000000007", newer);
        assertThat(mark(found())).isEqualTo(1);
        assertThat(found().passed()).singleElement().satisfies(p -> assertThat(p.why())
                .hasMessageContaining("newer version: 2, this one reads up to 1"));
        keep(3);
        keep(4);
        keep(5);
        assertThat(disk.files).containsKey("state-000000000000000007").hasSize(3);
        assertThat(disk.files.lastKey()).as("what is new stands after it").isEqualTo("state-000000000000000010");
        assertThat(mark(found())).isEqualTo(5);
    }

    @Test
    void anotherRelaysFileIsRefusedAndNeverDeleted() throws IOException {
        Picture p = Pictures.at(NOW, 1);
        disk.files.put(
                "state-000000000000000001",
                StateFile.encode(new Picture("other", p.rosterAt(), p.keptAt(), p.heardAt(), p.roster(), p.kept())));
        assertThat(found().picture()).isNull();
        assertThat(found().passed()).singleElement().satisfies(x -> assertThat(x.why().reason)
                .isEqualTo(Reason.OTHER_RELAY));
        keep(2);
        keep(3);
        keep(4);
        assertThat(disk.files).containsKey("state-000000000000000001");
    }

    @Test
    void aFileOlderThanItsLimitOrLargerIsRefusedUnread() throws IOException {
        disk.files.put("state-000000000000000001", StateFile.encode(Pictures.at(NOW - DAY - SECOND, 1)));
        assertThat(found().passed()).singleElement().satisfies(p -> assertThat(p.why().reason)
                .isEqualTo(Reason.TOO_OLD));
        disk.files.put("state-000000000000000002", new byte[(1 << 20) + 1]);
        assertThat(found().passed()).hasSize(2).first().satisfies(p -> assertThat(p.why().reason)
                .isEqualTo(Reason.TOO_LARGE));
    }

    @Test
    void whatStandsThereAndIsNoStateAtAllIsNamed() throws IOException {
        disk.files.put(
                "state-000000000000000001",
                "hello, this is a note that somebody left here".getBytes(java.nio.charset.StandardCharsets.UTF_8));
        disk.files.put("state-000000000000000002", new byte[0]);
        disk.files.put("notes.txt", new byte[3]);
        assertThat(found().picture()).isNull();
        assertThat(found().passed()).extracting(p -> p.why().reason).containsExactly(Reason.TORN, Reason.NOT_OURS);
    }

    // ---- the real folder

    private DurableSheet sheet() {
        return new DurableSheet(dir, SECOND, DAY, 1 << 20, 2 * SECOND);
    }

    @Test
    void ofTwoOnOneFolderTheSecondIsRefusedUntilTheFirstIsGone() throws IOException {
        Keeper first = Keeper.open(sheet(), "r", new ArrayList<>());
        assertThatThrownBy(() -> Keeper.open(sheet(), "r", new ArrayList<>())).isInstanceOf(InUse.class);
        first.close();
        Keeper.open(sheet(), "r", new ArrayList<>()).close();
    }

    @Test
    void aRelayThatIsBackFindsWhatItKeptAndClearsWhatWasHalfWritten() throws IOException {
        try (Keeper keeper = Keeper.open(sheet(), "r", new ArrayList<>())) {
            assertThat(keeper.read(NOW, new ArrayList<>())).isNull();
            for (int i = 1; i <= 3; i++) {
                Hand hand = new Hand();
                hand.take(Pictures.list(40 + i, i == 1, "a", "b", "c" + i));
                hand.take(Pictures.at(NOW, i).kept());
                assertThat(keeper.write(hand, "d:1", NOW + i, NOW + i)).isNull();
            }
        }
        Files.write(dir.resolve("state-000000000000000004.new"), new byte[10]);
        try (Keeper keeper = Keeper.open(sheet(), "r", new ArrayList<>())) {
            List<Said> said = new ArrayList<>();
            Picture picture = keeper.read(NOW + SECOND, said);
            assertThat(said).isEmpty();
            assertThat(picture.roster().lines()).extracting(l -> l.name()).containsExactly("a", "b", "c1", "c2", "c3");
            assertThat(picture.roster().index()).isEqualTo(43);
            assertThat(picture.kept().whole().ended()).isEqualTo(3);
            assertThat(picture.kept().backends()).hasSize(2);
            assertThat(dir.resolve("state-000000000000000004.new")).doesNotExist();
        }
    }

    @Test
    void aKeeperWhoseDiskFailsSaysSoOnceAndOnceMoreWhenItWorksAgain() throws Exception {
        Keeper keeper = Keeper.open(disk, sheet(), "r", new ArrayList<>());
        keeper.read(NOW, new ArrayList<>());
        disk.readOnly = true;
        assertThat(keeper.write(new Hand(), null, 0, NOW).event()).isEqualTo("state-not-kept");
        assertThat(keeper.write(new Hand(), null, 0, NOW)).isNull();
        disk.readOnly = false;
        assertThat(keeper.write(new Hand(), null, 0, NOW).event()).isEqualTo("state-kept-again");
        assertThat(keeper.write(new Hand(), null, 0, NOW)).isNull();
    }

    @Test
    void aFolderThatCouldNotBeLockedAtTheStartIsWrittenToOnlyOnceItIsLocked() throws Exception {
        disk.readOnly = true;
        List<Said> said = new ArrayList<>();
        Keeper keeper = Keeper.open(disk, sheet(), "r", said);
        assertThat(said).extracting(Said::event).containsExactly("state-not-kept");
        disk.readOnly = false;
        disk.others = true;
        assertThat(keeper.write(new Hand(), null, 0, NOW)).as("said already").isNull();
        assertThat(disk.files).isEmpty();
        disk.others = false;
        assertThat(keeper.write(new Hand(), null, 0, NOW).event()).isEqualTo("state-kept-again");
        assertThat(disk.files).hasSize(1);
    }

    @Test
    void whatIsTooLargeIsKeptWithoutPinsAndSaysSo() throws Exception {
        Keeper keeper = Keeper.open(disk, new DurableSheet(dir, SECOND, DAY, 2_000, SECOND), "r", new ArrayList<>());
        keeper.read(NOW, new ArrayList<>());
        Hand hand = new Hand();
        hand.take(Pictures.list(1, true, "a", "b"));
        hand.take(new ambertrestle.decide.Kept(
                1,
                ambertrestle.decide.Kept.Whole.NOTHING,
                List.of(Pictures.judged("a", NOW)),
                java.util.stream.LongStream.range(0, 500)
                        .mapToObj(k -> new ambertrestle.decide.Kept.Pin(k, 1, NOW))
                        .toList(),
                false));
        assertThat(keeper.write(hand, "d:1", NOW, NOW).event()).isEqualTo("state-too-large");
        assertThat(found().picture().kept().pins()).isEmpty();
        assertThat(found().picture().roster().lines()).hasSize(2);
    }
}
