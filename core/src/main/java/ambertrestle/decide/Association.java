package ambertrestle.decide;

/** One association as the client brought it, with the dispatches made for it. Times in nanoseconds. */
public final class Association {
    /** What is known of a dispatch: still out, known not to have run, or it may have run. */
    public enum DispatchState {
        IN_FLIGHT,
        NEVER_RAN,
        MAY_HAVE_RUN
    }

    public final long id;
    public final int useCase;
    public final int tenant;
    /** The client key and the group key, unsigned; 0 where there is none. */
    public final long clientKey;

    public final long groupKey;
    public final long cutOffAt;
    /** Its packets reached this relay while the connection was open. */
    public final boolean isMidFlow;
    /** The client is back after a break or a move. */
    public final boolean isReconnect;

    public int dispatchCount;
    public long[] sentTo = new long[4];
    public long[] sentAt = new long[4];
    public DispatchState[] dispatchStates = new DispatchState[4];
    /** Load of the connection in work a second (nanoseconds a second); 0 while unknown. */
    public double load;

    public boolean established;
    /** The final answer was given, or the end was learned. */
    public boolean closed;
    /** Moved off its backend on this relay's wish. */
    public boolean moveRequested;
    /** The time it was given while set-ups are paced; 0 while none. */
    public long reservedSetUpAt;
    /** Dispatches that met a backend which an old list still named; they count against no limit. */
    public int uncountedDispatches;
    /** How often it was told to wait. */
    public int waitCount;
    /** Which part of its group it belongs to. */
    public int subsetIndex;
    /** Its place in its backend's list of open connections; -1 while in none. */
    public int openConnectionIndex = -1;

    public Association(
            long id,
            int useCase,
            int tenant,
            long client,
            long group,
            long cutOff,
            double load,
            boolean midFlow,
            boolean returning) {
        this.id = id;
        this.useCase = useCase;
        this.tenant = tenant;
        this.clientKey = client;
        this.groupKey = group;
        this.cutOffAt = cutOff;
        this.load = load;
        this.isMidFlow = midFlow;
        this.isReconnect = returning;
    }

    /** The key under which it is placed: the group's, else the client's. */
    public long placementKey() {
        return groupKey != 0 ? groupKey : clientKey;
    }

    /** The key under which its part of the group is pinned. */
    public long pinKey() {
        return placementKey() + subsetIndex * 0x9e3779b97f4a7c15L;
    }

    public boolean hasTried(long backend) {
        for (int d = 0; d < dispatchCount; d++) {
            if (sentTo[d] == backend) {
                return true;
            }
        }
        return false;
    }

    /** A dispatch is still out. */
    public boolean hasDispatchInFlight() {
        return hasDispatchIn(DispatchState.IN_FLIGHT);
    }

    /** Every dispatch so far is known not to have run. */
    public boolean noDispatchRan() {
        return !hasDispatchIn(DispatchState.IN_FLIGHT) && !hasDispatchIn(DispatchState.MAY_HAVE_RUN);
    }

    private boolean hasDispatchIn(DispatchState wanted) {
        for (int d = 0; d < dispatchCount; d++) {
            if (dispatchStates[d] == wanted) {
                return true;
            }
        }
        return false;
    }

    public void recordDispatch(long backend, long now) {
        if (dispatchCount == sentTo.length) {
            sentTo = java.util.Arrays.copyOf(sentTo, dispatchCount * 2);
            sentAt = java.util.Arrays.copyOf(sentAt, dispatchCount * 2);
            dispatchStates = java.util.Arrays.copyOf(dispatchStates, dispatchCount * 2);
        }
        sentTo[dispatchCount] = backend;
        sentAt[dispatchCount] = now;
        dispatchStates[dispatchCount++] = DispatchState.IN_FLIGHT;
    }
}
