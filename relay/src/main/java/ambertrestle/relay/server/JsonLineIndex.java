package ambertrestle.relay.server;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Maps the keys of a JSON text to line numbers, so that configuration faults can be reported with their line. */
final class JsonLineIndex {
    /** Line of each value by its path, in lower case: names joined by dots, array elements by their index from 0. */
    private final Map<String, Integer> lineByPath = new HashMap<>();

    /** See {@link #syntaxErrorLine()}. */
    private int syntaxErrorLine;

    /** Indexes the text up to its end or up to its first syntax error. */
    JsonLineIndex(String text) {
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token != JsonToken.END_OBJECT && token != JsonToken.END_ARRAY) {
                    lineByPath.putIfAbsent(
                            pathOf(parser.getParsingContext()).toLowerCase(Locale.ROOT),
                            parser.currentTokenLocation().getLineNr());
                }
            }
        } catch (JsonProcessingException e) {
            syntaxErrorLine = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The line of the first syntax error, from 1; 0 if the text is valid JSON. */
    int syntaxErrorLine() {
        return syntaxErrorLine;
    }

    /**
     * Returns the path of the value at which the parser is, in the format of {@link #lineByPath}; empty at the root.
     */
    private static String pathOf(JsonStreamContext context) {
        String segment = context.inArray()
                ? Integer.toString(Math.max(0, context.getCurrentIndex()))
                : String.valueOf(context.getCurrentName());
        JsonStreamContext parent = context.getParent();
        return context.inRoot() ? "" : parent == null || parent.inRoot() ? segment : pathOf(parent) + "." + segment;
    }

    /**
     * Returns the line of a key as faults name it, such as `settings: limits.connectTimeout`. If the file doesn't have
     * the key, returns the line of the nearest enclosing object that it has, else 1.
     */
    int lineOf(String key) {
        String path = key.replace("settings: ", "settings.").toLowerCase(Locale.ROOT);
        while (true) {
            // Keys of durations end in "Us" in the file, but not in faults.
            for (String suffix : new String[] {"", "us"}) {
                if (lineByPath.containsKey(path + suffix)) {
                    return lineByPath.get(path + suffix);
                }
            }
            int lastDot = path.lastIndexOf('.');
            if (lastDot < 0) {
                return 1;
            }
            path = path.substring(0, lastDot);
        }
    }
}
