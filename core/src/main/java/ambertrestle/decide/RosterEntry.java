package ambertrestle.decide;

/**
 * One backend as service discovery lists it.
 *
 * @param backend id of the backend
 * @param stage whether the backend may get dispatches
 * @param startedAt when the backend started, in nanoseconds; 0 if it started long ago or that is unknown
 * @param cell the cell that the backend belongs to, a scope of deduplication
 * @param weight relative capacity; 0 or less counts as 1
 * @param zone the zone that the backend belongs to, a scope of deduplication
 * @param instanceType number of the machine type
 */
public record RosterEntry(
        long backend, Stage stage, long startedAt, int cell, double weight, int zone, int instanceType) {
    /** The stage of the backend's life. The simulator's wire protocol uses the ordinal, so the order is fixed. */
    public enum Stage {
        /** The backend does not exist any more. */
        GONE,
        /** The backend takes new connections. */
        READY,
        /** The backend is about to stop; it may get dispatches only in the grace period after the drain began. */
        DRAINING
    }
}
