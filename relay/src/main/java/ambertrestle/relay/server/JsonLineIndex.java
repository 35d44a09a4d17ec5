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

/** In which line of a JSON file each key stands, so that a fault can be told by its place. */
final class JsonLineIndex {
    private final Map<String, Integer> lineByPath = new HashMap<>();
    private int syntaxErrorLine;

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

    /** Where the text stops being JSON; 0 where it does not. */
    int syntaxErrorLine() {
        return syntaxErrorLine;
    }

    private static String pathOf(JsonStreamContext context) {
        String segment = context.inArray()
                ? Integer.toString(Math.max(0, context.getCurrentIndex()))
                : String.valueOf(context.getCurrentName());
        JsonStreamContext parent = context.getParent();
        return context.inRoot() ? "" : parent == null || parent.inRoot() ? segment : pathOf(parent) + "." + segment;
    }

    /** The line of a key as a fault names it, else that of the nearest table that holds it, else the first. */
    int lineOf(String key) {
        String path = key.replace("settings: ", "settings.").toLowerCase(Locale.ROOT);
        while (true) {
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
