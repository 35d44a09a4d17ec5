package ambertrestle.lab.standin;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.world.BackendNode;
import ambertrestle.lab.world.RelayEnd;
import ambertrestle.lab.world.World;
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
public final class SocketWorld extends World {
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    /** The rules' limits are this much longer on sockets. */
    private static final long SLACK = 50 * MS;

    private static final long READY_SECONDS = 30;

    final Vertx vertx;
    final NetClient net;
    final long seed;
    private final Context loop;
    private final RealClock real;
    private final Path jar;
    private final Path dir;
    private final List<RelayProcess> relays = new ArrayList<>();
    private final Map<String, BackendSockets> sockets = new HashMap<>();
    private final CompletableFuture<Boolean> over = new CompletableFuture<>();
    private final List<String> ended = new ArrayList<>();
    private Map<String, Long> account = Map.of();
    private long mostResident;

    private SocketWorld(Scenario scenario, long seed, Path jar, Path dir, Vertx vertx, Context loop, RealClock clock) {
        super(scenario, clock, SLACK, seed);
        this.seed = seed;
        this.jar = jar;
        this.dir = dir;
        this.vertx = vertx;
        this.loop = loop;
        real = clock;
        net = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(2_000));
    }

    /** `jar`: the daemon's; `dir`: where configurations and logs of the relays go. */
    public static SocketWorld make(Scenario scenario, long seed, Path jar, Path dir) throws IOException {
        if (!Files.isRegularFile(jar)) {
            throw new IOException(jar + " is not there: build the relay first, or name its jar by --jar");
        }
        Files.createDirectories(dir);
        Vertx vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        Context loop = vertx.getOrCreateContext();
        return new SocketWorld(
                scenario, seed, jar.toAbsolutePath(), dir.toAbsolutePath(), vertx, loop, new RealClock(vertx, loop));
    }

    /** Plays all in real time. False when told to stop before the end. */
    public boolean run(IntPredicate second) throws IOException, InterruptedException {
        try {
            for (int i = 0; i < scenario.relays().count(); i++) {
                relays.add(new RelayProcess(this, i, jar, dir));
            }
            loop.runOnContext(v -> prepare(second));
            return over.get(scenario.end() / SECOND + 2 * READY_SECONDS, TimeUnit.SECONDS);
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
                relay.awaitEnd();
            }
            vertx.close();
        }
    }

    private void prepare(IntPredicate second) {
        List<Future<?>> all = new ArrayList<>();
        for (BackendNode b : backends()) {
            all.add(Future.fromCompletionStage(open(b)));
        }
        relays.forEach(r -> all.add(r.roster.listen()));
        Future.all(all).onFailure(over::completeExceptionally).onSuccess(v -> {
            int[] ready = new int[1];
            for (RelayProcess relay : relays) {
                relay.start(() -> {
                    serves(relay);
                    if (++ready[0] == relays.size()) {
                        real.start();
                        begin();
                        tick(1, second);
                    }
                });
            }
        });
    }

    private CompletableFuture<Void> open(BackendNode b) {
        BackendSockets made = new BackendSockets(((ContextInternal) loop).nettyEventLoop(), this, b, relays);
        sockets.put(b.name, made);
        return made.listen();
    }

    @Override
    protected void cut(RelayEnd relay, BackendNode backend, boolean off) {
        // Danger: one that dies while it is cut off has no listening socket left to cut.
        if (backend.listens()) {
            sockets.get(backend.name).cut(relay.number, off);
        }
    }

    private void tick(int n, IntPredicate second) {
        clock.at(Math.min(scenario.end(), n * SECOND), () -> {
            sample();
            mostResident = Math.max(
                    mostResident,
                    relays.stream()
                            .mapToLong(RelayProcess::residentKilobytes)
                            .max()
                            .orElse(0));
            boolean on = second.test(n);
            if (!on || n * SECOND >= scenario.end()) {
                account = super.account();
                over.complete(on);
            } else {
                tick(n + 1, second);
            }
        });
    }

    /** As it stood at the end of the run, before its relays were ended. */
    @Override
    public Map<String, Long> account() {
        return account;
    }

    @Override
    protected void rosterGoes(Scenario.Down how) {
        relays.forEach(r -> r.roster.down(how));
    }

    @Override
    protected void joined(BackendNode b) {
        open(b);
    }

    @Override
    protected long wall(long time) {
        return real.wall(time);
    }

    @Override
    protected long drainTold(RelayEnd relay, BackendNode backend) {
        return ((RelayProcess) relay).drainTold(backend.name);
    }

    String address(String backend, int relay) {
        return sockets.get(backend).address(relay);
    }

    /** A relay's process is gone though nobody ended it, or does not answer. */
    void relayEnded(RelayProcess relay, boolean alive) {
        ended.add(relay.name + (alive ? " was given up" : " ended by itself"));
    }

    /** Whether this process got too little CPU for its figures to mean anything. */
    public boolean starved() {
        return real.starved();
    }

    /** What a run on sockets costs: not for comparing between machines. */
    public List<String> costs() {
        List<String> lines = new ArrayList<>();
        lines.add("the lab's own lateness: " + real.lateness());
        for (RelayProcess relay : relays) {
            lines.add(String.format(Locale.ROOT, "%s: %.2f s of CPU", relay.name, relay.cpu() / 1e9));
        }
        lines.add("most resident memory of a relay: " + mostResident / 1024 + " MB");
        lines.addAll(ended);
        return lines;
    }
}
