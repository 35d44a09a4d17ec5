package ambertrestle.decide;

import java.util.List;
import java.util.Map;

/**
 * What a relay asks of whoever decides, and tells it: three questions, else tell-methods. {@link Balancer} is the
 * module; others stand in its place only to be compared with it. One instance a relay, one thread. Times in
 * nanoseconds.
 */
public interface Decisions {
    /** Makes one for a relay that starts: the job ticket, the instance's seed, the time. */
    interface Maker {
        Decisions make(Map<String, String> jobTicket, long seed, long now);
    }

    /** Where to send this association, which has arrived or has waited as told. */
    Answer where(Association a, long now);

    /** What to do after this outcome of a dispatch; `finished`: the association is over. */
    Answer after(Association a, int dispatch, Outcome outcome, boolean finished, long now);

    /** How long to wait before asking again, and the chores now due. */
    Chores howLong(long now);

    /** The roster, whole or changes only; `cached`: as this relay last had it, perhaps stale. */
    void roster(List<Listed> lines, boolean whole, boolean cached, long now);

    void rosterFailed(long now);

    /** An open connection that was passing through when this relay started. */
    void takenOver(Association a, long backend, long now);

    void established(Association a, int dispatch, long took, long now);

    void loadNote(Association a, double load, long now);

    void delayNote(long backend, long delay, long now);

    void clientLeft(Association a, long now);

    /**
     * What it would keep beyond its process: at most so many values that changed since it was last asked. Others keep
     * nothing.
     */
    default Kept changes(int most, long now) {
        return Kept.NOTHING;
    }

    /**
     * What an earlier process kept, weighed by its age, after the list; `unseen`: any backend of the list may be cold.
     */
    default void remember(Kept kept, boolean unseen, long now) {}
}
