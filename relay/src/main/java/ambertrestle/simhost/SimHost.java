package ambertrestle.simhost;

import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.DispatchOutcome;
import ambertrestle.decide.RosterEntry;
import ambertrestle.settings.SettingsParser;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Runs balancers in the simulator: reads batches of events, passes the events to the balancers of the instances that
 * they name, and writes one reply of actions per batch. Makes no decisions of its own.
 */
public final class SimHost {
    private static final DispatchOutcome[] OUTCOMES = DispatchOutcome.values();
    private static final RosterEntry.Stage[] STAGES = RosterEntry.Stage.values();
    /** The simulator counts microseconds, the balancer nanoseconds. */
    private static final int NANOS_PER_MICRO = 1000;
    /**
     * The simulator gives loads in microseconds of work per second, the balancer takes nanoseconds of work per second.
     */
    private static final double WORK_NANOS_PER_MICRO = 1000.0;
    /** The simulator gives delays of backends in milliseconds. */
    private static final double NANOS_PER_MILLI = 1e6;

    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int INITIAL_FRAME_BYTES = 1 << 16;
    /** The shortest frame: the header of a batch without records. */
    private static final int MIN_FRAME_BYTES = 12;
    /** The longest frame that is accepted, slightly below the largest possible array. */
    private static final int MAX_FRAME_BYTES = Integer.MAX_VALUE - 16;

    // Flags of an association in ARRIVAL and TAKEN_OVER.

    /** The load is known. */
    private static final int FLAG_LOAD = 1;
    /** The connection was already open when its packets first reached this relay. */
    private static final int FLAG_MID_FLOW = 8;
    /** The client reconnects after a break or a move. */
    private static final int FLAG_RECONNECT = 16;

    // Kinds of UPDATE_OF.

    /** The load of a connection. */
    private static final int LOAD_REPORT = 1;
    /** The delay that a backend reports. */
    private static final int DELAY_REPORT = 2;

    // Kinds of DISCOVERY; 1 is a complete roster.

    /** Only the entries that changed. */
    private static final int ROSTER_CHANGES = 0;
    /** A complete roster from a cache, which may be out of date. */
    private static final int CACHED_ROSTER = 2;
    /** The call to the roster service failed. */
    private static final int ROSTER_CALL_FAILED = 3;

    private final InputStream in;
    private final OutputStream out;
    private final TreeMap<Integer, Instance> instances = new TreeMap<>();
    /** The instances with at least one record in the batch being processed. */
    private final List<Instance> batchInstances = new ArrayList<>();

    private final WireFormat.Reply reply = new WireFormat.Reply();
    private ByteBuffer frame = allocateBuffer(INITIAL_FRAME_BYTES);
    private final byte[] lengthField = new byte[LENGTH_FIELD_BYTES];

