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
    /** Met on the walk in hand. */
    int mark;
    /** Holds an open connection of the key in hand. */
    boolean holds;

    Backend(long id, long hash) {
        this.id = id;
        this.hash = hash;
    }

    int held() {
        return open.size() + pending;
    }

    /** What it holds: load where one connection's is told, else connections. */
    double crowd(double one) {
        return one == 0 ? held() : load + pending * one;
    }
}
