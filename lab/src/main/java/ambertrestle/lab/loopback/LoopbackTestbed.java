package ambertrestle.lab.loopback;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.simulation.RelayInstance;
import ambertrestle.lab.simulation.SimulatedBackend;
import ambertrestle.lab.simulation.Testbed;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.internal.ContextInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;

/**
 * Runs a scenario in real time on loopback sockets. The relays are processes of the packaged daemon; clients, backends
 * and the roster service run in this process, on one event loop.
 */
public final class LoopbackTestbed extends Testbed {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    /** Added to the time limits of the invariant checker, because relay and checker see events at different times. */
    private static final long TIMING_TOLERANCE = 50 * NANOS_PER_MILLI;
    /** Time allowed for starting the relays. A run fails if it takes longer than its scenario plus twice this time. */
    private static final long START_TIMEOUT_SECONDS = 30;

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    final Vertx vertx;
    final NetClient netClient;
    final long seed;
    private final Context loop;
    private final EventLoopScheduler eventLoopClock;
    private final Path jar;
    private final Path workingDirectory;
    private final List<RelayProcess> relays = new ArrayList<>();
    /** By backend name. */
    private final Map<String, BackendServer> backendServers = new HashMap<>();
    /** Completed with true at the end of the scenario, with false if the run was stopped before. */
    private final CompletableFuture<Boolean> completion = new CompletableFuture<>();
    /** One line for each relay process that ended, or was given up, before it answered PING. */
    private final List<String> failedStarts = new ArrayList<>();

    private Map<String, Long> finalConnectionTotals = Map.of();
    /** Largest resident memory of any relay so far, sampled once per second. */
    private long maxResidentKilobytes;

    /** All relays were ready, and the run's time began. */
    private boolean hasBegun;

