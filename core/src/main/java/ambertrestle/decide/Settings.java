package ambertrestle.decide;

import java.util.Map;

/**
 * Typed access to the settings, a flat map of names to texts. Missing or malformed values fail with an
 * {@link IllegalArgumentException} that names the setting.
 */
final class Settings {
    private Settings() {}

    /** Returns a required number. */
    static double getDouble(Map<String, String> settings, String name) {
        String value = getString(settings, name);
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("settings: " + name + " is not a number: " + value);
        }
    }

    /**
     * Returns a boolean; false if the setting is missing. Fails on any other text than {@code true} or {@code false}.
     */
    static boolean getBoolean(Map<String, String> settings, String name) {
        return settings.containsKey(name)
                && getString(settings, name, "true", "false").equals("true");
    }

    /** Returns a number, or {@code defaultValue} if the setting is missing. */
    static double getDoubleOrDefault(Map<String, String> settings, String name, double defaultValue) {
        return settings.containsKey(name) ? getDouble(settings, name) : defaultValue;
    }

    /** Returns a required text, which must be one of {@code allowedValues} if any are given. */
    static String getString(Map<String, String> settings, String name, String... allowedValues) {
        String value = settings.get(name);
        if (value == null
                || allowedValues.length > 0
                        && !java.util.Arrays.asList(allowedValues).contains(value)) {
            throw new IllegalArgumentException(
                    "settings: " + name + (value == null ? " is missing" : " is not known: " + value));
        }
        return value;
    }

    /** Returns a comma-separated list of numbers; empty if the setting is missing. */
    static double[] getDoubles(Map<String, String> settings, String name) {
        String value = settings.getOrDefault(name, "");
        try {
            return value.isEmpty()
                    ? new double[0]
                    : java.util.Arrays.stream(value.split(","))
                            .mapToDouble(Double::parseDouble)
                            .toArray();
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("settings: " + name + " is not a list of numbers: " + value);
        }
    }
}
