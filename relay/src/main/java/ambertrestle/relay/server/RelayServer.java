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
    private static final long MAX_SHUTDOWN_SECONDS = 30;

    private final Vertx vertx;
    private final Context eventLoop;
    private final SocketManager socketManager;
    private final RosterWatcher rosterWatcher;
    private final Reducer reducer;
    private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private boolean isHandlingEvents;
    private long reducerTimer = -1;
    /** Unix time at the start less the monotonic clock's: the one place where the two are tied. */
    private final long unixTimeOffsetNanos = System.currentTimeMillis() * 1_000_000 - System.nanoTime();

    /** Keeps what is learned beyond this process; null where nothing is kept. */
    private final StatePersister statePersister;

    private RelayServer(
            Vertx vertx,
            RelayConfiguration configuration,
            PersistenceConfiguration persistence,
            StateStore stateStore,
            List<LogMessage> logMessages) {
        this.vertx = vertx;
        eventLoop = vertx.getOrCreateContext();
        socketManager = new SocketManager(
                vertx, configuration.connectTimeoutMillis(), configuration.names(), this::onNetworkEvent);
        rosterWatcher = new RosterWatcher(vertx, this::onNetworkEvent);
        if (stateStore == null) {
            statePersister = null;
            reducer = new Reducer(configuration.values(), configuration.initialRoster(), now());
        } else {
            String rosterAddress = configuration.values().rosterAddress().toString();
            StateSnapshot snapshot = stateStore.restore(now(), logMessages);
            Recovery.InitialState initialState = Recovery.recover(
                    configuration.initialRoster(),
                    snapshot,
                    rosterAddress,
                    persistence.maxFreshRosterAgeNanos(),
                    now());
            logMessages.addAll(initialState.logMessages());
            logMessages.forEach(RelayServer::log);
            stateStore.setInitialRoster(rosterAddress, initialState.rosterConfirmedAt(), initialState.roster());
            statePersister = new StatePersister(
                    vertx,
                    stateStore,
                    persistence.intervalNanos(),
                    () -> handleEvent(new Event.LearnedStateRequested()),
                    rosterWatcher,
                    unixTimeOffsetNanos);
            reducer = new Reducer(configuration.values(), initialState, true, Balancer::new, now());
        }
    }

    /** Runs until the process is told to stop; on a bad sheet or a listen address in use, exit code 1. */
    public static void run(
            Map<String, String> environment, Log.Format logFormat, PersistenceConfiguration persistence) {
        RelayConfiguration configuration;
        try {
            configuration = RelayConfiguration.read(environment);
        } catch (InvalidConfigurationException e) {
            exitWithError(e.getMessage());
            return;
        }
        Log.configure(logFormat, configuration.name());
        List<LogMessage> logMessages = new ArrayList<>();
        StateStore stateStore = null;
        if (persistence != null) {
            try {
                stateStore = StateStore.open(persistence, configuration.name(), logMessages);
            } catch (DirectoryInUseException e) {
                exitWithError("durable.folder " + persistence.directory() + " " + e.getMessage());
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
        RelayServer server;
        try {
            server = new RelayServer(vertx, configuration, persistence, stateStore, logMessages);
        } catch (IllegalArgumentException e) {
            exitWithError("settings: " + e.getMessage());
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(server::stop, "stop"));
        // Danger: unhandled, SIGHUP ends the JVM and with it all that is open.
        Signal.handle(
                new Signal("HUP"),
                signal -> server.eventLoop.runOnContext(v -> server.reloadConfiguration(configuration, environment)));
        server.eventLoop.runOnContext(v -> server.start(configuration));
    }

    private static void exitWithError(String reason) {
        System.err.println("ambertrestle: " + reason);
        Runtime.getRuntime().halt(1);
    }

    private void start(RelayConfiguration configuration) {
        socketManager
                .listen(
                        configuration.listenAddress().host(),
                        configuration.listenAddress().port())
                .onFailure(e -> exitWithError(
                        "BALANCER_LISTEN " + configuration.listenAddress().host() + ":"
                                + configuration.listenAddress().port() + " cannot be listened on: " + e.getMessage()))
                .onSuccess(v -> {
                    Log.log(Level.INFO, "serves", configuration.name() + " serves");
                    handleEvent(new Event.TimerFired());
                    if (statePersister != null) {
                        statePersister.start();
                    }
                });
    }

    /** Told by SIGHUP: the file is read again; a faulty one changes nothing. */
    private void reloadConfiguration(RelayConfiguration current, Map<String, String> environment) {
        RelayConfiguration reloaded;
        try {
            reloaded = RelayConfiguration.read(environment);
        } catch (InvalidConfigurationException e) {
            Log.log(Level.WARNING, "reread-refused", "the configuration stays as it was: " + e.getMessage());
            return;
        }
        List<String> keys = current.keysNeedingRestart(reloaded);
        Log.log(
                Level.INFO,
                "reread",
                "the configuration was read again"
                        + (keys.isEmpty() ? "" : "; taken over only at the next start: " + String.join(", ", keys)));
        handleEvent(new Event.ConfigurationReloaded(
                reloaded.values().rosterAddress(), reloaded.values().maxSockets()));
    }

    /** One that never goes back and reads like Unix time, so that what the roster tells needs no other. */
    private long now() {
        return System.nanoTime() + unixTimeOffsetNanos;
    }

    private void onNetworkEvent(NetworkEvent networkEvent) {
        handleEvent(new Event.NetworkEventReceived(networkEvent));
    }

    /** Effects may bring events at once; those wait until the event in hand is done. */
    private void handleEvent(Event event) {
        pendingEvents.add(event);
        if (isHandlingEvents) {
            return;
        }
        isHandlingEvents = true;
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
        isHandlingEvents = false;
    }

    static void log(LogMessage message) {
        Log.log(message.isWarning() ? Level.WARNING : Level.INFO, message.event(), message.text(), message.fields());
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.ExecuteCommand execution) {
            if (execution.command() instanceof NetworkCommand.WatchRoster watchRoster) {
                rosterWatcher.watch(watchRoster.address(), watchRoster.fromVersion());
            } else {
                socketManager.execute(execution.command());
            }
        } else if (effect instanceof Effect.ScheduleTimer schedule) {
            vertx.cancelTimer(reducerTimer);
            reducerTimer = vertx.setTimer(
                    Math.max(1, (schedule.time() - now() + 999_999) / 1_000_000),
                    t -> handleEvent(new Event.TimerFired()));
        } else if (effect instanceof Effect.WriteLog entry) {
            Log.log(Level.INFO, entry.event(), entry.text(), entry.fields());
        } else if (effect instanceof Effect.PersistLearnedState persist) {
            statePersister.add(persist.part());
        } else if (effect instanceof Effect.PersistRoster persist) {
            statePersister.add(persist.message());
        } else if (effect instanceof Effect.Stop && statePersister != null) {
            statePersister.stop(() -> vertx.setTimer(200, t -> stopped.countDown()));
        } else if (effect instanceof Effect.Stop) {
            vertx.setTimer(200, t -> stopped.countDown());
        }
    }

    /** The JVM ends once this hook returns, so it waits until all that was taken is settled. */
    private void stop() {
        eventLoop.runOnContext(v -> handleEvent(new Event.ShutdownRequested()));
        try {
            stopped.await(MAX_SHUTDOWN_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
