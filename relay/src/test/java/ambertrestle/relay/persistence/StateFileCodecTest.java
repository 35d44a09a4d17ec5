package ambertrestle.relay.persistence;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.LearnedState;
import ambertrestle.decide.LearnedState.BackendStatistics;
import ambertrestle.decide.LearnedState.Pin;
import ambertrestle.decide.LearnedState.RelayStatistics;
import ambertrestle.decide.RosterEntry.Stage;
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

class StateFileCodecTest {
    private static final Arbitrary<Long> ANY = Arbitraries.longs();
    private static final Arbitrary<Double> AMOUNT = Arbitraries.doubles().between(0, 1e12);
    private static final Arbitrary<String> NAME = Arbitraries.strings().ofMaxLength(20);

    @Provide
    Arbitrary<StateSnapshot> pictures() {
        Arbitrary<RosterMessage.Entry> line = Combinators.combine(
                        NAME,
                        NAME,
                        Arbitraries.of(Stage.READY, Stage.DRAINING),
                        NAME,
                        NAME,
                        Arbitraries.integers(),
                        AMOUNT,
                        ANY)
                .as(RosterMessage.Entry::new);
        Arbitrary<BackendStatistics> judged = Combinators.combine(ANY, ANY, AMOUNT, AMOUNT, AMOUNT, ANY, ANY)
                .as((id, at, good, bad, slow, heard, delay) ->
                        new BackendStatistics(id, heard, at, good, bad, slow, delay, at, heard));
        Arbitrary<Pin> pin = Combinators.combine(ANY, ANY, ANY).as(Pin::new);
        Arbitrary<RelayStatistics> whole = Combinators.combine(AMOUNT, ANY, AMOUNT, AMOUNT, Arbitraries.integers(), ANY)
                .as(RelayStatistics::new);
        Arbitrary<LearnedState> kept = Combinators.combine(
                        ANY, whole, judged.list().ofMaxSize(8), pin.list().ofMaxSize(20))
                .as((table, w, j, p) -> new LearnedState(table, w, j, p, false));
        return Combinators.combine(NAME, NAME, ANY, ANY, ANY, line.list().ofMaxSize(8), kept)
                .as((relay, from, at, heard, index, lines, k) ->
                        new StateSnapshot(relay, from, at, heard, new RosterMessage(index, true, lines), k));
    }

    @Property(tries = 300, seed = "17")
    void decodesWhatWasEncoded(@ForAll("pictures") StateSnapshot picture) throws StateFileCodec.RejectedException {
        assertThat(StateFileCodec.decode(StateFileCodec.encode(picture))).isEqualTo(picture);
    }

    /**
     * Danger: a checksum proves only that nothing changed since; what was never a state must not bring a relay down.
     */
    @Property(tries = 2000, seed = "18")
    void decodesOrRejectsAnyBytesWithValidChecksum(
            @ForAll("pictures") StateSnapshot picture, @ForAll byte[] noise, @ForAll int at) {
        byte[] file = StateFileCodec.encode(picture);
        for (int i = 0; i < noise.length; i++) {
            file[StateFileCodec.HEADER_BYTES + Math.floorMod(at + i, file.length - StateFileCodec.HEADER_BYTES)] =
                    noise[i];
        }
        CRC32C crc = new CRC32C();
        crc.update(file, 0, 24);
        crc.update(file, 28, file.length - 28);
        ByteBuffer.wrap(file).putInt(24, (int) crc.getValue());
        try {
            StateSnapshot read = StateFileCodec.decode(file);
            assertThat(read.roster().entries()).allSatisfy(l -> assertThat(List.of(Stage.READY, Stage.DRAINING))
                    .contains(l.stage()));
        } catch (StateFileCodec.RejectedException e) {
            assertThat(e.reason).isEqualTo(StateFileCodec.RejectionReason.MALFORMED);
        }
    }
}
