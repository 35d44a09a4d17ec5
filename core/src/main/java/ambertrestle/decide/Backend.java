package ambertrestle.decide;

import java.util.ArrayList;

/** All that one relay knows of one backend: plain values, kept by the module. Times in nanoseconds. */
final class Backend {
    final long id;
    final long hash;
    Listed.Stage stage = Listed.Stage.GONE;
    long startedAt;
    int cell;
    int zone;
    double weight = 1;
    /** Called gone by a list that does not bind, and how many set-ups in a row failed there since. */
    boolean unlisted;

    int missed;
    /** When this relay heard that it drains or is gone. */
    long heardAt;

    final ArrayList<Association> open = new ArrayList<>();
    /** Dispatches that are out and not yet established. */
    int pending;
    /** Load of the open connections, where it is told. */
    double load;
    /** Decaying counts of set-ups that stood, of failures, and of failures that a shared store may cause. */
    double good;

    double bad;
    double slow;
    long evidenceAt;
    long fullUntil;
    /** When it was last sent to or something there ended. */
    long usedAt;
    /** Dispatches that the cold budget still allows, and when that was reckoned. */
    double allowance;

    long allowanceAt;
    /** What it held when its messages turned late, and when that was; 0 while never seen. */
    double carries;

    long lateAt;
    /** How long a message was last told to take, 0 while not long. */
    long delay;

    long delayAt = Long.MIN_VALUE / 2;
    /** When an open connection was last broken there. */
    long brokenAt = Long.MIN_VALUE / 2;
    /** When a connection was last asked to leave for the load told there. */
    long lightenedAt = Long.MIN_VALUE / 2;
    /** Met on the walk in hand. */
    int mark;
    /** Holds an open connection of the key in hand, where it is the mark of that look. */
    int holds;

    Backend(long id) {
        this.id = id;
        hash = mix(id ^ 0x9e3779b97f4a7c15L);
    }

    /** Spreads ids and keys evenly over all 64 bits. */
    static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** Lets the evidence about it fade to this moment. */
    Backend age(long now, long halfLife) {
        if (now != evidenceAt) {
            double keep = Math.pow(0.5, (double) (now - evidenceAt) / halfLife);
            good *= keep;
            bad *= keep;
            slow *= keep;
            evidenceAt = now;
        }
        return this;
    }

    /** What of it outlives this process. */
    Kept.Judged judged() {
        return new Kept.Judged(
                id, startedAt, evidenceAt, good, bad, slow, delay, delayAt, stage == Listed.Stage.READY ? 0 : heardAt);
    }

    /** Takes back what was kept; false, and it keeps what it has, where it has started anew since. */
    boolean remember(Kept.Judged kept) {
        if (stage == Listed.Stage.GONE || kept.startedAt() != startedAt) {
            return false;
        }
        // Danger: a grace that begins anew with each start would let a drain be broken by restarting.
        heardAt = stage != Listed.Stage.READY && kept.heardAt() > 0 ? Math.min(heardAt, kept.heardAt()) : heardAt;
        good = kept.good();
        bad = kept.bad();
        slow = kept.slow();
        evidenceAt = kept.evidenceAt();
        delay = kept.delay();
        delayAt = kept.delayAt();
        return true;
    }

    void add(Association a) {
        a.place = open.size();
        open.add(a);
    }

    /** Whether it was open here; the last one takes its place. */
    boolean remove(Association a) {
        if (a.place < 0) {
            return false;
        }
        Association last = open.remove(open.size() - 1);
        if (last != a) {
            open.set(a.place, last);
            last.place = a.place;
        }
        a.place = -1;
        return true;
    }

    int held() {
        return open.size() + pending;
    }

    /** What it holds: load where one connection's is told, else connections. */
    double crowd(double one) {
        return one == 0 ? held() : load + pending * one;
    }
}
