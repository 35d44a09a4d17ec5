package ambertrestle.relay.persistence;

import ambertrestle.decide.LearnedState;
import ambertrestle.decide.LearnedState.BackendStatistics;
import ambertrestle.decide.LearnedState.Pin;
import ambertrestle.decide.LearnedState.RelayStatistics;
import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.relay.wire.RosterMessage;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes state files; docs/recovery.md specifies the format. A file is a header of 32 bytes with version,
 * length and CRC32C, followed by one CBOR array. The header has big-endian integers: the magic bytes (8 bytes), the
 * format version (4), zero (4), the length of the CBOR array in bytes (8), the checksum (4), zero (4). Pure functions,
 * no I/O. A file with any error is rejected as a whole, with a reason.
 */
public final class StateFileCodec {
    /** The format version that is written, and the newest that can be read. */
    public static final int VERSION = 1;

    static final int HEADER_BYTES = 32;
    /** Position of the checksum's four bytes in the file. */
    private static final int CHECKSUM_OFFSET = 24;

    /** Position of the first byte after the checksum. */
    private static final int CHECKSUM_END = 28;
    /** Initial size of the output buffer, which grows as needed. */
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    /** Codes of the stages in a file; there is none for GONE, as rosters have no entries in that stage. */
    private static final int READY_CODE = 1;

    private static final int DRAINING_CODE = 2;
    /** Exclusive upper bound of floating-point values in a file. */
    private static final double DOUBLE_LIMIT = 1e18;

    private static final byte[] MAGIC = "ambrtrs\n".getBytes(StandardCharsets.US_ASCII);
    private static final CBORFactory CBOR = new CBORFactory();
    /** Stages by their code in the file. */
    private static final Stage[] STAGES = {Stage.GONE, Stage.READY, Stage.DRAINING};

    /** Why a state file is rejected. */
    public enum RejectionReason {
        UNREADABLE("cannot be read"),
        TOO_LARGE("is larger than durable.most-megabytes"),
        NOT_OURS("is not a state file"),
        NEWER("has a newer format version"),
        TORN("has a wrong length"),
        CHECKSUM("has a wrong checksum"),
        MALFORMED("has malformed content"),
        OTHER_RELAY("belongs to another relay"),
        TOO_OLD("is older than durable.most-age");

        /** A predicate that follows the file's name in messages. */
        public final String description;

        RejectionReason(String description) {
            this.description = description;
        }

        /** Returns the value of the log field `reason`. */
        public String toLogValue() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    /** Thrown when a state file is rejected. The message is a predicate that follows the file's name. */
    public static final class RejectedException extends Exception {
        private static final long serialVersionUID = 1L;
        public final RejectionReason reason;

        /**
         * Rejects a file for this reason.
         *
         * @param detail added to the reason's description; empty for none
         */
        public RejectedException(RejectionReason reason, String detail) {
            super(reason.description + (detail.isEmpty() ? "" : ": " + detail));
            this.reason = reason;
        }
    }

    private StateFileCodec() {}

