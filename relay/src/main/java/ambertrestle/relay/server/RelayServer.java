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
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/**
 * One running relay: starts it, passes events to the reducer, executes the effects that the reducer returns, and stops
 * it. Everything except starting, the wait in {@link #stop} and writing state files runs on one event loop.
 */
public final class RelayServer {
    /**
     * Time limit for ending open associations at shutdown. No client waits that long, and the platform kills sooner.
     */
    private static final long MAX_SHUTDOWN_SECONDS = 30;
    /**
     * Time between the end of the shutdown, last write of the state included, and the end of the JVM. The event loop
     * needs it to write what is still buffered for clients and backends.
     */
    private static final long STOP_DELAY_MILLIS = 200;

    /** Longest time for which clients are refused because the first request for the roster is not sent yet. */
    private static final long MAX_LISTEN_DELAY_MILLIS = 500;

    private static final int NANOS_PER_MILLI = 1_000_000;

    private final Vertx vertx;
    private final Context eventLoop;
    private final SocketManager socketManager;
    private final RosterWatcher rosterWatcher;
    private final Reducer reducer;
    private final EventQueue events =
            new EventQueue(this::applyEvent, code -> Runtime.getRuntime().halt(code));
    /** Released when the JVM may end. */
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** Vert.x id of the reducer's timer; -1 before the first. */
    private long reducerTimer = -1;
    /**
     * Unix time minus the monotonic clock, in nanoseconds, read once at the start. The two clocks are related nowhere
     * else.
     */
    private final long unixTimeOffsetNanos = System.currentTimeMillis() * NANOS_PER_MILLI - System.nanoTime();

    /** Persists the learned state and the roster; null if persistence is off. */
    private final StatePersister statePersister;

    private RelayServer(
            Vertx vertx,
            RelayConfiguration configuration,
            PersistenceConfiguration persistence,
            StateStore stateStore,
            List<LogMessage> logMessages) {
        this.vertx = vertx;
        eventLoop = vertx.getOrCreateContext();
        vertx.exceptionHandler(events::onFailure);
        socketManager = new SocketManager(
                vertx, configuration.connectTimeoutMillis(), configuration.names(), this::onNetworkEvent);
        rosterWatcher = new RosterWatcher(vertx, this::onNetworkEvent);
        if (stateStore == null) {
            statePersister = null;
            reducer = new Reducer(configuration.reducerConfiguration(), configuration.initialRoster(), now());
        } else {
            String rosterAddress =
                    configuration.reducerConfiguration().rosterAddress().toString();
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
            reducer = new Reducer(configuration.reducerConfiguration(), initialState, true, Balancer::new, now());
        }
    }

