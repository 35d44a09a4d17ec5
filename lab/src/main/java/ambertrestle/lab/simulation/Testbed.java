package ambertrestle.lab.simulation;

import ambertrestle.lab.policy.BackendGroundTruth;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.scenario.Scenario.Trouble;
import ambertrestle.lab.scenario.Scenario.Workload;
import ambertrestle.lab.scenario.SplitMix64;
import ambertrestle.lab.simulation.MetricsRecorder.Series;
import ambertrestle.relay.connection.BackendDirectory;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One run of a scenario: clients that come, backends, the roster, troubles, the judge and the meter. What time is, and
 * what carries bytes, is the subclass's: {@link SimulatedTestbed} in virtual time, or sockets. One thread; all chance
 * comes from the seed.
 */
public abstract class Testbed implements BackendGroundTruth {
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    /** Danger: work let into a store for longer than anybody waits would keep it full for good. */
    private static final long MAX_STORE_DELAY = 3 * SECOND;

    public final Scenario scenario;
    public final Scheduler scheduler;
    public final InvariantChecker invariantChecker;
    public final MetricsRecorder metrics;
    final SplittableRandom random;
    public final SimulatedRosterService rosterService = new SimulatedRosterService(this);
    private final List<RelayInstance> relays = new ArrayList<>();
    /** Those to which the front sends. */
    private final List<RelayInstance> routableRelays = new ArrayList<>();

    private final List<SimulatedBackend> backends = new ArrayList<>();
    private final Map<String, SimulatedBackend> byName = new HashMap<>();
    private final Map<Long, SimulatedBackend> byId = new HashMap<>();
    private final Map<Long, ClientConnection> clientConnections = new HashMap<>();
    private final RosterMessage initialRoster;
    private final double[] groupShares;
    private final List<String> eventLog = new ArrayList<>();
    /** For each pair of relay and backend that is cut off, until when. */
    private final Map<Long, Long> partitionedUntil = new HashMap<>();

    private long storeUntil;
    private double storeFactor = 1;
    private double arrivalRateFactor = 1;
    private double hotGroupShare;
    private long ids;
    private int waiting;
    private int unansweredBadClientCount;
    private int badClientCount;

    /** `slack`: what a limit is longer for the way between relay and witness. */
    protected Testbed(Scenario scenario, Scheduler clock, long slack, long seed) {
        this.scenario = scenario;
        this.scheduler = clock;
        random = new SplittableRandom(seed);
        invariantChecker = new InvariantChecker(scenario, slack);
        metrics = new MetricsRecorder(scenario.warmUp(), scenario.endTime(), scenario.measurementStart());
        for (Scenario.Fleet fleet : scenario.fleets()) {
            for (int i = 1; i <= fleet.count(); i++) {
                SimulatedBackend b = addBackend(fleet, fleet.name() + "-" + i);
                rosterService.addInitialBackend(b);
                b.startedAt = fleet.startsInSlowStart() ? scenario.warmUp() : b.startedAt;
            }
        }
        initialRoster = rosterService.fullRoster();
        groupShares = new double[scenario.groups().count()];
        double sum = 0;
        for (int g = 0; g < groupShares.length; g++) {
            sum += 1 / StrictMath.pow(g + 1, scenario.groups().skew());
            groupShares[g] = sum;
        }
    }

    private SimulatedBackend addBackend(Scenario.Fleet fleet, String name) {
        SimulatedBackend b = new SimulatedBackend(this, backends.size(), name, fleet);
        backends.add(b);
        byName.put(name, b);
        byId.put(BackendDirectory.backendId(name), b);
        return b;
    }

    protected final List<SimulatedBackend> backends() {
        return backends;
    }

    /** The list as it was before the run. */
    public final RosterMessage initialRoster() {
        return initialRoster;
    }

    protected final List<RelayInstance> relays() {
        return relays;
    }

    /** A relay that serves: the front sends to it. */
    protected final void addRelay(RelayInstance relay) {
        relays.add(relay);
        routableRelays.add(relay);
    }

    /** Lets clients come and troubles happen, from now on; the clock does the rest. */
    protected final void scheduleArrivalsAndFaults() {
        scenario.workloads().forEach(this::scheduleArrivals);
        scenario.troubles()
                .forEach(t -> scheduler.scheduleAt(scenario.warmUp() + t.startOffset(), () -> startFault(t)));
    }

