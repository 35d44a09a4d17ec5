package ambertrestle.decide;

/** One line of the roster. Times in nanoseconds; startedAt 0 means long ago. */
public record RosterEntry(
        long backend, Stage stage, long startedAt, int cell, double weight, int zone, int instanceType) {
    public enum Stage {
        GONE,
        READY,
        DRAINING
    }
}
