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
    private final Path dir;
    private final List<RelayProcess> relays = new ArrayList<>();
    private final Map<String, BackendServer> backendServers = new HashMap<>();
    private final CompletableFuture<Boolean> completion = new CompletableFuture<>();
    private final List<String> unexpectedExits = new ArrayList<>();
    private Map<String, Long> account = Map.of();
    private long maxResidentKilobytes;

    private LoopbackTestbed(
            Scenario scenario, long seed, Path jar, Path dir, Vertx vertx, Context loop, EventLoopScheduler clock) {
        super(scenario, clock, TIMING_TOLERANCE, seed);
        this.seed = seed;
        this.jar = jar;
        this.dir = dir;
        this.vertx = vertx;
        this.loop = loop;
        eventLoopClock = clock;
        netClient =
                vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(2_000));
    }

    /** `jar`: the daemon's; `dir`: where configurations and logs of the relays go. */
    public static LoopbackTestbed create(Scenario scenario, long seed, Path jar, Path dir) throws IOException {
        if (!Files.isRegularFile(jar)) {
            throw new IOException(jar + " is not there: build the relay first, or name its jar by --jar");
        }
        Files.createDirectories(dir);
        Vertx vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        Context loop = vertx.getOrCreateContext();
        return new LoopbackTestbed(
                scenario,
                seed,
                jar.toAbsolutePath(),
                dir.toAbsolutePath(),
                vertx,
                loop,
                new EventLoopScheduler(vertx, loop));
    }

    /** Plays all in real time. False when told to stop before the end. */
    public boolean run(IntPredicate second) throws IOException, InterruptedException {
        try {
            for (int i = 0; i < scenario.relays().count(); i++) {
                relays.add(new RelayProcess(this, i, jar, dir));
            }
            loop.runOnContext(v -> prepare(second));
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

    private void prepare(IntPredicate second) {
        List<Future<?>> all = new ArrayList<>();
        for (SimulatedBackend b : backends()) {
            all.add(Future.fromCompletionStage(listen(b)));
        }
        relays.forEach(r -> all.add(r.rosterServer.listen()));
        Future.all(all).onFailure(completion::completeExceptionally).onSuccess(v -> {
            int[] ready = new int[1];
            for (RelayProcess relay : relays) {
                relay.start(() -> {
                    addRelay(relay);
                    if (++ready[0] == relays.size()) {
                        eventLoopClock.start();
                        scheduleArrivalsAndFaults();
                        scheduleSample(1, second);
                    }
                });
            }
        });
    }

    private CompletableFuture<Void> listen(SimulatedBackend b) {
        BackendServer made = new BackendServer(((ContextInternal) loop).nettyEventLoop(), this, b, relays);
        backendServers.put(b.name, made);
        return made.listen();
    }

    @Override
    protected void setPartitioned(RelayInstance relay, SimulatedBackend backend, boolean off) {
        // Danger: one that dies while it is cut off has no listening socket left to cut.
        if (backend.isListening()) {
            backendServers.get(backend.name).setPartitioned(relay.number, off);
        }
    }

    private void scheduleSample(int n, IntPredicate second) {
        scheduler.scheduleAt(Math.min(scenario.endTime(), n * SECOND), () -> {
            sampleGauges();
            maxResidentKilobytes = Math.max(
                    maxResidentKilobytes,
                    relays.stream()
                            .mapToLong(RelayProcess::residentKilobytes)
                            .max()
                            .orElse(0));
            boolean on = second.test(n);
            if (!on || n * SECOND >= scenario.endTime()) {
                account = super.connectionTotals();
                completion.complete(on);
            } else {
                scheduleSample(n + 1, second);
            }
        });
    }

    /** As it stood at the end of the run, before its relays were ended. */
    @Override
    public Map<String, Long> connectionTotals() {
        return account;
    }

    @Override
    protected void onRosterFailureModeChanged(Scenario.RosterFailureMode how) {
        relays.forEach(r -> r.rosterServer.setFailureMode(how));
    }

    @Override
    protected void onBackendJoined(SimulatedBackend b) {
        listen(b);
    }

    @Override
    protected long toUnixTime(long time) {
        return eventLoopClock.toUnixTime(time);
    }

    @Override
    protected long drainNotifiedAt(RelayInstance relay, SimulatedBackend backend) {
        return ((RelayProcess) relay).drainNotifiedAt(backend.name);
    }

    String address(String backend, int relay) {
        return backendServers.get(backend).address(relay);
    }

    /** A relay's process is gone though nobody ended it, or does not answer. */
    void onRelayExited(RelayProcess relay, boolean alive) {
        unexpectedExits.add(relay.name + (alive ? " was given up" : " ended by itself"));
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
        lines.addAll(unexpectedExits);
        return lines;
    }
}
