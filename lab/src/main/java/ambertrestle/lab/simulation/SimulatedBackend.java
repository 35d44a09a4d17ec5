package ambertrestle.lab.simulation;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.wire.BackendMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** One backend: a queue of work, what it holds, and the troubles it can have. */
public final class SimulatedBackend {
    private static final long SECOND = 1_000_000_000L;
    /** Longer than this a set-up does not wait for the shared store; then it is an error. */
    private static final long STORE_PATIENCE = SECOND;

    private static final BackendMessage BUSY = BackendMessage.decode(raw("BUSY")),
            ERR = BackendMessage.decode(raw("ERR")),
            BYE = BackendMessage.decode(raw("BYE")),
            MOVE = BackendMessage.decode(raw("MOVE")),
            REPLY = BackendMessage.decode(raw("R")),
            UP = BackendMessage.decode(raw("UP 1"));

    final Testbed testbed;
    public final int number;
    public final String name;
    final Scenario.Fleet fleet;
    /** Counts its processes. */
    private int incarnation = 1;

    private boolean dead;
    /** Told when its process dies and when it runs again: whoever owns its sockets. */
    private Runnable onDeath = () -> {};

    private Runnable onStart = () -> {};
    private boolean hung;
    private boolean silent;
    private boolean draining;
    private long turnsAwayFrom = Long.MAX_VALUE;
    double speedFactor = 1;
    /** When its process started; below 0: long ago. */
    long startedAt = Long.MIN_VALUE / 4;

    private long busyUntil;
    /** Those up, in the order of their connecting, and how many of each group. */
    private final LinkedHashSet<BackendConnection> links = new LinkedHashSet<>();

    private int open;
    /** What those open cost, in nanoseconds of work a second. */
    private double work;

    private final Map<Long, Integer> groups = new HashMap<>();
    private final List<Runnable> whileHung = new ArrayList<>();
    private InvariantChecker.SlowStartTracker slowStart = new InvariantChecker.SlowStartTracker();

    SimulatedBackend(Testbed world, int number, String name, Scenario.Fleet fleet) {
        this.testbed = world;
        this.number = number;
        this.name = name;
        this.fleet = fleet;
    }

