package ambertrestle.relay.persistence;

import ambertrestle.relay.wire.RosterMessage;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * Persists a relay's state: restores the newest snapshot at start-up, then writes one generation after another. Every
 * method blocks on the disk. After start-up, only one thread other than the event loop may call it, one call at a time.
 * Times are Unix time in nanoseconds.
 */
public final class StateStore implements AutoCloseable {
    private final Storage storage;
    private final SnapshotDirectory snapshots;
    private final SnapshotBuilder builder;
    private final long maxBytes;
    /** Whether the last attempt to lock or write failed, so that a series of failures is logged once. */
    private boolean isFailing;

    private StateStore(Storage storage, String relayName, long maxAgeNanos, long maxBytes) {
        this.storage = storage;
        snapshots = new SnapshotDirectory(storage, relayName, maxAgeNanos, maxBytes);
        builder = new SnapshotBuilder(relayName);
        this.maxBytes = maxBytes;
    }

    /**
     * Locks the directory and deletes temporary files. Failures other than a held lock are added to the log messages,
     * and the store is returned all the same, so that the relay can serve.
     *
     * @param logMessages receives the messages to log
     * @throws DirectoryInUseException if another relay holds the lock on the directory
     */
    public static StateStore open(
            PersistenceConfiguration configuration, String relayName, List<LogMessage> logMessages)
            throws DirectoryInUseException {
        return open(new FileSystemStorage(configuration.directory()), configuration, relayName, logMessages);
    }

    static StateStore open(
            Storage storage, PersistenceConfiguration configuration, String relayName, List<LogMessage> logMessages)
            throws DirectoryInUseException {
        StateStore store = new StateStore(storage, relayName, configuration.maxAgeNanos(), configuration.maxBytes());
        try {
            storage.lock();
            store.snapshots.deleteTemporaryFiles();
        } catch (DirectoryInUseException e) {
            throw e;
        } catch (IOException e) {
            // If this ended the start-up, a relay whose directory is not writable would neither serve nor restore the
            // state in it.
            store.isFailing = true;
            logMessages.add(new LogMessage(
                    true,
                    "state-not-kept",
                    "the relay's state is not persisted: " + describe(e),
                    Map.of("folder", configuration.directory().toString())));
        }
        return store;
    }

    /**
     * Returns the newest valid snapshot, or null if there is none. Each file that was skipped, and a directory that
     * cannot be read, adds a log message.
     */
    public StateSnapshot restore(long now, List<LogMessage> logMessages) {
        try {
            SnapshotDirectory.ReadResult result = snapshots.readNewest(now);
            for (SnapshotDirectory.RejectedFile rejected : result.rejectedFiles()) {
                logMessages.add(new LogMessage(
                        true,
                        "state-refused",
                        rejected.file() + " " + rejected.cause().getMessage(),
                        Map.of(
                                "file",
                                rejected.file(),
                                "reason",
                                rejected.cause().reason.toLogValue())));
            }
            return result.snapshot();
        } catch (IOException e) {
            logMessages.add(new LogMessage(
                    true,
                    "state-refused",
                    "durable.folder cannot be read: " + describe(e),
                    Map.of("reason", "unreadable")));
            return null;
        }
    }

    /**
     * Sets the roster with which the relay starts. Must be called before the first {@link #persist}.
     *
     * @param rosterAddress the roster service with which the relay starts
     * @param confirmedAt when the roster was last confirmed; 0 if unknown
     */
    public void setInitialRoster(String rosterAddress, long confirmedAt, RosterMessage roster) {
        builder.setInitialRoster(rosterAddress, confirmedAt, roster);
    }

    /**
     * Applies the changes and writes the state as a new generation. If the state file would be larger than the limit,
     * it is written without pins. The changes of a failed write are part of the next one.
     *
     * @param rosterAddress the roster service that confirmed the roster, or null if none has answered yet
     * @param rosterConfirmedAt when it last confirmed the roster; ignored if the address is null
     * @return the message to log, or null if there is nothing to log
     */
    public LogMessage persist(StateChanges changes, String rosterAddress, long rosterConfirmedAt, long now) {
        changes.applyTo(builder);
        if (rosterAddress != null) {
            builder.onRosterConfirmed(rosterAddress, rosterConfirmedAt);
        }
        StateSnapshot snapshot = builder.build(now);
        byte[] file = StateFileCodec.encode(snapshot);
        boolean isWithoutPins = file.length > maxBytes;
        if (isWithoutPins) {
            // A relay depends most on the roster, then on backend statistics, and least on pins.
            file = StateFileCodec.encode(snapshot.withoutPins());
        }
        try {
            if (file.length > maxBytes) {
                throw new IOException(
                        "the state file without pins has " + file.length + " bytes, more than durable.most-megabytes");
            }
            // Does nothing if the lock is held. Without it, a relay that could not lock the directory at start-up would
            // write into a directory that another relay may have locked since.
            storage.lock();
            snapshots.writeGeneration(file);
        } catch (IOException e) {
            boolean isFirstFailure = !isFailing;
            isFailing = true;
            return isFirstFailure
                    ? new LogMessage(
                            true, "state-not-kept", "the relay's state is not persisted: " + describe(e), Map.of())
                    : null;
        }
        if (isFailing) {
            isFailing = false;
            return new LogMessage(false, "state-kept-again", "the relay's state is persisted again", Map.of());
        }
        return isWithoutPins
                ? new LogMessage(
                        true,
                        "state-too-large",
                        "pins are not persisted: with them the state file is larger than durable.most-megabytes",
                        Map.of())
                : null;
    }

    private static String describe(IOException e) {
        return e.getClass().getSimpleName() + (e.getMessage() == null ? "" : " " + e.getMessage());
    }

    /** Releases the lock on the directory. */
    @Override
    public void close() throws IOException {
        storage.close();
    }
}
