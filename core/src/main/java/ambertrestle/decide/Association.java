package ambertrestle.decide;

/** A client's request for a connection, with the dispatches made for it. All times are in nanoseconds. */
public final class Association {
    /** Difference of the pin keys of two adjacent subset indexes: 2^64 divided by the golden ratio, to spread them. */
    private static final long SUBSET_KEY_STEP = 0x9e3779b97f4a7c15L;

    /** Whether a dispatch can have had an effect on its backend. */
    public enum DispatchState {
        /** It has not ended yet. */
        IN_FLIGHT,
        /** It ended and certainly had no effect. */
        NEVER_RAN,
        /** It ended and may have had an effect. */
        MAY_HAVE_RUN
    }

    /** Unique among the associations of a relay. */
    public final long id;

    /** Index of the use case in the settings. */
    public final int useCase;

    /** Index of the tenant. */
    public final int tenant;

    /** Key of the client, unsigned; 0 if it has none. */
    public final long clientKey;

    /** Key of the group of clients that should share backends, unsigned; 0 if it belongs to no group. */
    public final long groupKey;

    /** When the association is of no use any more. */
    public final long cutOffAt;

    /** The connection was already open when its packets first reached this relay. */
    public final boolean isMidFlow;

    /** The client reconnects after its connection broke or was moved. */
    public final boolean isReconnect;

    /** Number of dispatches so far; the three arrays below are valid up to this index. */
    public int dispatchCount;

    /** Backend id of each dispatch. */
    public long[] sentTo = new long[4];
    /** Time of each dispatch. */
    public long[] sentAt = new long[4];
    /** State of each dispatch. */
    public DispatchState[] dispatchStates = new DispatchState[4];
    /** Load of the connection in nanoseconds of work per second; 0 while unknown. */
    public double load;

    /** A dispatch has led to an established connection. */
    public boolean established;

    /** The final answer was given, or the association has ended. */
    public boolean closed;
    /** This relay asked the client to reconnect so that the connection leaves its backend. */
    public boolean moveRequested;
    /** When it may be set up next, reserved for it while set-ups are paced; 0 if no time is reserved. */
    public long reservedSetUpAt;
    /**
     * Dispatches that failed because a stale roster listed a backend that is gone; they don't count towards the limit.
     */
    public int uncountedDispatches;
    /** Number of waits for an eligible backend so far; determines the backoff. */
    public int waitCount;
    /** Index, in the group's preference order, of the backend that the client is assigned to; 0 is the first. */
    public int subsetIndex;
    /** Index in the backend's list of open connections; -1 if the connection is not open. */
    public int openConnectionIndex = -1;

    public Association(
            long id,
            int useCase,
            int tenant,
            long clientKey,
            long groupKey,
            long cutOffAt,
            double load,
            boolean isMidFlow,
            boolean isReconnect) {
        this.id = id;
        this.useCase = useCase;
        this.tenant = tenant;
        this.clientKey = clientKey;
        this.groupKey = groupKey;
        this.cutOffAt = cutOffAt;
        this.load = load;
        this.isMidFlow = isMidFlow;
        this.isReconnect = isReconnect;
    }

    /** Returns the key that determines the placement: the group's key, or else the client's; 0 if there is neither. */
    public long placementKey() {
        return groupKey != 0 ? groupKey : clientKey;
    }

    /** Returns the key of the association's pin. It differs by subset index and is the placement key for index 0. */
    public long pinKey() {
        return placementKey() + subsetIndex * SUBSET_KEY_STEP;
    }

    /** Returns whether a dispatch to this backend was made. */
    public boolean hasTried(long backend) {
        for (int d = 0; d < dispatchCount; d++) {
            if (sentTo[d] == backend) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a dispatch has not ended yet. */
    public boolean hasDispatchInFlight() {
        return hasDispatchIn(DispatchState.IN_FLIGHT);
    }

    /** Returns whether all dispatches so far certainly had no effect. */
    public boolean noDispatchRan() {
        return !hasDispatchIn(DispatchState.IN_FLIGHT) && !hasDispatchIn(DispatchState.MAY_HAVE_RUN);
    }

    private boolean hasDispatchIn(DispatchState state) {
        for (int d = 0; d < dispatchCount; d++) {
            if (dispatchStates[d] == state) {
                return true;
            }
        }
        return false;
    }

    /** Appends a dispatch in flight. */
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
