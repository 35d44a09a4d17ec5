package ambertrestle.lab.policy;

/**
 * The true state of the backends, which a real relay can't see; only the oracle policy uses it. Backends are named by
 * the ids that the decisions use. Apart from {@link #isServing}, the methods require the id of an existing backend.
 */
public interface BackendGroundTruth {
    /** Whether the backend exists, runs, isn't hung, answers OPEN lines and isn't draining. It may still be full. */
    boolean isServing(long backend);

    /** How long work that arrives now would wait in the backend's queue, in nanoseconds. */
    double queueDelay(long backend);

    /**
     * The share of the backend's current speed that the lines of its connections take; 1 is full load, and more than 1
     * is overload.
     */
    double utilization(long backend);

    /**
     * Whether the backend has admitted a connection of that group; true if {@code group} is 0, which means no group.
     */
    boolean hasGroup(long backend, long group);

    /**
     * Dispatches that reached the backend within the last slow-start burst window, as a share of the number that is
     * allowed per window; 0 for a backend past its slow start.
     */
    double slowStartBudgetUsed(long backend);
}
