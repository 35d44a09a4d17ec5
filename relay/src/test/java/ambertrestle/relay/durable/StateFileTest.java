package ambertrestle.relay.durable;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.Kept;
import ambertrestle.decide.Kept.Judged;
import ambertrestle.decide.Kept.Pin;
import ambertrestle.decide.Kept.Whole;
import ambertrestle.decide.Listed.Stage;
import ambertrestle.relay.wire.RosterMessage;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class StateFileTest {
    private static final Arbitrary<Long> ANY = Arbitraries.longs();
    private static final Arbitrary<Double> AMOUNT = Arbitraries.doubles().between(0, 1e12);
    private static final Arbitrary<String> NAME = Arbitraries.strings().ofMaxLength(20);

    @Provide
    Arbitrary<Picture> pictures() {
        Arbitrary<RosterMessage.Line> line = Combinators.combine(
                        NAME,
                        NAME,
                        Arbitraries.of(Stage.READY, Stage.DRAINING),
                        NAME,
                        NAME,
                        Arbitraries.integers(),
                        AMOUNT,
                        ANY)
                .as(RosterMessage.Line::new);
        Arbitrary<Judged> judged = Combinators.combine(ANY, ANY, AMOUNT, AMOUNT, AMOUNT, ANY, ANY)
                .as((id, at, good, bad, slow, heard, delay) ->
                        new Judged(id, heard, at, good, bad, slow, delay, at, heard));
        Arbitrary<Pin> pin = Combinators.combine(ANY, ANY, ANY).as(Pin::new);
        Arbitrary<Whole> whole = Combinators.combine(AMOUNT, ANY, AMOUNT, AMOUNT, Arbitraries.integers(), ANY)
                .as(Whole::new);
        Arbitrary<Kept> kept = Combinators.combine(
                        ANY, whole, judged.list().ofMaxSize(8), pin.list().ofMaxSize(20))
                .as((table, w, j, p) -> new Kept(table, w, j, p, false));
        return Combinators.combine(NAME, NAME, ANY, ANY, ANY, line.list().ofMaxSize(8), kept)
                .as((relay, from, at, heard, index, lines, k) ->
                        new Picture(relay, from, at, heard, new RosterMessage(index, true, lines), k));
    }

    @Property(tries = 300, seed = "17")
    void whatIsWrittenIsWhatIsRead(@ForAll("pictures") Picture picture) throws StateFile.Refused {
        assertThat(StateFile.decode(StateFile.encode(picture))).isEqualTo(picture);
    }

    /**
     * Danger: a checksum proves only that nothing changed since; what was never a state must not bring a relay down.
     */
    @Property(tries = 2000, seed = "18")
    void anyBytesUnderARightChecksumAreReadOrRefusedAndNothingElse(
            @ForAll("pictures") Picture picture, @ForAll byte[] noise, @ForAll int at) {
        byte[] file = StateFile.encode(picture);
        for (int i = 0; i < noise.length; i++) {
            file[StateFile.HEAD + Math.floorMod(at + i, file.length - StateFile.HEAD)] = noise[i];
        }
        CRC32C crc = new CRC32C();
        crc.update(file, 0, 24);
        crc.update(file, 28, file.length - 28);
        ByteBuffer.wrap(file).putInt(24, (int) crc.getValue());
        try {
            Picture read = StateFile.decode(file);
            assertThat(read.roster().lines()).allSatisfy(l -> assertThat(List.of(Stage.READY, Stage.DRAINING))
                    .contains(l.stage()));
        } catch (StateFile.Refused e) {
            assertThat(e.reason).isEqualTo(StateFile.Reason.MALFORMED);
        }
    }
}
