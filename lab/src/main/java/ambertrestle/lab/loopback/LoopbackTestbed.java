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

/**
 * The same scenario on loopback: relays are processes as shipped; clients, backends and the roster service are
 * stand-ins here.
 */
public final class LoopbackTestbed extends Testbed {
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    /** The rules' limits are this much longer on sockets. */
    private static final long TIMING_TOLERANCE = 50 * MS;

    private static final long START_TIMEOUT_SECONDS = 30;

    final Vertx vertx;
    final NetClient netClient;
    final long seed;
    private final Context loop;
    private final EventLoopScheduler eventLoopClock;
    private final Path jar;
    private final Path workingDirectory;
    private final List<RelayProcess> relays = new ArrayList<>();
    private final Map<String, BackendServer> backendServers = new HashMap<>();
    private final CompletableFuture<Boolean> completion = new CompletableFuture<>();
    private final List<String> failedStarts = new ArrayList<>();
    private Map<String, Long> finalConnectionTotals = Map.of();
    private long maxResidentKilobytes;

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
        netClient =
                vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(2_000));
    }

    /** `jar`: the daemon's; `dir`: where configurations and logs of the relays go. */
    public static LoopbackTestbed create(Scenario scenario, long seed, Path jar, Path workingDirectory)
            throws IOException {
        if (!Files.isRegularFile(jar)) {
            throw new IOException(jar + " is not there: build the relay first, or name its jar by --jar");
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

    /** Plays all in real time. False when told to stop before the end. */
    public boolean run(IntPredicate continueAfterSecond) throws IOException, InterruptedException {
        try {
            for (int i = 0; i < scenario.relays().count(); i++) {
                relays.add(new RelayProcess(this, i, jar, workingDirectory));
            }
            loop.runOnContext(v -> startServersAndRelays(continueAfterSecond));
            return completion.get(scenario.endTime() / SECOND + 2 * START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("the run on sockets failed: " + e, e);
        } finally {
            // On the loop: what ends now is this run's doing and no relay's.
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
        // Danger: one that dies while it is cut off has no listening socket left to cut.
        if (backend.isListening()) {
            backendServers.get(backend.name).setPartitioned(relay.number, partitioned);
        }
    }

    private void scheduleSample(int second, IntPredicate continueAfterSecond) {
        scheduler.scheduleAt(Math.min(scenario.endTime(), second * SECOND), () -> {
            sampleGauges();
            maxResidentKilobytes = Math.max(
                    maxResidentKilobytes,
                    relays.stream()
                            .mapToLong(RelayProcess::residentKilobytes)
                            .max()
                            .orElse(0));
            boolean continues = continueAfterSecond.test(second);
            if (!continues || second * SECOND >= scenario.endTime()) {
                finalConnectionTotals = super.connectionTotals();
                completion.complete(continues);
            } else {
                scheduleSample(second + 1, continueAfterSecond);
            }
        });
    }

    /** As it stood at the end of the run, before its relays were ended. */
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

    String address(String backend, int relayNumber) {
        return backendServers.get(backend).address(relayNumber);
    }

    /** A relay's process is gone though nobody ended it, or does not answer. */
    void onRelayStartFailed(RelayProcess relay, boolean alive) {
        failedStarts.add(relay.name + (alive ? " was given up" : " ended by itself"));
    }

    /** Whether this process got too little CPU for its figures to mean anything. */
    public boolean isCpuStarved() {
        return eventLoopClock.isCpuStarved();
    }

    /** What a run on sockets costs: not for comparing between machines. */
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