    /** What is looked at once a second. */
    protected final void sampleGauges() {
        long at = scheduler.now() - 1;
        metrics.add(
                Series.OPEN_CONNECTIONS,
                backends.stream().mapToInt(SimulatedBackend::openConnections).sum(),
                at);
        metrics.add(Series.AWAITING_ANSWER, waiting, at);
        metrics.add(
                Series.MAX_UTILIZATION,
                100
                        * backends.stream()
                                .filter(SimulatedBackend::isListening)
                                .mapToDouble(SimulatedBackend::utilization)
                                .max()
                                .orElse(0),
                at);
        metrics.add(
                Series.MEAN_UTILIZATION,
                100
                        * backends.stream()
                                .filter(SimulatedBackend::isListening)
                                .mapToDouble(SimulatedBackend::utilization)
                                .average()
                                .orElse(0),
                at);
        metrics.add(
                Series.MAX_QUEUE_DELAY,
                backends.stream().mapToLong(SimulatedBackend::queueDelay).max().orElse(0) / 1e6,
                at);
        metrics.add(
                Series.MEAN_QUEUE_DELAY,
                backends.stream()
                                .mapToLong(SimulatedBackend::queueDelay)
                                .average()
                                .orElse(0)
                        / 1e6,
                at);
    }

    // ---- clients

    private void scheduleArrivals(Workload work) {
        for (int i = 0; i < work.longLivedConnections(); i++) {
            long life = scenario.endTime();
            scheduler.scheduleAt(
                    (long) (random.nextDouble() * scenario.warmUp() * 0.8), () -> startSession(work, life));
        }
        if (work.arrivalRate() > 0) {
            scheduleNextArrival(work);
        }
    }

    /** Open loop: what comes next does not wait for what came before. */
    private void scheduleNextArrival(Workload work) {
        scheduler.scheduleAfter((long) (exponential() * SECOND / (work.arrivalRate() * arrivalRateFactor)), () -> {
            startSession(work, Math.max(MS, (long) (exponential() * work.meanLifetime())));
            scheduleNextArrival(work);
        });
    }

    private void startSession(Workload work, long life) {
        long group = 0;
        if (groupShares.length > 0) {
            int g = hotGroupShare > 0 && random.nextDouble() < hotGroupShare
                    ? 0
                    : Arrays.binarySearch(groupShares, random.nextDouble() * groupShares[groupShares.length - 1]);
            group = SplitMix64.mix(Math.min(groupShares.length - 1, g < 0 ? -g - 1 : g) + 1L) | 1;
        }
        new ClientSession(this, work, random.nextLong() | 1, group, life).start();
    }

    private double exponential() {
        return -StrictMath.log(1 - random.nextDouble());
    }

    long nextAssociationId() {
        return SplitMix64.mix(++ids * 0x9e3779b97f4a7c15L);
    }

    RelayInstance selectRelay() {
        return routableRelays.isEmpty() ? null : routableRelays.get(random.nextInt(routableRelays.size()));
    }

    /** One more client waits for its answer, or one less. */
    void adjustWaitingClients(int more) {
        waiting += more;
    }

    void registerConnection(ClientConnection link) {
        clientConnections.put(link.association.id, link);
    }

    /**
     * Every connection that a client began, by how it was answered, and every one that was up, by how it ended. Counted
     * twice, where it happened and by what each client holds now; the difference is what nobody can account for.
     */
    public Map<String, Long> connectionTotals() {
        long waiting = clientConnections.values().stream()
                .filter(ClientConnection::isWaiting)
                .count();
        long open = clientConnections.values().stream()
                .filter(ClientConnection::isEstablished)
                .count();
        Map<String, Long> account = new java.util.LinkedHashMap<>();
        account.put("begun", (long) clientConnections.size());
        for (Series s : List.of(
                Series.ESTABLISHED,
                Series.SHED,
                Series.FORFEITED,
                Series.UNANSWERED,
                Series.REFUSED,
                Series.DONE,
                Series.MOVED,
                Series.BROKEN)) {
            account.put(s.label, metrics.totalWithWarmUp(s));
        }
        account.put("waiting at the end", waiting);
        account.put("open at the end", open);
        account.put(
                "answers unaccounted for",
                clientConnections.size()
                        - waiting
                        - metrics.totalWithWarmUp(
                                Series.ESTABLISHED, Series.SHED, Series.FORFEITED, Series.UNANSWERED, Series.REFUSED));
        account.put(
                "ends unaccounted for",
                metrics.totalWithWarmUp(Series.ESTABLISHED)
                        - open
                        - metrics.totalWithWarmUp(Series.DONE, Series.MOVED, Series.BROKEN));
        return account;
    }

    /** Whose opening this is, also where its client has left meanwhile; null for one that no usual client sent. */
    ClientConnection findConnection(byte[] opening) {
        long id = 0;
        for (int i = 5; i < opening.length && opening[i] != ' '; i++) {
            id = id << 4 | Character.digit(opening[i], 16);
        }
        return clientConnections.get(id);
    }

    // ---- what the nodes ask of it

    public final long now() {
        return scheduler.now();
    }

    /** Unix time of a time of the run. */
    protected abstract long toUnixTime(long time);

