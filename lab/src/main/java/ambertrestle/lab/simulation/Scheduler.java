package ambertrestle.lab.simulation;

/** Time and what is to happen in it, in whole nanoseconds from the start of a run. One thread lets all of it happen. */
public interface Scheduler {
    long now();

    /** Of one moment, what was set first comes first. */
    void scheduleAt(long time, Runnable thing);

    default void scheduleAfter(long delay, Runnable thing) {
        scheduleAt(now() + delay, thing);
    }
}
