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
 * One run of a scenario: arriving clients, backends, the roster service, injected faults, the invariant checker and the
 * metrics. Subclasses provide the clock and the transport: {@link SimulatedTestbed} runs in virtual time, the loopback
 * testbed in real time with relay processes and sockets. All code runs on one thread, and all random decisions come
 * from the seed.
 *
 * <p>Times are in nanoseconds from the start of the run, durations in nanoseconds.
 */
public abstract class Testbed implements BackendGroundTruth {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    /** Factor from a share to a percentage. */
    private static final double PERCENT = 100;
    /**
     * Longest backlog of the store that all set-ups share (see {@link Scenario.SharedStore}), in nanoseconds; work
     * beyond it is not queued. Without the limit, an overloaded store would stay full forever, because it would keep
     * working on set-ups that no backend waits for any more.
     */
    private static final long MAX_STORE_BACKLOG = 3 * NANOS_PER_SECOND;
    /** The long-lived connections are opened during this first part of the warm-up, as a share of it. */
    private static final double LONG_LIVED_ARRIVAL_SHARE = 0.8;
    /** 2^64 divided by the golden ratio: the increment of SplitMix64, which spreads consecutive numbers. */
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;
    /** Keeps the latency keys of backends apart from those of bad clients and of the roster service. */
    private static final long BACKEND_LATENCY_KEY_OFFSET = 1_000_000L;
    /** Position of the association id in an OPEN line: the length of {@code "OPEN "}. */
    private static final int ASSOCIATION_ID_OFFSET = 5;
    /**
     * How long the front-end load balancer still sends clients to a relay after its planned stop was requested, in
     * nanoseconds.
     */
    private static final long PLANNED_STOP_ROUTING_DELAY = 300 * NANOS_PER_MILLI;
    /**
     * Shortest time from the request of a planned stop to the restart, in nanoseconds. A stopping relay is killed 4
     * seconds after the request at the latest, so it has ended by then.
     */
    private static final long MIN_PLANNED_RESTART_DELAY = 4_500 * NANOS_PER_MILLI;

    /** The scenario of this run. */
    public final Scenario scenario;
    /** Clock and timer of this run. */
    public final Scheduler scheduler;

    public final InvariantChecker invariantChecker;
    public final MetricsRecorder metrics;
    /** Source of all random decisions of the run; relays get seeds from it. */
    final SplittableRandom random;

    public final SimulatedRosterService rosterService = new SimulatedRosterService(this);
    /** All relays of the run, including stopped ones. */
    private final List<RelayInstance> relays = new ArrayList<>();
    /**
     * The relays that the front-end load balancer, which distributes the clients over the relays, sends new clients to.
     */
    private final List<RelayInstance> routableRelays = new ArrayList<>();

    private final List<SimulatedBackend> backends = new ArrayList<>();
    private final Map<String, SimulatedBackend> backendsByName = new HashMap<>();
    /** Backends by the id that the balancing policies use. */
    private final Map<Long, SimulatedBackend> backendsById = new HashMap<>();
    /** Every client connection of the run, closed ones included, by association id. */
    private final Map<Long, ClientConnection> clientConnections = new HashMap<>();

    private final RosterMessage initialRoster;
    /** For each group, the sum of its own weight and the weights of all groups before it; empty without groups. */
    private final double[] cumulativeGroupWeights;

    private final List<String> eventLog = new ArrayList<>();
    /** End of the partition for each partitioned pair of relay and backend, by {@link #pairKey}. */
    private final Map<Long, Long> partitionedUntil = new HashMap<>();

    /** When the shared store has finished all queued work. */
    private long storeBusyUntil;

    /** Multiplies the shared store's speed; below 1 while it is slowed down. */
    private double storeSpeedFactor = 1;
    /** Multiplies all arrival rates; above 1 during a burst. */
    private double arrivalRateFactor = 1;
    /** Share of new client sessions that use the first group regardless of the weights; 0 while no group is hot. */
    private double hotGroupShare;

    /** Number of association ids generated so far. */
    private long associationSequence;
    /** Client connections that have not received a final answer yet. */
    private int waitingClientCount;

    private int unansweredBadClientCount;
    private int badClientCount;