    /** The roster service fails in that way, or serves again where null. */
    protected void onRosterFailureModeChanged(Scenario.RosterFailureMode how) {}

    /** A partition begins or ends for that pair: sockets keep connections from coming up. */
    protected void setPartitioned(RelayInstance relay, SimulatedBackend backend, boolean off) {}

    /** When that relay was told that the backend drains or is gone; -1 where it was not. */
    protected abstract long drainNotifiedAt(RelayInstance relay, SimulatedBackend backend);

    /** A dispatch leaves a relay, as far as can be seen from outside. */
    public final void onDispatchSent(RelayInstance relay, SimulatedBackend backend) {
        invariantChecker.onDispatchSent(backend.name, drainNotifiedAt(relay, backend), now());
    }

    /** A backend that joins while the run lasts; sockets give it its addresses. */
    protected void onBackendJoined(SimulatedBackend b) {}

    SimulatedBackend findBackend(String address) {
        return byName.get(address);
    }

    final long oneWayLatency(long one, long other) {
        Scenario.Network n = scenario.network();
        return n.minLatency()
                + Long.remainderUnsigned(
                        SplitMix64.mix(one * 0x9e3779b97f4a7c15L + other), n.maxLatency() - n.minLatency() + 1);
    }

    /** How long a message takes one way. */
    public final long oneWayLatency(int relay, int backend) {
        return oneWayLatency(relay + 1L, backend + 1_000_000L);
    }

    private static long pair(RelayInstance r, SimulatedBackend b) {
        return (long) r.number << 32 | b.number;
    }

    /** From when on messages pass between the two. */
    public final long reachableAt(RelayInstance relay, SimulatedBackend backend) {
        if (partitionedUntil.isEmpty()) {
            return now();
        }
        return Math.max(now(), partitionedUntil.getOrDefault(pair(relay, backend), 0L));
    }

    /** When the shared store has done its part of a set-up that reaches it then. */
    long reserveStoreWork(long from) {
        if (scenario.store().workPerSetUp() == 0) {
            return from;
        }
        long begins = Math.max(from, storeUntil);
        if (begins - now() > MAX_STORE_DELAY) {
            return begins;
        }
        storeUntil = begins
                + (long) (scenario.store().workPerSetUp() / (scenario.store().speed() * storeFactor));
        return storeUntil;
    }

    double meanSetUpWork() {
        return scenario.workloads().stream()
                .mapToLong(Workload::setUpWork)
                .average()
                .orElse(0);
    }

    @Override
    public boolean isServing(long backend) {
        return byId.containsKey(backend) && byId.get(backend).isServing();
    }

    @Override
    public double queueDelay(long backend) {
        return byId.get(backend).queueDelay();
    }

    @Override
    public double utilization(long backend) {
        return byId.get(backend).utilization();
    }

    @Override
    public boolean hasGroup(long backend, long group) {
        return group == 0 || byId.get(backend).hasGroup(group);
    }

    @Override
    public double slowStartBudgetUsed(long backend) {
        return byId.get(backend).slowStartBudgetUsed();
    }

    // ---- troubles

    /** What happened and when, in nanoseconds from the start of the measured time. */
    public List<String> eventLog() {
        return eventLog;
    }

    private void logEvent(String what) {
        eventLog.add(String.format(java.util.Locale.ROOT, "%.3f s: %s", (now() - scenario.warmUp()) / 1e9, what));
    }

    /** So many that are up, drawn anew for each trouble. */
    private <T> List<T> drawSample(List<T> from, int n) {
        List<T> left = new ArrayList<>(from);
        List<T> drawn = new ArrayList<>();
        while (drawn.size() < n && !left.isEmpty()) {
            drawn.add(left.remove(random.nextInt(left.size())));
        }
        return drawn;
    }

    private void injectBackendFault(Trouble t, Consumer<SimulatedBackend> begins, Consumer<SimulatedBackend> ends) {
        List<SimulatedBackend> struck = drawSample(
                backends.stream().filter(SimulatedBackend::isListening).toList(), t.backendCount());
        logEvent(t.kind().tomlName() + " of " + struck.size() + " backends begins");
        struck.forEach(begins);
        if (ends != null) {
            scheduler.scheduleAfter(t.duration(), () -> {
                logEvent(t.kind().tomlName() + " ends");
                struck.forEach(ends);
            });
        }
    }

    private void injectGlobalFault(Trouble t, Runnable begins, Runnable ends) {
        logEvent(t.kind().tomlName() + " begins");
        begins.run();
        scheduler.scheduleAfter(t.duration(), () -> {
            logEvent(t.kind().tomlName() + " ends");
            ends.run();
        });
    }

