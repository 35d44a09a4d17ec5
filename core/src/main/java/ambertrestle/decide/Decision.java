package ambertrestle.decide;

/** What is to happen with an association: plain value, made by the module. Times in nanoseconds. */
public final class Decision {
    /**
     * SEND to backend within time; WAIT until time; SHED, the client may come back after time; FORFEIT; or NOTHING: it
     * has its answer, or a dispatch is still out.
     */
    public enum Kind {
        SEND,
        WAIT,
        SHED,
        FORFEIT,
        NOTHING
    }

    public static final Decision NOTHING = new Decision(Kind.NOTHING, 0, 0);
    public static final Decision FORFEIT = new Decision(Kind.FORFEIT, 0, 0);

    public final Kind kind;
    public final long backend;
    public final long time;

    public Decision(Kind kind, long backend, long time) {
        this.kind = kind;
        this.backend = backend;
        this.time = time;
    }
}