    /**
     * Creates the backends of the scenario's fleets and the initial roster.
     *
     * @param slack by how many nanoseconds the invariant checker extends each time limit, because messages take time
     *     between a relay and an observer
     */
    protected Testbed(Scenario scenario, Scheduler scheduler, long slack, long seed) {
        this.scenario = scenario;
        this.scheduler = scheduler;
        random = new SplittableRandom(seed);
        invariantChecker = new InvariantChecker(scenario, slack);
        metrics = new MetricsRecorder(scenario.warmUp(), scenario.endTime(), scenario.measurementStart());
        for (Scenario.Fleet fleet : scenario.fleets()) {
            for (int number = 1; number <= fleet.count(); number++) {
                SimulatedBackend backend = addBackend(fleet, fleet.name() + "-" + number);
                rosterService.addInitialBackend(backend);
                backend.startedAt = fleet.startsInSlowStart() ? scenario.warmUp() : backend.startedAt;
            }
        }
        initialRoster = rosterService.fullRoster();
        cumulativeGroupWeights = new double[scenario.groups().count()];
        double cumulativeWeight = 0;
        for (int groupIndex = 0; groupIndex < cumulativeGroupWeights.length; groupIndex++) {
            cumulativeWeight +=
                    1 / StrictMath.pow(groupIndex + 1, scenario.groups().skew());
            cumulativeGroupWeights[groupIndex] = cumulativeWeight;
        }
    }

    private SimulatedBackend addBackend(Scenario.Fleet fleet, String name) {
        SimulatedBackend backend = new SimulatedBackend(this, backends.size(), name, fleet);
        backends.add(backend);
        backendsByName.put(name, backend);
        backendsById.put(BackendDirectory.backendId(name), backend);
        return backend;
    }

    protected final List<SimulatedBackend> backends() {
        return backends;
    }

    /** The complete roster at the start of the run. */
    public final RosterMessage initialRoster() {
        return initialRoster;
    }

    protected final List<RelayInstance> relays() {
        return relays;
    }

    /** Adds a relay that accepts clients, and lets the front-end load balancer send clients to it. */
    protected final void addRelay(RelayInstance relay) {
        relays.add(relay);
        routableRelays.add(relay);
    }

    /** Schedules all client arrivals and faults of the scenario. Called once, when the run starts. */
    protected final void scheduleArrivalsAndFaults() {
        scenario.workloads().forEach(this::scheduleArrivals);
        scenario.troubles()
                .forEach(fault ->
                        scheduler.scheduleAt(scenario.warmUp() + fault.startOffset(), () -> startFault(fault)));
    }

    /** Records the metrics that are sampled rather than counted. Called at the end of each second of the run. */
    protected final void sampleGauges() {
        // One nanosecond back, so that the sample counts for the second that has just ended.
        long sampledAt = scheduler.now() - 1;
        metrics.add(
                Series.OPEN_CONNECTIONS,
                backends.stream().mapToInt(SimulatedBackend::openConnections).sum(),
                sampledAt);
        metrics.add(Series.AWAITING_ANSWER, waitingClientCount, sampledAt);
        metrics.add(
                Series.MAX_UTILIZATION,
                PERCENT
                        * backends.stream()
                                .filter(SimulatedBackend::isListening)
                                .mapToDouble(SimulatedBackend::utilization)
                                .max()
                                .orElse(0),
                sampledAt);
        metrics.add(
                Series.MEAN_UTILIZATION,
                PERCENT
                        * backends.stream()
                                .filter(SimulatedBackend::isListening)
                                .mapToDouble(SimulatedBackend::utilization)
                                .average()
                                .orElse(0),
                sampledAt);
        metrics.add(
                Series.MAX_QUEUE_DELAY,
                backends.stream().mapToLong(SimulatedBackend::queueDelay).max().orElse(0) / (double) NANOS_PER_MILLI,
                sampledAt);
        metrics.add(
                Series.MEAN_QUEUE_DELAY,
                backends.stream()
                                .mapToLong(SimulatedBackend::queueDelay)
                                .average()
                                .orElse(0)
                        / (double) NANOS_PER_MILLI,
                sampledAt);
    }

    // ---- clients

