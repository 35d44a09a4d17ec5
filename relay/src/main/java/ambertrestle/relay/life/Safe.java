package ambertrestle.relay.life;

import ambertrestle.decide.Kept;
import ambertrestle.relay.durable.Hand;
import ambertrestle.relay.durable.Keeper;
import ambertrestle.relay.wire.RosterMessage;
import ambertrestle.relay.wire.RosterWatch;
import io.vertx.core.Vertx;
import io.vertx.core.WorkerExecutor;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Times the keeping: gathers what changed on the event loop, a part a turn, and hands it to one thread beside the loop,
 * one write at a time. While a write lasts nothing is gathered, so a stalled disk costs neither time nor memory here.
 */
final class Safe {
    /** What is gathered may go on at the end of a relay for so long. */
    private static final long LAST_MILLIS = 1_000;

    private final Vertx vertx;
    private final Keeper keeper;
    private final long interval;
    private final Runnable ask;
    private final RosterWatch watch;
    private final long wallLess;
    private final WorkerExecutor beside;
    private Hand hand = new Hand();
    private boolean gathering;
    /** Counts the parts that came. */
    private long taken;

    private boolean writing;
    private long writingSince;
    private boolean toldLate;
    /** At the end: whether one more is owed, and what then follows; null while it serves. */
    private boolean last;

    private Runnable whenOver;

    /** `ask`: makes the reducer give a part, which comes back by {@link #take}. */
    Safe(Vertx vertx, Keeper keeper, long interval, Runnable ask, RosterWatch watch, long wallLess) {
        this.vertx = vertx;
        this.keeper = keeper;
        this.interval = interval;
        this.ask = ask;
        this.watch = watch;
        this.wallLess = wallLess;
        // Danger: in the one pool of Vert.x a stalled disk would hold up whatever else must wait there.
        beside = vertx.createSharedWorkerExecutor("durable", 1, 1, TimeUnit.HOURS);
    }

    /** Twice an interval, so that with a write under way the file that stands is still no older than one. */
    void begin() {
        vertx.setPeriodic(Math.max(1, interval / 2_000_000), t -> keep());
        keep();
    }

    private void keep() {
        if (writing && System.nanoTime() - writingSince > interval && !toldLate) {
            toldLate = true;
            Log.tell(
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
        long parts = taken;
        ask.run();
        gathering = gathering && taken > parts;
    }

    void take(Kept part) {
        taken++;
        hand.take(part);
        if (part.more()) {
            vertx.setTimer(1, t -> askForPart());
        } else {
            gathering = false;
            write();
        }
    }

    void take(RosterMessage message) {
        hand.take(message);
    }

    private void write() {
        Hand mine = hand;
        hand = new Hand();
        writing = true;
        writingSince = System.nanoTime();
        long now = writingSince + wallLess;
        String heardFrom = watch.heardFrom() == null ? null : watch.heardFrom().toString();
        long heardAt = watch.heardAt() + wallLess;
        beside.executeBlocking(() -> keeper.write(mine, heardFrom, heardAt, now))
                .onComplete(result -> {
                    writing = false;
                    toldLate = false;
                    if (result.failed()) {
                        Log.failed("state-not-kept", "keeping failed", result.cause());
                    } else if (result.result() != null) {
                        Serve.tell(result.result());
                    }
                    if (whenOver != null) {
                        lastOrOver();
                    }
                });
    }

    /**
     * Keeps once more, then runs that, after a second at the latest: a relay told to stop must not hang on its disk.
     */
    void end(Runnable then) {
        boolean[] ran = new boolean[1];
        Runnable once = () -> {
            if (!ran[0]) {
                ran[0] = true;
                then.run();
            }
        };
        vertx.setTimer(LAST_MILLIS, t -> once.run());
        whenOver = once;
        last = true;
        // What asks for this is an event in hand, within which no part comes.
        vertx.setTimer(1, t -> lastOrOver());
    }

    private void lastOrOver() {
        if (writing || gathering) {
            return;
        }
        if (last) {
            last = false;
            keep();
        } else {
            whenOver.run();
        }
    }
}
