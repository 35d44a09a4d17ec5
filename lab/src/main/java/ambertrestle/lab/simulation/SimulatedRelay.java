package ambertrestle.lab.simulation;

import ambertrestle.decide.RosterInterruption;
import ambertrestle.relay.connection.Effect;
import ambertrestle.relay.connection.Event;
import ambertrestle.relay.persistence.Recovery;
import ambertrestle.relay.persistence.Recovery.InitialState;
import ambertrestle.relay.persistence.SnapshotBuilder;
import ambertrestle.relay.persistence.StateChanges;
import ambertrestle.relay.persistence.StateFileCodec;
import ambertrestle.relay.wire.BackendMessage;
import ambertrestle.relay.wire.ClientMessage;
import ambertrestle.relay.wire.NetworkCommand;
import ambertrestle.relay.wire.NetworkEvent;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One relay in virtual time. It runs the production reducer with a balancing policy, and simulates what the daemon has
 * around them: the event loop, the sockets, the roster watch and the state file. It executes the reducer's effects and
 * feeds the resulting events back to it.
 */
final class SimulatedRelay extends RelayInstance {
    /** One millisecond in nanoseconds. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Bytes of the longest line a client may send, CRLF included; a longer one is a framing error. */
    private static final int MAX_LINE_LENGTH = 4096;

    /** The roster service's address in state files. A roster is restored only if its file has the address in use. */
    private static final String ROSTER_ADDRESS = "roster:1";

    /**
     * Longest time since the roster service confirmed a restored roster for which it is used as current, in
     * nanoseconds; after that it is stale. This is the daemon's default.
     */
    private static final long ROSTER_FRESHNESS = 2_000 * NANOS_PER_MILLI;

    /** How long a relay that was asked to stop may take before it is killed, in nanoseconds. */
    private static final long STOP_TIMEOUT = 4_000 * NANOS_PER_MILLI;

    /** Time from the reducer's {@link Effect.Stop} to the end of the process, in nanoseconds. */
    private static final long EXIT_DELAY = 200 * NANOS_PER_MILLI;

    /** Time between two parts of the learned state, in nanoseconds; other events are processed in between. */
    private static final long PERSIST_PART_INTERVAL = NANOS_PER_MILLI;

    /** {@link ClientConnection#LINE_MESSAGE}, decoded once because it makes up nearly all of the clients' lines. */
    private static final ClientMessage DECODED_LINE_MESSAGE = new ClientMessage.Payload(ClientConnection.LINE_MESSAGE);

    private final SimulatedTestbed simulatedTestbed;

    /** Increases with every start and every kill, so that callbacks scheduled for an earlier process are ignored. */
    int incarnation;

    /** The relay was asked to stop; it exits by itself or is killed after {@link #STOP_TIMEOUT}. */
    private boolean stopping;

    /** The reducer of the current process, or of the last one while the relay is down. */
    private SimulatedTestbed.RelayStateMachine stateMachine;

    /** Increases with every timer that is set, so that a timer that was replaced is ignored when it fires. */
    private long timerGeneration;

    /** Number of the last client socket that this process accepted; the first is 1. */
    private long lastClientSocket;

    /** Clients of the current process by the number of their socket. */
    private final Map<Long, ClientEndpoint> clients = new LinkedHashMap<>();

    /** Backend connections of the current process by the number of their socket. */
    private final Map<Long, SimulatedBackendConnection> backendConnections = new LinkedHashMap<>();

    /** The roster as delivered to this relay; it outlives the relay's processes. */
    private final DeliveredRoster roster = new DeliveredRoster();

    /** Increases when a watch starts or ends, so that messages to an earlier watch are ignored. */
    private long watchGeneration;

    /** The last watch; null before the first one and after a kill. */
    private RosterWatch rosterWatch;

    /**
     * The newest state file, which outlives the process; null before the first one. It is replaced in one step, so a
     * kill never leaves a partly written file.
     */
    private byte[] stateFile;

