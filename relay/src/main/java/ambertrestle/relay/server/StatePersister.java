package ambertrestle.relay.server;

import ambertrestle.decide.LearnedState;
import ambertrestle.relay.persistence.StateChanges;
import ambertrestle.relay.persistence.StateStore;
import ambertrestle.relay.wire.RosterMessage;
import ambertrestle.relay.wire.RosterWatcher;
import io.vertx.core.Vertx;
import io.vertx.core.WorkerExecutor;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Persists a relay's state periodically. Collects the changes of the learned state on the event loop, one part per turn
 * of the loop, and passes them to a writer thread, one write at a time. While a write is in progress no learned state
 * is collected, so a stalled disk costs the event loop neither time nor memory.
 */
final class StatePersister {
    /** Time limit for the last write at shutdown. */
    private static final long FINAL_WRITE_TIMEOUT_MILLIS = 1_000;
    /** How often the state is written per durable.interval; see {@link #start}. */
    private static final int WRITES_PER_INTERVAL = 2;
    /** Delay after which a timer runs on a later turn of the event loop; the shortest that Vert.x accepts. */
    private static final long NEXT_TURN_MILLIS = 1;

    private static final int WRITER_THREADS = 1;
    /** A write that takes longer is reported by Vert.x as a blocked thread. This class logs slow writes earlier. */
    private static final long BLOCKED_WRITER_HOURS = 1;

    private static final int NANOS_PER_MILLI = 1_000_000;

    private final Vertx vertx;
    private final StateStore stateStore;
    private final long intervalNanos;
    private final Runnable requestLearnedState;
    private final RosterWatcher rosterWatcher;
    private final long unixTimeOffsetNanos;
    private final WorkerExecutor writerExecutor;
    /** The changes since the last write began. */
    private StateChanges pendingChanges = new StateChanges();
    /** Parts of the learned state are being collected for the next write. */
    private boolean isCollecting;
    /** Number of calls of {@link #add(LearnedState)} so far. */
    private long receivedParts;

    private boolean isWriting;
    /** When the last write began, by the monotonic clock in nanoseconds. */
    private long writeStartedAt;
    /** The warning about the write in progress was logged. */
    private boolean isSlowWriteLogged;
    /** At shutdown: the last write hasn't begun yet. */
    private boolean isFinalWritePending;
    /** What to run after the last write; null before {@link #stop}. */
    private Runnable onStopped;

    /**
     * @param intervalNanos durable.interval: the maximum age of the newest state file
     * @param requestLearnedState makes the reducer return a part of the learned state, which has to reach
     *     {@link #add(LearnedState)} before the call returns
     * @param unixTimeOffsetNanos Unix time minus the monotonic clock
     */
    StatePersister(
            Vertx vertx,
            StateStore stateStore,
            long intervalNanos,
            Runnable requestLearnedState,
            RosterWatcher rosterWatcher,
            long unixTimeOffsetNanos) {
        this.vertx = vertx;
        this.stateStore = stateStore;
        this.intervalNanos = intervalNanos;
        this.requestLearnedState = requestLearnedState;
        this.rosterWatcher = rosterWatcher;
        this.unixTimeOffsetNanos = unixTimeOffsetNanos;
        // A pool of its own: in the shared pool of Vert.x, a stalled disk would block all other blocking calls.
        writerExecutor =
                vertx.createSharedWorkerExecutor("durable", WRITER_THREADS, BLOCKED_WRITER_HOURS, TimeUnit.HOURS);
    }

    /**
     * Starts to persist, twice per interval: as long as a write takes less than half an interval, the newest complete
     * file is then no older than one interval even while a write is in progress.
     */
    void start() {
        vertx.setPeriodic(Math.max(1, intervalNanos / (WRITES_PER_INTERVAL * NANOS_PER_MILLI)), t -> beginPersist());
        beginPersist();
    }

    /** Starts to collect changes for the next write, unless collecting or a write is still in progress. */
    private void beginPersist() {
        if (isWriting && System.nanoTime() - writeStartedAt > intervalNanos && !isSlowWriteLogged) {
            isSlowWriteLogged = true;
            Log.log(Level.WARNING, "state-late", "writing a state file takes longer than durable.interval", Map.of());
        }
        if (!isWriting && !isCollecting) {
            isCollecting = true;
            requestNextPart();
        }
    }

    /**
     * Requests a part of the learned state. If the reducer fails, no part arrives and collecting ends. Otherwise the
     * state would never be persisted again, because each later attempt would wait for that part.
     */
    private void requestNextPart() {
        long partsBefore = receivedParts;
        requestLearnedState.run();
        isCollecting = isCollecting && receivedParts > partsBefore;
    }

    /** Adds a part of the learned state; requests the next part or, after the last one, starts the write. */
    void add(LearnedState part) {
        receivedParts++;
        pendingChanges.add(part);
        if (part.hasMore()) {
            vertx.setTimer(NEXT_TURN_MILLIS, t -> requestNextPart());
        } else {
            isCollecting = false;
            write();
        }
    }

    /** Adds a roster message that the reducer has applied. */
    void add(RosterMessage message) {
        pendingChanges.add(message);
    }

    /** Writes the pending changes on the writer thread; afterwards continues a shutdown that waits for this write. */
    private void write() {
        StateChanges changes = pendingChanges;
        pendingChanges = new StateChanges();
        isWriting = true;
        writeStartedAt = System.nanoTime();
        long now = writeStartedAt + unixTimeOffsetNanos;
        // Null while no roster service has confirmed the roster.
        String confirmedBy = rosterWatcher.rosterConfirmedBy() == null
                ? null
                : rosterWatcher.rosterConfirmedBy().toString();
        long confirmedAt = rosterWatcher.rosterConfirmedAt() + unixTimeOffsetNanos;
        writerExecutor
                .executeBlocking(() -> stateStore.persist(changes, confirmedBy, confirmedAt, now))
                .onComplete(result -> {
                    isWriting = false;
                    isSlowWriteLogged = false;
                    if (result.failed()) {
                        Log.logFailure("state-not-kept", "writing a state file failed", result.cause());
                    } else if (result.result() != null) {
                        RelayServer.log(result.result());
                    }
                    if (onStopped != null) {
                        continueStop();
                    }
                });
    }

    /**
     * Persists once more, then runs `onDone`. Runs it after {@link #FINAL_WRITE_TIMEOUT_MILLIS} at the latest, because
     * a stalled disk must not block the shutdown of the relay.
     */
    void stop(Runnable onDone) {
        boolean[] hasRun = new boolean[1];
        Runnable runOnce = () -> {
            if (!hasRun[0]) {
                hasRun[0] = true;
                onDone.run();
            }
        };
        vertx.setTimer(FINAL_WRITE_TIMEOUT_MILLIS, t -> runOnce.run());
        onStopped = runOnce;
        isFinalWritePending = true;
        // On a later turn of the event loop: the reducer's event that led here is still being handled, and no part of
        // the learned state arrives before it is finished.
        vertx.setTimer(NEXT_TURN_MILLIS, t -> continueStop());
    }

    /**
     * Continues a shutdown: begins the last write or, if it has finished, runs {@link #onStopped}. Does nothing while
     * parts are being collected or written, because the end of that write calls this method again.
     */
    private void continueStop() {
        if (isWriting || isCollecting) {
            return;
        }
        if (isFinalWritePending) {
            isFinalWritePending = false;
            beginPersist();
        } else {
            onStopped.run();
        }
    }
}
