package ambertrestle.relay.persistence;

import ambertrestle.relay.persistence.StateFileCodec.RejectedException;
import ambertrestle.relay.persistence.StateFileCodec.RejectionReason;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The two newest generations of a relay's state in one folder. A file has its name only once it is whole: it is written
 * under another, synced, renamed, and the folder synced, before the generation before the last goes. One user at a
 * time.
 */
final class SnapshotDirectory {
    private static final Pattern NAME = Pattern.compile("state-(\\d{18})"),
            TEMPORARY_NAME = Pattern.compile("state-\\d{18}\\.new");
    private static final int GENERATIONS = 2;

    private final Storage disk;
    private final String relay;
    private final long mostAge;
    private final long mostBytes;
    /** Files that are this relay's to delete, oldest first. */
    private final List<String> ownFiles = new ArrayList<>();

    private long generation;

    /** One file that was not taken, and why. */
    record RejectedFile(String file, RejectedException cause) {}

    /** The newest that is whole and this relay's, or null, and those passed over before it was met. */
    record ReadResult(StateSnapshot snapshot, List<RejectedFile> rejectedFiles) {}

    SnapshotDirectory(Storage disk, String relay, long mostAge, long mostBytes) {
        this.disk = disk;
        this.relay = relay;
        this.mostAge = mostAge;
        this.mostBytes = mostBytes;
    }

    /** Reads it all; call it once, before the first write. */
    ReadResult readNewest(long now) throws IOException {
        List<String> files = new ArrayList<>(disk.listFileNames().stream()
                .filter(n -> NAME.matcher(n).matches())
                .toList());
        files.sort(Comparator.reverseOrder());
        StateSnapshot found = null;
        List<RejectedFile> passed = new ArrayList<>();
        for (String file : files) {
            generation = Math.max(generation, Long.parseLong(file.substring(6)));
            try {
                StateSnapshot picture = picture(file, now);
                if (found == null) {
                    found = picture;
                }
                ownFiles.add(0, file);
            } catch (RejectedException e) {
                if (found == null) {
                    passed.add(new RejectedFile(file, e));
                }
                // What another relay or a later version may still want is left where it is.
                if (e.reason == RejectionReason.TORN
                        || e.reason == RejectionReason.CHECKSUM
                        || e.reason == RejectionReason.MALFORMED
                        || e.reason == RejectionReason.TOO_OLD) {
                    ownFiles.add(0, file);
                }
            }
        }
        return new ReadResult(found, passed);
    }

    private StateSnapshot picture(String file, long now) throws RejectedException {
        byte[] bytes;
        try {
            // Danger: whatever stands under that name is read into memory; a relay must not die of it.
            if (disk.size(file) > mostBytes) {
                throw new RejectedException(RejectionReason.TOO_LARGE, disk.size(file) + " bytes");
            }
            bytes = disk.read(file);
        } catch (IOException e) {
            throw new RejectedException(RejectionReason.UNREADABLE, String.valueOf(e.getMessage()));
        }
        StateSnapshot picture = StateFileCodec.decode(bytes);
        if (!picture.relayName().equals(relay)) {
            throw new RejectedException(RejectionReason.OTHER_RELAY, picture.relayName());
        }
        if (now - picture.takenAt() > mostAge) {
            throw new RejectedException(RejectionReason.TOO_OLD, (now - picture.takenAt()) / 1_000_000_000L + " s");
        }
        return picture;
    }

    /** Keeps one more generation. Where it throws, the one before is still whole. */
    void writeGeneration(byte[] file) throws IOException {
        long next = generation + 1;
        String name = String.format(java.util.Locale.ROOT, "state-%018d", next);
        String half = name + ".new";
        // Danger: after a failed try the name may stand; a generation is never written twice.
        generation = next;
        try {
            disk.write(half, file);
            disk.rename(half, name);
            ownFiles.add(name);
            disk.syncDirectory();
        } catch (IOException e) {
            deleteTemporaryFile(half);
            throw e;
        }
        while (ownFiles.size() > GENERATIONS) {
            disk.delete(ownFiles.get(0));
            ownFiles.remove(0);
        }
    }

    /** Danger: on a full disk what is half written would keep it full. */
    private void deleteTemporaryFile(String half) {
        try {
            disk.delete(half);
        } catch (IOException e) {
            // The next start clears it; the failure that led here is the one to tell.
        }
    }

    /** What earlier processes left half written. */
    void deleteTemporaryFiles() throws IOException {
        for (String name : disk.listFileNames()) {
            if (TEMPORARY_NAME.matcher(name).matches()) {
                disk.delete(name);
            }
        }
    }
}
