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
    private final Map<String, Integer> lines = new HashMap<>();
    private int syntaxErrorLine;

    JsonLineIndex(String text) {
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token != JsonToken.END_OBJECT && token != JsonToken.END_ARRAY) {
                    lines.putIfAbsent(
                            path(parser.getParsingContext()).toLowerCase(Locale.ROOT),
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

    private static String path(JsonStreamContext at) {
        String here = at.inArray()
                ? Integer.toString(Math.max(0, at.getCurrentIndex()))
                : String.valueOf(at.getCurrentName());
        JsonStreamContext parent = at.getParent();
        return at.inRoot() ? "" : parent == null || parent.inRoot() ? here : path(parent) + "." + here;
    }

    /** The line of a key as a fault names it, else that of the nearest table that holds it, else the first. */
    int lineOf(String key) {
        String path = key.replace("settings: ", "settings.").toLowerCase(Locale.ROOT);
        while (true) {
            for (String end : new String[] {"", "us"}) {
                if (lines.containsKey(path + end)) {
                    return lines.get(path + end);
                }
            }
            int dot = path.lastIndexOf('.');
            if (dot < 0) {
                return 1;
            }
            path = path.substring(0, dot);
        }
    }
}
