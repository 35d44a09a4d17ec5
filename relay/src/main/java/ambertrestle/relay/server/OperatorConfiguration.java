package ambertrestle.relay.server;

import ambertrestle.relay.persistence.PersistenceConfiguration;
import ambertrestle.relay.toml.TomlDocument;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * What operators switch on beside the platform's configuration, in a TOML file of their own; the one place where it is
 * read, checked and given defaults. Nothing in it is needed to serve. `durable` is null where nothing is kept.
 */
public record OperatorConfiguration(Log.Format logFormat, PersistenceConfiguration persistence) {
    private static final long MIN_INTERVAL_NANOS = 100_000_000L, MAX_INTERVAL_NANOS = 3_600_000_000_000L;
    public static final OperatorConfiguration DEFAULT = new OperatorConfiguration(Log.Format.TEXT, null);

    /** All faults at once, each with file, line and key. */
    public static final class InvalidOperatorFileException extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient List<TomlDocument.Fault> faults;

        InvalidOperatorFileException(List<TomlDocument.Fault> faults) {
            super(faults.get(0).toString());
            this.faults = faults;
        }

        public List<TomlDocument.Fault> faults() {
            return faults;
        }
    }

    public static OperatorConfiguration read(Path path) throws IOException, InvalidOperatorFileException {
        return read(TomlDocument.read(path));
    }

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
        String folder = table.readText("folder", null);
        if (folder != null && !Files.isDirectory(Path.of(folder))) {
            table.addFault("folder", "is not there: expected a folder that outlives the relay, got " + folder);
        }
        long intervalNanos = table.readDurationNanos("interval", "2s");
        if (intervalNanos < MIN_INTERVAL_NANOS || intervalNanos > MAX_INTERVAL_NANOS) {
            table.addFault("interval", "is malformed: expected a time from 100ms to 1h");
        }
        long maxAgeNanos = table.readDurationNanos("most-age", "24h");
        if (maxAgeNanos <= intervalNanos) {
            table.addFault("most-age", "is malformed: expected more than interval");
        }
        long maxFreshRosterAgeNanos = table.readDurationNanos("sure", "2s");
        long megabytes = table.readLong("most-megabytes", 16L, 1, 1024);
        table.reportUnknownKeys();
        return new PersistenceConfiguration(
                folder == null ? null : Path.of(folder),
                intervalNanos,
                maxAgeNanos,
                megabytes << 20,
                maxFreshRosterAgeNanos);
    }
}
