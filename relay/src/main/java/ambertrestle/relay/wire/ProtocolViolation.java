package ambertrestle.relay.wire;

/** What no client may send, each named once; whoever does is answered ERR and closed. */
public enum ProtocolViolation {
    FRAMING_ERROR("what is no line"),
    OPEN_EXPECTED("a line that opens nothing"),
    WRONG_FIELD_COUNT("an opening with a word too few or too many"),
    INVALID_ID("an opening with an id or key that is not 64 bits of hex"),
    INVALID_PARAMETER("an opening with a nameless, repeated or unreadable value"),
    UNKNOWN_USE_CASE_OR_TENANT("an opening with a use case or tenant that is not known"),
    /** Found where open ids are kept. */
    DUPLICATE_ID("the id of another client's open connection"),
    COMMAND_BEFORE_ANSWER("commands before it was answered");

    private final String description;

    ProtocolViolation(String told) {
        this.description = told;
    }

    @Override
    public String toString() {
        return description;
    }
}
