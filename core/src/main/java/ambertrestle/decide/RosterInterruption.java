package ambertrestle.decide;

/** Why the roster service no longer confirms the roster that a relay has. */
public enum RosterInterruption {
    /** The watch ended: the service closed or reset it, or sent something that is no roster message. */
    WATCH_ENDED,
    /** Nothing arrived on the watch for too long, so it is broken although its connection is open. */
    WATCH_SILENT,
    /** The address of the roster service changed. */
    SERVICE_CHANGED,
    /** A call failed before the service sent anything on its watch. */
    CALL_FAILED
}
