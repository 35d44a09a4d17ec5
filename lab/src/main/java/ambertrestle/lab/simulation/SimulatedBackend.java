package ambertrestle.lab.simulation;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.wire.BackendMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * A backend: a queue of work, its open connections, and the faults that a testbed can inject. Both testbeds use it; in
 * the loopback testbed it answers over sockets. Times are in nanoseconds from the start of the run.
 */
public final class SimulatedBackend {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /** How long a set-up waits for the shared store, in nanoseconds; a longer wait makes it fail with ERR. */
    private static final long MAX_STORE_WAIT = NANOS_PER_SECOND;
    /** Lowest speed as a share of the fleet's speed, so that the work of many groups can't bring it to 0. */
    private static final double MIN_SPEED_SHARE = 0.05;
    /** The first connection of a group needs this many times the set-up work. */
    private static final long NEW_GROUP_SET_UP_FACTOR = 2;
    /** A draining backend rejects new associations after the propagation delay plus this many drain graces. */
    private static final long DRAIN_GRACES_BEFORE_REJECTION = 2;

    private static final double SECONDS_PER_NANO = 1e-9;

    private static final BackendMessage BUSY = BackendMessage.decode(encodeLine("BUSY"));
    private static final BackendMessage ERR = BackendMessage.decode(encodeLine("ERR"));
    private static final BackendMessage BYE = BackendMessage.decode(encodeLine("BYE"));
    private static final BackendMessage MOVE = BackendMessage.decode(encodeLine("MOVE"));
    private static final BackendMessage REPLY = BackendMessage.decode(encodeLine("R"));
    private static final BackendMessage UP = BackendMessage.decode(encodeLine("UP 1"));

    final Testbed testbed;
    /** Position among all backends of the run, from 0. */
    public final int number;

    /** Unique name, under which the roster lists the backend. */
    public final String name;

    final Scenario.Fleet fleet;
    /** Increases when the process dies, so that actions scheduled for an earlier process are ignored. */
    private int incarnation = 1;

    /** The process has died and was not restarted. */
    private boolean dead;
    /** Runs when the process dies; the loopback testbed closes the listening sockets. */
    private Runnable onDeath = () -> {};
    /** Runs when the process starts again; the loopback testbed opens the listening sockets. */
    private Runnable onStart = () -> {};
    /** The process is alive but executes nothing; actions are deferred until it resumes. */
    private boolean hung;
    /** The backend accepts connections but doesn't answer OPEN lines, except with BUSY while it is full. */
    private boolean silent;

    /** A drain has begun and the process has not been started again since. */
    private boolean draining;
    /** From this time on, new associations are rejected with BUSY. */
    private long rejectsNewFrom = Long.MAX_VALUE;
    /** Multiplies the speed; below 1 while the backend is slowed down. */
    double speedFactor = 1;
    /**
     * When the process started. The initial value stands for long before the run. It is a quarter of the minimum, so
     * that subtracting it from a time doesn't overflow.
     */
    long startedAt = Long.MIN_VALUE / 4;
    /** When all queued work is finished. */
    private long busyUntil;
    /** Connections of the current process, in the order in which they were established. */
    private final LinkedHashSet<BackendConnection> connections = new LinkedHashSet<>();
    /** Number of admitted connections. */
    private int openConnections;
    /** Work that the lines of the admitted connections cause, in nanoseconds of work per second. */
    private double totalLineWorkPerSecond;
    /** Number of admitted connections of each group; without entries for groups that have none. */
    private final Map<Long, Integer> connectionsByGroup = new HashMap<>();
    /** Actions that wait for the end of a hang, in order. */
    private final List<Runnable> deferredActions = new ArrayList<>();
    /** Dispatches since the last start, for the slow-start limit. */
    private InvariantChecker.SlowStartTracker slowStartTracker = new InvariantChecker.SlowStartTracker();

    SimulatedBackend(Testbed testbed, int number, String name, Scenario.Fleet fleet) {
        this.testbed = testbed;
        this.number = number;
        this.name = name;
        this.fleet = fleet;
    }

