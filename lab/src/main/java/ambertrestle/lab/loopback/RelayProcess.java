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
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A relay that runs as a process of the packaged daemon. It owns the process, its configuration file and log, the
 * sockets of its clients, and the roster server that the relay uses. All methods run on the testbed's event loop,
 * except the constructor, {@link #awaitExit} and {@link #totalCpuNanos}.
 */
final class RelayProcess extends RelayInstance {
    private static final String HOST = RelayLauncher.HOST;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long PING_RETRY_DELAY_MILLIS = 25;
    /** A relay that was asked to stop and still runs after this time is killed; nanoseconds. */
    private static final long STOP_TIMEOUT = 4_000 * NANOS_PER_MILLI;

    private static final long EXIT_TIMEOUT_SECONDS = 5;
    /** Distance between the relays' seeds of runs with consecutive seeds. */
    private static final long SEED_STRIDE_OF_RUNS = 1_000L;
    /** Distance between the seeds of consecutive relays; each start of a relay adds to its seed. */
    private static final long SEED_STRIDE_OF_RELAYS = 10L;

    private final LoopbackTestbed testbed;
    private final Path jar;
    private final Path workingDirectory;
    private final int port;
    /** The roster service as this relay reaches it. */
    final RosterServer rosterServer;

    private final Map<ClientEndpoint, NetSocket> clientSockets = new HashMap<>();
    /** The roster as it was last sent to this relay. */
    private final DeliveredRoster receivedRoster = new DeliveredRoster();
    /** Null before the first start. */
    private Process process;
    /** Incremented at each start and kill, so that callbacks for an earlier process can be recognised. */
    private int incarnation;
    /** CPU time of the terminated processes, each read when it was told to end; nanoseconds. */
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

    /**
     * When this relay was notified that a backend is draining or gone, in nanoseconds from the start of the run; -1 if
     * it was not.
     */
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
                                    testbed.seed * SEED_STRIDE_OF_RUNS + number * SEED_STRIDE_OF_RELAYS + incarnation,
                                    rosterServer.encode(startupRoster(incarnation, receivedRoster)))
                            .encodePrettily());
            process = RelayLauncher.start(
                    jar,
                    configurationFile,
                    testbed.scenario.relays().persistsState() ? writeOperatorFile() : null,
                    logFile());
            if (incarnation > 1) {
                recordRestart();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        awaitPong(incarnation, onReady);
    }

    /** Writes the operator file, which names a state directory that outlives the relay's processes. */
    private Path writeOperatorFile() throws IOException {
        Path stateDirectory = workingDirectory.resolve(name + ".kept");
        // Without this, the first process of a run would restore the state that an earlier run left here.
        if (incarnation == 1) {
            Directories.createEmpty(stateDirectory);
        }
        return Files.writeString(
                workingDirectory.resolve(name + ".toml"),
                "[durable]\nfolder = \"" + stateDirectory + "\"\ninterval = \""
                        + testbed.scenario.relays().persistInterval() / NANOS_PER_MILLI + "ms\"\n");
    }

    /** Sends PING until the relay answers PONG, as the load balancer in front does before it sends clients. */
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
                                    testbed.vertx.setTimer(
                                            PING_RETRY_DELAY_MILLIS, t -> awaitPong(expectedIncarnation, onReady));
                                }
                            });
                    socket.write("PING\r\n");
                })
                .onFailure(error ->
                        testbed.vertx.setTimer(PING_RETRY_DELAY_MILLIS, t -> awaitPong(expectedIncarnation, onReady)));
    }

    @Override
    protected void kill() {
        running = false;
        incarnation++;
        terminateProcess(true);
    }

    /** Ends the current process, with SIGKILL if `forcibly`, otherwise with SIGTERM. */
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
        testbed.scheduler.scheduleAfter(STOP_TIMEOUT, () -> {
            if (incarnation == stoppedIncarnation) {
                kill();
            }
        });
    }

    /** Waits up to 5 s for the process to exit after {@link #kill}. */
    void awaitExit() throws InterruptedException {
        if (process != null) {
            process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** CPU time of the current process; 0 if there is none or the platform does not report it. */
    private long currentProcessCpuNanos() {
        return process == null
                ? 0
                : process.info()
                        .totalCpuDuration()
                        .map(duration -> duration.toNanos())
                        .orElse(0L);
    }

    /** CPU time of all processes of this relay, in nanoseconds. */
    long totalCpuNanos() {
        return endedProcessesCpuNanos + (process != null && process.isAlive() ? currentProcessCpuNanos() : 0);
    }

    /** Resident memory of the process in kilobytes; -1 if `/proc` has no value for it. */
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

    /** Whether the relay runs, and the last line of its log. */
    String describe() {
        String lastLine;
        try {
            List<String> lines = Files.readAllLines(logFile());
            lastLine = lines.isEmpty() ? "its log is empty" : lines.get(lines.size() - 1);
        } catch (IOException e) {
            lastLine = "its log can't be read: " + e;
        }
        boolean isAlive = process != null && process.isAlive();
        return name + (isAlive ? " is alive" : " ended") + (running ? " and ready, " : " and not ready, ") + lastLine;
    }

    private Path logFile() {
        return workingDirectory.resolve(name + ".log");
    }

    // Connections of clients

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
                                // For some milliseconds after SIGKILL the port of the killed process still accepts
                                // connections, which are then reset. Without this check such a reset would count as
                                // a fault of a running relay, which closed the connection without an answer.
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
    protected void disconnect(ClientEndpoint client) {
        NetSocket socket = clientSockets.remove(client);
        if (socket != null) {
            socket.close();
        }
    }
}
