package ambertrestle.relay.toml;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads one TOML file and keeps every fault found in it, each with file, key and line. What is asked for counts as
 * known; {@link Table#reportUnknownKeys} faults the rest, with the nearest known name. Values that are faulty give
 * their default, so that one reading finds all faults; a caller must look at {@link #faults} before it uses what was
 * read. Times in nanoseconds.
 */
public final class TomlDocument {
    private static final long INVALID_DURATION = Long.MIN_VALUE;

    private final String file;
    private final List<Fault> faults = new ArrayList<>();
    private final TomlTable top;

    /** One thing that is wrong, told as `file:line: key says what was expected`. */
    public record Fault(String file, int line, String key, String message) {
        @Override
        public String toString() {
            return file + ":" + line + ": " + (key.isEmpty() ? "" : key + " ") + message;
        }
    }

    /** One table of the file. */
    public final class Table {
        private final TomlTable table;
        private final String path;
        private final Set<String> requestedKeys = new TreeSet<>();

        private Table(TomlTable table, String path) {
            this.table = table;
            this.path = path;
        }

        public boolean has(String key) {
            requestedKeys.add(key);
            return table.get(List.of(key)) != null;
        }

        public String readString(String key, String otherwise) {
            Object value = value(key, otherwise);
            return value instanceof String text ? text : reportMalformed(key, value, otherwise, "a text in quotes");
        }

        /** One of the words. */
        public String readChoice(String key, String otherwise, Collection<String> words) {
            String said = readString(key, otherwise);
            if (said != null && !words.contains(said)) {
                addFault(
                        key,
                        "is not known: expected one of " + String.join(", ", words) + nearest(said, words) + ", got "
                                + said);
                return otherwise;
            }
            return said;
        }

        public boolean readBoolean(String key, boolean otherwise) {
            Object value = value(key, otherwise);
            return value instanceof Boolean flag ? flag : reportMalformed(key, value, otherwise, "true or false");
        }

        public long readLong(String key, Long otherwise, long least, long most) {
            Object value = value(key, otherwise);
            if (value == null) {
                return 0;
            }
            if (value instanceof Long number && number >= least && number <= most) {
                return number;
            }
            return reportMalformed(
                    key, value, otherwise == null ? least : otherwise, "a whole number from " + least + " to " + most);
        }

        public double readDouble(String key, Double otherwise, double least, double most) {
            Object value = value(key, otherwise);
            if (value == null) {
                return 0;
            }
            if (value instanceof Number number && number.doubleValue() >= least && number.doubleValue() <= most) {
                return number.doubleValue();
            }
            return reportMalformed(
                    key,
                    value,
                    otherwise == null ? least : otherwise,
                    "a number from " + plain(least) + " to " + plain(most));
        }

        /** A time as a text such as "250ms", "3s" or "2m"; in nanoseconds. */
        public long readDurationNanos(String key, String otherwise) {
            Object value = value(key, otherwise);
            if (value == null) {
                return 0;
            }
            long nanos = value instanceof String text ? nanos(text) : INVALID_DURATION;
            if (nanos == INVALID_DURATION) {
                reportMalformed(key, value, otherwise, "a time such as \"250ms\", \"3s\" or \"2m\"");
                return otherwise == null ? 0 : nanos(otherwise);
            }
            return nanos;
        }

        public List<String> readTexts(String key, List<String> otherwise) {
            Object value = value(key, otherwise);
            if (value instanceof TomlArray list && list.toList().stream().allMatch(String.class::isInstance)) {
                return list.toList().stream().map(String.class::cast).toList();
            }
            return value == otherwise ? otherwise : reportMalformed(key, value, otherwise, "a list of texts in quotes");
        }

        /** The table under that name; an empty one where it is not there. */
        public Table readTable(String key) {
            requestedKeys.add(key);
            Object value = table.get(List.of(key));
            if (value != null && !(value instanceof TomlTable)) {
                addFault(key, "is malformed: expected a table, got " + value);
            }
            return new Table(value instanceof TomlTable inner ? inner : Toml.parse(""), path(key));
        }

        /** The tables of the list under that name, written [[name]]. */
        public List<Table> readTables(String key) {
            requestedKeys.add(key);
            Object value = table.get(List.of(key));
            List<Table> parts = new ArrayList<>();
            if (value instanceof TomlArray list && list.toList().stream().allMatch(TomlTable.class::isInstance)) {
                for (int i = 0; i < list.size(); i++) {
                    parts.add(new Table(list.getTable(i), path(key) + "[" + (i + 1) + "]"));
                }
            } else if (value != null) {
                addFault(key, "is malformed: expected tables written [[" + path(key) + "]]");
            }
            return parts;
        }

        /** Faults every key that nobody asked for. */
        public void reportUnknownKeys() {
            for (String key : new TreeSet<>(table.keySet())) {
                if (!requestedKeys.contains(key)) {
                    addFault(key, "is not known" + nearest(key, requestedKeys));
                }
            }
        }

        public void addFault(String key, String what) {
            TomlPosition at = key.isEmpty() ? null : table.inputPositionOf(List.of(key));
            faults.add(new Fault(file, at == null ? line() : at.line(), key.isEmpty() ? path : path(key), what));
        }

        private int line() {
            return table.keySet().stream()
                    .sorted()
                    .map(k -> table.inputPositionOf(List.of(k)))
                    .filter(p -> p != null)
                    .mapToInt(TomlPosition::line)
                    .min()
                    .orElse(1);
        }

        private String path(String key) {
            return path.isEmpty() ? key : path + "." + key;
        }

        private Object value(String key, Object otherwise) {
            requestedKeys.add(key);
            Object value = table.get(List.of(key));
            if (value == null && otherwise == null) {
                addFault(key, "is missing");
            }
            return value == null ? otherwise : value;
        }

        private <T> T reportMalformed(String key, Object value, T otherwise, String expected) {
            if (value != null) {
                addFault(
                        key,
                        "is malformed: expected " + expected + ", got "
                                + (value instanceof TomlTable
                                        ? "a table"
                                        : value instanceof TomlArray ? "a list" : value));
            }
            return otherwise;
        }
    }

    private TomlDocument(String file, TomlTable top) {
        this.file = file;
        this.top = top;
    }

    /** Throws IOException, with a message fit to be shown, where the file cannot be read at all. */
    public static TomlDocument read(Path path) throws IOException {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (MalformedInputException e) {
            throw new IOException(path + " is not text in UTF-8", e);
        } catch (IOException e) {
            throw new IOException(path + " cannot be read", e);
        }
    }

    public static TomlDocument parse(String file, String text) {
        TomlParseResult result = Toml.parse(text);
        TomlDocument sheet = new TomlDocument(file, result);
        result.errors()
                .forEach(e -> sheet.faults.add(new Fault(
                        file,
                        e.position().line(),
                        "",
                        "is no TOML: "
                                + String.valueOf(e.getMessage())
                                        .lines()
                                        .findFirst()
                                        .orElse(""))));
        return sheet;
    }

    public Table rootTable() {
        return new Table(top, "");
    }

    /** In the order of their lines. */
    public List<Fault> faults() {
        List<Fault> sorted = new ArrayList<>(faults);
        sorted.sort((x, y) -> Integer.compare(x.line(), y.line()));
        return Collections.unmodifiableList(sorted);
    }

    /** Nanoseconds, or NO_LEAST for what is no time. */
    private static long nanos(String text) {
        java.util.regex.Matcher m = java.util.regex.Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(us|ms|s|m|h)")
                .matcher(text);
        if (!m.matches()) {
            return INVALID_DURATION;
        }
        double unit =
                switch (m.group(2)) {
                    case "us" -> 1e3;
                    case "ms" -> 1e6;
                    case "s" -> 1e9;
                    case "m" -> 60e9;
                    default -> 3600e9;
                };
        return Math.round(Double.parseDouble(m.group(1)) * unit);
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    private static String nearest(String said, Collection<String> known) {
        String best = null;
        int least = Math.max(2, said.length() / 2) + 1;
        for (String word : known) {
            int d = distance(said, word);
            if (d < least) {
                least = d;
                best = word;
            }
        }
        return best == null ? "" : "; the nearest known is " + best;
    }

    /** Levenshtein's. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int change = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(change, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }
}
