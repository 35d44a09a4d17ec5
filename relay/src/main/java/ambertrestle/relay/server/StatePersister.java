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
 * Times the keeping: gathers what changed on the event loop, a part a turn, and hands it to one thread beside the loop,
 * one write at a time. While a write lasts nothing is gathered, so a stalled disk costs neither time nor memory here.
 */
final class StatePersister {
    /** What is gathered may go on at the end of a relay for so long. */
    private static final long FINAL_WRITE_TIMEOUT_MILLIS = 1_000;

    private final Vertx vertx;
    private final StateStore stateStore;
    private final long intervalNanos;
    private final Runnable requestLearnedState;
    private final RosterWatcher rosterWatcher;
    private final long unixTimeOffsetNanos;
    private final WorkerExecutor writerExecutor;
    private StateChanges pendingChanges = new StateChanges();
    private boolean isCollecting;
    /** Counts the parts that came. */
    private long receivedParts;

    private boolean isWriting;
    private long writeStartedAt;
    private boolean isSlowWriteLogged;
    /** At the end: whether one more is owed, and what then follows; null while it serves. */
    private boolean isFinalWritePending;

    private Runnable onStopped;

    /** `ask`: makes the reducer give a part, which comes back by {@link #add}. */
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
        // Danger: in the one pool of Vert.x a stalled disk would hold up whatever else must wait there.
        writerExecutor = vertx.createSharedWorkerExecutor("durable", 1, 1, TimeUnit.HOURS);
    }

    /** Twice an interval, so that with a write under way the file that stands is still no older than one. */
    void start() {
        vertx.setPeriodic(Math.max(1, intervalNanos / 2_000_000), t -> beginPersist());
        beginPersist();
    }

    private void beginPersist() {
        if (isWriting && System.nanoTime() - writeStartedAt > intervalNanos && !isSlowWriteLogged) {
            isSlowWriteLogged = true;
            Log.log(
                    Level.WARNING,
                    "state-late",
                    "a write of what is kept takes longer than durable.interval",
                    Map.of());
        }
        if (!isWriting && !isCollecting) {
            isCollecting = true;
            requestNextPart();
        }
    }

    /** Danger: where the reducer fails, no part comes, and nothing would ever be kept again. */
    private void requestNextPart() {
        long partsBefore = receivedParts;
        requestLearnedState.run();
        isCollecting = isCollecting && receivedParts > partsBefore;
    }

    void add(LearnedState part) {
        receivedParts++;
        pendingChanges.add(part);
        if (part.hasMore()) {
            vertx.setTimer(1, t -> requestNextPart());
        } else {
            isCollecting = false;
            write();
        }
    }

    void add(RosterMessage message) {
        pendingChanges.add(message);
    }

    private void write() {
        StateChanges changes = pendingChanges;
        pendingChanges = new StateChanges();
        isWriting = true;
        writeStartedAt = System.nanoTime();
        long now = writeStartedAt + unixTimeOffsetNanos;
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
                        Log.logFailure("state-not-kept", "keeping failed", result.cause());
                    } else if (result.result() != null) {
                        RelayServer.log(result.result());
                    }
                    if (onStopped != null) {
                        continueStop();
                    }
                });
    }

    /**
     * Keeps once more, then runs that, after a second at the latest: a relay told to stop must not hang on its disk.
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
        // What asks for this is an event in hand, within which no part comes.
        vertx.setTimer(1, t -> continueStop());
    }

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