    private void startFault(Trouble t) {
        switch (t.kind()) {
            case KILL -> injectBackendFault(t, SimulatedBackend::kill, SimulatedBackend::restart);
            case HANG -> injectBackendFault(t, b -> b.setHung(true), b -> b.setHung(false));
            case SLOW -> injectBackendFault(t, b -> b.speedFactor = t.factor(), b -> b.speedFactor = 1);
            case SILENT_ACCEPT -> injectBackendFault(t, b -> b.setSilent(true), b -> b.setSilent(false));
            case DRAIN -> injectBackendFault(t, b -> b.drain(t.duration()), null);
            case JOIN -> {
                logEvent("join of " + t.backendCount() + " backends");
                Scenario.Fleet fleet = scenario.fleets().get(0);
                for (int i = 0; i < t.backendCount(); i++) {
                    SimulatedBackend b = addBackend(fleet, fleet.name() + "-new-" + backends.size());
                    b.startedAt = now();
                    onBackendJoined(b);
                    rosterService.onBackendStarted(b);
                }
            }
            case ROSTER_LAG -> injectGlobalFault(
                    t, () -> rosterService.lagFactor = t.factor(), () -> rosterService.lagFactor = 1);
            case ROSTER_DOWN -> injectGlobalFault(
                    t, () -> setRosterFailureMode(t.rosterFailureMode()), () -> setRosterFailureMode(null));
            case RELAY_KILL -> injectRelayFault(t, false);
            case RELAY_RESTART -> injectRelayFault(t, true);
            case PARTITION -> {
                List<RelayInstance> here = drawSample(relays, t.relayCount());
                long until = now() + t.duration();
                List<SimulatedBackend> there = new ArrayList<>();
                injectBackendFault(
                        t,
                        b -> {
                            there.add(b);
                            here.forEach(r -> {
                                partitionedUntil.merge(pair(r, b), until, Math::max);
                                setPartitioned(r, b, true);
                            });
                        },
                        null);
                scheduler.scheduleAfter(t.duration(), () -> {
                    logEvent("partition ends");
                    partitionedUntil.values().removeIf(u -> u <= now());
                    there.forEach(b -> here.forEach(r -> setPartitioned(r, b, false)));
                });
            }
            case STORE_SLOW -> injectGlobalFault(t, () -> storeFactor = 1 / t.factor(), () -> storeFactor = 1);
            case HOT_GROUP -> injectGlobalFault(t, () -> hotGroupShare = t.factor(), () -> hotGroupShare = 0);
            case BURST -> injectGlobalFault(t, () -> arrivalRateFactor = t.factor(), () -> arrivalRateFactor = 1);
            case BAD_CLIENTS -> injectGlobalFault(t, () -> scheduleBadClients(t, now() + t.duration()), () -> {});
        }
    }

    /** Its first association is up since its start, so long ago. */
    protected final void onFirstClientEstablished(RelayInstance relay, long nanos) {
        logEvent(String.format(
                java.util.Locale.ROOT, "%s has its first UP %d ms after its start", relay.name, nanos / MS));
    }

    private void setRosterFailureMode(Scenario.RosterFailureMode how) {
        rosterService.setFailureMode(how);
        onRosterFailureModeChanged(how);
    }

    private void injectRelayFault(Trouble t, boolean planned) {
        List<RelayInstance> gone =
                drawSample(relays.stream().filter(r -> r.running).toList(), t.relayCount());
        logEvent(t.kind().tomlName() + " of " + gone.size() + " relays begins");
        for (RelayInstance relay : gone) {
            if (planned) {
                relay.requestStop();
                scheduler.scheduleAfter(300 * MS, () -> routableRelays.remove(relay));
            } else {
                relay.kill();
                scheduler.scheduleAfter(scenario.relays().failureDetectionDelay(), () -> {
                    if (!relay.running) {
                        routableRelays.remove(relay);
                    }
                });
            }
            scheduler.scheduleAfter(planned ? Math.max(t.duration(), 4_500 * MS) : t.duration(), () -> {
                relay.start(() -> {
                    logEvent(relay.name + " is back");
                    if (!routableRelays.contains(relay)) {
                        routableRelays.add(relay);
                    }
                });
            });
        }
    }

    private void scheduleBadClients(Trouble t, long until) {
        scheduler.scheduleAfter((long) (exponential() * SECOND / t.badClientRate()), () -> {
            if (now() < until) {
                RelayInstance relay = selectRelay();
                if (relay != null) {
                    badClientCount++;
                    new BadClient(this, relay, random.nextInt(BadClient.INVALID_REQUEST_COUNT)).connect();
                }
                scheduleBadClients(t, until);
            }
        });
    }

    void onBadClientUnanswered() {
        unansweredBadClientCount++;
    }

    public int unansweredBadClientCount() {
        return unansweredBadClientCount;
    }

    public int badClientCount() {
        return badClientCount;
    }
}
