package ambertrestle.relay.wire;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** A client's line, decoded once. `raw` is the line as it came, with its end. */
public sealed interface ClientMessage {
    byte[] raw();

    /** The first line of a connection; `millis` is -1 where not said. */
    record OpenRequest(
            byte[] raw,
            long id,
            long clientKey,
            int useCase,
            int tenant,
            long timeoutMillis,
            long groupKey,
            double loadEstimate,
            String currentBackend,
            boolean isMidFlow,
            boolean isReconnect,
            Map<String, String> parameters)
            implements ClientMessage {
        /** The line that goes on to a backend: as it came, but for how long this relay waits. */
        public byte[] encodeForBackend(long millis) {
            String line = LineDecoder.decodeText(raw);
            StringBuilder out = new StringBuilder(line.substring(0, line.lastIndexOf(' ')));
            char between = ' ';
            for (Map.Entry<String, String> pair : parameters.entrySet()) {
                out.append(between)
                        .append(pair.getKey())
                        .append('=')
                        .append(pair.getKey().equals("d") ? Long.toString(millis) : pair.getValue());
                between = ',';
            }
            return out.append("\r\n").toString().getBytes(StandardCharsets.UTF_8);
        }
    }

    /** Asks whether this relay serves. */
    record Ping(byte[] raw) implements ClientMessage {}

    /** Any other line: fine once a connection is up, which it passes unread. */
    record Payload(byte[] raw) implements ClientMessage {}

    /** An opening that is not one. */
    record MalformedOpenRequest(byte[] raw, ProtocolViolation violation) implements ClientMessage {}

    Pattern HEX = Pattern.compile("[0-9a-fA-F]{1,16}"),
            MILLIS = Pattern.compile("\\d{1,9}"),
            LOAD_ESTIMATE = Pattern.compile("\\d{1,12}(\\.\\d{1,12})?");

    static ClientMessage decode(byte[] raw, ConfiguredNames names) {
        String line = LineDecoder.decodeText(raw);
        if (line.equals("PING")) {
            return new Ping(raw);
        }
        if (!line.startsWith("OPEN ")) {
            return new Payload(raw);
        }
        String[] words = line.split(" ", -1);
        if (words.length != 4) {
            return new MalformedOpenRequest(raw, ProtocolViolation.WRONG_FIELD_COUNT);
        }
        if (!matches(HEX, words[1]) || !matches(HEX, words[2])) {
            return new MalformedOpenRequest(raw, ProtocolViolation.INVALID_ID);
        }
        Map<String, String> said = new LinkedHashMap<>();
        for (String pair : words[3].split(",", -1)) {
            int sign = pair.indexOf('=');
            if (sign < 1 || said.put(pair.substring(0, sign), pair.substring(sign + 1)) != null) {
                return new MalformedOpenRequest(raw, ProtocolViolation.INVALID_PARAMETER);
            }
        }
        String millis = said.getOrDefault("d", "0");
        String group = said.getOrDefault("g", "0");
        String guess = said.getOrDefault("h", "0");
        if (line.indexOf('\ufffd') >= 0
                || !matches(MILLIS, millis)
                || !matches(HEX, group)
                || !matches(LOAD_ESTIMATE, guess)) {
            return new MalformedOpenRequest(raw, ProtocolViolation.INVALID_PARAMETER);
        }
        int useCase = names.useCases().indexOf(said.get("c"));
        int tenant = names.tenants().isEmpty() ? 0 : names.tenants().indexOf(said.get("t"));
        if (useCase < 0 || tenant < 0) {
            return new MalformedOpenRequest(raw, ProtocolViolation.UNKNOWN_USE_CASE_OR_TENANT);
        }
        return new OpenRequest(
                raw,
                Long.parseUnsignedLong(words[1], 16),
                Long.parseUnsignedLong(words[2], 16),
                useCase,
                tenant,
                said.containsKey("d") ? Long.parseLong(millis) : -1,
                Long.parseUnsignedLong(group, 16),
                Double.parseDouble(guess),
                said.get("at"),
                "1".equals(said.get("mid")),
                "1".equals(said.get("again")),
                said);
    }

    private static boolean matches(Pattern form, String word) {
        return form.matcher(word).matches();
    }
}
