package ambertrestle.relay.wire;

/**
 * The ways in which a client can break the protocol. The relay closes the connection; unless it was already open, the
 * client is answered ERR first. The texts follow "rejected clients: N for" in the log.
 */
public enum ProtocolViolation {
    /** A line that is too long. */
    FRAMING_ERROR("a line that is too long"),
    /** The first line, other than a PING, is not OPEN; or a second PING. */
    OPEN_EXPECTED("a line other than OPEN before the connection was opened"),
    /** The OPEN line does not consist of the keyword, an id, a client key and one field of parameters. */
    WRONG_FIELD_COUNT("an OPEN line with the wrong number of fields"),
    /** The association's id or the client key is malformed. */
    INVALID_ID("an OPEN line whose id or client key is not 1 to 16 hexadecimal digits"),
    /** A parameter of the OPEN line has no key, occurs twice or has a malformed value, or the line is not UTF-8. */
    INVALID_PARAMETER("an OPEN line with an unnamed, repeated or malformed parameter"),
    /** The use case, or the tenant if tenants are configured, is missing or not configured. */
    UNKNOWN_USE_CASE_OR_TENANT("an OPEN line with an unknown use case or tenant"),
    /** Another connection uses the id. The reducer detects this, because only the reducer knows the ids in use. */
    DUPLICATE_ID("an id that another connection uses"),
    /** The client sent a command, or too many lines, before its OPEN was answered. */
    COMMAND_BEFORE_ANSWER("a command or too many lines before OPEN was answered");

    /** The reason as it appears in the log. */
    private final String description;

    ProtocolViolation(String description) {
        this.description = description;
    }

    @Override
    public String toString() {
        return description;
    }
}
