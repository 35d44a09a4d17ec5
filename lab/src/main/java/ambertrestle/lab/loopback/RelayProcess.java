package ambertrestle.lab.loopback;

import ambertrestle.lab.scenario.RelayConfigurationJson;
import ambertrestle.lab.simulation.ClientEndpoint;
import ambertrestle.lab.simulation.DeliveredRoster;
import ambertrestle.lab.simulation.RelayInstance;
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
final class RelayProcess extends RelayInstance {
    private static final String HOST = RelayLauncher.HOST;
    private static final long MS = 1_000_000L;

    private final LoopbackTestbed testbed;
    private final Path jar;
    private final Path dir;
    private final int port;
    final RosterServer rosterServer;
    private final Map<ClientEndpoint, NetSocket> clients = new HashMap<>();
    private final DeliveredRoster receivedRoster = new DeliveredRoster();
    private Process process;
    private int incarnation;
    private long endedProcessesCpuNanos;

    RelayProcess(LoopbackTestbed place, int number, Path jar, Path dir) throws IOException {
        super(place, number);
        this.testbed = place;
        this.jar = jar;
        this.dir = dir;
        port = RelayLauncher.freePort();
        rosterServer = new RosterServer(
                place.vertx,
                place.rosterService,
                name -> place.address(name, number),
                message -> receivedRoster.apply(message, place.now()));
    }

    long drainNotifiedAt(String backend) {
        return receivedRoster.drainNotifiedAt(backend);
    }

    @Override
    protected void start(Runnable ready) {
        incarnation++;
        if (receivedRoster.isUninitialized()) {
            receivedRoster.apply(testbed.rosterService.fullRoster(), testbed.now());
        }
        try {
            Path file = dir.resolve(name + ".json");
            Files.writeString(
                    file,
                    RelayConfigurationJson.create(
                                    testbed.scenario,
                                    name,
                                    HOST + ":" + port,
                                    rosterServer.address(),
                                    testbed.seed * 1000 + number * 10L + incarnation,
                                    rosterServer.encode(startupRoster(incarnation, receivedRoster)))
                            .encodePrettily());
            process = RelayLauncher.start(
                    jar,
                    file,
                    testbed.scenario.relays().persistsState() ? writeOperatorFile() : null,
                    dir.resolve(name + ".log"));
            if (incarnation > 1) {
                recordRestart();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        awaitPong(incarnation, ready);
    }

    /** Its operator file, and the folder that outlives its processes. */
    private Path writeOperatorFile() throws IOException {
        Path kept = dir.resolve(name + ".kept");
        // Danger: what an earlier run kept would be this run's past.
        if (incarnation == 1) {
            Directories.createEmpty(kept);
        }
        return Files.writeString(
                dir.resolve(name + ".toml"),
                "[durable]\nfolder = \"" + kept + "\"\ninterval = \""
                        + testbed.scenario.relays().persistInterval() / MS + "ms\"\n");
    }

    /** As the front does: it is taken in once it answers PING. */
    private void awaitPong(int mine, Runnable ready) {
        if (incarnation != mine || !process.isAlive()) {
            testbed.onRelayExited(this, process.isAlive());
            return;
        }
        testbed.netClient
                .connect(port, HOST)
                .onSuccess(socket -> {
                    socket.handler(answer -> {
                                if (incarnation == mine
                                        && !running
                                        && answer.toString().startsWith("PONG")) {
                                    running = true;
                                    ready.run();
                                }
                                socket.close();
                            })
                            .exceptionHandler(e -> {})
                            .closeHandler(v -> {
                                if (incarnation == mine && !running) {
                                    testbed.vertx.setTimer(25, t -> awaitPong(mine, ready));
                                }
                            });
                    socket.write("PING\r\n");
                })
                .onFailure(e -> testbed.vertx.setTimer(25, t -> awaitPong(mine, ready)));
    }

    @Override
    protected void kill() {
        running = false;
        incarnation++;
        end(true);
    }

    /** Only the process that was started here. */
    private void end(boolean outright) {
        if (process != null && process.isAlive()) {
            endedProcessesCpuNanos += currentProcessCpuNanos();
            if (outright) {
                process.destroyForcibly();
            } else {
                process.destroy();
            }
        }
    }

    @Override
    protected void requestStop() {
        int mine = incarnation;
        end(false);
        testbed.scheduler.scheduleAfter(4_000 * MS, () -> {
            if (incarnation == mine) {
                kill();
            }
        });
    }

    /** After {@link #kill}: returns once the process is gone. */
    void awaitExit() throws InterruptedException {
        if (process != null) {
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    private long currentProcessCpuNanos() {
        return process == null
                ? 0
                : process.info().totalCpuDuration().map(d -> d.toNanos()).orElse(0L);
    }

    /** CPU of all its processes, in nanoseconds. */
    long totalCpuNanos() {
        return endedProcessesCpuNanos + (process != null && process.isAlive() ? currentProcessCpuNanos() : 0);
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
    protected void connect(ClientEndpoint client) {
        int mine = incarnation;
        testbed.netClient.connect(port, HOST).onFailure(e -> client.onRefused()).onSuccess(socket -> {
            clients.put(client, socket);
            boolean[] reset = new boolean[1];
            RecordParser lines = RecordParser.newDelimited(
                    "\r\n", line -> client.onLine(line.appendString("\r\n").getBytes()));
            socket.handler(lines).exceptionHandler(e -> reset[0] = true).closeHandler(v -> {
                if (clients.remove(client) == null) {
                    return;
                }
                // Danger: for some milliseconds after SIGKILL the dying process's port still takes connections, and
                // then resets them.
                if (incarnation != mine || !running) {
                    client.onRelayKilled();
                } else {
                    client.onClosed(reset[0]);
                }
            });
            client.onAccepted();
        });
    }

    @Override
    protected void send(ClientEndpoint client, byte[] raw) {
        NetSocket socket = clients.get(client);
        if (socket != null) {
            socket.write(Buffer.buffer(raw));
        }
    }

    @Override
    protected void disconnect(ClientEndpoint client) {
        NetSocket socket = clients.remove(client);
        if (socket != null) {
            socket.close();
        }
    }
}