    private void scheduleArrivals(Workload workload) {
        for (int i = 0; i < workload.longLivedConnections(); i++) {
            long lifetime = scenario.endTime();
            scheduler.scheduleAt(
                    (long) (random.nextDouble() * scenario.warmUp() * LONG_LIVED_ARRIVAL_SHARE),
                    () -> startSession(workload, lifetime));
        }
        if (workload.arrivalRate() > 0) {
            scheduleNextArrival(workload);
        }
    }

    /** Open-loop load: the next arrival does not depend on how earlier clients fared. Intervals are exponential. */
    private void scheduleNextArrival(Workload workload) {
        scheduler.scheduleAfter(
                (long) (exponential() * NANOS_PER_SECOND / (workload.arrivalRate() * arrivalRateFactor)), () -> {
                    startSession(workload, Math.max(NANOS_PER_MILLI, (long) (exponential() * workload.meanLifetime())));
                    scheduleNextArrival(workload);
                });
    }

    /**
     * Starts a session of a new client. Client id and group have their lowest bit set, so that neither is 0, which
     * means none.
     */
    private void startSession(Workload workload, long lifetime) {
        long group = 0;
        if (cumulativeGroupWeights.length > 0) {
            int groupIndex = hotGroupShare > 0 && random.nextDouble() < hotGroupShare
                    ? 0
                    : Arrays.binarySearch(
                            cumulativeGroupWeights,
                            random.nextDouble() * cumulativeGroupWeights[cumulativeGroupWeights.length - 1]);
            group = SplitMix64.mix(
                            Math.min(cumulativeGroupWeights.length - 1, groupIndex < 0 ? -groupIndex - 1 : groupIndex)
                                    + 1L)
                    | 1;
        }
        new ClientSession(this, workload, random.nextLong() | 1, group, lifetime).start();
    }

    /** A sample of the exponential distribution with mean 1. */
    private double exponential() {
        return -StrictMath.log(1 - random.nextDouble());
    }

    /** Generates an id that is unique in this run. */
    long nextAssociationId() {
        return SplitMix64.mix(++associationSequence * GOLDEN_GAMMA);
    }

    /** The relay that the front-end load balancer sends the next client to, chosen at random; null if there is none. */
    RelayInstance selectRelay() {
        return routableRelays.isEmpty() ? null : routableRelays.get(random.nextInt(routableRelays.size()));
    }

    /** Adds {@code delta} to the number of client connections that wait for a final answer. */
    void adjustWaitingClients(int delta) {
        waitingClientCount += delta;
    }

    /** Adds a client connection, so that {@link #findConnection} finds it. */
    void registerConnection(ClientConnection connection) {
        clientConnections.put(connection.association.id, connection);
    }

    /**
     * The number of client connections by final answer, and of established connections by how they ended, including the
     * warm-up. The counts of events are compared with the current states of the client connections; the differences are
     * reported as unaccounted for and must be 0.
     */
    public Map<String, Long> connectionTotals() {
        long waiting = clientConnections.values().stream()
                .filter(ClientConnection::isWaiting)
                .count();
        long open = clientConnections.values().stream()
                .filter(ClientConnection::isEstablished)
                .count();
        Map<String, Long> totals = new java.util.LinkedHashMap<>();
        totals.put("begun", (long) clientConnections.size());
        for (Series series : List.of(
                Series.ESTABLISHED,
                Series.SHED,
                Series.FORFEITED,
                Series.UNANSWERED,
                Series.REFUSED,
                Series.DONE,
                Series.MOVED,
                Series.BROKEN)) {
            totals.put(series.label, metrics.totalWithWarmUp(series));
        }
        totals.put("waiting at the end", waiting);
        totals.put("open at the end", open);
        totals.put(
                "answers unaccounted for",
                clientConnections.size()
                        - waiting
                        - metrics.totalWithWarmUp(
                                Series.ESTABLISHED, Series.SHED, Series.FORFEITED, Series.UNANSWERED, Series.REFUSED));
        totals.put(
                "ends unaccounted for",
                metrics.totalWithWarmUp(Series.ESTABLISHED)
                        - open
                        - metrics.totalWithWarmUp(Series.DONE, Series.MOVED, Series.BROKEN));
        return totals;
    }

