package ambertrestle.lab.standin;

import ambertrestle.lab.scenario.RelayFile;
import ambertrestle.lab.world.ClientEnd;
import ambertrestle.lab.world.HeardRoster;
import ambertrestle.lab.world.RelayEnd;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Owns one relay as it is shipped: a process, its configuration file, its log, and the clients' sockets to it. */
final class RelayProcess extends RelayEnd {
    private static final String HOST = Daemon.HOST;
    private static final long MS = 1_000_000L;

    private final SocketWorld place;
    private final Path jar;
    private final Path dir;
    private final int port;
    final RosterServer roster;
    private final Map<ClientEnd, NetSocket> clients = new HashMap<>();
    private final HeardRoster heard = new HeardRoster();
    private Process process;
    private int life;
    private long cpuBefore;

    RelayProcess(SocketWorld place, int number, Path jar, Path dir) throws IOException {
        super(place, number);
        this.place = place;
        this.jar = jar;
        this.dir = dir;
        port = Daemon.freePort();
        roster = new RosterServer(
                place.vertx,
                place.roster,
                name -> place.address(name, number),
                message -> heard.take(message, place.now()));
    }

    long drainTold(String backend) {
        return heard.drainTold(backend);
    }

    @Override
    protected void start(Runnable ready) {
        life++;
        if (heard.isEmpty()) {
            heard.take(place.roster.whole(), world.now());
        }
        try {
            Path file = dir.resolve(name + ".json");
            Files.writeString(
                    file,
                    RelayFile.make(
                                    place.scenario,
                                    name,
                                    HOST + ":" + port,
                                    roster.address(),
                                    place.seed * 1000 + number * 10L + life,
                                    roster.encode(listed(life, heard)))
                            .encodePrettily());
            process = Daemon.start(
                    jar, file, place.scenario.relays().kept() ? operator() : null, dir.resolve(name + ".log"));
            if (life > 1) {
                starts();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        awaitPong(life, ready);
    }

    /** Its operator file, and the folder that outlives its processes. */
    private Path operator() throws IOException {
        Path kept = dir.resolve(name + ".kept");
        // Danger: what an earlier run kept would be this run's past.
        if (life == 1) {
            Folders.empty(kept);
        }
        return Files.writeString(
                dir.resolve(name + ".toml"),
                "[durable]\nfolder = \"" + kept + "\"\ninterval = \""
                        + place.scenario.relays().interval() / MS + "ms\"\n");
    }

    /** As the front does: it is taken in once it answers PING. */
    private void awaitPong(int mine, Runnable ready) {
        if (life != mine || !process.isAlive()) {
            place.relayEnded(this, process.isAlive());
            return;
        }
        place.net
                .connect(port, HOST)
                .onSuccess(socket -> {
                    socket.handler(answer -> {
                                if (life == mine && !up && answer.toString().startsWith("PONG")) {
                                    up = true;
                                    ready.run();
                                }
                                socket.close();
                            })
                            .exceptionHandler(e -> {})
                            .closeHandler(v -> {
                                if (life == mine && !up) {
                                    place.vertx.setTimer(25, t -> awaitPong(mine, ready));
                                }
                            });
                    socket.write("PING\r\n");
                })
                .onFailure(e -> place.vertx.setTimer(25, t -> awaitPong(mine, ready)));
    }

    @Override
    protected void kill() {
        up = false;
        life++;
        end(true);
    }

    /** Only the process that was started here. */
    private void end(boolean outright) {
        if (process != null && process.isAlive()) {
            cpuBefore += cpuNow();
            if (outright) {
                process.destroyForcibly();
            } else {
                process.destroy();
            }
        }
    }

    @Override
    protected void tellToStop() {
        int mine = life;
        end(false);
        world.clock.after(4_000 * MS, () -> {
            if (life == mine) {
                kill();
            }
        });
    }

    /** After {@link #kill}: returns once the process is gone. */
    void awaitEnd() throws InterruptedException {
        if (process != null) {
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    private long cpuNow() {
        return process == null
                ? 0
                : process.info().totalCpuDuration().map(d -> d.toNanos()).orElse(0L);
    }

    /** CPU of all its processes, in nanoseconds. */
    long cpu() {
        return cpuBefore + (process != null && process.isAlive() ? cpuNow() : 0);
    }

    /** Resident memory now, in kilobytes; -1 where this machine does not tell. */
    long residentKilobytes() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                    .filter(l -> l.startsWith("VmRSS"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(-1);
        } catch (IOException e) {
            return -1;
        }
    }

    // ---- clients

    @Override
    protected void connect(ClientEnd client) {
        int mine = life;
        place.net.connect(port, HOST).onFailure(e -> client.refused()).onSuccess(socket -> {
            clients.put(client, socket);
            boolean[] reset = new boolean[1];
            RecordParser lines = RecordParser.newDelimited(
                    "\r\n", line -> client.said(line.appendString("\r\n").getBytes()));
            socket.handler(lines).exceptionHandler(e -> reset[0] = true).closeHandler(v -> {
                if (clients.remove(client) == null) {
                    return;
                }
                // Danger: for some milliseconds after SIGKILL the dying process's port still takes connections, and
                // then resets them.
                if (life != mine || !up) {
                    client.relayDied();
                } else {
                    client.ended(reset[0]);
                }
            });
            client.accepted();
        });
    }

    @Override
    protected void send(ClientEnd client, byte[] raw) {
        NetSocket socket = clients.get(client);
        if (socket != null) {
            socket.write(Buffer.buffer(raw));
        }
    }

    @Override
    protected void end(ClientEnd client) {
        NetSocket socket = clients.remove(client);
        if (socket != null) {
            socket.close();
        }
    }
}
