package ambertrestle.relay.life;

import ambertrestle.relay.sheet.Sheet;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * What operators switch on beside the platform's configuration, in a TOML file of their own; the one place where it is read,
 * checked and given defaults. Nothing in it is needed to serve.
 */
public record OperatorFile(Log.Form logForm) {
    public static final OperatorFile NONE = new OperatorFile(Log.Form.TEXT);

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
        top.end();
        if (!sheet.faults().isEmpty()) {
            throw new Faulty(sheet.faults());
        }
        return new OperatorFile(Log.Form.valueOf(form.toUpperCase(Locale.ROOT)));
    }
}
