package ambertrestle.relay.wire;

/** The ways in which a client can break the protocol. The relay answers ERR and closes the connection. */
public enum ProtocolViolation {
    /** A line that is too long. */
    FRAMING_ERROR("what is no line"),
    /** The first line, other than a PING, is not OPEN; or a second PING. */
    OPEN_EXPECTED("a line that opens nothing"),
    WRONG_FIELD_COUNT("an opening with a word too few or too many"),
    INVALID_ID("an opening with an id or key that is not 64 bits of hex"),
    INVALID_PARAMETER("an opening with a nameless, repeated or unreadable value"),
    UNKNOWN_USE_CASE_OR_TENANT("an opening with a use case or tenant that is not known"),
    /** The reducer detects it, because only the reducer knows the open ids. */
    DUPLICATE_ID("the id of another client's open connection"),
    /** The client sent a command, or too many lines, before its OPEN was answered. */
    COMMAND_BEFORE_ANSWER("commands before it was answered");

    /** Text for the log. */
    private final String description;

    ProtocolViolation(String description) {
        this.description = description;
    }

    @Override
    public String toString() {
        return description;
    }
}
