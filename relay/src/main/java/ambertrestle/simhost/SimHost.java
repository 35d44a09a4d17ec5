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
    private final List<Instance> touched = new ArrayList<>();
    private final WireFormat.Reply reply = new WireFormat.Reply();
    private ByteBuffer frame = allocateBuffer(1 << 16);
    private final byte[] head = new byte[4];

    public SimHost(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    private static ByteBuffer allocateBuffer(int bytes) {
        return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    public void run() throws IOException {
        long frames = 0;
        while (true) {
            int got = in.readNBytes(head, 0, 4);
            if (got == 0) {
                return;
            }
            long length = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN).getInt() & 0xffffffffL;
            if (got < 4 || length < 12 || length > Integer.MAX_VALUE - 16) {
                throw new WireFormatException(
                        got < 4
                                ? "frame " + frames + " is cut short in its length field"
                                : "frame " + frames + " has a length of " + length);
            }
            if (frame.capacity() < length) {
                frame = allocateBuffer((int) length);
            }
            int read = in.readNBytes(frame.array(), 0, (int) length);
            if (read < length) {
                throw new WireFormatException(
                        "frame " + frames + " is cut short: " + read + " of " + length + " bytes");
            }
            frame.limit((int) length);
            processBatch(new WireFormat.Batch(frame));
            out.write(reply.toFrame());
            out.flush();
            frame.clear();
            frames++;
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
                instance.stopped = true;
                instances.remove(number);
                last = null;
                continue;
            }
            last = instance;
            if (!instance.isInBatch) {
                instance.isInBatch = true;
                touched.add(instance);
            }
            if (instance.crashed) {
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
        for (int i = 0; i < touched.size(); i++) {
            Instance instance = touched.get(i);
            instance.isInBatch = false;
            if (!instance.stopped && !instance.crashed) {
                try {
                    instance.onBatchFinished(now);
                } catch (RuntimeException e) {
                    instance.reportCrash(e);
                }
            }
        }
        touched.clear();
    }

    private void handleRecord(WireFormat.Batch b, int event, Instance instance, long now) {
        Balancer balancer = instance.balancer;
        switch (event) {
            case WireFormat.UP -> {
                long seed = b.u64(3);
                instance.balancer = new Balancer(SettingsParser.parse(b.tailBytes(11)), seed, now);
            }
            case WireFormat.ARRIVAL -> {
                int bits = b.u8(45);
                instance.onArrival(
                        new Association(
                                b.u64(3),
                                b.u16(11),
                                b.i32(13),
                                b.u64(17),
                                b.u64(37),
                                b.u64(25) * 1000,
                                (bits & 1) != 0 ? b.u32(33) * 1000.0 : 0,
                                (bits & 8) != 0,
                                (bits & 16) != 0),
                        now);
            }
            case WireFormat.TAKEN_OVER -> {
                int bits = b.u8(51);
                Association a = new Association(
                        b.u64(3),
                        b.u16(19),
                        b.i32(43),
                        b.u64(29),
                        b.u64(21),
                        b.u64(11) * 1000,
                        (bits & 1) != 0 ? b.u32(47) * 1000.0 : 0,
                        (bits & 8) != 0,
                        (bits & 16) != 0);
                instance.associations.put(a.id, a);
                balancer.onConnectionAdopted(a, b.backend(37), now);
            }
            case WireFormat.FIRED -> instance.onTimer(now);
            case WireFormat.SETTLED -> instance.onAttemptFinished(
                    b.u64(3), b.u8(12), outcome(b, 19), b.u8(11) != 0, now);
            case WireFormat.DISCOVERY -> handleRoster(b, balancer, now);
            case WireFormat.UPDATE_OF -> {
                Association a = instance.associations.get(b.u64(3));
                if (b.u8(18) == 1) {
                    if (a != null) {
                        balancer.onLoadReport(a, b.f32(19) * 1000.0, now);
                    }
                } else if (b.u8(18) == 2) {
                    balancer.onDelayReport(b.backend(12), (long) (b.f32(19) * 1e6), now);
                }
            }
            case WireFormat.EXPIRED -> instance.onClientLeft(b.u64(3), now);
            case WireFormat.ESTABLISHED -> {
                Association a = instance.associations.get(b.u64(3));
                if (a != null) {
                    balancer.onConnectionEstablished(a, b.u8(21), b.u32(11) * 1000, now);
                }
            }
            case WireFormat.HEALTH, WireFormat.FROM_PEER -> {} // asked for by no chore of the module
            default -> throw new WireFormatException(b.describePosition() + ": no such event");
        }
    }

    private static DispatchOutcome outcome(WireFormat.Batch b, int offset) {
        int code = b.u8(offset);
        if (code >= OUTCOMES.length) {
            throw new WireFormatException(b.describePosition() + ": no such outcome " + code);
        }
        return OUTCOMES[code];
    }

    private static void handleRoster(WireFormat.Batch b, Balancer balancer, long now) {
        int form = b.u8(3);
        if (form > 3) {
            throw new WireFormatException(b.describePosition() + ": no such roster form " + form);
        }
        if (form == 3) {
            balancer.onRosterCallFailed(now);
            return;
        }
        int at = b.tailOffset(8, WireFormat.ROSTER_ENTRY_BYTES);
        int n = b.i32(12);
        List<RosterEntry> lines = new ArrayList<>(n);
        for (int i = 0; i < n; i++, at += WireFormat.ROSTER_ENTRY_BYTES) {
            int stage = b.bytes.get(at + 10) & 0xff;
            if (stage >= STAGES.length) {
                throw new WireFormatException(b.describePosition() + ": no such stage " + stage);
            }
            lines.add(new RosterEntry(
                    b.backendAt(at + 11),
                    STAGES[stage],
                    b.bytes.getLong(at) * 1000,
                    b.bytes.getShort(at + 8) & 0xffff,
                    b.bytes.getFloat(at + 17),
                    b.bytes.getShort(at + 21) & 0xffff,
                    b.bytes.getShort(at + 23) & 0xffff));
        }
        balancer.onRosterUpdate(lines, form != 0, form == 2, now);
    }
}
