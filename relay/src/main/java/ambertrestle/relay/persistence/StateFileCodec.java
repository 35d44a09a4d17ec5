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
 * The file's bytes, as docs/recovery.md gives them: a head of 32 bytes with version, length and CRC32C, then one CBOR
 * array. Pure: bytes in, values out. What is not whole to the bit is refused with a reason, never half read.
 */
public final class StateFileCodec {
    public static final int VERSION = 1;
    static final int HEADER_BYTES = 32;
    private static final byte[] MAGIC = "ambrtrs\n".getBytes(StandardCharsets.US_ASCII);
    private static final CBORFactory CBOR = new CBORFactory();
    private static final Stage[] STAGES = {Stage.GONE, Stage.READY, Stage.DRAINING};

    /** Why a file is not read; the words stand in the log. */
    public enum RejectionReason {
        UNREADABLE("cannot be read"),
        TOO_LARGE("is larger than durable.most-megabytes"),
        NOT_OURS("is no state file"),
        NEWER("was written by a newer version"),
        TORN("is cut off"),
        CHECKSUM("has a wrong checksum"),
        MALFORMED("holds what is no state"),
        OTHER_RELAY("is another relay's"),
        TOO_OLD("is older than durable.most-age");

        public final String description;

        RejectionReason(String says) {
            this.description = says;
        }

        /** As the log's field has it. */
        public String toLogValue() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    /** This file is not taken. */
    public static final class RejectedException extends Exception {
        private static final long serialVersionUID = 1L;
        public final RejectionReason reason;

        public RejectedException(RejectionReason reason, String more) {
            super(reason.description + (more.isEmpty() ? "" : ": " + more));
            this.reason = reason;
        }
    }

    private StateFileCodec() {}

    public static byte[] encode(StateSnapshot picture) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(1 << 16);
        try (CBORGenerator cbor = CBOR.createGenerator(out)) {
            write(cbor, picture);
        } catch (IOException e) {
            // Nothing but memory is written to.
            throw new UncheckedIOException(e);
        }
        byte[] body = out.toByteArray();
        ByteBuffer all = ByteBuffer.allocate(HEADER_BYTES + body.length);
        all.put(MAGIC)
                .putInt(VERSION)
                .putInt(0)
                .putLong(body.length)
                .putInt(0)
                .putInt(0)
                .put(body);
        all.putInt(24, checksum(all.array()));
        return all.array();
    }

    /** Over all but the four bytes that hold it. */
    private static int checksum(byte[] file) {
        CRC32C crc = new CRC32C();
        crc.update(file, 0, 24);
        crc.update(file, 28, file.length - 28);
        return (int) crc.getValue();
    }

