package ambertrestle.decide;

/** How a dispatch or a probe ended. The simulator's wire protocol uses the ordinal, so the order is fixed. */
public enum DispatchOutcome {
    /** The backend answered with an error. */
    ERROR(false),
    /** The connection was closed normally. */
    DONE(false),
    /** The backend refused the dispatch because it has no capacity left. */
    FULL(true),
    /** The connection was not established within the time given by the decision. */
    TIMED_OUT(false),
    /** The backend could not be reached. */
    NOT_CONNECTED(true),
    /** The connection was reset, before or after it was established. */
    RESET(false),
    /** The dispatch was withdrawn, for example because the client was asked to move. */
    CANCELLED(false),
    /** The dispatch never left the relay. */
    NOT_SENT(true);

    /** True if the dispatch certainly had no effect on the backend, so that repeating it is always safe. */
    public final boolean neverRan;

    DispatchOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
