package ambertrestle.relay.durable;

import ambertrestle.decide.Kept;
import ambertrestle.decide.Kept.Judged;
import ambertrestle.decide.Kept.Pin;
import ambertrestle.decide.Kept.Whole;
import ambertrestle.decide.Listed.Stage;
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
public final class StateFile {
    public static final int VERSION = 1;
    static final int HEAD = 32;
    private static final byte[] MAGIC = "ambrtrs\n".getBytes(StandardCharsets.US_ASCII);
    private static final CBORFactory CBOR = new CBORFactory();
    private static final Stage[] STAGES = {Stage.GONE, Stage.READY, Stage.DRAINING};

    /** Why a file is not read; the words stand in the log. */
    public enum Reason {
        UNREADABLE("cannot be read"),
        TOO_LARGE("is larger than durable.most-megabytes"),
        NOT_OURS("is no state file"),
        NEWER("was written by a newer version"),
        TORN("is cut off"),
        CHECKSUM("has a wrong checksum"),
        MALFORMED("holds what is no state"),
        OTHER_RELAY("is another relay's"),
        TOO_OLD("is older than durable.most-age");

        public final String says;

        Reason(String says) {
            this.says = says;
        }

        /** As the log's field has it. */
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    /** This file is not taken. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;
        public final Reason reason;

        public Refused(Reason reason, String more) {
            super(reason.says + (more.isEmpty() ? "" : ": " + more));
            this.reason = reason;
        }
    }

    private StateFile() {}

    public static byte[] encode(Picture picture) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(1 << 16);
        try (CBORGenerator cbor = CBOR.createGenerator(out)) {
            write(cbor, picture);
        } catch (IOException e) {
            // Nothing but memory is written to.
            throw new UncheckedIOException(e);
        }
        byte[] body = out.toByteArray();
        ByteBuffer all = ByteBuffer.allocate(HEAD + body.length);
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

    public static Picture decode(byte[] file) throws Refused {
        if (file.length < HEAD) {
            throw new Refused(Reason.TORN, file.length + " bytes");
        }
        ByteBuffer head = ByteBuffer.wrap(file, 0, HEAD);
        byte[] magic = new byte[MAGIC.length];
        head.get(magic);
        if (!java.util.Arrays.equals(magic, MAGIC)) {
            throw new Refused(Reason.NOT_OURS, "");
        }
        int version = head.getInt();
        head.getInt();
        long length = head.getLong();
        int crc = head.getInt();
        // Danger: the version may be what was torn or flipped; only a whole file can say that it is newer.
        if (length != file.length - HEAD) {
            throw new Refused(Reason.TORN, file.length - HEAD + " of " + length + " bytes");
        }
        if (crc != checksum(file)) {
            throw new Refused(Reason.CHECKSUM, "");
        }
        if (version > VERSION) {
            throw new Refused(Reason.NEWER, version + ", this one reads up to " + VERSION);
        }
        try (CBORParser cbor = CBOR.createParser(file, HEAD, file.length - HEAD)) {
            Picture picture = read(cbor);
            if (cbor.nextToken() != null) {
                throw new IOException("more than one value");
            }
            return picture;
        } catch (IOException | IllegalArgumentException e) {
            throw new Refused(
                    Reason.MALFORMED,
                    String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    // ---- the one array, value after value

    private static void write(CBORGenerator out, Picture p) throws IOException {
        out.writeStartArray();
        out.writeString(p.relay());
        out.writeString(p.rosterAt());
        out.writeNumber(p.keptAt());
        out.writeNumber(p.heardAt());
        out.writeNumber(p.roster().index());
        out.writeStartArray();
        for (RosterMessage.Line l : p.roster().lines()) {
            out.writeStartArray();
            out.writeString(l.name());
            out.writeString(said(l.address()));
            out.writeNumber(l.stage() == Stage.READY ? 1 : 2);
            out.writeString(said(l.zone()));
            out.writeString(said(l.type()));
            out.writeNumber(l.cell());
            out.writeNumber(l.weight());
            out.writeNumber(l.sinceMillis());
            out.writeEndArray();
        }
        out.writeEndArray();
        Kept k = p.kept();
        out.writeNumber(k.table());
        Whole w = k.whole();
        out.writeNumber(w.ended());
        out.writeNumber(w.lived());
        out.writeNumber(w.setUp());
        out.writeNumber(w.usual());
        out.writeNumber(w.notes());
        out.writeNumber(w.pace());
        out.writeStartArray();
        for (Judged j : k.backends()) {
            out.writeStartArray();
            for (long whole : new long[] {j.backend(), j.startedAt(), j.evidenceAt()}) {
                out.writeNumber(whole);
            }
            for (double part : new double[] {j.good(), j.bad(), j.slow()}) {
                out.writeNumber(part);
            }
            for (long whole : new long[] {j.delay(), j.delayAt(), j.heardAt()}) {
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
            out.writeNumber(pin.endedAt());
        }
        out.writeEndArray();
        out.writeEndArray();
    }

    /** The roster service may say null where it has nothing to say. */
    private static String said(String text) {
        return text == null ? "" : text;
    }

    private static Picture read(CBORParser in) throws IOException {
        begin(in);
        String relay = text(in);
        String rosterAt = text(in);
        long keptAt = whole(in);
        long heardAt = whole(in);
        long index = whole(in);
        List<RosterMessage.Line> lines = new ArrayList<>();
        begin(in);
        while (in.nextToken() == JsonToken.START_ARRAY) {
            String name = text(in);
            String address = text(in);
            long stage = whole(in);
            if (stage < 1 || stage > 2) {
                throw new IOException("a backend that is neither ready nor draining");
            }
            lines.add(new RosterMessage.Line(
                    name, address, STAGES[(int) stage], text(in), text(in), (int) whole(in), number(in), whole(in)));
            end(in, in.nextToken());
        }
        end(in, in.currentToken());
        long table = whole(in);
        Whole w = new Whole(number(in), whole(in), number(in), number(in), (int) whole(in), whole(in));
        List<Judged> judged = new ArrayList<>();
        begin(in);
        while (in.nextToken() == JsonToken.START_ARRAY) {
            judged.add(new Judged(
                    whole(in),
                    whole(in),
                    whole(in),
                    number(in),
                    number(in),
                    number(in),
                    whole(in),
                    whole(in),
                    whole(in)));
            end(in, in.nextToken());
        }
        end(in, in.currentToken());
        List<Pin> pins = new ArrayList<>();
        begin(in);
        while (in.nextToken() == JsonToken.VALUE_NUMBER_INT) {
            pins.add(new Pin(in.getLongValue(), whole(in), whole(in)));
        }
        end(in, in.currentToken());
        end(in, in.nextToken());
        return new Picture(
                relay,
                rosterAt,
                keptAt,
                heardAt,
                new RosterMessage(index, true, List.copyOf(lines)),
                new Kept(table, w, List.copyOf(judged), List.copyOf(pins), false));
    }

    private static void begin(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.START_ARRAY) {
            throw new IOException("expected a list, got " + in.currentToken());
        }
    }

    private static void end(CBORParser in, JsonToken token) throws IOException {
        if (token != JsonToken.END_ARRAY) {
            throw new IOException("expected the end of a list, got " + token);
        }
    }

    private static String text(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_STRING) {
            throw new IOException("expected a text, got " + in.currentToken());
        }
        return in.getText();
    }

    private static long whole(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IOException("expected a whole number, got " + in.currentToken());
        }
        return in.getLongValue();
    }

    private static double number(CBORParser in) throws IOException {
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
