package ambertrestle.relay.persistence;

import ambertrestle.relay.persistence.StateFileCodec.RejectedException;
import ambertrestle.relay.persistence.StateFileCodec.RejectionReason;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The state files of one relay in one directory. Each file is a generation with an increasing number; the two newest
 * are retained. A file gets its final name only when it is complete: it is written under a temporary name, synced,
 * renamed, and the directory is synced, before the oldest generation is deleted. Not thread-safe.
 */
final class SnapshotDirectory {
    /** Length of `state-`, after which a file name has the generation's number. */
    private static final int NAME_PREFIX_LENGTH = 6;

    private static final Pattern STATE_FILE_NAME = Pattern.compile("state-(\\d{18})");
    private static final Pattern TEMPORARY_FILE_NAME = Pattern.compile("state-\\d{18}\\.new");
    /** How many generations remain after a write. */
    private static final int RETAINED_GENERATIONS = 2;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Storage storage;
    private final String relayName;
    private final long maxAgeNanos;
    private final long maxBytes;
    /** Names of the files that this relay may delete, oldest first. */
    private final List<String> ownFiles = new ArrayList<>();

    /** The highest generation number that was found in the directory or used for a write; 0 if there is none. */
    private long generation;

    /** A file that could not be restored, with the cause. */
    record RejectedFile(String file, RejectedException cause) {}

    /**
     * The result of reading the directory.
     *
     * @param snapshot the newest valid snapshot of this relay, or null if there is none
     * @param rejectedFiles the files that were skipped: those newer than the snapshot, or all if there is none; newest
     *     first
     */
    record ReadResult(StateSnapshot snapshot, List<RejectedFile> rejectedFiles) {}

    SnapshotDirectory(Storage storage, String relayName, long maxAgeNanos, long maxBytes) {
        this.storage = storage;
        this.relayName = relayName;
        this.maxAgeNanos = maxAgeNanos;
        this.maxBytes = maxBytes;
    }

    /**
     * Reads all state files. Must be called exactly once, before the first write.
     *
     * @param now Unix time in nanoseconds
     * @throws IOException if the directory cannot be listed; a file that cannot be read is rejected instead
     */
    ReadResult readNewest(long now) throws IOException {
        List<String> files = new ArrayList<>(storage.listFileNames().stream()
                .filter(name -> STATE_FILE_NAME.matcher(name).matches())
                .toList());
        files.sort(Comparator.reverseOrder());
        StateSnapshot newest = null;
        List<RejectedFile> rejectedFiles = new ArrayList<>();
        for (String file : files) {
            generation = Math.max(generation, Long.parseLong(file.substring(NAME_PREFIX_LENGTH)));
            try {
                StateSnapshot snapshot = readSnapshot(file, now);
                if (newest == null) {
                    newest = snapshot;
                }
                ownFiles.add(0, file);
            } catch (RejectedException e) {
                if (newest == null) {
                    rejectedFiles.add(new RejectedFile(file, e));
                }
                // Files that another relay or a newer version may still need are not deleted.
                if (e.reason == RejectionReason.TORN
                        || e.reason == RejectionReason.CHECKSUM
                        || e.reason == RejectionReason.MALFORMED
                        || e.reason == RejectionReason.TOO_OLD) {
                    ownFiles.add(0, file);
                }
            }
        }
        return new ReadResult(newest, rejectedFiles);
    }

    /** Reads a file and checks its size, its content, the relay to which it belongs and its age. */
    private StateSnapshot readSnapshot(String file, long now) throws RejectedException {
        byte[] bytes;
        try {
            // Without this check, a large file with the name of a state file could exhaust the heap, because files
            // are read into memory as a whole.
            if (storage.size(file) > maxBytes) {
                throw new RejectedException(RejectionReason.TOO_LARGE, storage.size(file) + " bytes");
            }
            bytes = storage.read(file);
        } catch (IOException e) {
            throw new RejectedException(RejectionReason.UNREADABLE, String.valueOf(e.getMessage()));
        }
        StateSnapshot snapshot = StateFileCodec.decode(bytes);
        if (!snapshot.relayName().equals(relayName)) {
            throw new RejectedException(RejectionReason.OTHER_RELAY, snapshot.relayName());
        }
        if (now - snapshot.takenAt() > maxAgeNanos) {
            throw new RejectedException(RejectionReason.TOO_OLD, (now - snapshot.takenAt()) / NANOS_PER_SECOND + " s");
        }
        return snapshot;
    }

    /**
     * Writes the bytes as the next generation and deletes the generations that are no longer retained. If it throws,
     * the previous generation is still complete.
     */
    void writeGeneration(byte[] file) throws IOException {
        long nextGeneration = generation + 1;
        String name = String.format(java.util.Locale.ROOT, "state-%018d", nextGeneration);
        String temporaryName = name + ".new";
        // The number counts as used before the write. Without this, a retry could overwrite a state file, because a
        // failed attempt may already have renamed its file.
        generation = nextGeneration;
        try {
            storage.write(temporaryName, file);
            storage.rename(temporaryName, name);
            ownFiles.add(name);
            storage.syncDirectory();
        } catch (IOException e) {
            deleteTemporaryFile(temporaryName);
            throw e;
        }
        while (ownFiles.size() > RETAINED_GENERATIONS) {
            storage.delete(ownFiles.get(0));
            ownFiles.remove(0);
        }
    }

    /**
     * Deletes the file of a failed write. Without this, a full disk would stay full, because the partially written file
     * takes up the free space.
     */
    private void deleteTemporaryFile(String temporaryName) {
        try {
            storage.delete(temporaryName);
        } catch (IOException e) {
            // The caller reports the failure that led here; deleteTemporaryFiles() removes the file at the next start.
        }
    }

    /** Deletes the partially written files of earlier processes. */
    void deleteTemporaryFiles() throws IOException {
        for (String name : storage.listFileNames()) {
            if (TEMPORARY_FILE_NAME.matcher(name).matches()) {
                storage.delete(name);
            }
        }
    }
}
