package ambertrestle.relay.persistence;

import ambertrestle.relay.wire.RosterMessage;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * Owns a relay's folder: reads it once at the start, then writes one generation after the other. Every call blocks on
 * the disk, so after the start they come from one thread beside the event loop, one at a time.
 */
public final class StateStore implements AutoCloseable {
    private final Storage disk;
    private final SnapshotDirectory folder;
    private final SnapshotBuilder mirror;
    private final long mostBytes;
    private boolean failing;

    private StateStore(Storage disk, String relay, long mostAge, long mostBytes) {
        this.disk = disk;
        folder = new SnapshotDirectory(disk, relay, mostAge, mostBytes);
        mirror = new SnapshotBuilder(relay);
        this.mostBytes = mostBytes;
    }

    /**
     * Throws {@link DirectoryInUseException} where another relay has the folder; other troubles are told and the relay
     * serves.
     */
    public static StateStore open(PersistenceConfiguration sheet, String relay, List<LogMessage> said)
            throws DirectoryInUseException {
        return open(new FileSystemStorage(sheet.directory()), sheet, relay, said);
    }

    static StateStore open(Storage disk, PersistenceConfiguration sheet, String relay, List<LogMessage> said)
            throws DirectoryInUseException {
        StateStore keeper = new StateStore(disk, relay, sheet.maxAgeNanos(), sheet.maxBytes());
        try {
            disk.lock();
            keeper.folder.deleteTemporaryFiles();
        } catch (DirectoryInUseException e) {
            throw e;
        } catch (IOException e) {
            // Danger: a folder that cannot be written to is no reason not to serve, nor not to read what is in it.
            keeper.failing = true;
            said.add(new LogMessage(
                    true,
                    "state-not-kept",
                    "what this relay learns is not kept: " + describe(e),
                    Map.of("folder", sheet.directory().toString())));
        }
        return keeper;
    }

    /** The newest picture that may be taken, or null; each file passed over is told. */
    public StateSnapshot restore(long now, List<LogMessage> said) {
        try {
            SnapshotDirectory.ReadResult found = folder.readNewest(now);
            for (SnapshotDirectory.RejectedFile p : found.rejectedFiles()) {
                said.add(new LogMessage(
                        true,
                        "state-refused",
                        p.file() + " " + p.cause().getMessage(),
                        Map.of("file", p.file(), "reason", p.cause().reason.toLogValue())));
            }
            return found.snapshot();
        } catch (IOException e) {
            said.add(new LogMessage(
                    true,
                    "state-refused",
                    "the folder cannot be read: " + describe(e),
                    Map.of("reason", "unreadable")));
            return null;
        }
    }

    /** Before the first {@link #persist}: the list with which the relay begins. */
    public void setInitialRoster(String rosterAt, long heardAt, RosterMessage list) {
        mirror.setInitialRoster(rosterAt, heardAt, list);
    }

    /**
     * Takes the changes in and keeps one more generation; `rosterAt` null: no roster service was heard. The line to
     * log, or null.
     */
    public LogMessage persist(StateChanges hand, String rosterAt, long heardAt, long now) {
        hand.applyTo(mirror);
        if (rosterAt != null) {
            mirror.onRosterConfirmed(rosterAt, heardAt);
        }
        StateSnapshot picture = mirror.build(now);
        byte[] file = StateFileCodec.encode(picture);
        boolean without = file.length > mostBytes;
        if (without) {
            // The list is what a relay cannot do without; then what was judged, then pins.
            file = StateFileCodec.encode(picture.withoutPins());
        }
        try {
            if (file.length > mostBytes) {
                throw new IOException("it takes " + file.length + " bytes, more than durable.most-megabytes");
            }
            // Danger: a folder that could not be locked at the start may since have become another relay's.
            disk.lock();
            folder.writeGeneration(file);
        } catch (IOException e) {
            boolean first = !failing;
            failing = true;
            return first
                    ? new LogMessage(
                            true, "state-not-kept", "what this relay learns is not kept: " + describe(e), Map.of())
                    : null;
        }
        if (failing) {
            failing = false;
            return new LogMessage(false, "state-kept-again", "what this relay learns is kept again", Map.of());
        }
        return without
                ? new LogMessage(
                        true,
                        "state-too-large",
                        "pins are not kept: with them the file is larger than durable.most-megabytes",
                        Map.of())
                : null;
    }

    private static String describe(IOException e) {
        return e.getClass().getSimpleName() + (e.getMessage() == null ? "" : " " + e.getMessage());
    }

    @Override
    public void close() throws IOException {
        disk.close();
    }
}
