package ambertrestle.decide;

import java.util.ArrayList;

/** All that one relay knows of one backend: plain values, kept by the module. Times in nanoseconds. */
final class Backend {
    final long id;
    final long hash;
    RosterEntry.Stage stage = RosterEntry.Stage.GONE;
    long startedAt;
    int cell;
    int zone;
    double weight = 1;
    /** Called gone by a list that does not bind, and how many set-ups in a row failed there since. */
    boolean missingFromRoster;

    int setUpFailuresWhileMissing;
    /** When this relay heard that it drains or is gone. */
    long drainNoticedAt;

    final ArrayList<Association> openConnections = new ArrayList<>();
    /** Dispatches that are out and not yet established. */
    int pendingDispatches;
    /** Load of the open connections, where it is told. */
    double load;
    /** Decaying counts of set-ups that stood, of failures, and of failures that a shared store may cause. */
    double successes;

    double failures;
    double sharedCauseFailures;
    long evidenceUpdatedAt;
    long overCapacityUntil;
    /** When it was last sent to or something there ended. */
    long lastActiveAt;
    /** Dispatches that the cold budget still allows, and when that was reckoned. */
    double slowStartBudget;

    long slowStartBudgetUpdatedAt;
    /** What it held when its messages turned late, and when that was; 0 while never seen. */
    double observedCapacity;

    long lastSlowAt;
    /** How long a message was last told to take, 0 while not long. */
    long reportedDelay;

    long delayReportedAt = Long.MIN_VALUE / 2;
    /** When an open connection was last broken there. */
    long lastResetAt = Long.MIN_VALUE / 2;
    /** When a connection was last asked to leave for the load told there. */
    long lastOffloadAt = Long.MIN_VALUE / 2;
    /** Met on the walk in hand. */
    int walkMark;
    /** Holds an open connection of the key in hand, where it is the mark of that look. */
    int holdsKeyMark;

    Backend(long id) {
        this.id = id;
        hash = mix64(id ^ 0x9e3779b97f4a7c15L);
    }

    /** Spreads ids and keys evenly over all 64 bits. */
    static long mix64(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** Lets the evidence about it fade to this moment. */
    Backend decayEvidence(long now, long halfLife) {
        if (now != evidenceUpdatedAt) {
            double keep = Math.pow(0.5, (double) (now - evidenceUpdatedAt) / halfLife);
            successes *= keep;
            failures *= keep;
            sharedCauseFailures *= keep;
            evidenceUpdatedAt = now;
        }
        return this;
    }

    /** What of it outlives this process. */
    LearnedState.BackendStatistics toStatistics() {
        return new LearnedState.BackendStatistics(
                id,
                startedAt,
                evidenceUpdatedAt,
                successes,
                failures,
                sharedCauseFailures,
                reportedDelay,
                delayReportedAt,
                stage == RosterEntry.Stage.READY ? 0 : drainNoticedAt);
    }

    /** Takes back what was kept; false, and it keeps what it has, where it has started anew since. */
    boolean restore(LearnedState.BackendStatistics kept) {
        if (stage == RosterEntry.Stage.GONE || kept.startedAt() != startedAt) {
            return false;
        }
        // Danger: a grace that begins anew with each start would let a drain be broken by restarting.
        drainNoticedAt = stage != RosterEntry.Stage.READY && kept.drainNoticedAt() > 0
                ? Math.min(drainNoticedAt, kept.drainNoticedAt())
                : drainNoticedAt;
        successes = kept.successes();
        failures = kept.failures();
        sharedCauseFailures = kept.sharedCauseFailures();
        evidenceUpdatedAt = kept.evidenceUpdatedAt();
        reportedDelay = kept.reportedDelay();
        delayReportedAt = kept.delayReportedAt();
        return true;
    }

    void addConnection(Association a) {
        a.openConnectionIndex = openConnections.size();
        openConnections.add(a);
    }

    /** Whether it was open here; the last one takes its place. */
    boolean removeConnection(Association a) {
        if (a.openConnectionIndex < 0) {
            return false;
        }
        Association last = openConnections.remove(openConnections.size() - 1);
        if (last != a) {
            openConnections.set(a.openConnectionIndex, last);
            last.openConnectionIndex = a.openConnectionIndex;
        }
        a.openConnectionIndex = -1;
        return true;
    }

    int connectionCount() {
        return openConnections.size() + pendingDispatches;
    }

    /** What it holds: load where one connection's is told, else connections. */
    double effectiveLoad(double one) {
        return one == 0 ? connectionCount() : load + pendingDispatches * one;
    }
}
