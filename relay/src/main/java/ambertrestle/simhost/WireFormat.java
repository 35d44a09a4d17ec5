package ambertrestle.simhost;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The wire's frames: one batch to read records from, one reply to write records to. */
final class WireFormat {
    static final int EVENT_BYTES = 56;
    static final int ACTION_BYTES = 24;
    static final int ROSTER_ENTRY_BYTES = 25;
    /** Events. */
    static final int STOP = 0,
            ARRIVAL = 1,
            FIRED = 2,
            HEALTH = 3,
            SETTLED = 4,
            DISCOVERY = 5,
            UPDATE_OF = 6,
            EXPIRED = 7,
            ESTABLISHED = 8,
            TAKEN_OVER = 9,
            FROM_PEER = 10,
            UP = 11;
    /** Actions. */
    static final int TRACK = 0,
            GET_LIST = 1,
            INSPECT = 2,
            SURRENDER = 3,
            CANCEL = 4,
            PUBLISH = 5,
            CRASH = 6,
            EVICT = 7,
            HAND_OFF = 8,
            SET_TIMER = 9,
            PUSH_BACK = 10,
            RELEASE = 11,
            EMIT = 12;

    private WireFormat() {}

    /** The records and the tail of one batch, after its length field. */
    static final class Batch {
        final ByteBuffer bytes;
        final long clockUs;
        final int recordCount;
        private final int tailStart;
        /** Where the record in hand starts. */
        int recordOffset;

        private int recordIndex;

        Batch(ByteBuffer bytes) {
            this.bytes = bytes;
            clockUs = bytes.getLong(0);
            long count = bytes.getInt(8) & 0xffffffffL;
            if (12 + count * EVENT_BYTES > bytes.limit()) {
                throw new WireFormatException("batch at clock " + clockUs + " names " + count + " records but holds "
                        + (bytes.limit() - 12) / EVENT_BYTES);
            }
            recordCount = (int) count;
            tailStart = 12 + recordCount * EVENT_BYTES;
        }

        int selectRecord(int index) {
            recordIndex = index;
            recordOffset = 12 + index * EVENT_BYTES;
            return u8(0);
        }

        int u8(int offset) {
            return bytes.get(recordOffset + offset) & 0xff;
        }

        int u16(int offset) {
            return bytes.getShort(recordOffset + offset) & 0xffff;
        }

        int i32(int offset) {
            return bytes.getInt(recordOffset + offset);
        }

        long u32(int offset) {
            return bytes.getInt(recordOffset + offset) & 0xffffffffL;
        }

        long u64(int offset) {
            return bytes.getLong(recordOffset + offset);
        }

        float f32(int offset) {
            return bytes.getFloat(recordOffset + offset);
        }

        /** Address and port as one number, bytes in the order of the wire. */
        long backendId(int offset) {
            return backendIdAt(recordOffset + offset);
        }

        long backendIdAt(int position) {
            return (bytes.getInt(position) & 0xffffffffL) | (bytes.getShort(position + 4) & 0xffffL) << 32;
        }

        /** Where the tail part that the field names starts, each of its items `size` bytes long. */
        int tailOffset(int offset, int itemBytes) {
            long start = u32(offset);
            long end = start + u32(offset + 4) * itemBytes;
            if (tailStart + end > bytes.limit()) {
                throw new WireFormatException(describePosition() + " refers to tail bytes " + start + " to " + end
                        + " but the tail holds " + (bytes.limit() - tailStart));
            }
            return tailStart + (int) start;
        }

        byte[] tailBytes(int offset) {
            int from = tailOffset(offset, 1);
            byte[] copy = new byte[i32(offset + 4)];
            bytes.get(from, copy);
            return copy;
        }

        String describePosition() {
            return "batch at clock " + clockUs + ", record " + recordIndex + " (event " + u8(0) + ", instance " + u16(1)
                    + ")";
        }
    }

    /** A reply being built; kept and used again. */
    static final class Reply {
        private ByteBuffer records = growBuffer(ByteBuffer.allocate(0), 64 * ACTION_BYTES);
        private ByteBuffer tail = growBuffer(ByteBuffer.allocate(0), 256);
        private int recordCount;
        private final byte[] emptyRecord = new byte[ACTION_BYTES];

        private static ByteBuffer growBuffer(ByteBuffer source, int size) {
            ByteBuffer copy =
                    ByteBuffer.wrap(Arrays.copyOf(source.array(), size)).order(ByteOrder.LITTLE_ENDIAN);
            copy.position(source.position());
            return copy;
        }

        void clear() {
            records.clear();
            tail.clear();
            recordCount = 0;
        }

        private ByteBuffer startRecord(int code, int instance) {
            if (records.remaining() < ACTION_BYTES) {
                records = growBuffer(records, records.capacity() * 2);
            }
            int start = records.position();
            records.put(emptyRecord);
            records.put(start, (byte) code).putShort(start + 1, (short) instance);
            recordCount++;
            return records;
        }

        private int lastRecordStart() {
            return records.position() - ACTION_BYTES;
        }

        void addRecord(int code, int instance) {
            startRecord(code, instance);
        }

        void addRecordWithByte(int code, int instance, int value) {
            startRecord(code, instance).put(lastRecordStart() + 3, (byte) value);
        }

        void addRecordWithBackendId(int code, int instance, long backendId) {
            startRecord(code, instance);
            putBackendId(3, backendId);
        }

        void addRecordWithLong(int code, int instance, long value) {
            startRecord(code, instance).putLong(lastRecordStart() + 3, value);
        }

        void addRecordWithLongAndInt(int code, int instance, long value, long intValue) {
            startRecord(code, instance).putLong(lastRecordStart() + 3, value).putInt(lastRecordStart() + 11, (int)
                    intValue);
        }

        void addDispatch(int instance, long associationId, long backendId, long timeoutUs) {
            startRecord(HAND_OFF, instance)
                    .putLong(lastRecordStart() + 3, associationId)
                    .putInt(lastRecordStart() + 17, (int) timeoutUs);
            putBackendId(11, backendId);
        }

        void addRecordWithBytes(int code, int instance, int fieldOffset, byte[] bytes) {
            while (tail.remaining() < bytes.length) {
                tail = growBuffer(tail, tail.capacity() * 2);
            }
            startRecord(code, instance).putInt(lastRecordStart() + fieldOffset, tail.position());
            records.putInt(lastRecordStart() + fieldOffset + 4, bytes.length);
            tail.put(bytes);
        }

        void addPeerMessage(int instance, byte[] bytes) {
            addRecordWithBytes(PUBLISH, instance, 7, bytes);
            records.putInt(lastRecordStart() + 3, -1);
        }

        void addRecordWithText(int code, int instance, String text) {
            addRecordWithBytes(code, instance, 3, text.getBytes(StandardCharsets.UTF_8));
        }

        private void putBackendId(int offset, long backendId) {
            records.putInt(lastRecordStart() + offset, (int) backendId);
            records.putShort(lastRecordStart() + offset + 4, (short) (backendId >>> 32));
        }

        /** The whole frame; valid until the next call. */
        byte[] toFrame() {
            int bodyBytes = records.position() + tail.position();
            byte[] frame = new byte[8 + bodyBytes];
            ByteBuffer.wrap(frame)
                    .order(ByteOrder.LITTLE_ENDIAN)
                    .putInt(recordCount)
                    .putInt(bodyBytes);
            System.arraycopy(records.array(), 0, frame, 8, records.position());
            System.arraycopy(tail.array(), 0, frame, 8 + records.position(), tail.position());
            return frame;
        }
    }
}