    /** Creates a host that reads batches from `in` and writes replies to `out`. */
    public SimHost(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    private static ByteBuffer allocateBuffer(int bytes) {
        return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    /**
     * Processes batches until the input ends.
     *
     * @throws WireFormatException if the input violates the protocol
     */
    public void run() throws IOException {
        long frameNumber = 0;
        while (true) {
            int lengthBytes = in.readNBytes(lengthField, 0, LENGTH_FIELD_BYTES);
            if (lengthBytes == 0) {
                return;
            }
            long length =
                    ByteBuffer.wrap(lengthField).order(ByteOrder.LITTLE_ENDIAN).getInt() & 0xffffffffL;
            if (lengthBytes < LENGTH_FIELD_BYTES || length < MIN_FRAME_BYTES || length > MAX_FRAME_BYTES) {
                throw new WireFormatException(
                        lengthBytes < LENGTH_FIELD_BYTES
                                ? "frame " + frameNumber + " is cut short in its length field"
                                : "frame " + frameNumber + " has an invalid length: " + length);
            }
            if (frame.capacity() < length) {
                frame = allocateBuffer((int) length);
            }
            int bytesRead = in.readNBytes(frame.array(), 0, (int) length);
            if (bytesRead < length) {
                throw new WireFormatException(
                        "frame " + frameNumber + " is cut short: " + bytesRead + " of " + length + " bytes");
            }
            frame.limit((int) length);
            processBatch(new WireFormat.Batch(frame));
            out.write(reply.toFrame());
            out.flush();
            frame.clear();
            frameNumber++;
        }
    }

    /** Handles all records of a batch, then lets each instance that had one do what is due. */
    private void processBatch(WireFormat.Batch batch) throws EOFException {
        reply.clear();
        long now = batch.clockUs * NANOS_PER_MICRO;
        Instance last = null;
        for (int i = 0; i < batch.recordCount; i++) {
            int event = batch.selectRecord(i);
            int number = batch.u16(1);
            Instance instance = last != null && last.number == number ? last : instances.get(number);
            if (event == WireFormat.UP) {
                instance = new Instance(number, reply);
                instances.put(number, instance);
            } else if (event > WireFormat.UP) {
                throw new WireFormatException(batch.describePosition() + ": no such event");
            } else if (instance == null) {
                throw new WireFormatException(batch.describePosition() + ": this instance is not up");
            }
            if (event == WireFormat.STOP) {
                instance.isStopped = true;
                instances.remove(number);
                last = null;
                continue;
            }
            last = instance;
            if (!instance.isInBatch) {
                instance.isInBatch = true;
                batchInstances.add(instance);
            }
            if (instance.isCrashed) {
                continue;
            }
            try {
                handleRecord(batch, event, instance, now);
            } catch (WireFormatException e) {
                throw e;
            } catch (RuntimeException e) {
                instance.reportCrash(e);
            }
        }
        for (int i = 0; i < batchInstances.size(); i++) {
            Instance instance = batchInstances.get(i);
            instance.isInBatch = false;
            if (!instance.isStopped && !instance.isCrashed) {
                try {
                    instance.onBatchFinished(now);
                } catch (RuntimeException e) {
                    instance.reportCrash(e);
                }
            }
        }
        batchInstances.clear();
    }

    /**
     * Handles the selected record. The numbers passed to the batch are offsets of fields, which {@link WireFormat}
     * lists for each event.
     */
    private void handleRecord(WireFormat.Batch batch, int event, Instance instance, long now) {
        Balancer balancer = instance.balancer;
        switch (event) {
            case WireFormat.UP -> {
                long seed = batch.u64(3);
                instance.balancer = new Balancer(SettingsParser.parse(batch.tailBytes(11)), seed, now);
            }
            case WireFormat.ARRIVAL -> {
                int flags = batch.u8(45);
                // Id, use case, tenant, client key, group key, cut-off, load, mid-flow, reconnect.
                instance.onArrival(
                        new Association(
                                batch.u64(3),
                                batch.u16(11),
                                batch.i32(13),
                                batch.u64(17),
                                batch.u64(37),
                                batch.u64(25) * NANOS_PER_MICRO,
                                (flags & FLAG_LOAD) != 0 ? batch.u32(33) * WORK_NANOS_PER_MICRO : 0,
                                (flags & FLAG_MID_FLOW) != 0,
                                (flags & FLAG_RECONNECT) != 0),
                        now);
            }
            case WireFormat.TAKEN_OVER -> {
                int flags = batch.u8(51);
                // The same values in another order.
                Association association = new Association(
                        batch.u64(3),
                        batch.u16(19),
                        batch.i32(43),
                        batch.u64(29),
                        batch.u64(21),
                        batch.u64(11) * NANOS_PER_MICRO,
                        (flags & FLAG_LOAD) != 0 ? batch.u32(47) * WORK_NANOS_PER_MICRO : 0,
                        (flags & FLAG_MID_FLOW) != 0,
                        (flags & FLAG_RECONNECT) != 0);
                instance.associations.put(association.id, association);
                balancer.onConnectionAdopted(association, batch.backendId(37), now);
            }
            case WireFormat.FIRED -> instance.onTimer(now);
            case WireFormat.SETTLED -> instance.onDispatchFinished(
                    batch.u64(3), batch.u8(12), decodeOutcome(batch, 19), batch.u8(11) != 0, now);
            case WireFormat.DISCOVERY -> handleRoster(batch, balancer, now);
            case WireFormat.UPDATE_OF -> {
                Association association = instance.associations.get(batch.u64(3));
                if (batch.u8(18) == LOAD_REPORT) {
                    if (association != null) {
                        balancer.onLoadReport(association, batch.f32(19) * WORK_NANOS_PER_MICRO, now);
                    }
                } else if (batch.u8(18) == DELAY_REPORT) {
                    balancer.onDelayReport(batch.backendId(12), (long) (batch.f32(19) * NANOS_PER_MILLI), now);
                }
            }
            case WireFormat.EXPIRED -> instance.onClientLeft(batch.u64(3), now);
            case WireFormat.ESTABLISHED -> {
                Association association = instance.associations.get(batch.u64(3));
                if (association != null) {
                    balancer.onConnectionEstablished(association, batch.u8(21), batch.u32(11) * NANOS_PER_MICRO, now);
                }
            }
            case WireFormat.HEALTH,
                    WireFormat.FROM_PEER -> {} // the balancer requests no probes and sends no peer messages
            default -> throw new WireFormatException(batch.describePosition() + ": no such event");
        }
    }

    /** The outcome whose ordinal is in the field at this offset. */
    private static DispatchOutcome decodeOutcome(WireFormat.Batch batch, int offset) {
        int code = batch.u8(offset);
        if (code >= OUTCOMES.length) {
            throw new WireFormatException(batch.describePosition() + ": no such outcome: " + code);
        }
        return OUTCOMES[code];
    }

    /**
     * Handles a DISCOVERY record. A roster entry in the tail has: start of the backend in microseconds (8 bytes), cell
     * (2), stage (1), backend (6), weight (4), zone (2) and instance type (2).
     */
    private static void handleRoster(WireFormat.Batch batch, Balancer balancer, long now) {
        int updateKind = batch.u8(3);
        if (updateKind > ROSTER_CALL_FAILED) {
            throw new WireFormatException(batch.describePosition() + ": no such kind of roster update: " + updateKind);
        }
        if (updateKind == ROSTER_CALL_FAILED) {
            balancer.onRosterCallFailed(now);
            return;
        }
        int entryOffset = batch.tailOffset(8, WireFormat.ROSTER_ENTRY_BYTES);
        int count = batch.i32(12);
        List<RosterEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++, entryOffset += WireFormat.ROSTER_ENTRY_BYTES) {
            int stageCode = batch.bytes.get(entryOffset + 10) & 0xff;
            if (stageCode >= STAGES.length) {
                throw new WireFormatException(batch.describePosition() + ": no such stage: " + stageCode);
            }
            entries.add(new RosterEntry(
                    batch.backendIdAt(entryOffset + 11),
                    STAGES[stageCode],
                    batch.bytes.getLong(entryOffset) * NANOS_PER_MICRO,
                    batch.bytes.getShort(entryOffset + 8) & 0xffff,
                    batch.bytes.getFloat(entryOffset + 17),
                    batch.bytes.getShort(entryOffset + 21) & 0xffff,
                    batch.bytes.getShort(entryOffset + 23) & 0xffff));
        }
        balancer.onRosterUpdate(entries, updateKind != ROSTER_CHANGES, updateKind == CACHED_ROSTER, now);
    }
}