    /** What the next state file is built from; null if the scenario persists no state. */
    private SnapshotBuilder snapshotBuilder;

    /** Changes since the last state file; null if the scenario persists no state. */
    private StateChanges pendingChanges;

    /** When the roster service last confirmed the roster, in nanoseconds, for the state file; 0 if unknown. */
    private long rosterConfirmedAt;

    /** This process has received a roster from the roster service. */
    private boolean rosterReceived;

    SimulatedRelay(SimulatedTestbed testbed, int number) {
        super(testbed, number);
        this.simulatedTestbed = testbed;
    }

    SimulatedTestbed simulatedTestbed() {
        return simulatedTestbed;
    }

    @Override
    protected void start(Runnable ready) {
        incarnation++;
        running = true;
        stopping = false;
        lastClientSocket = 0;
        rosterReceived = false;
        if (roster.isUninitialized()) {
            roster.apply(testbed.rosterService.fullRoster(), testbed.now());
        }
        stateMachine = simulatedTestbed.newStateMachine(recoverInitialState());
        if (incarnation > 1) {
            recordRestart();
        }
        apply(new Event.TimerFired());
        if (testbed.scenario.relays().persistsState()) {
            persistPeriodically(incarnation);
        }
        ready.run();
    }

    /** The state that the reducer starts from: the configuration's roster and the state file, if there is one. */
    private InitialState recoverInitialState() {
        RosterMessage configuredRoster = startupRoster(incarnation, roster);
        if (!testbed.scenario.relays().persistsState()) {
            return InitialState.fromConfiguration(configuredRoster);
        }
        try {
            InitialState initialState = Recovery.recover(
                    configuredRoster,
                    stateFile == null ? null : StateFileCodec.decode(stateFile),
                    ROSTER_ADDRESS,
                    ROSTER_FRESHNESS,
                    testbed.now());
            snapshotBuilder = new SnapshotBuilder(name);
            snapshotBuilder.setInitialRoster(ROSTER_ADDRESS, initialState.rosterConfirmedAt(), initialState.roster());
            pendingChanges = new StateChanges();
            rosterConfirmedAt = initialState.rosterConfirmedAt();
            return initialState;
        } catch (StateFileCodec.RejectedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Asks the reducer for its learned state twice per persist interval, as the daemon does. {@link #persist} asks for
     * the remaining parts, if there are more.
     */
    private void persistPeriodically(int expectedIncarnation) {
        if (running && incarnation == expectedIncarnation) {
            apply(new Event.LearnedStateRequested());
            testbed.scheduler.scheduleAfter(
                    testbed.scenario.relays().persistInterval() / 2, () -> persistPeriodically(expectedIncarnation));
        }
    }

    /** Collects a part of the learned state and asks for the next one. Writes the state file after the last part. */
    private void persist(Effect.PersistLearnedState effect) {
        pendingChanges.add(effect.part());
        int currentIncarnation = incarnation;
        if (effect.part().hasMore()) {
            testbed.scheduler.scheduleAfter(PERSIST_PART_INTERVAL, () -> {
                if (running && incarnation == currentIncarnation) {
                    apply(new Event.LearnedStateRequested());
                }
            });
            return;
        }
        // The real roster service confirms an unchanged roster with an empty line every 2 s. These lines are not
        // simulated, so a watch on a working service counts as a confirmation.
        rosterConfirmedAt = rosterWatch != null && rosterReceived && testbed.rosterService.failureMode() == null
                ? testbed.now()
                : rosterConfirmedAt;
        pendingChanges.applyTo(snapshotBuilder);
        pendingChanges = new StateChanges();
        snapshotBuilder.onRosterConfirmed(ROSTER_ADDRESS, rosterConfirmedAt);
        stateFile = StateFileCodec.encode(snapshotBuilder.build(testbed.now()));
    }

    /** When this relay was notified that the backend is draining or gone, in nanoseconds; -1 if it was not. */
    long drainNotifiedAt(String backend) {
        return roster.drainNotifiedAt(backend);
    }

    /** Ends the process. Its clients and backends notice after the network's latency. */
    @Override
    protected void kill() {
        running = false;
        incarnation++;
        watchGeneration++;
        unwatch();
        List<ClientEndpoint> lostClients = new ArrayList<>(clients.values());
        List<SimulatedBackendConnection> lostBackendConnections = new ArrayList<>(backendConnections.values());
        clients.clear();
        backendConnections.clear();
        lostClients.forEach(
                client -> testbed.scheduler.scheduleAfter(client.oneWayLatency, () -> client.onRelayKilled()));
        lostBackendConnections.forEach(connection -> connection.onRelayKilled());
    }

    @Override
    protected void requestStop() {
        if (running && !stopping) {
            stopping = true;
            int currentIncarnation = incarnation;
            testbed.scheduler.scheduleAfter(STOP_TIMEOUT, () -> terminate(currentIncarnation));
            apply(new Event.ShutdownRequested());
        }
    }

    /**
     * Ends the process in a planned restart, after its shutdown or because the shutdown took too long. Connections that
     * are still open are reported as violations and lost.
     */
    private void terminate(int expectedIncarnation) {
        if (running && incarnation == expectedIncarnation) {
            clients.values().forEach(ClientEndpoint::onRelayShutdown);
            kill();
        }
    }

    // ---- events from clients, backends and the roster service

    @Override
    protected void connect(ClientEndpoint client) {
        client.oneWayLatency = simulatedTestbed.clientLatency(number, client.latencyKey());
        testbed.scheduler.scheduleAfter(client.oneWayLatency, () -> {
            boolean accepted = running;
            if (accepted) {
                client.socket = ++lastClientSocket;
                client.relayIncarnation = incarnation;
                clients.put(client.socket, client);
                onNetworkEvent(new NetworkEvent.ClientAccepted(client.socket));
            }
            testbed.scheduler.scheduleAfter(client.oneWayLatency, accepted ? client::onAccepted : client::onRefused);
        });
    }

    @Override
    protected void send(ClientEndpoint client, byte[] raw) {
        ClientMessage message = raw == ClientConnection.LINE_MESSAGE
                ? DECODED_LINE_MESSAGE
                : raw.length > MAX_LINE_LENGTH ? null : simulatedTestbed.decode(raw);
        testbed.scheduler.scheduleAfter(client.oneWayLatency, () -> {
            if (isOpen(client)) {
                onNetworkEvent(
                        message == null
                                ? new NetworkEvent.FramingError(client.socket)
                                : new NetworkEvent.ClientMessageReceived(client.socket, message));
            }
        });
    }

    @Override
    protected void disconnect(ClientEndpoint client) {
        testbed.scheduler.scheduleAfter(client.oneWayLatency, () -> {
            if (isOpen(client)) {
                onNetworkEvent(new NetworkEvent.InputShutdown(client.socket));
            }
        });
    }

    /** Whether the current process accepted the client and has not closed its socket. */
    private boolean isOpen(ClientEndpoint client) {
        return running && client.relayIncarnation == incarnation && clients.get(client.socket) == client;
    }

    /** Whether the current process opened the connection and has not released its socket. */
    private boolean isOpen(SimulatedBackendConnection connection) {
        return running
                && connection.relayIncarnation == incarnation
                && backendConnections.get(connection.socket) == connection;
    }

    /**
     * Called when a backend connection is established. The OPEN line is written at once, so the dispatch counts as
     * sent.
     */
    void onBackendConnected(SimulatedBackendConnection connection) {
        if (isOpen(connection)) {
            testbed.onDispatchSent(this, connection.backend());
            onNetworkEvent(new NetworkEvent.BackendConnected(connection.socket));
            if (isOpen(connection)) {
                onNetworkEvent(new NetworkEvent.FirstLineWritten(connection.socket));
            }
        }
    }

    /** Called when a line of the backend has arrived. */
    void onBackendLine(SimulatedBackendConnection connection, BackendMessage line) {
        if (isOpen(connection)) {
            onNetworkEvent(new NetworkEvent.BackendMessageReceived(connection.socket, line));
        }
    }

    /** Called when the backend has shut down its sending direction; the relay may still write. */
    void onBackendEnded(SimulatedBackendConnection connection) {
        if (isOpen(connection)) {
            onNetworkEvent(new NetworkEvent.InputShutdown(connection.socket));
        }
    }

    /**
     * Called when a backend connection has ended and its socket is released.
     *
     * @param reset true if the backend refused or reset it, false if the relay closed it while it was connecting
     */
    void onBackendClosed(SimulatedBackendConnection connection, boolean reset) {
        if (isOpen(connection)) {
            backendConnections.remove(connection.socket);
            onNetworkEvent(new NetworkEvent.SocketClosed(connection.socket, reset));
        }
    }

    /**
     * One watch on the roster service. Its messages arrive after the network's latency. They are dropped if the watch
     * has ended or was replaced by then.
     */
    private final class RosterWatch implements SimulatedRosterService.Watcher {
        private final long generation = ++watchGeneration;

        private void scheduleDelivery(Runnable delivery) {
            testbed.scheduler.scheduleAfter(simulatedTestbed.rosterLatency(number), () -> {
                if (running && generation == watchGeneration) {
                    delivery.run();
                }
            });
        }

        /**
         * Asks for the roster's changes after version {@code fromVersion}. The service sends the complete roster
         * instead if that is negative or newer than its current version. The request reaches the service after two
         * one-way latencies.
         */
        void subscribe(long fromVersion) {
            testbed.scheduler.scheduleAfter(2 * simulatedTestbed.rosterLatency(number), () -> {
                if (running && generation == watchGeneration && !testbed.rosterService.watch(this, fromVersion)) {
                    reportFailure("not connected", RosterInterruption.CALL_FAILED);
                }
            });
        }

        @Override
        public void onMessage(RosterMessage message) {
            scheduleDelivery(() -> {
                roster.apply(message, testbed.now());
                onNetworkEvent(new NetworkEvent.RosterReceived(message));
            });
        }

        @Override
        public void onWatchEnded() {
            reportFailure("cut off", RosterInterruption.WATCH_ENDED);
        }

        private void reportFailure(String reason, RosterInterruption cause) {
            scheduleDelivery(() -> {
                watchGeneration++;
                onNetworkEvent(new NetworkEvent.RosterWatchFailed(reason, cause, 0));
            });
        }
    }

    /** Ends the last watch at the roster service, without an event for the reducer. */
    private void unwatch() {
        if (rosterWatch != null) {
            testbed.rosterService.unwatch(rosterWatch);
            rosterWatch = null;
        }
    }

    private void onNetworkEvent(NetworkEvent networkEvent) {
        apply(new Event.NetworkEventReceived(networkEvent));
    }

    /** Feeds one event to the reducer and executes the effects that it returns, in their order. */
    private void apply(Event event) {
        for (Effect effect : stateMachine.apply(event, testbed.now())) {
            execute(effect);
        }
    }

    // ---- effects of the reducer

    private void execute(Effect effect) {
        if (effect instanceof Effect.ExecuteCommand execution) {
            execute(execution.command());
        } else if (effect instanceof Effect.ScheduleTimer timer) {
            long generation = ++timerGeneration;
            // Like the daemon's timer: whole milliseconds, rounded up, at least one. The time can be as large as
            // Long.MAX_VALUE, which means never; halving the limit prevents an overflow.
            long delay = Math.max(
                            1,
                            (Math.min(timer.time(), Long.MAX_VALUE / 2) - testbed.now() + NANOS_PER_MILLI - 1)
                                    / NANOS_PER_MILLI)
                    * NANOS_PER_MILLI;
            testbed.scheduler.scheduleAfter(delay, () -> {
                if (running && generation == timerGeneration) {
                    apply(new Event.TimerFired());
                }
            });
        } else if (effect instanceof Effect.PersistLearnedState learned) {
            persist(learned);
        } else if (effect instanceof Effect.PersistRoster received) {
            rosterReceived = true;
            pendingChanges.add(received.message());
        } else if (effect instanceof Effect.Stop) {
            int currentIncarnation = incarnation;
            if (testbed.scenario.relays().persistsState()) {
                apply(new Event.LearnedStateRequested());
            }
            testbed.scheduler.scheduleAfter(EXIT_DELAY, () -> terminate(currentIncarnation));
        }
    }

    /** Executes a command. Client sockets have positive numbers, backend sockets negative ones. */
    private void execute(NetworkCommand command) {
        if (command instanceof NetworkCommand.Connect connect) {
            SimulatedBackendConnection connection =
                    new SimulatedBackendConnection(this, connect.socket(), connect.firstLine());
            backendConnections.put(connect.socket(), connection);
            connection.connect(connect.address());
        } else if (command instanceof NetworkCommand.Write write) {
            if (write.socket() > 0) {
                ClientEndpoint client = clients.get(write.socket());
                if (client != null) {
                    testbed.scheduler.scheduleAfter(client.oneWayLatency, () -> client.onLine(write.line()));
                }
            } else {
                SimulatedBackendConnection connection = backendConnections.get(write.socket());
                if (connection != null) {
                    connection.forwardLine();
                }
            }
        } else if (command instanceof NetworkCommand.ShutdownOutput shutdown) {
            if (shutdown.socket() > 0) {
                ClientEndpoint client = clients.get(shutdown.socket());
                if (client != null) {
                    testbed.scheduler.scheduleAfter(client.oneWayLatency, () -> client.onClosed(false));
                }
            } else {
                SimulatedBackendConnection connection = backendConnections.get(shutdown.socket());
                if (connection != null) {
                    connection.shutdownOutput();
                }
            }
        } else if (command instanceof NetworkCommand.Close close) {
            closeSocket(close.socket(), false);
        } else if (command instanceof NetworkCommand.Reset reset) {
            closeSocket(reset.socket(), true);
        } else if (command instanceof NetworkCommand.WatchRoster watch) {
            unwatch();
            rosterWatch = new RosterWatch();
            rosterWatch.subscribe(watch.fromVersion());
        }
    }

    /**
     * Closes or resets a socket. As with the daemon's sockets, a later event notifies the reducer that the socket is
     * released. A backend connection that is still connecting is released, and the reducer notified, only when its
     * connect attempt ends.
     */
    private void closeSocket(long socket, boolean reset) {
        int currentIncarnation = incarnation;
        if (socket > 0) {
            ClientEndpoint client = clients.remove(socket);
            if (client != null) {
                testbed.scheduler.scheduleAfter(client.oneWayLatency, () -> client.onClosed(reset));
                testbed.scheduler.scheduleAfter(0, () -> notifySocketClosed(currentIncarnation, socket));
            }
        } else {
            SimulatedBackendConnection connection = backendConnections.get(socket);
            if (connection != null && connection.closeByRelay(reset)) {
                backendConnections.remove(socket);
                testbed.scheduler.scheduleAfter(0, () -> notifySocketClosed(currentIncarnation, socket));
            }
        }
    }

    /** Notifies the reducer that the socket is released, unless its process has ended in the meantime. */
    private void notifySocketClosed(int expectedIncarnation, long socket) {
        if (running && incarnation == expectedIncarnation) {
            onNetworkEvent(new NetworkEvent.SocketClosed(socket, false));
        }
    }
}
