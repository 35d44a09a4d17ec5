package ambertrestle.relay.life;

import ambertrestle.decide.Balancer;
import ambertrestle.relay.durable.DurableSheet;
import ambertrestle.relay.durable.InUse;
import ambertrestle.relay.durable.Keeper;
import ambertrestle.relay.durable.Picture;
import ambertrestle.relay.durable.Recovery;
import ambertrestle.relay.durable.Said;
import ambertrestle.relay.life.RunSheet.BadSheet;
import ambertrestle.relay.memory.Effect;
import ambertrestle.relay.memory.Event;
import ambertrestle.relay.memory.Reducer;
import ambertrestle.relay.wire.Ask;
import ambertrestle.relay.wire.Heard;
import ambertrestle.relay.wire.OneLoop;
import ambertrestle.relay.wire.RosterWatch;
import ambertrestle.relay.wire.Sockets;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/** Starts one relay, carries events to the reducer and its effects to their owners, and stops it. */
public final class Serve {
    /** Longer than any client waits; the platform kills sooner. */
    private static final long LONGEST_STOP_SECONDS = 30;

    private final Vertx vertx;
    private final Context loop;
    private final Sockets sockets;
    private final RosterWatch watch;
    private final Reducer reducer;
    private final ArrayDeque<Event> waiting = new ArrayDeque<>();
    private final CountDownLatch done = new CountDownLatch(1);
    private boolean busy;
    private long timer = -1;
    /** Unix time at the start less the monotonic clock's: the one place where the two are tied. */
    private final long wallLess = System.currentTimeMillis() * 1_000_000 - System.nanoTime();

    /** Keeps what is learned beyond this process; null where nothing is kept. */
    private final Safe safe;

    private Serve(Vertx vertx, RunSheet sheet, DurableSheet durable, Keeper keeper, List<Said> said) {
        this.vertx = vertx;
        loop = vertx.getOrCreateContext();
        sockets = new Sockets(vertx, sheet.connectMillis(), sheet.names(), this::heard);
        watch = new RosterWatch(vertx, this::heard);
        if (keeper == null) {
            safe = null;
            reducer = new Reducer(sheet.values(), sheet.known(), now());
        } else {
            String rosterAt = sheet.values().rosterAt().toString();
            Picture kept = keeper.read(now(), said);
            Recovery.Beginning beginning = Recovery.begin(sheet.known(), kept, rosterAt, durable.sure(), now());
            said.addAll(beginning.said());
            said.forEach(Serve::tell);
            keeper.begin(rosterAt, beginning.heardAt(), beginning.list());
            safe = new Safe(vertx, keeper, durable.interval(), () -> happened(new Event.Keep()), watch, wallLess);
            reducer = new Reducer(sheet.values(), beginning, true, Balancer::new, now());
        }
    }

    /** Runs until the process is told to stop; on a bad sheet or a listen address in use, exit code 1. */
    public static void run(Map<String, String> environment, Log.Form form, DurableSheet durable) {
        RunSheet sheet;
        try {
            sheet = RunSheet.read(environment);
        } catch (BadSheet e) {
            fail(e.getMessage());
            return;
        }
        Log.begin(form, sheet.name());
        List<Said> said = new ArrayList<>();
        Keeper keeper = null;
        if (durable != null) {
            try {
                keeper = Keeper.open(durable, sheet.name(), said);
            } catch (InUse e) {
                fail("durable.folder " + durable.folder() + " " + e.getMessage());
                return;
            }
        }
        Vertx vertx = Vertx.builder()
                .withTransport(new OneLoop())
                .with(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setFileSystemOptions(new FileSystemOptions()
                                .setFileCachingEnabled(false)
                                .setClassPathResolvingEnabled(false)))
                .build();
        Serve serve;
        try {
            serve = new Serve(vertx, sheet, durable, keeper, said);
        } catch (IllegalArgumentException e) {
            fail("settings: " + e.getMessage());
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(serve::stop, "stop"));
        // Danger: unhandled, SIGHUP ends the JVM and with it all that is open.
        Signal.handle(new Signal("HUP"), signal -> serve.loop.runOnContext(v -> serve.reread(sheet, environment)));
        serve.loop.runOnContext(v -> serve.start(sheet));
    }

