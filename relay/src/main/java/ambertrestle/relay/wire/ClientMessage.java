package ambertrestle.relay.wire;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/** A decoded line from a client. */
public sealed interface ClientMessage {
    /** The line as received, including its CRLF. */
    byte[] raw();

    /**
     * A valid OPEN line: `OPEN id clientKey key=value,...`. It is the first line of a connection, except after a PING.
     *
     * @param id id of the association, unsigned
     * @param clientKey key of the client, unsigned; 0 if it has none
     * @param useCase index into {@link ConfiguredNames#useCases}
     * @param useCaseName name of the use case
     * @param tenant index into {@link ConfiguredNames#tenants}; 0 if no tenants are configured
     * @param timeoutMillis how long the client waits for an answer, in milliseconds; -1 if the line has no `d`, in
     *     which case the cut-off of the use case applies
     * @param groupKey key of the client's group, unsigned; 0 if it has none
     * @param loadEstimate expected load of the connection, in microseconds of work per second; 0 if unknown
     * @param currentBackend name of the backend that already holds the connection; null if there is none
     * @param isMidFlow true if the connection was already open when its packets first reached this relay
     * @param isReconnect true if the client returns after its connection broke or was moved
     * @param timeoutStart index in the line's text at which the value of `d` begins; -1 if the line has no `d`
     * @param timeoutEnd index in the line's text after the value of `d`; -1 if the line has no `d`
     */
    record OpenRequest(
            byte[] raw,
            long id,
            long clientKey,
            int useCase,
            String useCaseName,
            int tenant,
            long timeoutMillis,
            long groupKey,
            double loadEstimate,
            String currentBackend,
            boolean isMidFlow,
            boolean isReconnect,
            int timeoutStart,
            int timeoutEnd)
            implements ClientMessage {
        /** Number of fields of an OPEN line, including the keyword. */
        private static final int FIELD_COUNT = 4;

        /**
         * Encodes the OPEN line for a backend. It equals the client's line, except that the value of `d`, if present,
         * is replaced by the time that this relay waits for the backend, in milliseconds.
         */
        public byte[] encodeForBackend(long dispatchTimeoutMillis) {
            if (timeoutStart < 0) {
                return raw;
            }
            String line = LineDecoder.decodeText(raw);
            String encoded =
                    line.substring(0, timeoutStart) + dispatchTimeoutMillis + line.substring(timeoutEnd) + "\r\n";
            return encoded.getBytes(StandardCharsets.UTF_8);
        }
    }

    /** A health check: the client asks whether this relay accepts connections. */
    record Ping(byte[] raw) implements ClientMessage {}

    /** Any other line. It is valid only after OPEN; once the connection is up, it is forwarded unchanged. */
    record Payload(byte[] raw) implements ClientMessage {}

    /** An OPEN line that breaks the protocol; `violation` says how. */
    record MalformedOpenRequest(byte[] raw, ProtocolViolation violation) implements ClientMessage {}

    /** An unsigned number of up to 64 bits in hexadecimal. */
    Pattern HEX_PATTERN = Pattern.compile("[0-9a-fA-F]{1,16}");

    /** A duration in milliseconds. */
    Pattern MILLIS_PATTERN = Pattern.compile("\\d{1,9}");

    /** A load in microseconds of work per second, without sign or exponent. */
    Pattern LOAD_ESTIMATE_PATTERN = Pattern.compile("\\d{1,12}(\\.\\d{1,12})?");

    /** Decodes a line that ends in CRLF. Never fails: an invalid OPEN becomes a {@link MalformedOpenRequest}. */
    static ClientMessage decode(byte[] raw, ConfiguredNames names) {
        String line = LineDecoder.decodeText(raw);
        if (line.equals("PING")) {
            return new Ping(raw);
        }
        if (!line.startsWith("OPEN ")) {
            return new Payload(raw);
        }
        String[] fields = line.split(" ", -1);
        if (fields.length != OpenRequest.FIELD_COUNT) {
            return new MalformedOpenRequest(raw, ProtocolViolation.WRONG_FIELD_COUNT);
        }
        if (!matches(HEX_PATTERN, fields[1]) || !matches(HEX_PATTERN, fields[2])) {
            return new MalformedOpenRequest(raw, ProtocolViolation.INVALID_ID);
        }
        OpenParameters parameters = OpenParameters.parse(fields[3]);
        // U+FFFD is what the UTF-8 decoder substitutes for malformed bytes.
        if (parameters == null || line.indexOf('\ufffd') >= 0) {
            return new MalformedOpenRequest(raw, ProtocolViolation.INVALID_PARAMETER);
        }
        String timeoutMillis = parameters.valueOf("d", "0");
        String groupKey = parameters.valueOf("g", "0");
        String loadEstimate = parameters.valueOf("h", "0");
        if (!matches(MILLIS_PATTERN, timeoutMillis)
                || !matches(HEX_PATTERN, groupKey)
                || !matches(LOAD_ESTIMATE_PATTERN, loadEstimate)) {
            return new MalformedOpenRequest(raw, ProtocolViolation.INVALID_PARAMETER);
        }
        int useCase = names.useCases().indexOf(parameters.valueOf("c", null));
        int tenant = names.tenants().isEmpty() ? 0 : names.tenants().indexOf(parameters.valueOf("t", null));
        if (useCase < 0 || tenant < 0) {
            return new MalformedOpenRequest(raw, ProtocolViolation.UNKNOWN_USE_CASE_OR_TENANT);
        }
        boolean hasTimeout = parameters.has("d");
        int timeoutStart = hasTimeout ? line.length() - fields[3].length() + parameters.valueStart("d") : -1;
        return new OpenRequest(
                raw,
                Long.parseUnsignedLong(fields[1], 16),
                Long.parseUnsignedLong(fields[2], 16),
                useCase,
                names.useCases().get(useCase),
                tenant,
                hasTimeout ? Long.parseLong(timeoutMillis) : -1,
                Long.parseUnsignedLong(groupKey, 16),
                Double.parseDouble(loadEstimate),
                parameters.valueOf("at", null),
                "1".equals(parameters.valueOf("mid", null)),
                "1".equals(parameters.valueOf("again", null)),
                timeoutStart,
                hasTimeout ? timeoutStart + timeoutMillis.length() : -1);
    }

    private static boolean matches(Pattern pattern, String value) {
        return pattern.matcher(value).matches();
    }
}
