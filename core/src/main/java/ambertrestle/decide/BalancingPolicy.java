package ambertrestle.decide;

import java.util.List;
import java.util.Map;

/**
 * Decides which backend gets which connection. A relay asks {@link #selectBackend}, {@link #onDispatchFinished} and
 * {@link #pollDueActions} for decisions and reports everything else through the other methods. {@link Balancer} is the
 * production implementation; others serve as baselines for comparison.
 *
 * <p>Each relay has one instance, which is used by one thread. All times are in nanoseconds. {@code now} is the time of
 * the current batch of events.
 */
public interface BalancingPolicy {
    /** Creates policies, one for each relay. */
    interface Factory {
        /**
         * Creates the policy of a relay that starts now.
         *
         * @param settings the flat settings; invalid ones fail with an {@link IllegalArgumentException}
         * @param seed seed of the policy's random numbers; equal seeds and equal calls give equal decisions
         */
        BalancingPolicy create(Map<String, String> settings, long seed, long now);
    }

    /**
     * Selects a backend for an association that has arrived, or that has waited until the time of a previous
     * {@code WAIT} decision.
     */
    Decision selectBackend(Association association, long now);

    /**
     * Decides how to continue after a dispatch has ended.
     *
     * @param dispatch index of the dispatch within the association
     * @param finished true if the association is over, so that no further dispatch is wanted
     */
    Decision onDispatchFinished(
            Association association, int dispatch, DispatchOutcome outcome, boolean finished, long now);

    /** Returns the actions that are due, and when to poll again. */
    DueActions pollDueActions(long now);

    /**
     * Applies a roster update.
     *
     * @param isComplete true if backends missing from {@code entries} are gone; false if it holds only changes
     * @param isCached true if the roster was cached by this relay before a restart and may be stale
     */
    void onRosterUpdate(List<RosterEntry> entries, boolean isComplete, boolean isCached, long now);

    /** Reports that a call to service discovery failed or its watch broke; a later poll asks for another call. */
    void onRosterCallFailed(long now);

    /**
     * Asks for confirmations of the roster from now on: it may only be used for new dispatches while the roster service
     * confirms it, or shortly after. For hosts on which a change counts as known before it is delivered. Hosts that
     * don't call this need none of the following methods.
     */
    default void requireRosterConfirmation(long now) {}

    /** Reports that the roster service has nothing to add to the roster; each roster update reports that as well. */
    default void onRosterConfirmed() {}

    /**
     * Reports that the roster is no longer confirmed.
     *
     * @param elapsed nanoseconds since the last data arrived ({@code WATCH_SILENT}) or since the call was made
     *     ({@code CALL_FAILED}); unused for the other causes
     */
    default void onRosterInterrupted(RosterInterruption cause, long elapsed, long now) {}

    /** True if the roster may be used for new dispatches now. It may change with every report and with time. */
    default boolean isRosterUsable(long now) {
        return true;
    }

    /** Registers a connection to {@code backend} that was already open when this relay started. */
    void onConnectionAdopted(Association association, long backend, long now);

    /**
     * Reports that the connection of a dispatch was established.
     *
     * @param dispatch index of the dispatch within the association
     * @param setUpTime time from the dispatch until the connection was established
     */
    void onConnectionEstablished(Association association, int dispatch, long setUpTime, long now);

    /** Reports the load of an open connection, in nanoseconds of work per second. */
    void onLoadReport(Association association, double load, long now);

    /** Reports how long a message currently takes on {@code backend}, as {@code delay} in nanoseconds. */
    void onDelayReport(long backend, long delay, long now);

    /** Reports that the association has ended on the client's side; no outcome of its dispatch will be reported. */
    void onClientDisconnected(Association association, long now);

    /**
     * Returns learned state to persist: at most {@code maxChanges} backends and pins that changed since the last call.
     * The default is for policies without learned state.
     */
    default LearnedState takeLearnedStateChanges(int maxChanges, long now) {
        return LearnedState.EMPTY;
    }

    /**
     * Restores the learned state of an earlier process, after the first roster update. The values must already be
     * decayed by their age.
     *
     * @param isRosterStale true if the roster is so old that any backend in it may have restarted since; all backends
     *     are then treated as in slow start
     */
    default void restoreLearnedState(LearnedState learnedState, boolean isRosterStale, long now) {}
}
