package ambertrestle.lab.policy;

/** What only an oracle sees: the true state of the backends, by the decisions' ids. */
public interface BackendGroundTruth {
    /** It takes work and answers. */
    boolean isServing(long backend);

    /** How long work that comes now would wait there, in nanoseconds. */
    double queueDelay(long backend);

    /** The part of its true speed that the lines of what is open there take. */
    double utilization(long backend);

    /** Something of that group is open there; true where there is no group. */
    boolean hasGroup(long backend, long group);

    /** What reached a cold backend lately, as a share of what may; 0 for a warm one. */
    double slowStartBudgetUsed(long backend);
}
