package ambertrestle.decide;

import java.util.ArrayList;
import java.util.List;

/** Actions that are due now, and when the policy must be polled again. */
public final class DueActions {
    /** The call to make to service discovery. */
    public enum RosterCall {
        NONE,
        /** Open a watch, which delivers the roster and then its changes. */
        WATCH,
        /** Fetch the roster once. */
        FETCH
    }

    /** Time of the next poll in nanoseconds; {@code Long.MAX_VALUE} if none is needed. */
    public long wakeAt = Long.MAX_VALUE;

    /** Call to make now. */
    public RosterCall rosterCall = RosterCall.NONE;
    /** Ids of backends to send a health probe to. */
    public final List<Long> backendsToProbe = new ArrayList<>();
    /** Associations whose clients are asked to reconnect, so that they can be placed on another backend. */
    public final List<Association> connectionsToMove = new ArrayList<>();

    /** Texts to log, in order. */
    public final List<String> logMessages = new ArrayList<>();
    /** A message to broadcast to all peer relays, or null if there is none. */
    public byte[] peerMessage;
}
