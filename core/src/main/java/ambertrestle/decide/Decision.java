package ambertrestle.decide;

/** What a relay has to do next for one association. */
public final class Decision {
    /** The kind of decision; it determines the meaning of {@link #time}. */
    public enum Kind {
        /** Dispatch to {@link #backend}; the connection must be established within {@link #time}. */
        SEND,
        /** Ask again at {@link #time}. */
        WAIT,
        /**
         * Ask again once the roster is usable ({@link BalancingPolicy#isRosterUsable}), at {@link #time} at the latest.
         */
        AWAIT_ROSTER,
        /** Reject the association; the client may safely repeat it. */
        SHED,
        /** Give up the association; a dispatch may have had an effect, so repeating it is not safe. */
        FORFEIT,
        /** Nothing to do: the final answer was already given, or a dispatch is still in flight. */
        NOTHING
    }

    /** The decision that nothing is to be done. */
    public static final Decision NOTHING = new Decision(Kind.NOTHING, 0, 0);
    /** The decision to give up the association. */
    public static final Decision FORFEIT = new Decision(Kind.FORFEIT, 0, 0);

    public final Kind kind;
    /** Id of the backend of a {@code SEND}; 0 otherwise. */
    public final long backend;
    /**
     * Nanoseconds. {@code SEND}: the timeout of the dispatch, as a duration; {@code WAIT} and {@code AWAIT_ROSTER}: a
     * point in time; {@code SHED}: how long the client has to wait before it repeats, 0 if no such time is sent to it;
     * 0 otherwise.
     */
    public final long time;

    public Decision(Kind kind, long backend, long time) {
        this.kind = kind;
        this.backend = backend;
        this.time = time;
    }
}
