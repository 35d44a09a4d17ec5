package ambertrestle.simhost;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The simulator's binary protocol, with all numbers little-endian. A batch has event records of {@link #EVENT_BYTES}
 * and a reply has action records of {@link #ACTION_BYTES}. Each record starts with its code (1 byte) and the number of
 * the simulated relay, the instance (2 bytes). Values of variable length are in the tail, after the records; a field of
 * 8 bytes refers to them by their offset in the tail and the number of items.
 */
final class WireFormat {
    /** Size of an event record. */
    static final int EVENT_BYTES = 56;
    /** Size of an action record. */
    static final int ACTION_BYTES = 24;
    /** Size of a roster entry in the tail of a batch. */
    static final int ROSTER_ENTRY_BYTES = 25;

    // Codes of events. The fields of their records are listed as offset and name; ids and keys have 8 bytes.

    /** The instance ends. */
    static final int STOP = 0;
    /**
     * A client requests an association: 3 id, 11 use case (2 bytes), 13 tenant (4), 17 client key, 25 cut-off in
     * microseconds (8), 33 load in microseconds of work per second (4), 37 group key, 45 flags (1).
     */
    static final int ARRIVAL = 1;
    /** The instance's timer fired. */
    static final int FIRED = 2;
    /** The result of a probe; ignored. */
    static final int HEALTH = 3;
    /**
     * A dispatch ended: 3 association, 11 whether the association is over (1), 12 index of the dispatch (1), 19 outcome
     * (1).
     */
    static final int SETTLED = 4;
    /** A roster update, or the failure of a call to the roster service: 3 kind (1), 8 entries in the tail (8). */
    static final int DISCOVERY = 5;
    /**
     * A report of a connection's load or of a backend's delay: 3 association, 12 backend (6), 18 kind (1), 19 value as
     * a floating-point number (4), in microseconds of work per second or in milliseconds.
     */
    static final int UPDATE_OF = 6;
    /** The client is gone: 3 association. */
    static final int EXPIRED = 7;
    /** A connection is established: 3 association, 11 set-up time in microseconds (4), 21 index of the dispatch (1). */
    static final int ESTABLISHED = 8;
    /**
     * The instance took over an open connection that existed before the instance started: 3 id, 11 cut-off in
     * microseconds (8), 19 use case (2), 21 group key, 29 client key, 37 backend (6), 43 tenant (4), 47 load in
     * microseconds of work per second (4), 51 flags (1).
     */
    static final int TAKEN_OVER = 9;
    /** A message from another instance; ignored. */
    static final int FROM_PEER = 10;
    /** The instance starts: 3 seed (8), 11 settings in the tail (8). */
    static final int UP = 11;

    // Codes of actions.

    /** Watch the roster service. */
    static final int TRACK = 0;
    /** Fetch the roster once. */
    static final int GET_LIST = 1;
    /** Probe a backend. */
    static final int INSPECT = 2;
    /** The association is forfeited. */
    static final int SURRENDER = 3;
    /** Not sent by this host. */
    static final int CANCEL = 4;
    /** Send a message to all other instances. */
    static final int PUBLISH = 5;
    /** The instance failed with an exception; its events are ignored until it starts again. */
    static final int CRASH = 6;
    /** Ask the client of an open connection to move to another backend. */
    static final int EVICT = 7;
    /** Dispatch an association to a backend. */
    static final int HAND_OFF = 8;
    /** Set the instance's timer. */
    static final int SET_TIMER = 9;
    /** The association is shed; the client may come back after a time. */
    static final int PUSH_BACK = 10;
    /** Not sent by this host. */
    static final int RELEASE = 11;
    /** A log message. */
    static final int EMIT = 12;

    /** Size of a batch's header: the clock in microseconds (8 bytes) and the number of records (4 bytes). */
    private static final int BATCH_HEADER_BYTES = 12;
    /** Position of the number of records in a batch's header. */
    private static final int BATCH_COUNT_OFFSET = 8;
    /** Position of the number of items in a field that refers to the tail; the first 4 bytes are the offset. */
    private static final int TAIL_COUNT_OFFSET = 4;
    /** Size of a backend's address. */
    private static final int ADDRESS_BYTES = 4;
    /** Size of a backend's address and port. */
    private static final int BACKEND_ID_BYTES = 6;

    private WireFormat() {}

    /**
     * One batch, without the length field of its frame: header, records and tail. The methods that read a number take
     * the offset of a field in the record selected by {@link #selectRecord}.
     */
    static final class Batch {
        final ByteBuffer bytes;
        /** The simulated time in microseconds. */
        final long clockUs;

        final int recordCount;
        /** Position of the tail in {@link #bytes}. */
        private final int tailStart;
        /** Position of the selected record in {@link #bytes}. */
        int recordOffset;

        /** Index of the selected record. */
        private int recordIndex;

        Batch(ByteBuffer bytes) {
            this.bytes = bytes;
            clockUs = bytes.getLong(0);
            long count = bytes.getInt(BATCH_COUNT_OFFSET) & 0xffffffffL;
            if (BATCH_HEADER_BYTES + count * EVENT_BYTES > bytes.limit()) {
                throw new WireFormatException("batch at clock " + clockUs + " announces " + count
                        + " records but has only " + (bytes.limit() - BATCH_HEADER_BYTES) / EVENT_BYTES);
            }
            recordCount = (int) count;
            tailStart = BATCH_HEADER_BYTES + recordCount * EVENT_BYTES;
        }

        /** Selects a record and returns its event code. */
        int selectRecord(int index) {
            recordIndex = index;
            recordOffset = BATCH_HEADER_BYTES + index * EVENT_BYTES;
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

        /** A backend's address (4 bytes) and port (2 bytes) as one number, which serves as the backend's id. */
        long backendId(int offset) {
            return backendIdAt(recordOffset + offset);
        }

        /** Reads a backend's id from a position in {@link #bytes}. */
        long backendIdAt(int position) {
            return (bytes.getInt(position) & 0xffffffffL) | (bytes.getShort(position + ADDRESS_BYTES) & 0xffffL) << 32;
        }

        /**
         * Returns the position in {@link #bytes} of the items to which a field refers. Fails if they end beyond the
         * tail.
         */
        int tailOffset(int offset, int itemBytes) {
            long start = u32(offset);
            long end = start + u32(offset + TAIL_COUNT_OFFSET) * itemBytes;
            if (tailStart + end > bytes.limit()) {
                throw new WireFormatException(describePosition() + " refers to tail bytes " + start + " to " + end
                        + " but the tail holds " + (bytes.limit() - tailStart));
            }
            return tailStart + (int) start;
        }

        /** Copies the bytes to which a field refers. */
        byte[] tailBytes(int offset) {
            int from = tailOffset(offset, 1);
            byte[] copy = new byte[i32(offset + TAIL_COUNT_OFFSET)];
            bytes.get(from, copy);
            return copy;
        }

        /** The selected record, for error messages. */
        String describePosition() {
            return "batch at clock " + clockUs + ", record " + recordIndex + " (event " + u8(0) + ", instance " + u16(1)
                    + ")";
        }
    }

    /** The reply to a batch. One object is used for all replies. */
    static final class Reply {
        private static final int INITIAL_RECORDS = 64;
        private static final int INITIAL_TAIL_BYTES = 256;
        /** Offset of the first field after a record's code and instance number. */
        private static final int FIRST_FIELD = 3;
        /** Offset of the second field if the first has 8 bytes. */
        private static final int FIELD_AFTER_LONG = FIRST_FIELD + Long.BYTES;
        /** Offset of a dispatch's time limit, after its association and backend. */
        private static final int DISPATCH_TIMEOUT = FIELD_AFTER_LONG + BACKEND_ID_BYTES;
        /** Offset of the message in {@link #PUBLISH}, after its receiver. */
        private static final int PEER_MESSAGE = FIRST_FIELD + Integer.BYTES;
        /** The receiver of a message to all other instances. */
        private static final int ALL_INSTANCES = -1;

        /** Size of the reply's header: the number of records and the size of records and tail, 4 bytes each. */
        private static final int REPLY_HEADER_BYTES = 8;

        private ByteBuffer records = growBuffer(ByteBuffer.allocate(0), INITIAL_RECORDS * ACTION_BYTES);
        private ByteBuffer tail = growBuffer(ByteBuffer.allocate(0), INITIAL_TAIL_BYTES);
        private int recordCount;
        /** Clears the bytes of a new record that no field sets. */
        private final byte[] emptyRecord = new byte[ACTION_BYTES];

        /** Copies a buffer into a larger one, at the same position. */
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

        /** Appends a record that has only its code and instance; returns the buffer of the records. */
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

        /** Position of the last record in {@link #records}. */
        private int lastRecordStart() {
            return records.position() - ACTION_BYTES;
        }

        void addRecord(int code, int instance) {
            startRecord(code, instance);
        }

        void addRecordWithByte(int code, int instance, int value) {
            startRecord(code, instance).put(lastRecordStart() + FIRST_FIELD, (byte) value);
        }

        void addRecordWithBackendId(int code, int instance, long backendId) {
            startRecord(code, instance);
            putBackendId(FIRST_FIELD, backendId);
        }

        void addRecordWithLong(int code, int instance, long value) {
            startRecord(code, instance).putLong(lastRecordStart() + FIRST_FIELD, value);
        }

        /** Adds a record with 8 bytes and, after them, the lower 4 bytes of `intValue`. */
        void addRecordWithLongAndInt(int code, int instance, long value, long intValue) {
            startRecord(code, instance)
                    .putLong(lastRecordStart() + FIRST_FIELD, value)
                    .putInt(lastRecordStart() + FIELD_AFTER_LONG, (int) intValue);
        }

        /** Adds a dispatch of an association to a backend, with its time limit in microseconds. */
        void addDispatch(int instance, long associationId, long backendId, long timeoutUs) {
            startRecord(HAND_OFF, instance)
                    .putLong(lastRecordStart() + FIRST_FIELD, associationId)
                    .putInt(lastRecordStart() + DISPATCH_TIMEOUT, (int) timeoutUs);
            putBackendId(FIELD_AFTER_LONG, backendId);
        }

        /** Adds a record whose field at that offset refers to these bytes in the tail. */
        void addRecordWithBytes(int code, int instance, int fieldOffset, byte[] bytes) {
            while (tail.remaining() < bytes.length) {
                tail = growBuffer(tail, tail.capacity() * 2);
            }
            startRecord(code, instance).putInt(lastRecordStart() + fieldOffset, tail.position());
            records.putInt(lastRecordStart() + fieldOffset + TAIL_COUNT_OFFSET, bytes.length);
            tail.put(bytes);
        }

        /** Adds a message to all other instances. */
        void addPeerMessage(int instance, byte[] bytes) {
            addRecordWithBytes(PUBLISH, instance, PEER_MESSAGE, bytes);
            records.putInt(lastRecordStart() + FIRST_FIELD, ALL_INSTANCES);
        }

        void addRecordWithText(int code, int instance, String text) {
            addRecordWithBytes(code, instance, FIRST_FIELD, text.getBytes(StandardCharsets.UTF_8));
        }

        private void putBackendId(int offset, long backendId) {
            records.putInt(lastRecordStart() + offset, (int) backendId);
            records.putShort(lastRecordStart() + offset + ADDRESS_BYTES, (short) (backendId >>> 32));
        }

        /** Returns the reply as bytes: its header, the records and the tail. */
        byte[] toFrame() {
            int bodyBytes = records.position() + tail.position();
            byte[] frame = new byte[REPLY_HEADER_BYTES + bodyBytes];
            ByteBuffer.wrap(frame)
                    .order(ByteOrder.LITTLE_ENDIAN)
                    .putInt(recordCount)
                    .putInt(bodyBytes);
            System.arraycopy(records.array(), 0, frame, REPLY_HEADER_BYTES, records.position());
            System.arraycopy(tail.array(), 0, frame, REPLY_HEADER_BYTES + records.position(), tail.position());
            return frame;
        }
    }
}
