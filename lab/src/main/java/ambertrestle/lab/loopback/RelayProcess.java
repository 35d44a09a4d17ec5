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
    private final Path workingDirectory;
    private final int port;
    final RosterServer rosterServer;
    private final Map<ClientEndpoint, NetSocket> clientSockets = new HashMap<>();
    private final DeliveredRoster receivedRoster = new DeliveredRoster();
    private Process process;
    private int incarnation;
    private long endedProcessesCpuNanos;

    RelayProcess(LoopbackTestbed testbed, int number, Path jar, Path workingDirectory) throws IOException {
        super(testbed, number);
        this.testbed = testbed;
        this.jar = jar;
        this.workingDirectory = workingDirectory;
        port = RelayLauncher.findFreePort();
        rosterServer = new RosterServer(
                testbed.vertx,
                testbed.rosterService,
                name -> testbed.address(name, number),
                message -> receivedRoster.apply(message, testbed.now()));
    }

    long drainNotifiedAt(String backend) {
        return receivedRoster.drainNotifiedAt(backend);
    }

    @Override
    protected void start(Runnable onReady) {
        incarnation++;
        if (receivedRoster.isUninitialized()) {
            receivedRoster.apply(testbed.rosterService.fullRoster(), testbed.now());
        }
        try {
            Path configurationFile = workingDirectory.resolve(name + ".json");
            Files.writeString(
                    configurationFile,
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
                    configurationFile,
                    testbed.scenario.relays().persistsState() ? writeOperatorFile() : null,
                    workingDirectory.resolve(name + ".log"));
            if (incarnation > 1) {
                recordRestart();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        awaitPong(incarnation, onReady);
    }

    /** Its operator file, and the folder that outlives its processes. */
    private Path writeOperatorFile() throws IOException {
        Path stateDirectory = workingDirectory.resolve(name + ".kept");
        // Danger: what an earlier run kept would be this run's past.
        if (incarnation == 1) {
            Directories.createEmpty(stateDirectory);
        }
        return Files.writeString(
                workingDirectory.resolve(name + ".toml"),
                "[durable]\nfolder = \"" + stateDirectory + "\"\ninterval = \""
                        + testbed.scenario.relays().persistInterval() / MS + "ms\"\n");
    }

    /** As the front does: it is taken in once it answers PING. */
    private void awaitPong(int expectedIncarnation, Runnable onReady) {
        if (incarnation != expectedIncarnation || !process.isAlive()) {
            testbed.onRelayStartFailed(this, process.isAlive());
            return;
        }
        testbed.netClient
                .connect(port, HOST)
                .onSuccess(socket -> {
                    socket.handler(answer -> {
                                if (incarnation == expectedIncarnation
                                        && !running
                                        && answer.toString().startsWith("PONG")) {
                                    running = true;
                                    onReady.run();
                                }
                                socket.close();
                            })
                            .exceptionHandler(error -> {})
                            .closeHandler(v -> {
                                if (incarnation == expectedIncarnation && !running) {
                                    testbed.vertx.setTimer(25, t -> awaitPong(expectedIncarnation, onReady));
                                }
                            });
                    socket.write("PING\r\n");
                })
                .onFailure(error -> testbed.vertx.setTimer(25, t -> awaitPong(expectedIncarnation, onReady)));
    }

    @Override
    protected void kill() {
        running = false;
        incarnation++;
        terminateProcess(true);
    }

    /** Only the process that was started here. */
    private void terminateProcess(boolean forcibly) {
        if (process != null && process.isAlive()) {
            endedProcessesCpuNanos += currentProcessCpuNanos();
            if (forcibly) {
                process.destroyForcibly();
            } else {
                process.destroy();
            }
        }
    }

    @Override
    protected void requestStop() {
        int stoppedIncarnation = incarnation;
        terminateProcess(false);
        testbed.scheduler.scheduleAfter(4_000 * MS, () -> {
            if (incarnation == stoppedIncarnation) {
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
                : process.info()
                        .totalCpuDuration()
                        .map(duration -> duration.toNanos())
                        .orElse(0L);
    }

    /** CPU of all its processes, in nanoseconds. */
    long totalCpuNanos() {
        return endedProcessesCpuNanos + (process != null && process.isAlive() ? currentProcessCpuNanos() : 0);
    }

    /** Resident memory now, in kilobytes; -1 where this machine does not tell. */
    long residentKilobytes() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                    .filter(line -> line.startsWith("VmRSS"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(-1);
        } catch (IOException e) {
            return -1;
        }
    }

    // ---- clients

    @Override
    protected void connect(ClientEndpoint client) {
        int connectedIncarnation = incarnation;
        testbed.netClient
                .connect(port, HOST)
                .onFailure(error -> client.onRefused())
                .onSuccess(socket -> {
                    clientSockets.put(client, socket);
                    boolean[] resetSeen = new boolean[1];
                    RecordParser lines = RecordParser.newDelimited(
                            "\r\n",
                            line -> client.onLine(line.appendString("\r\n").getBytes()));
                    socket.handler(lines)
                            .exceptionHandler(error -> resetSeen[0] = true)
                            .closeHandler(v -> {
                                if (clientSockets.remove(client) == null) {
                                    return;
                                }
                                // Danger: for some milliseconds after SIGKILL the dying process's port still takes
                                // connections, and
                                // then resets them.
                                if (incarnation != connectedIncarnation || !running) {
                                    client.onRelayKilled();
                                } else {
                                    client.onClosed(resetSeen[0]);
                                }
                            });
                    client.onAccepted();
                });
    }

    @Override
    protected void send(ClientEndpoint client, byte[] raw) {
        NetSocket socket = clientSockets.get(client);
        if (socket != null) {
            socket.write(Buffer.buffer(raw));
        }
    }

    @Override
    protected void end(ClientEndpoint client) {
        NetSocket socket = clientSockets.remove(client);
        if (socket != null) {
            socket.close();
        }
    }
}
