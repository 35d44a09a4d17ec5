package ambertrestle.relay.wire;

/** What no client may send, each named once; whoever does is answered ERR and closed. */
public enum Misuse {
    NO_LINE("what is no line"),
    NO_OPENING("a line that opens nothing"),
    WORDS("an opening with a word too few or too many"),
    NO_ID("an opening with an id or key that is not 64 bits of hex"),
    VALUES("an opening with a nameless, repeated or unreadable value"),
    UNKNOWN("an opening with a use case or tenant that is not known"),
    /** Found where open ids are kept. */
    ID_TAKEN("the id of another client's open connection"),
    IN_A_HURRY("commands before it was answered");

    private final String told;

    Misuse(String told) {
        this.told = told;
    }

    @Override
    public String toString() {
        return told;
    }
}