    /**
     * Finds the client connection that sent an OPEN line, even if the client has left since; null if no regular client
     * sent it.
     */
    ClientConnection findConnection(byte[] openLine) {
        long associationId = 0;
        for (int i = ASSOCIATION_ID_OFFSET; i < openLine.length && openLine[i] != ' '; i++) {
            associationId = associationId << 4 | Character.digit(openLine[i], 16);
        }
        return clientConnections.get(associationId);
    }

    // ---- used by clients, relays and backends

    /** Nanoseconds since the start of the run. */
    public final long now() {
        return scheduler.now();
    }

    /** Converts a time of the run to Unix time, both in nanoseconds. */
    protected abstract long toUnixTime(long time);

    /** Called when the roster service starts to fail in the given way, or works again if null. */
    protected void onRosterFailureModeChanged(Scenario.RosterFailureMode failureMode) {}

    /**
     * Called when a network partition between a relay and a backend begins or ends. The loopback testbed overrides it
     * to prevent connections from being established; the simulated testbed only delays messages by
     * {@link #reachableAt}.
     */
    protected void setPartitioned(RelayInstance relay, SimulatedBackend backend, boolean partitioned) {}

    /** When the relay was notified that the backend is draining or gone; -1 if it was not. */
    protected abstract long drainNotifiedAt(RelayInstance relay, SimulatedBackend backend);

    /** Called when a relay sends a dispatch, as seen from outside the relay. */
    public final void onDispatchSent(RelayInstance relay, SimulatedBackend backend) {
        invariantChecker.onDispatchSent(backend.name, drainNotifiedAt(relay, backend), now());
    }

    /** Called when a backend is added during the run. The loopback testbed overrides it to open listening sockets. */
    protected void onBackendJoined(SimulatedBackend backend) {}

    /** The backend with that address, which is its name in the simulated testbed; null if there is none. */
    SimulatedBackend findBackend(String address) {
        return backendsByName.get(address);
    }

    /**
     * One-way latency between two endpoints, in nanoseconds. It is constant for each ordered pair of keys; over all
     * pairs it is spread evenly over the scenario's range.
     */
    final long oneWayLatencyByKeys(long firstKey, long secondKey) {
        Scenario.Network network = scenario.network();
        return network.minLatency()
                + Long.remainderUnsigned(
                        SplitMix64.mix(firstKey * GOLDEN_GAMMA + secondKey),
                        network.maxLatency() - network.minLatency() + 1);
    }

    /** One-way latency between a relay and a backend, given by their numbers, in nanoseconds. */
    public final long oneWayLatency(int relay, int backend) {
        return oneWayLatencyByKeys(relay + 1L, backend + BACKEND_LATENCY_KEY_OFFSET);
    }

    /** Key of a relay and a backend in {@link #partitionedUntil}. */
    private static long pairKey(RelayInstance relay, SimulatedBackend backend) {
        return (long) relay.number << 32 | backend.number;
    }

    /** When messages between the two can pass: now, or at the end of the partition between them. */
    public final long reachableAt(RelayInstance relay, SimulatedBackend backend) {
        if (partitionedUntil.isEmpty()) {
            return now();
        }
        return Math.max(now(), partitionedUntil.getOrDefault(pairKey(relay, backend), 0L));
    }

    /**
     * Queues the shared store's work for one set-up and returns when it will be finished. If the backlog exceeds
     * {@link #MAX_STORE_BACKLOG}, nothing is queued, and the returned time is too late for any backend to wait for it.
     *
     * @param requestedAt when the set-up reaches the store
     */
    long reserveStoreWork(long requestedAt) {
        if (scenario.store().workPerSetUp() == 0) {
            return requestedAt;
        }
        long startsAt = Math.max(requestedAt, storeBusyUntil);
        if (startsAt - now() > MAX_STORE_BACKLOG) {
            return startsAt;
        }
        storeBusyUntil = startsAt
                + (long) (scenario.store().workPerSetUp() / (scenario.store().speed() * storeSpeedFactor));
        return storeBusyUntil;
    }

    /** Mean set-up work over the use cases, unweighted, in nanoseconds of work. */
    double meanSetUpWork() {
        return scenario.workloads().stream()
                .mapToLong(Workload::setUpWork)
                .average()
                .orElse(0);
    }

