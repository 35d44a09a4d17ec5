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
 * Reads one TOML file and records every fault in it with file, line and key. A key that was requested counts as known;
 * {@link Table#reportUnknownKeys} reports the others with the most similar known key. A faulty value is replaced by its
 * default, so that one pass finds all faults. Callers must check {@link #faults} before they use any value.
 */
public final class TomlDocument {
    /** What {@link #parseDurationNanos} returns for a text that is not a duration. */
    private static final long INVALID_DURATION = Long.MIN_VALUE;

    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MINUTE = 60e9;
    private static final double NANOS_PER_HOUR = 3600e9;
    /** Whole numbers below this magnitude are written without a fraction, larger ones in scientific notation. */
    private static final double SCIENTIFIC_NOTATION_LIMIT = 1e15;
    /** Words that differ by so many letters are similar even if they are short. */
    private static final int MIN_SIMILAR_DISTANCE = 2;

    private final String file;
    private final List<Fault> faults = new ArrayList<>();
    private final TomlTable root;

    /**
     * One fault of a file; its text is `file:line: key message`.
     *
     * @param line line number, from 1
     * @param key the key's full path, or empty if the fault concerns no key
     * @param message what is wrong and what was expected; the sentence continues after the key
     */
    public record Fault(String file, int line, String key, String message) {
        @Override
        public String toString() {
            return file + ":" + line + ": " + (key.isEmpty() ? "" : key + " ") + message;
        }
    }

    /**
     * One table of the file. In all methods that read a value, a null default makes the key required: if it is absent,
     * a fault is recorded and the method returns null, or 0 for numbers. A malformed value of a required key yields the
     * same, except that {@link #readLong} and {@link #readDouble} return the lower bound. Bounds are inclusive.
     */
    public final class Table {
        private final TomlTable table;
        /** The table's full name; empty for the root table. */
        private final String path;

        private final Set<String> requestedKeys = new TreeSet<>();

        private Table(TomlTable table, String path) {
            this.table = table;
            this.path = path;
        }

        /** Returns whether the table has this key, which counts as known from then on. */
        public boolean has(String key) {
            requestedKeys.add(key);
            return table.get(List.of(key)) != null;
        }

        /** Reads a string. */
        public String readString(String key, String defaultValue) {
            Object value = readValue(key, defaultValue);
            return value instanceof String text
                    ? text
                    : reportMalformed(key, value, defaultValue, "a string in quotes");
        }

        /** Reads a string that must be one of the choices. */
        public String readChoice(String key, String defaultValue, Collection<String> choices) {
            String word = readString(key, defaultValue);
            if (word != null && !choices.contains(word)) {
                addFault(
                        key,
                        "is not known: expected one of " + String.join(", ", choices) + suggestNearest(word, choices)
                                + ", got " + word);
                return defaultValue;
            }
            return word;
        }

        /** Reads true or false. */
        public boolean readBoolean(String key, boolean defaultValue) {
            Object value = readValue(key, defaultValue);
            return value instanceof Boolean flag ? flag : reportMalformed(key, value, defaultValue, "true or false");
        }

        /** Reads a whole number from `min` to `max`. */
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

        /** Reads a number from `min` to `max`, with or without a fraction. */
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

        /** Reads a duration, a string such as "250ms", "3s" or "2m", and returns nanoseconds. */
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

        /** Reads an array of strings. */
        public List<String> readStrings(String key, List<String> defaultValue) {
            Object value = readValue(key, defaultValue);
            if (value instanceof TomlArray list && list.toList().stream().allMatch(String.class::isInstance)) {
                return list.toList().stream().map(String.class::cast).toList();
            }
            return value == defaultValue
                    ? defaultValue
                    : reportMalformed(key, value, defaultValue, "an array of strings in quotes");
        }

        /** Returns the table with that name; an empty table if it is absent or not a table. */
        public Table readTable(String key) {
            requestedKeys.add(key);
            Object value = table.get(List.of(key));
            if (value != null && !(value instanceof TomlTable)) {
                addFault(key, "is malformed: expected a table, got " + value);
            }
            return new Table(value instanceof TomlTable inner ? inner : Toml.parse(""), pathOf(key));
        }

        /** Returns the tables of the array of tables with that name, written [[name]]; none if it is absent. */
        public List<Table> readTables(String key) {
            requestedKeys.add(key);
            Object value = table.get(List.of(key));
            List<Table> tables = new ArrayList<>();
            if (value instanceof TomlArray list && list.toList().stream().allMatch(TomlTable.class::isInstance)) {
                for (int i = 0; i < list.size(); i++) {
                    tables.add(new Table(list.getTable(i), pathOf(key) + "[" + (i + 1) + "]"));
                }
            } else if (value != null) {
                addFault(key, "is malformed: expected an array of tables, written [[" + pathOf(key) + "]]");
            }
            return tables;
        }

        /** Records a fault for every key of this table that was not requested. */
        public void reportUnknownKeys() {
            for (String key : new TreeSet<>(table.keySet())) {
                if (!requestedKeys.contains(key)) {
                    addFault(key, "is not known" + suggestNearest(key, requestedKeys));
                }
            }
        }

        /** Records a fault of a key; an empty key stands for the table itself. */
        public void addFault(String key, String message) {
            TomlPosition position = key.isEmpty() ? null : table.inputPositionOf(List.of(key));
            faults.add(new Fault(
                    file,
                    position == null ? firstLine() : position.line(),
                    key.isEmpty() ? path : pathOf(key),
                    message));
        }

        /** The smallest line number of the table's keys; 1 if it has none. The header of a table has no position. */
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

        /** Returns the value or the default; records a fault if both are null. */
        private Object readValue(String key, Object defaultValue) {
            requestedKeys.add(key);
            Object value = table.get(List.of(key));
            if (value == null && defaultValue == null) {
                addFault(key, "is missing");
            }
            return value == null ? defaultValue : value;
        }

        /** Returns the default, and records a fault unless the value is null, which was reported as missing. */
        private <T> T reportMalformed(String key, Object value, T defaultValue, String expected) {
            if (value != null) {
                addFault(
                        key,
                        "is malformed: expected " + expected + ", got "
                                + (value instanceof TomlTable
                                        ? "a table"
                                        : value instanceof TomlArray ? "an array" : value));
            }
            return defaultValue;
        }
    }

    private TomlDocument(String file, TomlTable root) {
        this.file = file;
        this.root = root;
    }

    /**
     * Reads a file. Syntax errors become faults.
     *
     * @throws IOException if the file cannot be read or is not UTF-8; the message can be shown to the user
     */
    public static TomlDocument read(Path path) throws IOException {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (MalformedInputException e) {
            throw new IOException(path + " is not a text file in UTF-8", e);
        } catch (IOException e) {
            throw new IOException(path + " cannot be read", e);
        }
    }

    /** Parses a text; `file` is the name for faults. Syntax errors become faults. */
    public static TomlDocument parse(String file, String text) {
        TomlParseResult result = Toml.parse(text);
        TomlDocument document = new TomlDocument(file, result);
        result.errors()
                .forEach(error -> document.faults.add(new Fault(
                        file,
                        error.position().line(),
                        "",
                        "is not valid TOML: "
                                + String.valueOf(error.getMessage())
                                        .lines()
                                        .findFirst()
                                        .orElse(""))));
        return document;
    }

    /** Returns the table of the top-level keys. */
    public Table rootTable() {
        return new Table(root, "");
    }

    /** All faults recorded so far, in the order of their lines. */
    public List<Fault> faults() {
        List<Fault> sorted = new ArrayList<>(faults);
        sorted.sort((first, second) -> Integer.compare(first.line(), second.line()));
        return Collections.unmodifiableList(sorted);
    }

    /** Converts a duration to nanoseconds; returns {@link #INVALID_DURATION} for any other text. */
    private static long parseDurationNanos(String text) {
        java.util.regex.Matcher matcher = java.util.regex.Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(us|ms|s|m|h)")
                .matcher(text);
        if (!matcher.matches()) {
            return INVALID_DURATION;
        }
        double unit =
                switch (matcher.group(2)) {
                    case "us" -> NANOS_PER_MICRO;
                    case "ms" -> NANOS_PER_MILLI;
                    case "s" -> NANOS_PER_SECOND;
                    case "m" -> NANOS_PER_MINUTE;
                    default -> NANOS_PER_HOUR;
                };
        return Math.round(Double.parseDouble(matcher.group(1)) * unit);
    }

    /** Returns the number as text, with a fraction only if it has one. */
    private static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) < SCIENTIFIC_NOTATION_LIMIT
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /** Returns a clause that names the most similar candidate, or an empty text if none is similar. */
    private static String suggestNearest(String word, Collection<String> candidates) {
        String nearest = null;
        // A candidate is similar if at most half of the word's letters differ, or MIN_SIMILAR_DISTANCE of a short word.
        int smallestDistance = Math.max(MIN_SIMILAR_DISTANCE, word.length() / 2) + 1;
        for (String candidate : candidates) {
            int distance = editDistance(word, candidate);
            if (distance < smallestDistance) {
                smallestDistance = distance;
                nearest = candidate;
            }
        }
        return nearest == null ? "" : "; the nearest known is " + nearest;
    }

    /**
     * The Levenshtein distance: how many letters must be inserted, deleted or replaced to turn one word into the other.
     */
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
