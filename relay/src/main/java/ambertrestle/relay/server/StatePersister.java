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
    private final StateStore keeper;
    private final long interval;
    private final Runnable requestPart;
    private final RosterWatcher watch;
    private final long unixTimeOffsetNanos;
    private final WorkerExecutor writerExecutor;
    private StateChanges changes = new StateChanges();
    private boolean gathering;
    /** Counts the parts that came. */
    private long receivedParts;

    private boolean writing;
    private long writingSince;
    private boolean slowWriteLogged;
    /** At the end: whether one more is owed, and what then follows; null while it serves. */
    private boolean finalWritePending;

    private Runnable onStopped;

    /** `ask`: makes the reducer give a part, which comes back by {@link #add}. */
    StatePersister(Vertx vertx, StateStore keeper, long interval, Runnable ask, RosterWatcher watch, long wallLess) {
        this.vertx = vertx;
        this.keeper = keeper;
        this.interval = interval;
        this.requestPart = ask;
        this.watch = watch;
        this.unixTimeOffsetNanos = wallLess;
        // Danger: in the one pool of Vert.x a stalled disk would hold up whatever else must wait there.
        writerExecutor = vertx.createSharedWorkerExecutor("durable", 1, 1, TimeUnit.HOURS);
    }

    /** Twice an interval, so that with a write under way the file that stands is still no older than one. */
    void start() {
        vertx.setPeriodic(Math.max(1, interval / 2_000_000), t -> beginPersist());
        beginPersist();
    }

    private void beginPersist() {
        if (writing && System.nanoTime() - writingSince > interval && !slowWriteLogged) {
            slowWriteLogged = true;
            Log.log(
                    Level.WARNING,
                    "state-late",
                    "a write of what is kept takes longer than durable.interval",
                    Map.of());
        }
        if (!writing && !gathering) {
            gathering = true;
            askForPart();
        }
    }

    /** Danger: where the reducer fails, no part comes, and nothing would ever be kept again. */
    private void askForPart() {
        long parts = receivedParts;
        requestPart.run();
        gathering = gathering && receivedParts > parts;
    }

    void add(LearnedState part) {
        receivedParts++;
        changes.add(part);
        if (part.hasMore()) {
            vertx.setTimer(1, t -> askForPart());
        } else {
            gathering = false;
            write();
        }
    }

    void add(RosterMessage message) {
        changes.add(message);
    }

    private void write() {
        StateChanges mine = changes;
        changes = new StateChanges();
        writing = true;
        writingSince = System.nanoTime();
        long now = writingSince + unixTimeOffsetNanos;
        String heardFrom = watch.rosterConfirmedBy() == null
                ? null
                : watch.rosterConfirmedBy().toString();
        long heardAt = watch.rosterConfirmedAt() + unixTimeOffsetNanos;
        writerExecutor
                .executeBlocking(() -> keeper.persist(mine, heardFrom, heardAt, now))
                .onComplete(result -> {
                    writing = false;
                    slowWriteLogged = false;
                    if (result.failed()) {
                        Log.logFailure("state-not-kept", "keeping failed", result.cause());
                    } else if (result.result() != null) {
                        RelayServer.log(result.result());
                    }
                    if (onStopped != null) {
                        persistFinallyOrFinish();
                    }
                });
    }

    /**
     * Keeps once more, then runs that, after a second at the latest: a relay told to stop must not hang on its disk.
     */
    void stop(Runnable then) {
        boolean[] ran = new boolean[1];
        Runnable once = () -> {
            if (!ran[0]) {
                ran[0] = true;
                then.run();
            }
        };
        vertx.setTimer(FINAL_WRITE_TIMEOUT_MILLIS, t -> once.run());
        onStopped = once;
        finalWritePending = true;
        // What asks for this is an event in hand, within which no part comes.
        vertx.setTimer(1, t -> persistFinallyOrFinish());
    }

    private void persistFinallyOrFinish() {
        if (writing || gathering) {
            return;
        }
        if (finalWritePending) {
            finalWritePending = false;
            beginPersist();
        } else {
            onStopped.run();
        }
    }
}
