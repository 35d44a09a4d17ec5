package ambertrestle.lab.simulation;

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

/** One relay: the real reducer with its decisions, and what life and sockets do for it, in virtual time. */
final class SimulatedRelay extends RelayInstance {
    private static final long MS = 1_000_000L;
    /** A longer line is none. */
    private static final int MAX_LINE_LENGTH = 4096;

    private static final String ROSTER_ADDRESS = "roster:1";
    /** A list heard no longer ago stands as it is; the daemon's default. */
    private static final long ROSTER_FRESHNESS = 2_000 * MS;

    private static final ClientMessage LINE = new ClientMessage.Payload(ClientConnection.LINE_MESSAGE);

    private final SimulatedTestbed model;
    /** Counts its starts; what was meant for an earlier one finds nobody. */
    int incarnation;
    /** Told to stop; ends by itself or is killed. */
    private boolean stopping;

    private SimulatedTestbed.RelayStateMachine stateMachine;
    private long timerGeneration;
    private long accepted;
    private final Map<Long, ClientEndpoint> clients = new LinkedHashMap<>();
    private final Map<Long, SimulatedBackendConnection> backendConnections = new LinkedHashMap<>();
    private final DeliveredRoster roster = new DeliveredRoster();
    private long watchGeneration;
    private RosterWatch rosterWatch;
    /** Its folder: what it kept, taken whole at an instant; null before it kept anything. */
    private byte[] stateFile;

    private SnapshotBuilder mirror;
    private StateChanges hand;
    private long listHeardAt;
    private boolean heardOnce;

    SimulatedRelay(SimulatedTestbed model, int number) {
        super(model, number);
        this.model = model;
    }

    SimulatedTestbed model() {
        return model;
    }

    @Override
    protected void start(Runnable ready) {
        incarnation++;
        running = true;
        stopping = false;
        accepted = 0;
        heardOnce = false;
        if (roster.isUninitialized()) {
            roster.apply(testbed.rosterService.fullRoster(), testbed.now());
        }
        stateMachine = model.newStateMachine(beginning());
        if (incarnation > 1) {
            recordRestart();
        }
        apply(new Event.TimerFired());
        if (testbed.scenario.relays().persistsState()) {
            persistPeriodically(incarnation);
        }
        ready.run();
    }

