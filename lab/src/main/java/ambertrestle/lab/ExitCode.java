package ambertrestle.lab;

/** The exit codes of the lab's command line. */
final class ExitCode {
    static final int SUCCESS = 0;
    /** Invalid input, a violated invariant or a failed check. */
    static final int FAILURE = 1;
    /** Wrong usage. */
    static final int USAGE = 2;
    /** The machine gave the run too little CPU, so its figures are not valid. */
    static final int CPU_STARVED = 3;
    /** Interrupted by Ctrl-C: 128 plus the number of SIGINT, as shells report it. */
    static final int INTERRUPTED = 130;

    private ExitCode() {}
}
