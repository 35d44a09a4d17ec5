package ambertrestle.lab.simulation;

/** Clock and timer of a run. Times are in nanoseconds from the start of the run; all actions run on one thread. */
public interface Scheduler {
    /** Nanoseconds since the start of the run. */
    long now();

    /**
     * Runs an action at the given time, or as soon as possible if that time has passed. In virtual time, actions for
     * the same time run in the order in which they were scheduled. In real time, actions can run late, and the order of
     * actions for the same time is not guaranteed.
     */
    void scheduleAt(long time, Runnable action);

    /** Runs an action after a delay in nanoseconds. */
    default void scheduleAfter(long delay, Runnable action) {
        scheduleAt(now() + delay, action);
    }
}
