package ambertrestle.relay.connection;

/**
 * Why a relay turns away a client that has not broken the protocol (see
 * {@link ambertrestle.relay.wire.ProtocolViolation} for those that have). The texts follow "rejected clients: N for" in
 * the log.
 */
enum RejectionReason {
    /** The client sent no OPEN line within its time limit. */
    NO_OPEN_LINE("sending no OPEN line within two seconds"),
    /** The client had sent no OPEN line yet, and its socket was needed for another client. */
    NO_OPEN_LINE_WHILE_SOCKETS_SHORT("sending no OPEN line while sockets were short"),
    /** The client sent its OPEN line, but no socket to a backend was free. */
    NO_FREE_SOCKET("lack of free sockets"),
    /** The relay ends, and the client had no answer yet. */
    SHUTDOWN("the relay's shutdown"),
    /** The association waited for the roster service until a dispatch could no longer be answered in time. */
    NO_ROSTER("waiting in vain for the roster service"),
    /** The balancing policy shed the association. */
    SHED("shedding, because no backend may take them in time"),
    /** The balancing policy forfeited the association. */
    FORFEITED("forfeiting, because they may have run");

    /** The reason as it appears in the log. */
    private final String description;

    RejectionReason(String description) {
        this.description = description;
    }

    @Override
    public String toString() {
        return description;
    }
}
