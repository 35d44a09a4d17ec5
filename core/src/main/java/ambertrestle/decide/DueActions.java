package ambertrestle.decide;

import java.util.ArrayList;
import java.util.List;

/** When the module wants to be asked again, and what is due now. */
public final class DueActions {
    public enum RosterCall {
        NONE,
        WATCH,
        FETCH
    }

    public long wakeAt = Long.MAX_VALUE;
    public RosterCall rosterCall = RosterCall.NONE;
    public final List<Long> backendsToProbe = new ArrayList<>();
    public final List<Association> connectionsToMove = new ArrayList<>();
    public final List<String> logMessages = new ArrayList<>();
    /** A message to all peers, or null. */
    public byte[] peerMessage;
}