    public static StateSnapshot decode(byte[] file) throws RejectedException {
        if (file.length < HEADER_BYTES) {
            throw new RejectedException(RejectionReason.TORN, file.length + " bytes");
        }
        ByteBuffer head = ByteBuffer.wrap(file, 0, HEADER_BYTES);
        byte[] magic = new byte[MAGIC.length];
        head.get(magic);
        if (!java.util.Arrays.equals(magic, MAGIC)) {
            throw new RejectedException(RejectionReason.NOT_OURS, "");
        }
        int version = head.getInt();
        head.getInt();
        long length = head.getLong();
        int crc = head.getInt();
        // Danger: the version may be what was torn or flipped; only a whole file can say that it is newer.
        if (length != file.length - HEADER_BYTES) {
            throw new RejectedException(RejectionReason.TORN, file.length - HEADER_BYTES + " of " + length + " bytes");
        }
        if (crc != checksum(file)) {
            throw new RejectedException(RejectionReason.CHECKSUM, "");
        }
        if (version > VERSION) {
            throw new RejectedException(RejectionReason.NEWER, version + ", this one reads up to " + VERSION);
        }
        try (CBORParser cbor = CBOR.createParser(file, HEADER_BYTES, file.length - HEADER_BYTES)) {
            StateSnapshot picture = read(cbor);
            if (cbor.nextToken() != null) {
                throw new IOException("more than one value");
            }
            return picture;
        } catch (IOException | IllegalArgumentException e) {
            throw new RejectedException(
                    RejectionReason.MALFORMED,
                    String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    // ---- the one array, value after value

    private static void write(CBORGenerator out, StateSnapshot p) throws IOException {
        out.writeStartArray();
        out.writeString(p.relayName());
        out.writeString(p.rosterAddress());
        out.writeNumber(p.takenAt());
        out.writeNumber(p.rosterConfirmedAt());
        out.writeNumber(p.roster().version());
        out.writeStartArray();
        for (RosterMessage.Entry l : p.roster().entries()) {
            out.writeStartArray();
            out.writeString(l.name());
            out.writeString(emptyIfNull(l.address()));
            out.writeNumber(l.stage() == Stage.READY ? 1 : 2);
            out.writeString(emptyIfNull(l.zone()));
            out.writeString(emptyIfNull(l.type()));
            out.writeNumber(l.cell());
            out.writeNumber(l.weight());
            out.writeNumber(l.startedAtMillis());
            out.writeEndArray();
        }
        out.writeEndArray();
        LearnedState k = p.learnedState();
        out.writeNumber(k.tableFormat());
        RelayStatistics w = k.relayStatistics();
        out.writeNumber(w.completedConnections());
        out.writeNumber(w.observedFor());
        out.writeNumber(w.typicalSetUpTime());
        out.writeNumber(w.typicalLoad());
        out.writeNumber(w.loadReportCount());
        out.writeNumber(w.setUpInterval());
        out.writeStartArray();
        for (BackendStatistics j : k.backends()) {
            out.writeStartArray();
            for (long whole : new long[] {j.backend(), j.startedAt(), j.evidenceUpdatedAt()}) {
                out.writeNumber(whole);
            }
            for (double part : new double[] {j.successes(), j.failures(), j.sharedCauseFailures()}) {
                out.writeNumber(part);
            }
            for (long whole : new long[] {j.reportedDelay(), j.delayReportedAt(), j.drainNoticedAt()}) {
                out.writeNumber(whole);
            }
            out.writeEndArray();
        }
        out.writeEndArray();
        // Flat, as there may be tens of thousands: key, backend, time.
        out.writeStartArray();
        for (Pin pin : k.pins()) {
            out.writeNumber(pin.key());
            out.writeNumber(pin.backend());
            out.writeNumber(pin.unusedSince());
        }
        out.writeEndArray();
        out.writeEndArray();
    }

    /** The roster service may say null where it has nothing to say. */
    private static String emptyIfNull(String text) {
        return text == null ? "" : text;
    }

    private static StateSnapshot read(CBORParser in) throws IOException {
        expectArrayStart(in);
        String relay = readText(in);
        String rosterAt = readText(in);
        long keptAt = readLong(in);
        long heardAt = readLong(in);
        long index = readLong(in);
        List<RosterMessage.Entry> lines = new ArrayList<>();
        expectArrayStart(in);
        while (in.nextToken() == JsonToken.START_ARRAY) {
            String name = readText(in);
            String address = readText(in);
            long stage = readLong(in);
            if (stage < 1 || stage > 2) {
                throw new IOException("a backend that is neither ready nor draining");
            }
            lines.add(new RosterMessage.Entry(
                    name,
                    address,
                    STAGES[(int) stage],
                    readText(in),
                    readText(in),
                    (int) readLong(in),
                    readDouble(in),
                    readLong(in)));
            expectArrayEnd(in, in.nextToken());
        }
        expectArrayEnd(in, in.currentToken());
        long table = readLong(in);
        RelayStatistics w = new RelayStatistics(
                readDouble(in), readLong(in), readDouble(in), readDouble(in), (int) readLong(in), readLong(in));
        List<BackendStatistics> judged = new ArrayList<>();
        expectArrayStart(in);
        while (in.nextToken() == JsonToken.START_ARRAY) {
            judged.add(new BackendStatistics(
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
                relay,
                rosterAt,
                keptAt,
                heardAt,
                new RosterMessage(index, true, List.copyOf(lines)),
                new LearnedState(table, w, List.copyOf(judged), List.copyOf(pins), false));
    }

    private static void expectArrayStart(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.START_ARRAY) {
            throw new IOException("expected a list, got " + in.currentToken());
        }
    }

    private static void expectArrayEnd(CBORParser in, JsonToken token) throws IOException {
        if (token != JsonToken.END_ARRAY) {
            throw new IOException("expected the end of a list, got " + token);
        }
    }

    private static String readText(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_STRING) {
            throw new IOException("expected a text, got " + in.currentToken());
        }
        return in.getText();
    }

    private static long readLong(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IOException("expected a whole number, got " + in.currentToken());
        }
        return in.getLongValue();
    }

    private static double readDouble(CBORParser in) throws IOException {
        JsonToken token = in.nextToken();
        if (token != JsonToken.VALUE_NUMBER_FLOAT && token != JsonToken.VALUE_NUMBER_INT) {
            throw new IOException("expected a number, got " + token);
        }
        double value = in.getDoubleValue();
        // Danger: one NaN in the sums of the fleet would make every backend look overfull.
        if (!(Math.abs(value) < 1e18) || value < 0) {
            throw new IOException("expected a number from 0 to 1e18, got " + value);
        }
        return value;
    }
}
