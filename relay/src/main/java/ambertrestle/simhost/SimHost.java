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

/** Hosts instances of the module on the simulator's wire: one batch in, one reply out. It decides nothing. */
public final class SimHost {
    private static final DispatchOutcome[] OUTCOMES = DispatchOutcome.values();
    private static final RosterEntry.Stage[] STAGES = RosterEntry.Stage.values();

    private final InputStream in;
    private final OutputStream out;
    private final TreeMap<Integer, Instance> instances = new TreeMap<>();
    private final List<Instance> batchInstances = new ArrayList<>();
    private final WireFormat.Reply reply = new WireFormat.Reply();
    private ByteBuffer frame = allocateBuffer(1 << 16);
    private final byte[] lengthField = new byte[4];

    public SimHost(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    private static ByteBuffer allocateBuffer(int bytes) {
        return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    public void run() throws IOException {
        long frameNumber = 0;
        while (true) {
            int lengthBytes = in.readNBytes(lengthField, 0, 4);
            if (lengthBytes == 0) {
                return;
            }
            long length =
                    ByteBuffer.wrap(lengthField).order(ByteOrder.LITTLE_ENDIAN).getInt() & 0xffffffffL;
            if (lengthBytes < 4 || length < 12 || length > Integer.MAX_VALUE - 16) {
                throw new WireFormatException(
                        lengthBytes < 4
                                ? "frame " + frameNumber + " is cut short in its length field"
                                : "frame " + frameNumber + " has a length of " + length);
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

    private void processBatch(WireFormat.Batch batch) throws EOFException {
        reply.clear();
        long now = batch.clockUs * 1000;
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

    private void handleRecord(WireFormat.Batch batch, int event, Instance instance, long now) {
        Balancer balancer = instance.balancer;
        switch (event) {
            case WireFormat.UP -> {
                long seed = batch.u64(3);
                instance.balancer = new Balancer(SettingsParser.parse(batch.tailBytes(11)), seed, now);
            }
            case WireFormat.ARRIVAL -> {
                int flags = batch.u8(45);
                instance.onArrival(
                        new Association(
                                batch.u64(3),
                                batch.u16(11),
                                batch.i32(13),
                                batch.u64(17),
                                batch.u64(37),
                                batch.u64(25) * 1000,
                                (flags & 1) != 0 ? batch.u32(33) * 1000.0 : 0,
                                (flags & 8) != 0,
                                (flags & 16) != 0),
                        now);
            }
            case WireFormat.TAKEN_OVER -> {
                int flags = batch.u8(51);
                Association association = new Association(
                        batch.u64(3),
                        batch.u16(19),
                        batch.i32(43),
                        batch.u64(29),
                        batch.u64(21),
                        batch.u64(11) * 1000,
                        (flags & 1) != 0 ? batch.u32(47) * 1000.0 : 0,
                        (flags & 8) != 0,
                        (flags & 16) != 0);
                instance.associations.put(association.id, association);
                balancer.onConnectionAdopted(association, batch.backendId(37), now);
            }
            case WireFormat.FIRED -> instance.onTimer(now);
            case WireFormat.SETTLED -> instance.onAttemptFinished(
                    batch.u64(3), batch.u8(12), decodeOutcome(batch, 19), batch.u8(11) != 0, now);
            case WireFormat.DISCOVERY -> handleRoster(batch, balancer, now);
            case WireFormat.UPDATE_OF -> {
                Association association = instance.associations.get(batch.u64(3));
                if (batch.u8(18) == 1) {
                    if (association != null) {
                        balancer.onLoadReport(association, batch.f32(19) * 1000.0, now);
                    }
                } else if (batch.u8(18) == 2) {
                    balancer.onDelayReport(batch.backendId(12), (long) (batch.f32(19) * 1e6), now);
                }
            }
            case WireFormat.EXPIRED -> instance.onClientLeft(batch.u64(3), now);
            case WireFormat.ESTABLISHED -> {
                Association association = instance.associations.get(batch.u64(3));
                if (association != null) {
                    balancer.onConnectionEstablished(association, batch.u8(21), batch.u32(11) * 1000, now);
                }
            }
            case WireFormat.HEALTH, WireFormat.FROM_PEER -> {} // asked for by no chore of the module
            default -> throw new WireFormatException(batch.describePosition() + ": no such event");
        }
    }

    private static DispatchOutcome decodeOutcome(WireFormat.Batch batch, int offset) {
        int code = batch.u8(offset);
        if (code >= OUTCOMES.length) {
            throw new WireFormatException(batch.describePosition() + ": no such outcome " + code);
        }
        return OUTCOMES[code];
    }

    private static void handleRoster(WireFormat.Batch batch, Balancer balancer, long now) {
        int updateKind = batch.u8(3);
        if (updateKind > 3) {
            throw new WireFormatException(batch.describePosition() + ": no such roster form " + updateKind);
        }
        if (updateKind == 3) {
            balancer.onRosterCallFailed(now);
            return;
        }
        int entryOffset = batch.tailOffset(8, WireFormat.ROSTER_ENTRY_BYTES);
        int count = batch.i32(12);
        List<RosterEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++, entryOffset += WireFormat.ROSTER_ENTRY_BYTES) {
            int stageCode = batch.bytes.get(entryOffset + 10) & 0xff;
            if (stageCode >= STAGES.length) {
                throw new WireFormatException(batch.describePosition() + ": no such stage " + stageCode);
            }
            entries.add(new RosterEntry(
                    batch.backendIdAt(entryOffset + 11),
                    STAGES[stageCode],
                    batch.bytes.getLong(entryOffset) * 1000,
                    batch.bytes.getShort(entryOffset + 8) & 0xffff,
                    batch.bytes.getFloat(entryOffset + 17),
                    batch.bytes.getShort(entryOffset + 21) & 0xffff,
                    batch.bytes.getShort(entryOffset + 23) & 0xffff));
        }
        balancer.onRosterUpdate(entries, updateKind != 0, updateKind == 2, now);
    }
}
