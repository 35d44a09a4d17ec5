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
    private final TomlTable root;

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

        public String readText(String key, String defaultValue) {
            Object value = readValue(key, defaultValue);
            return value instanceof String text ? text : reportMalformed(key, value, defaultValue, "a text in quotes");
        }

        /** One of the words. */
        public String readChoice(String key, String defaultValue, Collection<String> choices) {
            String word = readText(key, defaultValue);
            if (word != null && !choices.contains(word)) {
                addFault(
                        key,
                        "is not known: expected one of " + String.join(", ", choices) + suggestNearest(word, choices)
                                + ", got " + word);
                return defaultValue;
            }
            return word;
        }

        public boolean readBoolean(String key, boolean defaultValue) {
            Object value = readValue(key, defaultValue);
            return value instanceof Boolean flag ? flag : reportMalformed(key, value, defaultValue, "true or false");
        }

        public long readLong(String key, Long defaultValue, long min, long max) {
            Object value = readValue(key, defaultValue);
            if (value == null) {
                return 0;
            }
            if (value instanceof Long number && number >= min && number <= max) {
                return number;
            }
            return reportMalformed(
                    key, value, defaultValue == null ? min : defaultValue, "a whole number from " + min + " to " + max);
        }

        public double readDouble(String key, Double defaultValue, double min, double max) {
            Object value = readValue(key, defaultValue);
            if (value == null) {
                return 0;
            }
            if (value instanceof Number number && number.doubleValue() >= min && number.doubleValue() <= max) {
                return number.doubleValue();
            }
            return reportMalformed(
                    key,
                    value,
                    defaultValue == null ? min : defaultValue,
                    "a number from " + formatNumber(min) + " to " + formatNumber(max));
        }

        /** A time as a text such as "250ms", "3s" or "2m"; in nanoseconds. */
        public long readDurationNanos(String key, String defaultValue) {
            Object value = readValue(key, defaultValue);
            if (value == null) {
                return 0;
            }
            long nanos = value instanceof String text ? parseDurationNanos(text) : INVALID_DURATION;
            if (nanos == INVALID_DURATION) {
                reportMalformed(key, value, defaultValue, "a time such as \"250ms\", \"3s\" or \"2m\"");
                return defaultValue == null ? 0 : parseDurationNanos(defaultValue);
            }
            return nanos;
        }

        public List<String> readStrings(String key, List<String> defaultValue) {
            Object value = readValue(key, defaultValue);
            if (value instanceof TomlArray list && list.toList().stream().allMatch(String.class::isInstance)) {
                return list.toList().stream().map(String.class::cast).toList();
            }
            return value == defaultValue
                    ? defaultValue
                    : reportMalformed(key, value, defaultValue, "a list of texts in quotes");
        }

        /** The table under that name; an empty one where it is not there. */
        public Table readTable(String key) {
            requestedKeys.add(key);
            Object value = table.get(List.of(key));
            if (value != null && !(value instanceof TomlTable)) {
                addFault(key, "is malformed: expected a table, got " + value);
            }
            return new Table(value instanceof TomlTable inner ? inner : Toml.parse(""), pathOf(key));
        }

        /** The tables of the list under that name, written [[name]]. */
        public List<Table> readTables(String key) {
            requestedKeys.add(key);
            Object value = table.get(List.of(key));
            List<Table> tables = new ArrayList<>();
            if (value instanceof TomlArray list && list.toList().stream().allMatch(TomlTable.class::isInstance)) {
                for (int i = 0; i < list.size(); i++) {
                    tables.add(new Table(list.getTable(i), pathOf(key) + "[" + (i + 1) + "]"));
                }
            } else if (value != null) {
                addFault(key, "is malformed: expected tables written [[" + pathOf(key) + "]]");
            }
            return tables;
        }

        /** Faults every key that nobody asked for. */
        public void reportUnknownKeys() {
            for (String key : new TreeSet<>(table.keySet())) {
                if (!requestedKeys.contains(key)) {
                    addFault(key, "is not known" + suggestNearest(key, requestedKeys));
                }
            }
        }

        public void addFault(String key, String message) {
            TomlPosition position = key.isEmpty() ? null : table.inputPositionOf(List.of(key));
            faults.add(new Fault(
                    file,
                    position == null ? firstLine() : position.line(),
                    key.isEmpty() ? path : pathOf(key),
                    message));
        }

        private int firstLine() {
            return table.keySet().stream()
                    .sorted()
                    .map(key -> table.inputPositionOf(List.of(key)))
                    .filter(position -> position != null)
                    .mapToInt(TomlPosition::line)
                    .min()
                    .orElse(1);
        }

        private String pathOf(String key) {
            return path.isEmpty() ? key : path + "." + key;
        }

        private Object readValue(String key, Object defaultValue) {
            requestedKeys.add(key);
            Object value = table.get(List.of(key));
            if (value == null && defaultValue == null) {
                addFault(key, "is missing");
            }
            return value == null ? defaultValue : value;
        }

        private <T> T reportMalformed(String key, Object value, T defaultValue, String expected) {
            if (value != null) {
                addFault(
                        key,
                        "is malformed: expected " + expected + ", got "
                                + (value instanceof TomlTable
                                        ? "a table"
                                        : value instanceof TomlArray ? "a list" : value));
            }
            return defaultValue;
        }
    }

    private TomlDocument(String file, TomlTable root) {
        this.file = file;
        this.root = root;
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
        TomlDocument document = new TomlDocument(file, result);
        result.errors()
                .forEach(error -> document.faults.add(new Fault(
                        file,
                        error.position().line(),
                        "",
                        "is no TOML: "
                                + String.valueOf(error.getMessage())
                                        .lines()
                                        .findFirst()
                                        .orElse(""))));
        return document;
    }

    public Table rootTable() {
        return new Table(root, "");
    }

    /** In the order of their lines. */
    public List<Fault> faults() {
        List<Fault> sorted = new ArrayList<>(faults);
        sorted.sort((first, second) -> Integer.compare(first.line(), second.line()));
        return Collections.unmodifiableList(sorted);
    }

    /** Nanoseconds, or NO_LEAST for what is no time. */
    private static long parseDurationNanos(String text) {
        java.util.regex.Matcher matcher = java.util.regex.Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(us|ms|s|m|h)")
                .matcher(text);
        if (!matcher.matches()) {
            return INVALID_DURATION;
        }
        double unit =
                switch (matcher.group(2)) {
                    case "us" -> 1e3;
                    case "ms" -> 1e6;
                    case "s" -> 1e9;
                    case "m" -> 60e9;
                    default -> 3600e9;
                };
        return Math.round(Double.parseDouble(matcher.group(1)) * unit);
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    private static String suggestNearest(String word, Collection<String> candidates) {
        String nearest = null;
        int smallestDistance = Math.max(2, word.length() / 2) + 1;
        for (String candidate : candidates) {
            int distance = editDistance(word, candidate);
            if (distance < smallestDistance) {
                smallestDistance = distance;
                nearest = candidate;
            }
        }
        return nearest == null ? "" : "; the nearest known is " + nearest;
    }

    /** Levenshtein's. */
    private static int editDistance(String from, String to) {
        int[] row = new int[to.length() + 1];
        for (int j = 0; j <= to.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= from.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= to.length(); j++) {
                int substitution = diagonal + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substitution, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[to.length()];
    }
}
