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

/** Round trips of arbitrary snapshots, and decoding of arbitrary bytes. */
class StateFileCodecTest {
    /** Positions of the checksum and of what follows it in a state file. */
    private static final int CHECKSUM_OFFSET = 24;

    private static final int CHECKSUM_END = 28;

    private static final Arbitrary<Long> ANY_LONG = Arbitraries.longs();
    private static final Arbitrary<Double> VALID_DOUBLE = Arbitraries.doubles().between(0, 1e12);
    private static final Arbitrary<String> TEXT = Arbitraries.strings().ofMaxLength(20);

    @Provide
    Arbitrary<StateSnapshot> snapshots() {
        Arbitrary<RosterMessage.Entry> entry = Combinators.combine(
                        TEXT,
                        TEXT,
                        Arbitraries.of(Stage.READY, Stage.DRAINING),
                        TEXT,
                        TEXT,
                        Arbitraries.integers(),
                        VALID_DOUBLE,
                        ANY_LONG)
                .as(RosterMessage.Entry::new);
        Arbitrary<BackendStatistics> backend = Combinators.combine(
                        ANY_LONG, ANY_LONG, VALID_DOUBLE, VALID_DOUBLE, VALID_DOUBLE, ANY_LONG, ANY_LONG)
                .as((id, updatedAt, successes, failures, sharedCauseFailures, startedAt, delay) ->
                        new BackendStatistics(
                                id,
                                startedAt,
                                updatedAt,
                                successes,
                                failures,
                                sharedCauseFailures,
                                delay,
                                updatedAt,
                                startedAt));
        Arbitrary<Pin> pin = Combinators.combine(ANY_LONG, ANY_LONG, ANY_LONG).as(Pin::new);
        Arbitrary<RelayStatistics> relayStatistics = Combinators.combine(
                        VALID_DOUBLE, ANY_LONG, VALID_DOUBLE, VALID_DOUBLE, Arbitraries.integers(), ANY_LONG)
                .as(RelayStatistics::new);
        Arbitrary<LearnedState> learnedState = Combinators.combine(
                        ANY_LONG,
                        relayStatistics,
                        backend.list().ofMaxSize(8),
                        pin.list().ofMaxSize(20))
                .as((tableFormat, statistics, backends, pins) ->
                        new LearnedState(tableFormat, statistics, backends, pins, false));
        return Combinators.combine(
                        TEXT, TEXT, ANY_LONG, ANY_LONG, ANY_LONG, entry.list().ofMaxSize(8), learnedState)
                .as((relayName, rosterAddress, takenAt, confirmedAt, version, entries, learned) -> new StateSnapshot(
                        relayName,
                        rosterAddress,
                        takenAt,
                        confirmedAt,
                        new RosterMessage(version, true, entries),
                        learned));
    }

    /** Guards against values that are written and read in a different order, or lose precision. */
    @Property(tries = 300, seed = "17")
    void decodesWhatWasEncoded(@ForAll("snapshots") StateSnapshot snapshot) throws StateFileCodec.RejectedException {
        assertThat(StateFileCodec.decode(StateFileCodec.encode(snapshot))).isEqualTo(snapshot);
    }

    /**
     * A valid checksum proves only that the file is unchanged since it was written. Content that was never a valid
     * state must be rejected; any other exception would keep the relay from starting.
     */
    @Property(tries = 2000, seed = "18")
    void decodesOrRejectsAnyBytesWithValidChecksum(
            @ForAll("snapshots") StateSnapshot snapshot, @ForAll byte[] noise, @ForAll int offset) {
        byte[] file = StateFileCodec.encode(snapshot);
        for (int i = 0; i < noise.length; i++) {
            file[StateFileCodec.HEADER_BYTES + Math.floorMod(offset + i, file.length - StateFileCodec.HEADER_BYTES)] =
                    noise[i];
        }
        CRC32C crc = new CRC32C();
        crc.update(file, 0, CHECKSUM_OFFSET);
        crc.update(file, CHECKSUM_END, file.length - CHECKSUM_END);
        ByteBuffer.wrap(file).putInt(CHECKSUM_OFFSET, (int) crc.getValue());
        try {
            StateSnapshot decoded = StateFileCodec.decode(file);
            assertThat(decoded.roster().entries()).allSatisfy(entry -> assertThat(List.of(Stage.READY, Stage.DRAINING))
                    .contains(entry.stage()));
        } catch (StateFileCodec.RejectedException e) {
            assertThat(e.reason).isEqualTo(StateFileCodec.RejectionReason.MALFORMED);
        }
    }
}
