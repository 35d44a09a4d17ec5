package ambertrestle.lab.policy;

/**
 * The true state of the backends, which a real relay can't see; only the oracle policy uses it. Backends are named by
 * the ids that the decisions use. Apart from {@link #isServing}, the methods require the id of an existing backend.
 */
public interface BackendGroundTruth {
    /** Whether the backend exists, runs, accepts work and answers, and isn't draining. */
    boolean isServing(long backend);

    /** How long work that arrives now would wait in the backend's queue, in nanoseconds. */
    double queueDelay(long backend);

    /** The share of the backend's current speed that the lines of its open connections take; 1 is full load. */
    double utilization(long backend);

    /** Whether the backend has an open connection of that group; true if `group` is 0, which means no group. */
    boolean hasGroup(long backend, long group);

    /**
     * Dispatches that reached the backend within the slow-start burst window, as a share of what is allowed during slow
     * start; 0 for a backend past its slow start.
     */
    double slowStartBudgetUsed(long backend);
}
