package ambertrestle.decide;

/**
 * One backend as service discovery lists it.
 *
 * @param backend id of the backend
 * @param startedAt when the backend started, in nanoseconds; 0 if that is too long ago to matter
 * @param cell the cell that the backend belongs to, a scope of deduplication
 * @param weight relative capacity; 0 or less counts as 1
 * @param zone the zone that the backend belongs to, a scope of deduplication
 * @param instanceType number of the machine type
 */
public record RosterEntry(
        long backend, Stage stage, long startedAt, int cell, double weight, int zone, int instanceType) {
    /** The stage of the backend's life. The simulator's wire protocol uses the ordinal, so the order is fixed. */
    public enum Stage {
        GONE,
        READY,
        DRAINING
    }
}
