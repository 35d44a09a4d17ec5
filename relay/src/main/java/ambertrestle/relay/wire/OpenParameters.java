package ambertrestle.relay.wire;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The parameters of an OPEN line: `key=value`, separated by commas, in which no key is empty or occurs twice. Only the
 * values that the relay reads are kept, since a line of a few kilobytes may hold hundreds of others.
 */
final class OpenParameters {
    /** The keys that the relay reads; the others are only forwarded. */
    private static final Set<String> KNOWN_KEYS = Set.of("c", "t", "d", "g", "h", "at", "mid", "again");

    /** The value of a known key, and the index in the field at which it begins. */
    private record Value(String text, int start) {}

    private final Map<String, Value> values = new HashMap<>();

    private OpenParameters() {}

    /** Parses the field; returns null if a parameter has no key or a key occurs twice. */
    static OpenParameters parse(String field) {
        OpenParameters parameters = new OpenParameters();
        Set<String> seenKeys = new HashSet<>();
        for (int start = 0; start <= field.length(); ) {
            int comma = field.indexOf(',', start);
            int end = comma < 0 ? field.length() : comma;
            int equalsAt = field.indexOf('=', start);
            if (equalsAt <= start || equalsAt >= end) {
                return null;
            }
            String key = field.substring(start, equalsAt);
            if (!seenKeys.add(key)) {
                return null;
            }
            if (KNOWN_KEYS.contains(key)) {
                parameters.values.put(key, new Value(field.substring(equalsAt + 1, end), equalsAt + 1));
            }
            start = end + 1;
        }
        return parameters;
    }

    boolean has(String key) {
        return values.containsKey(key);
    }

    /** Returns the value of a known key, or the default if the field doesn't have it. */
    String valueOf(String key, String defaultValue) {
        Value value = values.get(key);
        return value == null ? defaultValue : value.text();
    }

    /** Returns the index in the field at which the key's value begins; the field must have the key. */
    int valueStart(String key) {
        return values.get(key).start();
    }
}