    /**
     * Starts a relay and returns; the relay runs until the process gets SIGTERM. The process ends with exit code 1 if
     * the configuration is faulty, if another relay uses the state directory, or if the relay cannot listen.
     *
     * @param persistence where and how to persist the state; null to not persist it
     */
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
            exitWithError(e.getMessage());
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(server::stop, "stop"));
        // Without a handler, SIGHUP ends the JVM and with it all open connections.
        Signal.handle(
                new Signal("HUP"),
                signal -> server.eventLoop.runOnContext(v -> server.reloadConfiguration(configuration, environment)));
        server.eventLoop.runOnContext(v -> server.start(configuration));
    }

    /** Ends the process with exit code 1, without running shutdown hooks. */
    private static void exitWithError(String reason) {
        System.err.println("ambertrestle: " + reason);
        Runtime.getRuntime().halt(1);
    }

    private void start(RelayConfiguration configuration) {
        handleEvent(new Event.TimerFired());
        if (!configuration.reducerConfiguration().isRosterPushed()) {
            listen(configuration);
            return;
        }
        // The first request for the roster loads many classes. A client that could connect before would wait for that
        // without the relay's knowledge, and might get its answer too late.
        Promise<Void> mayListen = Promise.promise();
        rosterWatcher.firstRequestSent().onComplete(sent -> mayListen.tryComplete());
        vertx.setTimer(MAX_LISTEN_DELAY_MILLIS, t -> mayListen.tryComplete());
        mayListen.future().onComplete(v -> listen(configuration));
    }

    private void listen(RelayConfiguration configuration) {
        socketManager
                .listen(
                        configuration.listenAddress().host(),
                        configuration.listenAddress().port())
                .onFailure(e -> exitWithError(
                        "BALANCER_LISTEN " + configuration.listenAddress().host() + ":"
                                + configuration.listenAddress().port() + " cannot be listened on: " + e.getMessage()))
                .onSuccess(v -> {
                    Log.log(Level.INFO, "serves", configuration.name() + " serves");
                    if (statePersister != null) {
                        statePersister.start();
                    }
                });
    }

    /**
     * Reads the configuration again, on SIGHUP. A faulty file changes nothing.
     *
     * @param current the configuration with which the relay started
     */
    private void reloadConfiguration(RelayConfiguration current, Map<String, String> environment) {
        RelayConfiguration reloaded;
        try {
            reloaded = RelayConfiguration.read(environment);
        } catch (InvalidConfigurationException e) {
            Log.log(
                    Level.WARNING,
                    "reread-refused",
                    "the configuration is unchanged, the new one is faulty: " + e.getMessage());
            return;
        }
        List<String> keys = current.keysNeedingRestart(reloaded);
        Log.log(
                Level.INFO,
                "reread",
                "the configuration was read again"
                        + (keys.isEmpty()
                                ? ""
                                : "; changed keys that take effect only after a restart: " + String.join(", ", keys)));
        handleEvent(new Event.ConfigurationReloaded(
                reloaded.reducerConfiguration().rosterAddress(),
                reloaded.reducerConfiguration().maxSockets()));
    }

    /**
     * Unix time in nanoseconds that follows the monotonic clock. It never goes back, and times in the roster, which are
     * Unix time, can be compared with it directly.
     */
    private long now() {
        return System.nanoTime() + unixTimeOffsetNanos;
    }

    private void onNetworkEvent(NetworkEvent networkEvent) {
        handleEvent(new Event.NetworkEventReceived(networkEvent));
    }

    /** Handles an event. Events that its effects raise at once are queued until it is finished. */
    private void handleEvent(Event event) {
        events.add(event);
    }

    private void applyEvent(Event event) {
        for (Effect effect : reducer.apply(event, now())) {
            execute(effect);
        }
    }

    /** Writes a message of the persistence package to the log. */
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
                    Math.max(1, (schedule.time() - now() + (NANOS_PER_MILLI - 1)) / NANOS_PER_MILLI), // rounded up
                    t -> handleEvent(new Event.TimerFired()));
        } else if (effect instanceof Effect.WriteLog entry) {
            Log.log(Level.INFO, entry.event(), entry.text(), entry.fields());
        } else if (effect instanceof Effect.PersistLearnedState persist) {
            statePersister.add(persist.part());
        } else if (effect instanceof Effect.PersistRoster persist) {
            statePersister.add(persist.message());
        } else if (effect instanceof Effect.Stop && statePersister != null) {
            statePersister.stop(() -> vertx.setTimer(STOP_DELAY_MILLIS, t -> stopped.countDown()));
        } else if (effect instanceof Effect.Stop) {
            vertx.setTimer(STOP_DELAY_MILLIS, t -> stopped.countDown());
        }
    }

    /**
     * The shutdown hook: requests the shutdown and waits until all accepted associations have ended, because the JVM
     * ends when the hook returns. Waits for {@link #MAX_SHUTDOWN_SECONDS} at most.
     */
    private void stop() {
        eventLoop.runOnContext(v -> handleEvent(new Event.ShutdownRequested()));
        try {
            stopped.await(MAX_SHUTDOWN_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
