package ambertrestle.decide;

import java.util.List;
import java.util.Map;

/**
 * What a relay asks of whoever decides, and tells it: three questions, else tell-methods. {@link Balancer} is the
 * module; others stand in its place only to be compared with it. One instance a relay, one thread. Times in
 * nanoseconds.
 */
public interface BalancingPolicy {
    /** Makes one for a relay that starts: the job ticket, the instance's seed, the time. */
    interface Factory {
        BalancingPolicy create(Map<String, String> jobTicket, long seed, long now);
    }

    /** Where to send this association, which has arrived or has waited as told. */
    Decision selectBackend(Association a, long now);

    /** What to do after this outcome of a dispatch; `finished`: the association is over. */
    Decision onDispatchFinished(Association a, int dispatch, DispatchOutcome outcome, boolean finished, long now);

    /** How long to wait before asking again, and the chores now due. */
    DueActions pollDueActions(long now);

    /** The roster, whole or changes only; `cached`: as this relay last had it, perhaps stale. */
    void onRosterUpdate(List<RosterEntry> lines, boolean whole, boolean cached, long now);

    void onRosterCallFailed(long now);

    /** An open connection that was passing through when this relay started. */
    void onConnectionAdopted(Association a, long backend, long now);

    void onConnectionEstablished(Association a, int dispatch, long took, long now);

    void onLoadReport(Association a, double load, long now);

    void onDelayReport(long backend, long delay, long now);

    void onClientDisconnected(Association a, long now);

    /**
     * What it would keep beyond its process: at most so many values that changed since it was last asked. Others keep
     * nothing.
     */
    default LearnedState takeLearnedStateChanges(int most, long now) {
        return LearnedState.EMPTY;
    }

    /**
     * What an earlier process kept, weighed by its age, after the list; `unseen`: any backend of the list may be cold.
     */
    default void restoreLearnedState(LearnedState kept, boolean unseen, long now) {}
}
