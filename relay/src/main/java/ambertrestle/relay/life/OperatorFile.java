package ambertrestle.relay.life;

import ambertrestle.relay.durable.DurableSheet;
import ambertrestle.relay.sheet.Sheet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * What operators switch on beside the platform's configuration, in a TOML file of their own; the one place where it is
 * read, checked and given defaults. Nothing in it is needed to serve. `durable` is null where nothing is kept.
 */
public record OperatorFile(Log.Form logForm, DurableSheet durable) {
    private static final long LEAST_INTERVAL = 100_000_000L, MOST_INTERVAL = 3_600_000_000_000L;
    public static final OperatorFile NONE = new OperatorFile(Log.Form.TEXT, null);

    /** All faults at once, each with file, line and key. */
    public static final class Faulty extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient List<Sheet.Fault> faults;

        Faulty(List<Sheet.Fault> faults) {
            super(faults.get(0).toString());
            this.faults = faults;
        }

        public List<Sheet.Fault> faults() {
            return faults;
        }
    }

    public static OperatorFile read(Path path) throws IOException, Faulty {
        return read(Sheet.read(path));
    }

    static OperatorFile read(Sheet sheet) throws Faulty {
        Sheet.Part top = sheet.top();
        Sheet.Part log = top.part("log");
        String form = log.word("format", "text", List.of("text", "json"));
        log.end();
        DurableSheet durable = top.has("durable") ? durable(top.part("durable")) : null;
        top.end();
        if (!sheet.faults().isEmpty()) {
            throw new Faulty(sheet.faults());
        }
        return new OperatorFile(Log.Form.valueOf(form.toUpperCase(Locale.ROOT)), durable);
    }

    private static DurableSheet durable(Sheet.Part part) {
        String folder = part.text("folder", null);
        if (folder != null && !Files.isDirectory(Path.of(folder))) {
            part.fault("folder", "is not there: expected a folder that outlives the relay, got " + folder);
        }
        long interval = part.time("interval", "2s");
        if (interval < LEAST_INTERVAL || interval > MOST_INTERVAL) {
            part.fault("interval", "is malformed: expected a time from 100ms to 1h");
        }
        long mostAge = part.time("most-age", "24h");
        if (mostAge <= interval) {
            part.fault("most-age", "is malformed: expected more than interval");
        }
        long sure = part.time("sure", "2s");
        long megabytes = part.whole("most-megabytes", 16L, 1, 1024);
        part.end();
        return new DurableSheet(folder == null ? null : Path.of(folder), interval, mostAge, megabytes << 20, sure);
    }
}