    private static byte[] encodeLine(String line) {
        return (line + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Number of the current process, or of the next one while the backend is dead; from 1. */
    public int incarnation() {
        return incarnation;
    }

    /** Sets what runs when the process dies and when it starts again. */
    public void setLifecycleCallbacks(Runnable deathCallback, Runnable startCallback) {
        onDeath = deathCallback;
        onStart = startCallback;
    }

    /** The process runs, so it accepts connections, even while it is hung or draining. */
    public boolean isListening() {
        return !dead;
    }

    /** The backend accepts and answers new associations. It may still be full. */
    boolean isServing() {
        return !dead && !hung && !silent && !draining;
    }

    /** Connections that are already open still get answers. */
    boolean isResponsive() {
        return !dead && !hung;
    }

    /** Number of admitted connections, including those whose set-up isn't complete. */
    int openConnections() {
        return openConnections;
    }

    /** How long work that arrives now waits until it starts, in nanoseconds. */
    long queueDelay() {
        return Math.max(0, busyUntil - testbed.now());
    }

    /** The lines' work as a share of the current speed; above 1 if overloaded. */
    double utilization() {
        return totalLineWorkPerSecond * SECONDS_PER_NANO / currentSpeed();
    }

    /** A connection of that group is admitted here. */
    boolean hasGroup(long group) {
        return connectionsByGroup.containsKey(group);
    }

    /** Recent dispatches as a share of the number allowed during slow start; 0 once the slow start is over. */
    double slowStartBudgetUsed() {
        return testbed.now() - startedAt < testbed.scenario.rules().slowStartDuration()
                ? slowStartTracker.usedShare(
                        testbed.now(), testbed.scenario.rules().slowStartBurstWindow())
                : 0;
    }

    /**
     * Nanoseconds of work done per nanosecond. Reduced during slow start, by faults, and by the work that each group
     * causes.
     */
    double currentSpeed() {
        double slowStartProgress = Math.min(
                1,
                (double) (testbed.now() - startedAt) / testbed.scenario.rules().slowStartDuration());
        double slowStartFactor = testbed.scenario.rules().slowStartInitialFactor()
                + (1 - testbed.scenario.rules().slowStartInitialFactor()) * slowStartProgress;
        double groupWork =
                (double) connectionsByGroup.size() * testbed.scenario.groups().workPerSecond() / NANOS_PER_SECOND;
        return Math.max(MIN_SPEED_SHARE * fleet.speed(), fleet.speed() * slowStartFactor * speedFactor - groupWork);
    }

    /** Appends work, in nanoseconds of work, to the queue and returns when it will be finished. */
    private long enqueueWork(long work) {
        busyUntil = Math.max(testbed.now(), busyUntil) + (long) (work / currentSpeed());
        return busyUntil;
    }

    /** The connection is open, and the current process accepted it. */
    private boolean isAttached(BackendConnection connection) {
        return !dead && connection.backendIncarnation == incarnation && connections.contains(connection);
    }

    // ---- events from relays

    /** Called when a connection from a relay is established. */
    public void onConnected(BackendConnection connection) {
        connection.backend = this;
        connection.backendIncarnation = incarnation;
        connections.add(connection);
    }

    /** Called when the first line of a connection, the OPEN line of a dispatch, has arrived. */
    public void onOpenRequest(BackendConnection connection, byte[] openLine) {
        if (dead || connection.backendIncarnation != incarnation) {
            return;
        }
        ClientConnection client = testbed.findConnection(openLine);
        if (client == null) {
            testbed.invariantChecker.onInvalidRequestReachedBackend(name, testbed.now());
            connection.sendLine(ERR);
            return;
        }
        connection.client = client;
        connection.dispatch = testbed.invariantChecker.onDispatchReachedBackend(
                client.association, name, fleet.zone(), testbed.now());
        InvariantChecker.ObservedDispatch dispatch = connection.dispatch;
        // One relay's latencies to two backends differ, so this dispatch may arrive before the end of the previous one
        // is visible. Concurrent dispatches are therefore checked after the slack.
        testbed.invariantChecker
                .outstandingDispatches(client.association)
                .forEach(earlier -> testbed.scheduler.scheduleAfter(
                        testbed.invariantChecker.slack(),
                        () -> testbed.invariantChecker.checkConcurrentDispatches(
                                client.association, earlier, dispatch, testbed.now())));
        testbed.metrics.add(MetricsRecorder.Series.DISPATCHES, 1, testbed.now());
        if (testbed.now() - startedAt < testbed.scenario.rules().slowStartDuration()) {
            testbed.metrics.add(MetricsRecorder.Series.DISPATCHES_TO_COLD_BACKENDS, 1, testbed.now());
            testbed.invariantChecker.onDispatchReachedColdBackend(
                    slowStartTracker,
                    name,
                    startedAt,
                    fleet.speed() * NANOS_PER_SECOND / Math.max(1, testbed.meanSetUpWork()),
                    testbed.now());
        }
        runOrDefer(() -> admit(connection));
    }

    /** Runs an action of the process, or defers it while the process hangs. */
    private void runOrDefer(Runnable action) {
        if (hung) {
            deferredActions.add(action);
        } else {
            action.run();
        }
    }

    /** Rejects a new association if the backend is full or draining; otherwise starts its set-up. */
    private void admit(BackendConnection connection) {
        if (!isAttached(connection)) {
            return;
        }
        if (openConnections >= fleet.maxConnections() || testbed.now() >= rejectsNewFrom) {
            connection.dispatch.markNeverRan();
            connection.sendLine(BUSY);
            return;
        }
        if (silent) {
            return;
        }
        openConnections++;
        connection.admitted = true;
        totalLineWorkPerSecond += lineWorkPerSecond(connection);
        long group = connection.client.session.group;
        boolean isNewGroup = group != 0 && connectionsByGroup.merge(group, 1, Integer::sum) == 1;
        long setUpWork = connection.client.session.useCase.setUpWork();
        long doneAt = enqueueWork(isNewGroup ? NEW_GROUP_SET_UP_FACTOR * setUpWork : setUpWork);
        long storedAt = testbed.reserveStoreWork(doneAt);
        int expectedIncarnation = incarnation;
        if (storedAt - testbed.now() > MAX_STORE_WAIT) {
            testbed.scheduler.scheduleAfter(
                    MAX_STORE_WAIT, () -> runOrDefer(() -> failSetUp(connection, expectedIncarnation)));
        } else {
            testbed.scheduler.scheduleAt(
                    storedAt, () -> runOrDefer(() -> completeSetUp(connection, expectedIncarnation)));
        }
    }

    /** Work that the connection's lines cause, in nanoseconds of work per second. */
    private static double lineWorkPerSecond(BackendConnection connection) {
        return (double) connection.client.session.useCase.lineWork()
                * NANOS_PER_SECOND
                / connection.client.session.useCase.lineInterval();
    }

    /** Answers ERR because the shared store takes too long. */
    private void failSetUp(BackendConnection connection, int expectedIncarnation) {
        if (expectedIncarnation == incarnation && isAttached(connection)) {
            releaseConnection(connection);
            connection.sendLine(ERR);
        }
    }

    /** Answers UP, and schedules the end of the connection. */
    private void completeSetUp(BackendConnection connection, int expectedIncarnation) {
        if (expectedIncarnation != incarnation || !isAttached(connection)) {
            return;
        }
        connection.client.backendConnection = connection;
        connection.sendLine(UP);
        long remaining = connection.client.session.remainingDuration();
        testbed.scheduler.scheduleAfter(
                remaining, () -> runOrDefer(() -> endConnection(connection, expectedIncarnation)));
    }

    /** Ends a connection with BYE because its client has been served for as long as it wanted. */
    private void endConnection(BackendConnection connection, int expectedIncarnation) {
        if (expectedIncarnation == incarnation && isAttached(connection)) {
            releaseConnection(connection);
            connections.remove(connection);
            connection.sendLine(BYE);
            connection.closeByBackend();
        }
    }

    /** Called when a payload line of an open connection has arrived. Its reply is sent once its work is finished. */
    public void onLine(BackendConnection connection) {
        runOrDefer(() -> {
            if (isAttached(connection) && connection.admitted) {
                long doneAt = enqueueWork(connection.client.session.useCase.lineWork());
                int expectedIncarnation = incarnation;
                testbed.scheduler.scheduleAt(
                        doneAt,
                        () -> runOrDefer(() -> {
                            if (expectedIncarnation == incarnation && isAttached(connection)) {
                                connection.sendLine(REPLY);
                            }
                        }));
            }
        });
    }

    /** Called when the relay has ended its sending direction, because the client ended its own. */
    public void onClientEnded(BackendConnection connection) {
        runOrDefer(() -> {
            if (isAttached(connection)) {
                releaseConnection(connection);
                connections.remove(connection);
                connection.closeByBackend();
            }
        });
    }

    /** Called when the relay has closed or reset the connection. */
    public void onClosed(BackendConnection connection) {
        if (connection.backendIncarnation == incarnation && connections.remove(connection)) {
            releaseConnection(connection);
        }
    }

    /** Removes an admitted connection from the load figures; does nothing if it isn't admitted. */
    private void releaseConnection(BackendConnection connection) {
        if (connection.admitted) {
            connection.admitted = false;
            openConnections--;
            totalLineWorkPerSecond -= lineWorkPerSecond(connection);
            long group = connection.client.session.group;
            if (group != 0) {
                connectionsByGroup.merge(group, -1, (count, change) -> count + change == 0 ? null : count + change);
            }
        }
    }

    // ---- faults

    /** Kills the process: all connections are reset, and the work of the process is lost. */
    void kill() {
        dead = true;
        incarnation++;
        deferredActions.clear();
        hung = false;
        List<BackendConnection> closedConnections = new ArrayList<>(connections);
        closedConnections.forEach(this::releaseConnection);
        connections.clear();
        closedConnections.forEach(BackendConnection::resetByBackend);
        onDeath.run();
        testbed.rosterService.onBackendDied(this);
    }

    /** Starts a new process, in slow start and with no work queued. */
    void restart() {
        dead = false;
        draining = false;
        silent = false;
        rejectsNewFrom = Long.MAX_VALUE;
        speedFactor = 1;
        startedAt = testbed.now();
        busyUntil = testbed.now();
        slowStartTracker = new InvariantChecker.SlowStartTracker();
        onStart.run();
        testbed.rosterService.onBackendStarted(this);
    }

    /** Starts a hang, or ends it and runs the deferred actions. */
    void setHung(boolean nowHung) {
        hung = nowHung;
        if (!nowHung) {
            List<Runnable> resumedActions = new ArrayList<>(deferredActions);
            deferredActions.clear();
            busyUntil = Math.max(busyUntil, testbed.now());
            resumedActions.forEach(this::runOrDefer);
        }
    }

    /**
     * While silent, the backend accepts connections but doesn't answer OPEN lines, except with BUSY while it is full.
     */
    void setSilent(boolean nowSilent) {
        silent = nowSilent;
    }

    /**
     * Starts a drain. The roster lists the backend as draining; after the drain grace its clients are asked to move, in
     * equal steps over {@code duration} nanoseconds; then the process ends. New associations are rejected with BUSY
     * after the roster's propagation delay plus twice the drain grace.
     */
    void drain(long duration) {
        draining = true;
        testbed.rosterService.onBackendDraining(this);
        long drainGrace = testbed.scenario.rules().drainGrace();
        rejectsNewFrom = testbed.now()
                + testbed.scenario.roster().propagationDelay()
                + DRAIN_GRACES_BEFORE_REJECTION * drainGrace;
        int expectedIncarnation = incarnation;
        int stepCount = 20;
        for (int step = 0; step < stepCount; step++) {
            int remainingSteps = stepCount - step;
            testbed.scheduler.scheduleAfter(
                    drainGrace + duration * step / stepCount,
                    () -> runOrDefer(() -> moveConnections(expectedIncarnation, remainingSteps)));
        }
        testbed.scheduler.scheduleAfter(drainGrace + duration, () -> {
            if (expectedIncarnation == incarnation && !dead) {
                kill();
            }
        });
    }

    /** Ends an equal share of the admitted connections with MOVE, oldest first: all of them in the last step. */
    private void moveConnections(int expectedIncarnation, int remainingSteps) {
        if (expectedIncarnation != incarnation || dead) {
            return;
        }
        List<BackendConnection> admitted =
                connections.stream().filter(connection -> connection.admitted).toList();
        admitted.stream()
                .limit((admitted.size() + remainingSteps - 1) / remainingSteps)
                .forEach(connection -> {
                    releaseConnection(connection);
                    connections.remove(connection);
                    connection.sendLine(MOVE);
                    connection.closeByBackend();
                });
    }
}
