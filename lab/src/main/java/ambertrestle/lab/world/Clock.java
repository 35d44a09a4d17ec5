package ambertrestle.lab.world;

/** Time and what is to happen in it, in whole nanoseconds from the start of a run. One thread lets all of it happen. */
public interface Clock {
    long now();

    /** Of one moment, what was set first comes first. */
    void at(long time, Runnable thing);

    default void after(long delay, Runnable thing) {
        at(now() + delay, thing);
    }
}
