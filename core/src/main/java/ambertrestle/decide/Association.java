package ambertrestle.decide;

/** One association as the client brought it, with the dispatches made for it. Times in nanoseconds. */
public final class Association {
    /** What is known of a dispatch: still out, known not to have run, or it may have run. */
    public enum Fate {
        OUT,
        NEVER_RAN,
        MAY_HAVE_RUN
    }

    public final long id;
    public final int useCase;
    public final int tenant;
    /** The client key and the group key, unsigned; 0 where there is none. */
    public final long client;

    public final long group;
    public final long cutOff;
    /** Its packets reached this relay while the connection was open. */
    public final boolean midFlow;
    /** The client is back after a break or a move. */
    public final boolean returning;

    public int dispatches;
    public long[] sentTo = new long[4];
    public long[] sentAt = new long[4];
    public Fate[] fate = new Fate[4];
    /** Load of the connection in work a second (nanoseconds a second); 0 while unknown. */
    public double load;

    public boolean established;
    /** The final answer was given, or the end was learned. */
    public boolean closed;
    /** Moved off its backend on this relay's wish. */
    public boolean moved;
    /** The time it was given while set-ups are paced; 0 while none. */
    public long slot;
    /** Dispatches that met a backend which an old list still named; they count against no limit. */
    public int excused;
    /** How often it was told to wait. */
    public int waits;
    /** Which part of its group it belongs to. */
    public int part;
    /** Its place in its backend's list of open connections; -1 while in none. */
    public int place = -1;

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
        this.client = client;
        this.group = group;
        this.cutOff = cutOff;
        this.load = load;
        this.midFlow = midFlow;
        this.returning = returning;
    }

    /** The key under which it is placed: the group's, else the client's. */
    public long key() {
        return group != 0 ? group : client;
    }

    /** The key under which its part of the group is pinned. */
    public long pin() {
        return key() + part * 0x9e3779b97f4a7c15L;
    }

    public boolean tried(long backend) {
        for (int d = 0; d < dispatches; d++) {
            if (sentTo[d] == backend) {
                return true;
            }
        }
        return false;
    }

    /** A dispatch is still out. */
    public boolean out() {
        return any(Fate.OUT);
    }

    /** Every dispatch so far is known not to have run. */
    public boolean neverRan() {
        return !any(Fate.OUT) && !any(Fate.MAY_HAVE_RUN);
    }

    private boolean any(Fate wanted) {
        for (int d = 0; d < dispatches; d++) {
            if (fate[d] == wanted) {
                return true;
            }
        }
        return false;
    }

    public void sent(long backend, long now) {
        if (dispatches == sentTo.length) {
            sentTo = java.util.Arrays.copyOf(sentTo, dispatches * 2);
            sentAt = java.util.Arrays.copyOf(sentAt, dispatches * 2);
            fate = java.util.Arrays.copyOf(fate, dispatches * 2);
        }
        sentTo[dispatches] = backend;
        sentAt[dispatches] = now;
        fate[dispatches++] = Fate.OUT;
    }
}
