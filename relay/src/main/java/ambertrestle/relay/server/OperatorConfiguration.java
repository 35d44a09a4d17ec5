package ambertrestle.relay.server;

import ambertrestle.relay.persistence.PersistenceConfiguration;
import ambertrestle.relay.toml.TomlDocument;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * The operator file: optional features that are set separately from the platform's configuration, in TOML. This class
 * is the only place where the file is read and checked and where its defaults are defined. A relay runs without it,
 * too.
 *
 * @param logFormat format of the log, unless the command line sets another one
 * @param persistence where and how to persist the relay's state; null if it isn't persisted
 */
public record OperatorConfiguration(Log.Format logFormat, PersistenceConfiguration persistence) {
    /** Lower bound of durable.interval: 100 ms. */
    private static final long MIN_INTERVAL_NANOS = 100_000_000L;
    /** Upper bound of durable.interval: 1 h. */
    private static final long MAX_INTERVAL_NANOS = 3_600_000_000_000L;
    /** Value of durable.most-megabytes if the file has none. */
    private static final long DEFAULT_SIZE_LIMIT_MEGABYTES = 16;
    /** Bounds of durable.most-megabytes. */
    private static final long LOWEST_SIZE_LIMIT_MEGABYTES = 1;

    private static final long HIGHEST_SIZE_LIMIT_MEGABYTES = 1024;
    /** Shifting a number of megabytes (2^20 bytes) left by this yields bytes. */
    private static final int MEGABYTE_SHIFT = 20;

    /** The configuration of a relay that has no operator file. */
    public static final OperatorConfiguration DEFAULT = new OperatorConfiguration(Log.Format.TEXT, null);

    /** The operator file has faults; the message is the first of them. */
    public static final class InvalidOperatorFileException extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient List<TomlDocument.Fault> faults;

        InvalidOperatorFileException(List<TomlDocument.Fault> faults) {
            super(faults.get(0).toString());
            this.faults = faults;
        }

        /** All faults of the file, in the order of their lines. */
        public List<TomlDocument.Fault> faults() {
            return faults;
        }
    }

    /**
     * Reads and checks an operator file.
     *
     * @throws IOException if the file cannot be read; the message can be shown to the operator
     * @throws InvalidOperatorFileException if a key is missing, malformed or unknown
     */
    public static OperatorConfiguration read(Path path) throws IOException, InvalidOperatorFileException {
        return read(TomlDocument.read(path));
    }

    /** Checks a parsed operator file, as {@link #read(Path)} does. */
    static OperatorConfiguration read(TomlDocument document) throws InvalidOperatorFileException {
        TomlDocument.Table rootTable = document.rootTable();
        TomlDocument.Table logTable = rootTable.readTable("log");
        String format = logTable.readChoice("format", "text", List.of("text", "json"));
        logTable.reportUnknownKeys();
        PersistenceConfiguration persistence =
                rootTable.has("durable") ? readPersistenceConfiguration(rootTable.readTable("durable")) : null;
        rootTable.reportUnknownKeys();
        if (!document.faults().isEmpty()) {
            throw new InvalidOperatorFileException(document.faults());
        }
        return new OperatorConfiguration(Log.Format.valueOf(format.toUpperCase(Locale.ROOT)), persistence);
    }

    private static PersistenceConfiguration readPersistenceConfiguration(TomlDocument.Table table) {
        String folder = table.readString("folder", null);
        if (folder != null && !Files.isDirectory(Path.of(folder))) {
            table.addFault(
                    "folder",
                    "is not a directory: expected an existing one that outlasts the relay process, got " + folder);
        }
        long intervalNanos = table.readDurationNanos("interval", "2s");
        if (intervalNanos < MIN_INTERVAL_NANOS || intervalNanos > MAX_INTERVAL_NANOS) {
            table.addFault("interval", "is malformed: expected a time from 100ms to 1h");
        }
        long maxAgeNanos = table.readDurationNanos("most-age", "24h");
        if (maxAgeNanos <= intervalNanos) {
            table.addFault("most-age", "is malformed: expected a time longer than interval");
        }
        long maxFreshRosterAgeNanos = table.readDurationNanos("sure", "2s");
        long maxMegabytes = table.readLong(
                "most-megabytes",
                DEFAULT_SIZE_LIMIT_MEGABYTES,
                LOWEST_SIZE_LIMIT_MEGABYTES,
                HIGHEST_SIZE_LIMIT_MEGABYTES);
        table.reportUnknownKeys();
        return new PersistenceConfiguration(
                folder == null ? null : Path.of(folder),
                intervalNanos,
                maxAgeNanos,
                maxMegabytes << MEGABYTE_SHIFT,
                maxFreshRosterAgeNanos);
    }
}
