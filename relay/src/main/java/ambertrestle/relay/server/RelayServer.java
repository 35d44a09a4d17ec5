package ambertrestle.relay.server;

import ambertrestle.decide.Balancer;
import ambertrestle.relay.connection.Effect;
import ambertrestle.relay.connection.Event;
import ambertrestle.relay.connection.Reducer;
import ambertrestle.relay.persistence.DirectoryInUseException;
import ambertrestle.relay.persistence.LogMessage;
import ambertrestle.relay.persistence.PersistenceConfiguration;
import ambertrestle.relay.persistence.Recovery;
import ambertrestle.relay.persistence.StateSnapshot;
import ambertrestle.relay.persistence.StateStore;
import ambertrestle.relay.server.RelayConfiguration.InvalidConfigurationException;
import ambertrestle.relay.wire.NetworkCommand;
import ambertrestle.relay.wire.NetworkEvent;
import ambertrestle.relay.wire.RosterWatcher;
import ambertrestle.relay.wire.SingleEventLoopTransport;
import ambertrestle.relay.wire.SocketManager;
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
public final class RelayServer {
    /** Longer than any client waits; the platform kills sooner. */
    private static final long LONGEST_STOP_SECONDS = 30;

    private final Vertx vertx;
    private final Context loop;
    private final SocketManager sockets;
    private final RosterWatcher watch;
    private final Reducer reducer;
    private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
    private final CountDownLatch done = new CountDownLatch(1);
    private boolean busy;
    private long timer = -1;
    /** Unix time at the start less the monotonic clock's: the one place where the two are tied. */
    private final long unixTimeOffsetNanos = System.currentTimeMillis() * 1_000_000 - System.nanoTime();

    /** Keeps what is learned beyond this process; null where nothing is kept. */
    private final StatePersister statePersister;

    private RelayServer(
            Vertx vertx,
            RelayConfiguration sheet,
            PersistenceConfiguration durable,
            StateStore keeper,
            List<LogMessage> said) {
        this.vertx = vertx;
        loop = vertx.getOrCreateContext();
        sockets = new SocketManager(vertx, sheet.connectTimeoutMillis(), sheet.names(), this::onNetworkEvent);
        watch = new RosterWatcher(vertx, this::onNetworkEvent);
        if (keeper == null) {
            statePersister = null;
            reducer = new Reducer(sheet.reducerConfiguration(), sheet.initialRoster(), now());
        } else {
            String rosterAt = sheet.reducerConfiguration().rosterAddress().toString();
            StateSnapshot kept = keeper.restore(now(), said);
            Recovery.InitialState beginning =
                    Recovery.recover(sheet.initialRoster(), kept, rosterAt, durable.maxFreshRosterAgeNanos(), now());
            said.addAll(beginning.logMessages());
            said.forEach(RelayServer::log);
            keeper.setInitialRoster(rosterAt, beginning.rosterConfirmedAt(), beginning.roster());
            statePersister = new StatePersister(
                    vertx,
                    keeper,
                    durable.intervalNanos(),
                    () -> handleEvent(new Event.LearnedStateRequested()),
                    watch,
                    unixTimeOffsetNanos);
            reducer = new Reducer(sheet.reducerConfiguration(), beginning, true, Balancer::new, now());
        }
    }

    /** Runs until the process is told to stop; on a bad sheet or a listen address in use, exit code 1. */
    public static void run(Map<String, String> environment, Log.Format form, PersistenceConfiguration durable) {
        RelayConfiguration sheet;
        try {
            sheet = RelayConfiguration.read(environment);
        } catch (InvalidConfigurationException e) {
            exitWithError(e.getMessage());
            return;
        }
        Log.configure(form, sheet.name());
        List<LogMessage> said = new ArrayList<>();
        StateStore keeper = null;
        if (durable != null) {
            try {
                keeper = StateStore.open(durable, sheet.name(), said);
            } catch (DirectoryInUseException e) {
                exitWithError("durable.folder " + durable.directory() + " " + e.getMessage());
                return;
            }
        }
        Vertx vertx = Vertx.builder()
                .withTransport(new SingleEventLoopTransport())
                .with(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setFileSystemOptions(new FileSystemOptions()
                                .setFileCachingEnabled(false)
                                .setClassPathResolvingEnabled(false)))
                .build();
        RelayServer serve;
        try {
            serve = new RelayServer(vertx, sheet, durable, keeper, said);
        } catch (IllegalArgumentException e) {
            exitWithError("settings: " + e.getMessage());
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(serve::stop, "stop"));
        // Danger: unhandled, SIGHUP ends the JVM and with it all that is open.
        Signal.handle(
                new Signal("HUP"),
                signal -> serve.loop.runOnContext(v -> serve.reloadConfiguration(sheet, environment)));
        serve.loop.runOnContext(v -> serve.start(sheet));
    }