    private static void fail(String why) {
        System.err.println("ambertrestle: " + why);
        Runtime.getRuntime().halt(1);
    }

    private void start(RunSheet sheet) {
        sockets.listen(sheet.listen().host(), sheet.listen().port())
                .onFailure(e -> fail("BALANCER_LISTEN " + sheet.listen().host() + ":"
                        + sheet.listen().port() + " cannot be listened on: " + e.getMessage()))
                .onSuccess(v -> {
                    Log.tell(Level.INFO, "serves", sheet.name() + " serves");
                    happened(new Event.Woke());
                    if (safe != null) {
                        safe.begin();
                    }
                });
    }

    /** Told by SIGHUP: the file is read again; a faulty one changes nothing. */
    private void reread(RunSheet first, Map<String, String> environment) {
        RunSheet later;
        try {
            later = RunSheet.read(environment);
        } catch (BadSheet e) {
            Log.tell(Level.WARNING, "reread-refused", "the configuration stays as it was: " + e.getMessage());
            return;
        }
        List<String> keys = first.onlyAtStart(later);
        Log.tell(
                Level.INFO,
                "reread",
                "the configuration was read again"
                        + (keys.isEmpty() ? "" : "; taken over only at the next start: " + String.join(", ", keys)));
        happened(new Event.Reread(later.values().rosterAt(), later.values().mostSockets()));
    }

    /** One that never goes back and reads like Unix time, so that what the roster tells needs no other. */
    private long now() {
        return System.nanoTime() + wallLess;
    }

    private void heard(Heard heard) {
        happened(new Event.OnWire(heard));
    }

    /** Effects may bring events at once; those wait until the event in hand is done. */
    private void happened(Event event) {
        waiting.add(event);
        if (busy) {
            return;
        }
        busy = true;
        while (!waiting.isEmpty()) {
            try {
                for (Effect effect : reducer.apply(waiting.poll(), now())) {
                    carryOut(effect);
                }
            } catch (RuntimeException e) {
                // Danger: one event that fails must neither end the relay nor hold up those behind it.
                Log.failed("event-failed", "an event failed", e);
            }
        }
        busy = false;
    }

    static void tell(Said said) {
        Log.tell(said.bad() ? Level.WARNING : Level.INFO, said.event(), said.line(), said.fields());
    }

    private void carryOut(Effect effect) {
        if (effect instanceof Effect.OnWire wire) {
            if (wire.ask() instanceof Ask.Watch from) {
                watch.ask(from.at(), from.index());
            } else {
                sockets.carryOut(wire.ask());
            }
        } else if (effect instanceof Effect.WakeAt wake) {
            vertx.cancelTimer(timer);
            timer = vertx.setTimer(
                    Math.max(1, (wake.time() - now() + 999_999) / 1_000_000), t -> happened(new Event.Woke()));
        } else if (effect instanceof Effect.Note note) {
            Log.tell(Level.INFO, note.event(), note.line(), note.fields());
        } else if (effect instanceof Effect.Keep keep) {
            safe.take(keep.part());
        } else if (effect instanceof Effect.KeepRoster keep) {
            safe.take(keep.message());
        } else if (effect instanceof Effect.Stop && safe != null) {
            safe.end(() -> vertx.setTimer(200, t -> done.countDown()));
        } else if (effect instanceof Effect.Stop) {
            vertx.setTimer(200, t -> done.countDown());
        }
    }

    /** The JVM ends once this hook returns, so it waits until all that was taken is settled. */
    private void stop() {
        loop.runOnContext(v -> happened(new Event.ToldToStop()));
        try {
            done.await(LONGEST_STOP_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