    /** Returns the bytes of the snapshot's state file, header included. */
    public static byte[] encode(StateSnapshot snapshot) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (CBORGenerator cbor = CBOR.createGenerator(out)) {
            writeSnapshot(cbor, snapshot);
        } catch (IOException e) {
            // Not expected: the output is in memory.
            throw new UncheckedIOException(e);
        }
        byte[] body = out.toByteArray();
        ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + body.length);
        file.put(MAGIC)
                .putInt(VERSION)
                .putInt(0)
                .putLong(body.length)
                .putInt(0)
                .putInt(0)
                .put(body);
        file.putInt(CHECKSUM_OFFSET, computeChecksum(file.array()));
        return file.array();
    }

    /** Returns the CRC32C of the file without the four bytes of the checksum itself. */
    private static int computeChecksum(byte[] file) {
        CRC32C crc = new CRC32C();
        crc.update(file, 0, CHECKSUM_OFFSET);
        crc.update(file, CHECKSUM_END, file.length - CHECKSUM_END);
        return (int) crc.getValue();
    }

    /**
     * Decodes a state file.
     *
     * @throws RejectedException if the file is not a complete, valid state file of a supported version
     */
    public static StateSnapshot decode(byte[] file) throws RejectedException {
        if (file.length < HEADER_BYTES) {
            throw new RejectedException(RejectionReason.TORN, file.length + " bytes");
        }
        ByteBuffer header = ByteBuffer.wrap(file, 0, HEADER_BYTES);
        byte[] magic = new byte[MAGIC.length];
        header.get(magic);
        if (!java.util.Arrays.equals(magic, MAGIC)) {
            throw new RejectedException(RejectionReason.NOT_OURS, "");
        }
        int version = header.getInt();
        header.getInt();
        long length = header.getLong();
        int expectedChecksum = header.getInt();
        // The version is compared after length and checksum. In another order, a corrupt file could be taken for one of
        // a newer version, because the version field itself may be corrupt.
        if (length != file.length - HEADER_BYTES) {
            throw new RejectedException(RejectionReason.TORN, file.length - HEADER_BYTES + " of " + length + " bytes");
        }
        if (expectedChecksum != computeChecksum(file)) {
            throw new RejectedException(RejectionReason.CHECKSUM, "");
        }
        if (version > VERSION) {
            throw new RejectedException(
                    RejectionReason.NEWER, version + ", this relay reads versions up to " + VERSION);
        }
        try (CBORParser cbor = CBOR.createParser(file, HEADER_BYTES, file.length - HEADER_BYTES)) {
            StateSnapshot snapshot = readSnapshot(cbor);
            if (cbor.nextToken() != null) {
                throw new IOException("expected one CBOR array, got another value after it");
            }
            return snapshot;
        } catch (IOException | IllegalArgumentException e) {
            throw new RejectedException(
                    RejectionReason.MALFORMED,
                    String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    // ---- the CBOR array, value by value

    private static void writeSnapshot(CBORGenerator out, StateSnapshot snapshot) throws IOException {
        out.writeStartArray();
        out.writeString(snapshot.relayName());
        out.writeString(snapshot.rosterAddress());
        out.writeNumber(snapshot.takenAt());
        out.writeNumber(snapshot.rosterConfirmedAt());
        out.writeNumber(snapshot.roster().version());
        out.writeStartArray();
        for (RosterMessage.Entry entry : snapshot.roster().entries()) {
            out.writeStartArray();
            out.writeString(entry.name());
            out.writeString(emptyIfNull(entry.address()));
            out.writeNumber(entry.stage() == Stage.READY ? READY_CODE : DRAINING_CODE);
            out.writeString(emptyIfNull(entry.zone()));
            out.writeString(emptyIfNull(entry.type()));
            out.writeNumber(entry.cell());
            out.writeNumber(entry.weight());
            out.writeNumber(entry.startedAtMillis());
            out.writeEndArray();
        }
        out.writeEndArray();
        LearnedState learnedState = snapshot.learnedState();
        out.writeNumber(learnedState.tableFormat());
        RelayStatistics relayStatistics = learnedState.relayStatistics();
        out.writeNumber(relayStatistics.completedConnections());
        out.writeNumber(relayStatistics.observedFor());
        out.writeNumber(relayStatistics.typicalSetUpTime());
        out.writeNumber(relayStatistics.typicalLoad());
        out.writeNumber(relayStatistics.loadReportCount());
        out.writeNumber(relayStatistics.setUpInterval());
        out.writeStartArray();
        for (BackendStatistics backend : learnedState.backends()) {
            out.writeStartArray();
            for (long value : new long[] {backend.backend(), backend.startedAt(), backend.evidenceUpdatedAt()}) {
                out.writeNumber(value);
            }
            for (double value : new double[] {backend.successes(), backend.failures(), backend.sharedCauseFailures()}) {
                out.writeNumber(value);
            }
            for (long value :
                    new long[] {backend.reportedDelay(), backend.delayReportedAt(), backend.drainNoticedAt()}) {
                out.writeNumber(value);
            }
            out.writeEndArray();
        }
        out.writeEndArray();
        // One flat array of key, backend and time, because there may be tens of thousands of pins.
        out.writeStartArray();
        for (Pin pin : learnedState.pins()) {
            out.writeNumber(pin.key());
            out.writeNumber(pin.backend());
            out.writeNumber(pin.unusedSince());
        }
        out.writeEndArray();
        out.writeEndArray();
    }

    /** The roster service may send null for an optional value. */
    private static String emptyIfNull(String text) {
        return text == null ? "" : text;
    }

    private static StateSnapshot readSnapshot(CBORParser in) throws IOException {
        expectArrayStart(in);
        String relayName = readString(in);
        String rosterAddress = readString(in);
        long takenAt = readLong(in);
        long rosterConfirmedAt = readLong(in);
        long rosterVersion = readLong(in);
        List<RosterMessage.Entry> entries = new ArrayList<>();
        expectArrayStart(in);
        while (in.nextToken() == JsonToken.START_ARRAY) {
            String name = readString(in);
            String address = readString(in);
            long stage = readLong(in);
            if (stage < READY_CODE || stage > DRAINING_CODE) {
                throw new IOException("a backend has an unknown stage: expected 1 (ready) or 2 (draining)");
            }
            entries.add(new RosterMessage.Entry(
                    name,
                    address,
                    STAGES[(int) stage],
                    readString(in),
                    readString(in),
                    (int) readLong(in),
                    readDouble(in),
                    readLong(in)));
            expectArrayEnd(in, in.nextToken());
        }
        expectArrayEnd(in, in.currentToken());
        long tableFormat = readLong(in);
        RelayStatistics relayStatistics = new RelayStatistics(
                readDouble(in), readLong(in), readDouble(in), readDouble(in), (int) readLong(in), readLong(in));
        List<BackendStatistics> backends = new ArrayList<>();
        expectArrayStart(in);
        while (in.nextToken() == JsonToken.START_ARRAY) {
            backends.add(new BackendStatistics(
                    readLong(in),
                    readLong(in),
                    readLong(in),
                    readDouble(in),
                    readDouble(in),
                    readDouble(in),
                    readLong(in),
                    readLong(in),
                    readLong(in)));
            expectArrayEnd(in, in.nextToken());
        }
        expectArrayEnd(in, in.currentToken());
        List<Pin> pins = new ArrayList<>();
        expectArrayStart(in);
        while (in.nextToken() == JsonToken.VALUE_NUMBER_INT) {
            pins.add(new Pin(in.getLongValue(), readLong(in), readLong(in)));
        }
        expectArrayEnd(in, in.currentToken());
        expectArrayEnd(in, in.nextToken());
        return new StateSnapshot(
                relayName,
                rosterAddress,
                takenAt,
                rosterConfirmedAt,
                new RosterMessage(rosterVersion, true, List.copyOf(entries)),
                new LearnedState(tableFormat, relayStatistics, List.copyOf(backends), List.copyOf(pins), false));
    }

    private static void expectArrayStart(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.START_ARRAY) {
            throw new IOException("expected an array, got " + in.currentToken());
        }
    }

    private static void expectArrayEnd(CBORParser in, JsonToken token) throws IOException {
        if (token != JsonToken.END_ARRAY) {
            throw new IOException("expected the end of an array, got " + token);
        }
    }

    private static String readString(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_STRING) {
            throw new IOException("expected a string, got " + in.currentToken());
        }
        return in.getText();
    }

    private static long readLong(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IOException("expected an integer, got " + in.currentToken());
        }
        return in.getLongValue();
    }

    private static double readDouble(CBORParser in) throws IOException {
        JsonToken token = in.nextToken();
        if (token != JsonToken.VALUE_NUMBER_FLOAT && token != JsonToken.VALUE_NUMBER_INT) {
            throw new IOException("expected a number, got " + token);
        }
        double value = in.getDoubleValue();
        // Without this check, a single NaN would make every backend look over capacity, because sums over the fleet
        // would become NaN.
        if (!(Math.abs(value) < DOUBLE_LIMIT) || value < 0) {
            throw new IOException("expected a number from 0 to 1e18, got " + value);
        }
        return value;
    }
}