    private static void exitWithError(String why) {
        System.err.println("ambertrestle: " + why);
        Runtime.getRuntime().halt(1);
    }

    private void start(RelayConfiguration sheet) {
        sockets.listen(sheet.listenAddress().host(), sheet.listenAddress().port())
                .onFailure(e ->
                        exitWithError("BALANCER_LISTEN " + sheet.listenAddress().host() + ":"
                                + sheet.listenAddress().port() + " cannot be listened on: " + e.getMessage()))
                .onSuccess(v -> {
                    Log.log(Level.INFO, "serves", sheet.name() + " serves");
                    handleEvent(new Event.TimerFired());
                    if (statePersister != null) {
                        statePersister.start();
                    }
                });
    }

    /** Told by SIGHUP: the file is read again; a faulty one changes nothing. */
    private void reloadConfiguration(RelayConfiguration first, Map<String, String> environment) {
        RelayConfiguration later;
        try {
            later = RelayConfiguration.read(environment);
        } catch (InvalidConfigurationException e) {
            Log.log(Level.WARNING, "reread-refused", "the configuration stays as it was: " + e.getMessage());
            return;
        }
        List<String> keys = first.keysNeedingRestart(later);
        Log.log(
                Level.INFO,
                "reread",
                "the configuration was read again"
                        + (keys.isEmpty() ? "" : "; taken over only at the next start: " + String.join(", ", keys)));
        handleEvent(new Event.ConfigurationReloaded(
                later.reducerConfiguration().rosterAddress(),
                later.reducerConfiguration().maxSockets()));
    }

    /** One that never goes back and reads like Unix time, so that what the roster tells needs no other. */
    private long now() {
        return System.nanoTime() + unixTimeOffsetNanos;
    }

    private void onNetworkEvent(NetworkEvent heard) {
        handleEvent(new Event.NetworkEventReceived(heard));
    }

    /** Effects may bring events at once; those wait until the event in hand is done. */
    private void handleEvent(Event event) {
        pendingEvents.add(event);
        if (busy) {
            return;
        }
        busy = true;
        while (!pendingEvents.isEmpty()) {
            try {
                for (Effect effect : reducer.apply(pendingEvents.poll(), now())) {
                    execute(effect);
                }
            } catch (RuntimeException e) {
                // Danger: one event that fails must neither end the relay nor hold up those behind it.
                Log.logFailure("event-failed", "an event failed", e);
            }
        }
        busy = false;
    }

    static void log(LogMessage said) {
        Log.log(said.isWarning() ? Level.WARNING : Level.INFO, said.event(), said.text(), said.fields());
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.ExecuteCommand wire) {
            if (wire.command() instanceof NetworkCommand.WatchRoster from) {
                watch.watch(from.address(), from.fromVersion());
            } else {
                sockets.execute(wire.command());
            }
        } else if (effect instanceof Effect.ScheduleTimer wake) {
            vertx.cancelTimer(timer);
            timer = vertx.setTimer(
                    Math.max(1, (wake.time() - now() + 999_999) / 1_000_000), t -> handleEvent(new Event.TimerFired()));
        } else if (effect instanceof Effect.WriteLog note) {
            Log.log(Level.INFO, note.event(), note.text(), note.fields());
        } else if (effect instanceof Effect.PersistLearnedState keep) {
            statePersister.add(keep.part());
        } else if (effect instanceof Effect.PersistRoster keep) {
            statePersister.add(keep.message());
        } else if (effect instanceof Effect.Stop && statePersister != null) {
            statePersister.stop(() -> vertx.setTimer(200, t -> done.countDown()));
        } else if (effect instanceof Effect.Stop) {
            vertx.setTimer(200, t -> done.countDown());
        }
    }

    /** The JVM ends once this hook returns, so it waits until all that was taken is settled. */
    private void stop() {
        loop.runOnContext(v -> handleEvent(new Event.ShutdownRequested()));
        try {
            done.await(LONGEST_STOP_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