    @Override
    public boolean isServing(long backend) {
        return backendsById.containsKey(backend) && backendsById.get(backend).isServing();
    }

    @Override
    public double queueDelay(long backend) {
        return backendsById.get(backend).queueDelay();
    }

    @Override
    public double utilization(long backend) {
        return backendsById.get(backend).utilization();
    }

    @Override
    public boolean hasGroup(long backend, long group) {
        return group == 0 || backendsById.get(backend).hasGroup(group);
    }

    @Override
    public double slowStartBudgetUsed(long backend) {
        return backendsById.get(backend).slowStartBudgetUsed();
    }

    // ---- faults

    /** The faults and restarts of the run, each with its time in seconds from the end of the warm-up. */
    public List<String> eventLog() {
        return eventLog;
    }

    private void logEvent(String text) {
        eventLog.add(String.format(
                java.util.Locale.ROOT, "%.3f s: %s", (now() - scenario.warmUp()) / (double) NANOS_PER_SECOND, text));
    }

    /** Draws up to {@code count} distinct candidates at random. */
    private <T> List<T> drawSample(List<T> candidates, int count) {
        List<T> remaining = new ArrayList<>(candidates);
        List<T> drawn = new ArrayList<>();
        while (drawn.size() < count && !remaining.isEmpty()) {
            drawn.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return drawn;
    }

    /** Starts a fault on randomly drawn live backends, and ends it on the same ones; {@code onEnd} may be null. */
    private void injectBackendFault(
            Trouble fault, Consumer<SimulatedBackend> onStart, Consumer<SimulatedBackend> onEnd) {
        List<SimulatedBackend> affected = drawSample(
                backends.stream().filter(SimulatedBackend::isListening).toList(), fault.backendCount());
        logEvent(fault.kind().tomlName() + " of " + affected.size() + " backends begins");
        affected.forEach(onStart);
        if (onEnd != null) {
            scheduler.scheduleAfter(fault.duration(), () -> {
                logEvent(fault.kind().tomlName() + " ends");
                affected.forEach(onEnd);
            });
        }
    }

    /** Starts a fault that affects no particular backend or relay, and ends it after its duration. */
    private void injectGlobalFault(Trouble fault, Runnable onStart, Runnable onEnd) {
        logEvent(fault.kind().tomlName() + " begins");
        onStart.run();
        scheduler.scheduleAfter(fault.duration(), () -> {
            logEvent(fault.kind().tomlName() + " ends");
            onEnd.run();
        });
    }

    private void startFault(Trouble fault) {
        switch (fault.kind()) {
            case KILL -> injectBackendFault(fault, SimulatedBackend::kill, SimulatedBackend::restart);
            case HANG -> injectBackendFault(fault, backend -> backend.setHung(true), backend -> backend.setHung(false));
            case SLOW -> injectBackendFault(
                    fault, backend -> backend.speedFactor = fault.factor(), backend -> backend.speedFactor = 1);
            case SILENT_ACCEPT -> injectBackendFault(
                    fault, backend -> backend.setSilent(true), backend -> backend.setSilent(false));
            case DRAIN -> injectBackendFault(fault, backend -> backend.drain(fault.duration()), null);
            case JOIN -> {
                logEvent("join of " + fault.backendCount() + " backends");
                Scenario.Fleet fleet = scenario.fleets().get(0);
                for (int i = 0; i < fault.backendCount(); i++) {
                    SimulatedBackend backend = addBackend(fleet, fleet.name() + "-new-" + backends.size());
                    backend.startedAt = now();
                    onBackendJoined(backend);
                    rosterService.onBackendStarted(backend);
                }
            }
            case ROSTER_LAG -> injectGlobalFault(
                    fault, () -> rosterService.lagFactor = fault.factor(), () -> rosterService.lagFactor = 1);
            case ROSTER_DOWN -> injectGlobalFault(
                    fault, () -> setRosterFailureMode(fault.rosterFailureMode()), () -> setRosterFailureMode(null));
            case RELAY_KILL -> injectRelayFault(fault, false);
            case RELAY_RESTART -> injectRelayFault(fault, true);
            case PARTITION -> {
                List<RelayInstance> partitionedRelays = drawSample(relays, fault.relayCount());
                long endsAt = now() + fault.duration();
                List<SimulatedBackend> partitionedBackends = new ArrayList<>();
                injectBackendFault(
                        fault,
                        backend -> {
                            partitionedBackends.add(backend);
                            partitionedRelays.forEach(relay -> {
                                partitionedUntil.merge(pairKey(relay, backend), endsAt, Math::max);
                                setPartitioned(relay, backend, true);
                            });
                        },
                        null);
                scheduler.scheduleAfter(fault.duration(), () -> {
                    logEvent("partition ends");
                    partitionedUntil.values().removeIf(pairEndsAt -> pairEndsAt <= now());
                    partitionedBackends.forEach(
                            backend -> partitionedRelays.forEach(relay -> setPartitioned(relay, backend, false)));
                });
            }
            case STORE_SLOW -> injectGlobalFault(
                    fault, () -> storeSpeedFactor = 1 / fault.factor(), () -> storeSpeedFactor = 1);
            case HOT_GROUP -> injectGlobalFault(fault, () -> hotGroupShare = fault.factor(), () -> hotGroupShare = 0);
            case BURST -> injectGlobalFault(
                    fault, () -> arrivalRateFactor = fault.factor(), () -> arrivalRateFactor = 1);
            case BAD_CLIENTS -> injectGlobalFault(
                    fault, () -> scheduleBadClients(fault, now() + fault.duration()), () -> {});
        }
    }

    /** Called when the first association since a restart of the relay is established. */
    protected final void onFirstClientEstablished(RelayInstance relay, long nanosSinceStart) {
        logEvent(String.format(
                java.util.Locale.ROOT,
                "%s has its first UP %d ms after its start",
                relay.name,
                nanosSinceStart / NANOS_PER_MILLI));
    }

    private void setRosterFailureMode(Scenario.RosterFailureMode failureMode) {
        rosterService.setFailureMode(failureMode);
        onRosterFailureModeChanged(failureMode);
    }

    /**
     * Stops randomly drawn relays and starts them again. They are asked to stop if planned; otherwise they are killed,
     * which the front-end load balancer detects only after a delay.
     */
    private void injectRelayFault(Trouble fault, boolean planned) {
        List<RelayInstance> stoppedRelays =
                drawSample(relays.stream().filter(relay -> relay.running).toList(), fault.relayCount());
        logEvent(fault.kind().tomlName() + " of " + stoppedRelays.size() + " relays begins");
        for (RelayInstance relay : stoppedRelays) {
            if (planned) {
                relay.requestStop();
                scheduler.scheduleAfter(PLANNED_STOP_ROUTING_DELAY, () -> routableRelays.remove(relay));
            } else {
                relay.kill();
                scheduler.scheduleAfter(scenario.relays().failureDetectionDelay(), () -> {
                    if (!relay.running) {
                        routableRelays.remove(relay);
                    }
                });
            }
            scheduler.scheduleAfter(
                    planned ? Math.max(fault.duration(), MIN_PLANNED_RESTART_DELAY) : fault.duration(), () -> {
                        relay.start(() -> {
                            logEvent(relay.name + " is back");
                            if (!routableRelays.contains(relay)) {
                                routableRelays.add(relay);
                            }
                        });
                    });
        }
    }

    /** Starts bad clients at exponential intervals until {@code endsAt}. */
    private void scheduleBadClients(Trouble fault, long endsAt) {
        scheduler.scheduleAfter((long) (exponential() * NANOS_PER_SECOND / fault.badClientRate()), () -> {
            if (now() < endsAt) {
                RelayInstance relay = selectRelay();
                if (relay != null) {
                    badClientCount++;
                    new BadClient(this, relay, random.nextInt(BadClient.INVALID_REQUEST_COUNT)).connect();
                }
                scheduleBadClients(fault, endsAt);
            }
        });
    }

    /** Called when a bad client has received neither an answer nor a close in time. */
    void onBadClientUnanswered() {
        unansweredBadClientCount++;
    }

    /** Number of bad clients that received neither an answer nor a close in time. */
    public int unansweredBadClientCount() {
        return unansweredBadClientCount;
    }

    /** Number of bad clients started so far. */
    public int badClientCount() {
        return badClientCount;
    }
}
