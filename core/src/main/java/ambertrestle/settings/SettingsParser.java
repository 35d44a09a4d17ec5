package ambertrestle.settings;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Translates the settings as operators write them into the flat map that the decisions read. Names become the internal
 * ones; a name that ends in {@code Us} loses that suffix and its value is converted from microseconds to nanoseconds.
 * Used by the relay configuration and by the simulator host.
 */
public final class SettingsParser {
    private static final int NANOS_PER_MICRO = 1000;

    /** Length of the prefix "guarantees.". */
    private static final int GUARANTEES_PREFIX_LENGTH = 11;

    /** Internal names by the last part of the operators' names; other parts stay as they are. */
    private static final Map<String, String> INTERNAL_NAMES = Map.of(
            "repeat",
            "effect",
            "dedupScope",
            "scope",
            "siblings",
            "relays",
            "mostDispatches",
            "dispatches",
            "via",
            "how",
            "repeats",
            "effects",
            "streaming",
            "streams");

    /** Internal values of the setting {@code repeat}. */
    private static final Map<String, String> INTERNAL_EFFECTS =
            Map.of("idempotent", "retriable", "deduplicated", "fingerprinted", "at_most_once", "binding");

    private SettingsParser() {}

    /** Parses UTF-8 text with one {@code name=value} per line; lines without a name or an equals sign are ignored. */
    public static Map<String, String> parse(byte[] utf8) {
        Map<String, String> settings = new HashMap<>();
        String text = new String(utf8, StandardCharsets.UTF_8);
        for (int lineStart = 0; lineStart < text.length(); ) {
            int lineEnd = text.indexOf('\n', lineStart);
            lineEnd = lineEnd < 0 ? text.length() : lineEnd;
            int equalsSign = text.indexOf('=', lineStart);
            if (equalsSign > lineStart && equalsSign < lineEnd) {
                putSetting(
                        settings,
                        text.substring(lineStart, equalsSign),
                        text.substring(equalsSign + 1, lineEnd).strip());
            }
            lineStart = lineEnd + 1;
        }
        return settings;
    }

    /** Translates one setting, named by its dotted path as operators write it, and adds it to the map. */
    public static void putSetting(Map<String, String> settings, String name, String value) {
        String internalName =
                name.startsWith("guarantees.") ? "rules." + name.substring(GUARANTEES_PREFIX_LENGTH) : name;
        String internalValue = value;
        if (internalName.endsWith("Us")) {
            internalName = internalName.substring(0, internalName.length() - 2);
            internalValue = microsToNanos(value);
        }
        int lastDot = internalName.lastIndexOf('.');
        String lastSegment = internalName.substring(lastDot + 1);
        internalName = internalName.substring(0, lastDot + 1) + INTERNAL_NAMES.getOrDefault(lastSegment, lastSegment);
        settings.put(
                internalName,
                lastSegment.equals("repeat")
                        ? INTERNAL_EFFECTS.getOrDefault(internalValue, internalValue)
                        : internalValue);
    }

    /**
     * Converts one number, or several separated by commas, from microseconds to nanoseconds. Parts that are not numbers
     * stay as they are, so that the reader of the setting reports them.
     */
    private static String microsToNanos(String value) {
        StringBuilder nanos = new StringBuilder();
        for (int partStart = 0; partStart <= value.length(); ) {
            int partEnd = value.indexOf(',', partStart);
            partEnd = partEnd < 0 ? value.length() : partEnd;
            String part = value.substring(partStart, partEnd);
            try {
                nanos.append(partStart == 0 ? "" : ",").append(Math.round(Double.parseDouble(part) * NANOS_PER_MICRO));
            } catch (NumberFormatException e) {
                nanos.append(part);
            }
            partStart = partEnd + 1;
        }
        return nanos.toString();
    }
}