    private static byte[] raw(String line) {
        return (line + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    public int incarnation() {
        return incarnation;
    }

    public void setLifecycleCallbacks(Runnable death, Runnable start) {
        onDeath = death;
        onStart = start;
    }

    public boolean isListening() {
        return !dead;
    }

    /** Takes work and answers, as far as anyone can see from outside. */
    boolean isServing() {
        return !dead && !hung && !silent && !draining;
    }

    /** What is up here still gets answers. */
    boolean isResponsive() {
        return !dead && !hung;
    }

    int openConnections() {
        return open;
    }

    /** How long what comes now would wait, in nanoseconds. */
    long queueDelay() {
        return Math.max(0, busyUntil - testbed.now());
    }

    /** The part of its speed that what is open here takes. */
    double utilization() {
        return work * 1e-9 / currentSpeed();
    }

    boolean hasGroup(long group) {
        return groups.containsKey(group);
    }

    /** How much of what a cold backend may get has reached it lately; 0 for a warm one. */
    double slowStartBudgetUsed() {
        return testbed.now() - startedAt < testbed.scenario.rules().slowStartDuration()
                ? slowStart.usedShare(testbed.now(), testbed.scenario.rules().slowStartBurstWindow())
                : 0;
    }

    double currentSpeed() {
        double age = Math.min(
                1,
                (double) (testbed.now() - startedAt) / testbed.scenario.rules().slowStartDuration());
        double warmth = testbed.scenario.rules().slowStartInitialFactor()
                + (1 - testbed.scenario.rules().slowStartInitialFactor()) * age;
        double forGroups = (double) groups.size() * testbed.scenario.groups().workPerSecond() / SECOND;
        return Math.max(0.05 * fleet.speed(), fleet.speed() * warmth * speedFactor - forGroups);
    }

    private long serve(long work) {
        busyUntil = Math.max(testbed.now(), busyUntil) + (long) (work / currentSpeed());
        return busyUntil;
    }

    private boolean here(BackendConnection link) {
        return !dead && link.backendIncarnation == incarnation && links.contains(link);
    }

    // ---- what reaches it

    /** A connection is up. */
    public void onConnected(BackendConnection link) {
        link.backend = this;
        link.backendIncarnation = incarnation;
        links.add(link);
    }

    public void onOpenRequest(BackendConnection link, byte[] opening) {
        if (dead || link.backendIncarnation != incarnation) {
            return;
        }
        ClientConnection client = testbed.findConnection(opening);
        if (client == null) {
            testbed.invariantChecker.onInvalidRequestReachedBackend(name, testbed.now());
            link.sendLine(ERR);
            return;
        }
        link.client = client;
        link.dispatch = testbed.invariantChecker.onDispatchReachedBackend(
                client.association, name, fleet.zone(), testbed.now());
        InvariantChecker.ObservedDispatch run = link.dispatch;
        // Two ways from one relay may differ in length: the end of the dispatch before may come after this one.
        testbed.invariantChecker
                .outstandingDispatches(client.association)
                .forEach(before -> testbed.scheduler.scheduleAfter(
                        testbed.invariantChecker.slack(),
                        () -> testbed.invariantChecker.checkConcurrentDispatches(
                                client.association, before, run, testbed.now())));
        testbed.metrics.add(MetricsRecorder.Series.DISPATCHES, 1, testbed.now());
        if (testbed.now() - startedAt < testbed.scenario.rules().slowStartDuration()) {
            testbed.metrics.add(MetricsRecorder.Series.DISPATCHES_TO_COLD_BACKENDS, 1, testbed.now());
            testbed.invariantChecker.onDispatchReachedColdBackend(
                    slowStart,
                    name,
                    startedAt,
                    fleet.speed() * SECOND / Math.max(1, testbed.meanSetUpWork()),
                    testbed.now());
        }
        act(() -> admit(link));
    }

    private void act(Runnable thing) {
        if (hung) {
            whileHung.add(thing);
        } else {
            thing.run();
        }
    }

    private void admit(BackendConnection link) {
        if (!here(link)) {
            return;
        }
        if (open >= fleet.maxConnections() || testbed.now() >= turnsAwayFrom) {
            link.dispatch.markNeverRan();
            link.sendLine(BUSY);
            return;
        }
        if (silent) {
            return;
        }
        open++;
        link.admitted = true;
        work += rate(link);
        long group = link.client.session.group;
        boolean newHere = group != 0 && groups.merge(group, 1, Integer::sum) == 1;
        long setUp = link.client.session.useCase.setUpWork();
        long done = serve(newHere ? 2 * setUp : setUp);
        long stored = testbed.reserveStoreWork(done);
        int mine = incarnation;
        if (stored - testbed.now() > STORE_PATIENCE) {
            testbed.scheduler.scheduleAfter(STORE_PATIENCE, () -> act(() -> failed(link, mine)));
        } else {
            testbed.scheduler.scheduleAt(stored, () -> act(() -> up(link, mine)));
        }
    }

    private static double rate(BackendConnection link) {
        return (double) link.client.session.useCase.lineWork() * SECOND / link.client.session.useCase.lineInterval();
    }

    private void failed(BackendConnection link, int mine) {
        if (mine == incarnation && here(link)) {
            release(link);
            link.sendLine(ERR);
        }
    }

    private void up(BackendConnection link, int mine) {
        if (mine != incarnation || !here(link)) {
            return;
        }
        link.client.backendConnection = link;
        link.sendLine(UP);
        long left = link.client.session.remainingDuration();
        testbed.scheduler.scheduleAfter(left, () -> act(() -> served(link, mine)));
    }

    private void served(BackendConnection link, int mine) {
        if (mine == incarnation && here(link)) {
            release(link);
            links.remove(link);
            link.sendLine(BYE);
            link.closeByBackend();
        }
    }

    public void onLine(BackendConnection link) {
        act(() -> {
            if (here(link) && link.admitted) {
                long done = serve(link.client.session.useCase.lineWork());
                int mine = incarnation;
                testbed.scheduler.scheduleAt(
                        done,
                        () -> act(() -> {
                            if (mine == incarnation && here(link)) {
                                link.sendLine(REPLY);
                            }
                        }));
            }
        });
    }

    public void onClientEnded(BackendConnection link) {
        act(() -> {
            if (here(link)) {
                release(link);
                links.remove(link);
                link.closeByBackend();
            }
        });
    }

    public void onClosed(BackendConnection link) {
        if (link.backendIncarnation == incarnation && links.remove(link)) {
            release(link);
        }
    }

    private void release(BackendConnection link) {
        if (link.admitted) {
            link.admitted = false;
            open--;
            work -= rate(link);
            long group = link.client.session.group;
            if (group != 0) {
                groups.merge(group, -1, (x, y) -> x + y == 0 ? null : x + y);
            }
        }
    }

    // ---- troubles

    void kill() {
        dead = true;
        incarnation++;
        whileHung.clear();
        hung = false;
        List<BackendConnection> all = new ArrayList<>(links);
        all.forEach(this::release);
        links.clear();
        all.forEach(BackendConnection::resetByBackend);
        onDeath.run();
        testbed.rosterService.onBackendDied(this);
    }

    void restart() {
        dead = false;
        draining = false;
        silent = false;
        turnsAwayFrom = Long.MAX_VALUE;
        speedFactor = 1;
        startedAt = testbed.now();
        busyUntil = testbed.now();
        slowStart = new InvariantChecker.SlowStartTracker();
        onStart.run();
        testbed.rosterService.onBackendStarted(this);
    }

    void setHung(boolean on) {
        hung = on;
        if (!on) {
            List<Runnable> waiting = new ArrayList<>(whileHung);
            whileHung.clear();
            busyUntil = Math.max(busyUntil, testbed.now());
            waiting.forEach(this::act);
        }
    }

    void setSilent(boolean on) {
        silent = on;
    }

    /** Told to go: the roster hears of it, clients are sent away bit by bit, then it is gone. */
    void drain(long lasts) {
        draining = true;
        testbed.rosterService.onBackendDraining(this);
        long grace = testbed.scenario.rules().drainGrace();
        turnsAwayFrom = testbed.now() + testbed.scenario.roster().propagationDelay() + 2 * grace;
        int mine = incarnation;
        int steps = 20;
        for (int i = 0; i < steps; i++) {
            int rest = steps - i;
            testbed.scheduler.scheduleAfter(grace + lasts * i / steps, () -> act(() -> sendAway(mine, rest)));
        }
        testbed.scheduler.scheduleAfter(grace + lasts, () -> {
            if (mine == incarnation && !dead) {
                kill();
            }
        });
    }

    private void sendAway(int mine, int rest) {
        if (mine != incarnation || dead) {
            return;
        }
        List<BackendConnection> all = links.stream().filter(l -> l.admitted).toList();
        all.stream().limit((all.size() + rest - 1) / rest).forEach(link -> {
            release(link);
            links.remove(link);
            link.sendLine(MOVE);
            link.closeByBackend();
        });
    }
}
