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
    private static final long LEAST_INTERVAL = 100_000_000L, MOST_INTERVAL = 3_600_000_000_000L;
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

    static OperatorConfiguration read(TomlDocument sheet) throws InvalidOperatorFileException {
        TomlDocument.Table top = sheet.rootTable();
        TomlDocument.Table log = top.readTable("log");
        String form = log.readChoice("format", "text", List.of("text", "json"));
        log.reportUnknownKeys();
        PersistenceConfiguration durable = top.has("durable") ? durable(top.readTable("durable")) : null;
        top.reportUnknownKeys();
        if (!sheet.faults().isEmpty()) {
            throw new InvalidOperatorFileException(sheet.faults());
        }
        return new OperatorConfiguration(Log.Format.valueOf(form.toUpperCase(Locale.ROOT)), durable);
    }

    private static PersistenceConfiguration durable(TomlDocument.Table part) {
        String folder = part.readString("folder", null);
        if (folder != null && !Files.isDirectory(Path.of(folder))) {
            part.addFault("folder", "is not there: expected a folder that outlives the relay, got " + folder);
        }
        long interval = part.readDurationNanos("interval", "2s");
        if (interval < LEAST_INTERVAL || interval > MOST_INTERVAL) {
            part.addFault("interval", "is malformed: expected a time from 100ms to 1h");
        }
        long mostAge = part.readDurationNanos("most-age", "24h");
        if (mostAge <= interval) {
            part.addFault("most-age", "is malformed: expected more than interval");
        }
        long sure = part.readDurationNanos("sure", "2s");
        long megabytes = part.readLong("most-megabytes", 16L, 1, 1024);
        part.reportUnknownKeys();
        return new PersistenceConfiguration(
                folder == null ? null : Path.of(folder), interval, mostAge, megabytes << 20, sure);
    }
}
