package ambertrestle.decide;

/** How a dispatch or a probe ended. */
public enum DispatchOutcome {
    ERROR(false),
    DONE(false),
    FULL(true),
    TIMED_OUT(false),
    NOT_CONNECTED(true),
    RESET(false),
    CANCELLED(false),
    NOT_SENT(true);

    /** It is known that the dispatch never ran. */
    public final boolean neverRan;

    DispatchOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