    private LoopbackTestbed(
            Scenario scenario,
            long seed,
            Path jar,
            Path workingDirectory,
            Vertx vertx,
            Context loop,
            EventLoopScheduler clock) {
        super(scenario, clock, TIMING_TOLERANCE, seed);
        this.seed = seed;
        this.jar = jar;
        this.workingDirectory = workingDirectory;
        this.vertx = vertx;
        this.loop = loop;
        eventLoopClock = clock;
        netClient = vertx.createNetClient(
                new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    /**
     * Prepares a run; {@link #run} starts the relays.
     *
     * @param jar the relay daemon's jar
     * @param workingDirectory where the relays' configurations, logs and state are written
     * @throws IOException if the jar does not exist
     */
    public static LoopbackTestbed create(Scenario scenario, long seed, Path jar, Path workingDirectory)
            throws IOException {
        if (!Files.isRegularFile(jar)) {
            throw new IOException(jar + " does not exist: build the relay first, or name its jar with --jar");
        }
        Files.createDirectories(workingDirectory);
        Vertx vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        Context loop = vertx.getOrCreateContext();
        return new LoopbackTestbed(
                scenario,
                seed,
                jar.toAbsolutePath(),
                workingDirectory.toAbsolutePath(),
                vertx,
                loop,
                new EventLoopScheduler(vertx, loop));
    }

    /**
     * Runs the scenario and waits for its end; then ends all relay processes.
     *
     * @param continueAfterSecond called after each second with the number of seconds since the run's start; the run
     *     stops if it returns false
     * @return false if the run was stopped before its end
     * @throws IOException if a server or relay cannot be started, or the run takes far longer than its scenario
     */
    public boolean run(IntPredicate continueAfterSecond) throws IOException, InterruptedException {
        try {
            for (int i = 0; i < scenario.relays().count(); i++) {
                relays.add(new RelayProcess(this, i, jar, workingDirectory));
            }
            loop.runOnContext(v -> startServersAndRelays(continueAfterSecond));
            return completion.get(scenario.endTime() / NANOS_PER_SECOND + 2 * START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("the run on sockets failed: " + e + "; " + describeRelays(), e);
        } finally {
            // The relays are killed on the event loop, which marks them as killed before it handles the closing of
            // their connections. Otherwise those connections would count as broken by the relays.
            CompletableFuture<Void> killed = new CompletableFuture<>();
            loop.runOnContext(v -> {
                relays.forEach(RelayProcess::kill);
                killed.complete(null);
            });
            killed.join();
            for (RelayProcess relay : relays) {
                relay.awaitExit();
            }
            vertx.close();
        }
    }

    /** Which relays run, and the end of each one's log, to tell why a run did not get to its end. */
    private String describeRelays() {
        return relays.stream().map(RelayProcess::describe).collect(Collectors.joining("; "));
    }

    /** Starts the servers, then the relays; the run's time begins when the last relay is ready. */
    private void startServersAndRelays(IntPredicate continueAfterSecond) {
        List<Future<?>> pendingListens = new ArrayList<>();
        for (SimulatedBackend backend : backends()) {
            pendingListens.add(Future.fromCompletionStage(listen(backend)));
        }
        relays.forEach(relay -> pendingListens.add(relay.rosterServer.listen()));
        Future.all(pendingListens).onFailure(completion::completeExceptionally).onSuccess(v -> {
            int[] readyRelays = new int[1];
            for (RelayProcess relay : relays) {
                relay.start(() -> {
                    addRelay(relay);
                    if (++readyRelays[0] == relays.size()) {
                        hasBegun = true;
                        eventLoopClock.start();
                        scheduleArrivalsAndFaults();
                        scheduleSample(1, continueAfterSecond);
                    }
                });
            }
        });
    }

    private CompletableFuture<Void> listen(SimulatedBackend backend) {
        BackendServer server = new BackendServer(((ContextInternal) loop).nettyEventLoop(), this, backend, relays);
        backendServers.put(backend.name, server);
        return server.listen();
    }

    @Override
    protected void setPartitioned(RelayInstance relay, SimulatedBackend backend, boolean partitioned) {
        // A backend that died during the partition has no listening socket. Without this check the partition's end
        // would act on its closed channel.
        if (backend.isListening()) {
            backendServers.get(backend.name).setPartitioned(relay.number, partitioned);
        }
    }

    /** Samples the gauges at the given second, or at the run's end if that is earlier, and then each second. */
    private void scheduleSample(int second, IntPredicate continueAfterSecond) {
        scheduler.scheduleAt(Math.min(scenario.endTime(), second * NANOS_PER_SECOND), () -> {
            sampleGauges();
            maxResidentKilobytes = Math.max(
                    maxResidentKilobytes,
                    relays.stream()
                            .mapToLong(RelayProcess::residentKilobytes)
                            .max()
                            .orElse(0));
            boolean continues = continueAfterSecond.test(second);
            if (!continues || second * NANOS_PER_SECOND >= scenario.endTime()) {
                finalConnectionTotals = super.connectionTotals();
                completion.complete(continues);
            } else {
                scheduleSample(second + 1, continueAfterSecond);
            }
        });
    }

    /** The totals at the end of the run, before its relays were killed; empty until then. */
    @Override
    public Map<String, Long> connectionTotals() {
        return finalConnectionTotals;
    }

    @Override
    protected void onRosterFailureModeChanged(Scenario.RosterFailureMode failureMode) {
        relays.forEach(relay -> relay.rosterServer.setFailureMode(failureMode));
    }

    @Override
    protected void onBackendJoined(SimulatedBackend backend) {
        listen(backend);
    }

    @Override
    protected long toUnixTime(long time) {
        return eventLoopClock.toUnixTime(time);
    }

    @Override
    protected long drainNotifiedAt(RelayInstance relay, SimulatedBackend backend) {
        return ((RelayProcess) relay).drainNotifiedAt(backend.name);
    }

    /** The host:port under which the given relay reaches a backend. */
    String address(String backend, int relayNumber) {
        return backendServers.get(backend).address(relayNumber);
    }

    /**
     * Records that a relay never answered PING. The run can't begin without one of the first relays, so it fails.
     *
     * @param alive false if its process ended by itself, true if it was killed or replaced while it was starting
     */
    void onRelayStartFailed(RelayProcess relay, boolean alive) {
        failedStarts.add(relay.name + (alive ? " was given up" : " ended by itself"));
        if (!hasBegun) {
            completion.completeExceptionally(new IOException(relay.name + " did not start"));
        }
    }

    /** Whether this process got too little CPU for the run's figures to be meaningful. */
    public boolean isCpuStarved() {
        return eventLoopClock.isCpuStarved();
    }

    /** What the run consumed, as lines for the report. The figures of different machines cannot be compared. */
    public List<String> resourceUsage() {
        List<String> lines = new ArrayList<>();
        lines.add("the lab's own lateness: " + eventLoopClock.describeLateness());
        for (RelayProcess relay : relays) {
            lines.add(String.format(Locale.ROOT, "%s: %.2f s of CPU", relay.name, relay.totalCpuNanos() / 1e9));
        }
        lines.add("most resident memory of a relay: " + maxResidentKilobytes / 1024 + " MB");
        lines.addAll(failedStarts);
        return lines;
    }
}
