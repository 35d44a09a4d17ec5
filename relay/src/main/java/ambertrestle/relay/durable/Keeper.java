package ambertrestle.relay.durable;

import ambertrestle.relay.wire.RosterMessage;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * Owns a relay's folder: reads it once at the start, then writes one generation after the other. Every call blocks on
 * the disk, so after the start they come from one thread beside the event loop, one at a time.
 */
public final class Keeper implements AutoCloseable {
    private final Disk disk;
    private final Folder folder;
    private final Mirror mirror;
    private final long mostBytes;
    private boolean failing;

    private Keeper(Disk disk, String relay, long mostAge, long mostBytes) {
        this.disk = disk;
        folder = new Folder(disk, relay, mostAge, mostBytes);
        mirror = new Mirror(relay);
        this.mostBytes = mostBytes;
    }

    /** Throws {@link InUse} where another relay has the folder; other troubles are told and the relay serves. */
    public static Keeper open(DurableSheet sheet, String relay, List<Said> said) throws InUse {
        return open(new RealDisk(sheet.folder()), sheet, relay, said);
    }

    static Keeper open(Disk disk, DurableSheet sheet, String relay, List<Said> said) throws InUse {
        Keeper keeper = new Keeper(disk, relay, sheet.mostAge(), sheet.mostBytes());
        try {
            disk.lock();
            keeper.folder.clearHalves();
        } catch (InUse e) {
            throw e;
        } catch (IOException e) {
            // Danger: a folder that cannot be written to is no reason not to serve, nor not to read what is in it.
            keeper.failing = true;
            said.add(new Said(
                    true,
                    "state-not-kept",
                    "what this relay learns is not kept: " + why(e),
                    Map.of("folder", sheet.folder().toString())));
        }
        return keeper;
    }

    /** The newest picture that may be taken, or null; each file passed over is told. */
    public Picture read(long now, List<Said> said) {
        try {
            Folder.Found found = folder.read(now);
            for (Folder.Passed p : found.passed()) {
                said.add(new Said(
                        true,
                        "state-refused",
                        p.file() + " " + p.why().getMessage(),
                        Map.of("file", p.file(), "reason", p.why().reason.word())));
            }
            return found.picture();
        } catch (IOException e) {
            said.add(new Said(
                    true, "state-refused", "the folder cannot be read: " + why(e), Map.of("reason", "unreadable")));
            return null;
        }
    }

    /** Before the first {@link #write}: the list with which the relay begins. */
    public void begin(String rosterAt, long heardAt, RosterMessage list) {
        mirror.begin(rosterAt, heardAt, list);
    }

    /**
     * Takes the changes in and keeps one more generation; `rosterAt` null: no roster service was heard. The line to
     * log, or null.
     */
    public Said write(Hand hand, String rosterAt, long heardAt, long now) {
        hand.into(mirror);
        if (rosterAt != null) {
            mirror.heard(rosterAt, heardAt);
        }
        Picture picture = mirror.picture(now);
        byte[] file = StateFile.encode(picture);
        boolean without = file.length > mostBytes;
        if (without) {
            // The list is what a relay cannot do without; then what was judged, then pins.
            file = StateFile.encode(picture.withoutPins());
        }
        try {
            if (file.length > mostBytes) {
                throw new IOException("it takes " + file.length + " bytes, more than durable.most-megabytes");
            }
            // Danger: a folder that could not be locked at the start may since have become another relay's.
            disk.lock();
            folder.write(file);
        } catch (IOException e) {
            boolean first = !failing;
            failing = true;
            return first
                    ? new Said(true, "state-not-kept", "what this relay learns is not kept: " + why(e), Map.of())
                    : null;
        }
        if (failing) {
            failing = false;
            return new Said(false, "state-kept-again", "what this relay learns is kept again", Map.of());
        }
        return without
                ? new Said(
                        true,
                        "state-too-large",
                        "pins are not kept: with them the file is larger than durable.most-megabytes",
                        Map.of())
                : null;
    }

    private static String why(IOException e) {
        return e.getClass().getSimpleName() + (e.getMessage() == null ? "" : " " + e.getMessage());
    }

    @Override
    public void close() throws IOException {
        disk.close();
    }
}
