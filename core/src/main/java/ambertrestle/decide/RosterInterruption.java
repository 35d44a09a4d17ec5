package ambertrestle.decide;

/** Why the roster service no longer confirms the roster that a relay has. */
public enum RosterInterruption {
    /** The watch ended: the service closed or reset it, or sent something that is no roster message. */
    WATCH_ENDED,
    /** Nothing arrived on the watch for too long, so it is broken although its connection is open. */
    WATCH_SILENT,
    /** The address of the roster service changed. */
    SERVICE_CHANGED,
    /**
     * The service could not be reached, refused the call, or left it without an answer. A service that accepts a call
     * and then sends no roster message is running; its end of the watch is {@link #WATCH_ENDED}.
     */
    CALL_FAILED
}