    private InitialState beginning() {
        RosterMessage known = startupRoster(incarnation, roster);
        if (!testbed.scenario.relays().persistsState()) {
            return InitialState.fromConfiguration(known);
        }
        try {
            InitialState beginning = Recovery.recover(
                    known,
                    stateFile == null ? null : StateFileCodec.decode(stateFile),
                    ROSTER_ADDRESS,
                    ROSTER_FRESHNESS,
                    testbed.now());
            mirror = new SnapshotBuilder(name);
            mirror.setInitialRoster(ROSTER_ADDRESS, beginning.rosterConfirmedAt(), beginning.roster());
            hand = new StateChanges();
            listHeardAt = beginning.rosterConfirmedAt();
            return beginning;
        } catch (StateFileCodec.RejectedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** As the daemon's: twice an interval, in parts, each with the time between that the loop gets. */
    private void persistPeriodically(int mine) {
        if (running && incarnation == mine) {
            apply(new Event.LearnedStateRequested());
            testbed.scheduler.scheduleAfter(
                    testbed.scenario.relays().persistInterval() / 2, () -> persistPeriodically(mine));
        }
    }

    private void persist(Effect.PersistLearnedState keep) {
        hand.add(keep.part());
        int mine = incarnation;
        if (keep.part().hasMore()) {
            testbed.scheduler.scheduleAfter(MS, () -> {
                if (running && incarnation == mine) {
                    apply(new Event.LearnedStateRequested());
                }
            });
            return;
        }
        // An empty line that says that the list stands comes every 2 s; the model leaves it out.
        listHeardAt = rosterWatch != null && heardOnce && testbed.rosterService.failureMode() == null
                ? testbed.now()
                : listHeardAt;
        hand.applyTo(mirror);
        hand = new StateChanges();
        mirror.onRosterConfirmed(ROSTER_ADDRESS, listHeardAt);
        stateFile = StateFileCodec.encode(mirror.build(testbed.now()));
    }

    long drainNotifiedAt(String backend) {
        return roster.drainNotifiedAt(backend);
    }

    @Override
    protected void kill() {
        running = false;
        incarnation++;
        watchGeneration++;
        unwatch();
        List<ClientEndpoint> left = new ArrayList<>(clients.values());
        List<SimulatedBackendConnection> right = new ArrayList<>(backendConnections.values());
        clients.clear();
        backendConnections.clear();
        left.forEach(l -> testbed.scheduler.scheduleAfter(l.oneWayLatency, () -> l.onRelayKilled()));
        right.forEach(l -> l.onRelayKilled());
    }

    @Override
    protected void requestStop() {
        if (running && !stopping) {
            stopping = true;
            int mine = incarnation;
            testbed.scheduler.scheduleAfter(4_000 * MS, () -> terminate(mine));
            apply(new Event.ShutdownRequested());
        }
    }

    /** The platform's kill, or its own end: what is still open is cut off. */
    private void terminate(int mine) {
        if (running && incarnation == mine) {
            clients.values().forEach(ClientEndpoint::onRelayShutdown);
            kill();
        }
    }

    // ---- what happens to it

    @Override
    protected void connect(ClientEndpoint link) {
        link.oneWayLatency = model.clientLatency(number, link.latencyKey());
        testbed.scheduler.scheduleAfter(link.oneWayLatency, () -> {
            boolean taken = running;
            if (taken) {
                link.socket = ++accepted;
                link.relayIncarnation = incarnation;
                clients.put(link.socket, link);
                onNetworkEvent(new NetworkEvent.ClientAccepted(link.socket));
            }
            testbed.scheduler.scheduleAfter(link.oneWayLatency, taken ? link::onAccepted : link::onRefused);
        });
    }

    @Override
    protected void send(ClientEndpoint link, byte[] raw) {
        ClientMessage line =
                raw == ClientConnection.LINE_MESSAGE ? LINE : raw.length > MAX_LINE_LENGTH ? null : model.decode(raw);
        testbed.scheduler.scheduleAfter(link.oneWayLatency, () -> {
            if (holds(link)) {
                onNetworkEvent(
                        line == null
                                ? new NetworkEvent.FramingError(link.socket)
                                : new NetworkEvent.ClientMessageReceived(link.socket, line));
            }
        });
    }

    @Override
    protected void disconnect(ClientEndpoint link) {
        testbed.scheduler.scheduleAfter(link.oneWayLatency, () -> {
            if (holds(link)) {
                onNetworkEvent(new NetworkEvent.InputShutdown(link.socket));
            }
        });
    }

    private boolean holds(ClientEndpoint link) {
        return running && link.relayIncarnation == incarnation && clients.get(link.socket) == link;
    }

    private boolean holds(SimulatedBackendConnection link) {
        return running && link.relayIncarnation == incarnation && backendConnections.get(link.socket) == link;
    }

    void onBackendConnected(SimulatedBackendConnection link) {
        if (holds(link)) {
            testbed.onDispatchSent(this, link.backend());
            onNetworkEvent(new NetworkEvent.BackendConnected(link.socket));
            if (holds(link)) {
                onNetworkEvent(new NetworkEvent.FirstLineWritten(link.socket));
            }
        }
    }

    void onBackendLine(SimulatedBackendConnection link, BackendMessage line) {
        if (holds(link)) {
            onNetworkEvent(new NetworkEvent.BackendMessageReceived(link.socket, line));
        }
    }

    void onBackendEnded(SimulatedBackendConnection link) {
        if (holds(link)) {
            onNetworkEvent(new NetworkEvent.InputShutdown(link.socket));
        }
    }

    void onBackendClosed(SimulatedBackendConnection link, boolean reset) {
        if (holds(link)) {
            backendConnections.remove(link.socket);
            onNetworkEvent(new NetworkEvent.SocketClosed(link.socket, reset));
        }
    }

    /** One watch on the roster: what it is told takes the way to here, and is nothing to a later watch. */
    private final class RosterWatch implements SimulatedRosterService.Watcher {
        private final long generation = ++watchGeneration;

        private void later(Runnable thing) {
            testbed.scheduler.scheduleAfter(model.rosterLatency(number), () -> {
                if (running && generation == watchGeneration) {
                    thing.run();
                }
            });
        }

        void subscribe(long from) {
            testbed.scheduler.scheduleAfter(2 * model.rosterLatency(number), () -> {
                if (running && generation == watchGeneration && !testbed.rosterService.watch(this, from)) {
                    fail("not connected");
                }
            });
        }

        @Override
        public void onMessage(RosterMessage message) {
            later(() -> {
                roster.apply(message, testbed.now());
                onNetworkEvent(new NetworkEvent.RosterReceived(message));
            });
        }

        @Override
        public void onWatchEnded() {
            fail("cut off");
        }

        private void fail(String why) {
            later(() -> {
                watchGeneration++;
                onNetworkEvent(new NetworkEvent.RosterWatchFailed(why));
            });
        }
    }

    private void unwatch() {
        if (rosterWatch != null) {
            testbed.rosterService.unwatch(rosterWatch);
            rosterWatch = null;
        }
    }

    private void onNetworkEvent(NetworkEvent heard) {
        apply(new Event.NetworkEventReceived(heard));
    }

    private void apply(Event event) {
        for (Effect effect : stateMachine.apply(event, testbed.now())) {
            execute(effect);
        }
    }

    // ---- what it asks for

    private void execute(Effect effect) {
        if (effect instanceof Effect.ExecuteCommand wire) {
            execute(wire.command());
        } else if (effect instanceof Effect.ScheduleTimer wake) {
            long mine = ++timerGeneration;
            // As the daemon's timer: whole milliseconds, rounded up, one at least.
            long delay = Math.max(1, (Math.min(wake.time(), Long.MAX_VALUE / 2) - testbed.now() + MS - 1) / MS) * MS;
            testbed.scheduler.scheduleAfter(delay, () -> {
                if (running && mine == timerGeneration) {
                    apply(new Event.TimerFired());
                }
            });
        } else if (effect instanceof Effect.PersistLearnedState keep) {
            persist(keep);
        } else if (effect instanceof Effect.PersistRoster keep) {
            heardOnce = true;
            hand.add(keep.message());
        } else if (effect instanceof Effect.Stop) {
            int mine = incarnation;
            if (testbed.scenario.relays().persistsState()) {
                apply(new Event.LearnedStateRequested());
            }
            testbed.scheduler.scheduleAfter(200 * MS, () -> terminate(mine));
        }
    }

    private void execute(NetworkCommand ask) {
        if (ask instanceof NetworkCommand.Connect dial) {
            SimulatedBackendConnection link = new SimulatedBackendConnection(this, dial.socket(), dial.firstLine());
            backendConnections.put(dial.socket(), link);
            link.connect(dial.address());
        } else if (ask instanceof NetworkCommand.Write write) {
            if (write.socket() > 0) {
                ClientEndpoint link = clients.get(write.socket());
                if (link != null) {
                    testbed.scheduler.scheduleAfter(link.oneWayLatency, () -> link.onLine(write.line()));
                }
            } else {
                SimulatedBackendConnection link = backendConnections.get(write.socket());
                if (link != null) {
                    link.forwardLine();
                }
            }
        } else if (ask instanceof NetworkCommand.ShutdownOutput finish) {
            if (finish.socket() > 0) {
                ClientEndpoint link = clients.get(finish.socket());
                if (link != null) {
                    testbed.scheduler.scheduleAfter(link.oneWayLatency, () -> link.onClosed(false));
                }
            } else {
                SimulatedBackendConnection link = backendConnections.get(finish.socket());
                if (link != null) {
                    link.shutdownOutput();
                }
            }
        } else if (ask instanceof NetworkCommand.Close close) {
            drop(close.socket(), false);
        } else if (ask instanceof NetworkCommand.Reset reset) {
            drop(reset.socket(), true);
        } else if (ask instanceof NetworkCommand.WatchRoster from) {
            unwatch();
            rosterWatch = new RosterWatch();
            rosterWatch.subscribe(from.fromVersion());
        }
    }

    private void drop(long socket, boolean reset) {
        int mine = incarnation;
        if (socket > 0) {
            ClientEndpoint link = clients.remove(socket);
            if (link != null) {
                testbed.scheduler.scheduleAfter(link.oneWayLatency, () -> link.onClosed(reset));
                testbed.scheduler.scheduleAfter(0, () -> gone(mine, socket));
            }
        } else {
            SimulatedBackendConnection link = backendConnections.get(socket);
            if (link != null && link.closeByRelay(reset)) {
                backendConnections.remove(socket);
                testbed.scheduler.scheduleAfter(0, () -> gone(mine, socket));
            }
        }
    }

    private void gone(int mine, long socket) {
        if (running && incarnation == mine) {
            onNetworkEvent(new NetworkEvent.SocketClosed(socket, false));
        }
    }
}
