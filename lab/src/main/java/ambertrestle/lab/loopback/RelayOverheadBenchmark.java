package ambertrestle.lab.loopback;

import ambertrestle.lab.scenario.RelayConfigurationJson;
import ambertrestle.lab.scenario.Scenario;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.parsetools.RecordParser;
import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.HdrHistogram.Histogram;

/**
 * Measures the overhead of a relay: the latency of openings and lines through one relay process, and directly to the
 * same test backend, alternating in one run. The client is a single blocking thread, so the figures are those of a
 * relay without other load.
 */
public final class RelayOverheadBenchmark implements AutoCloseable {
    private static final String HOST = RelayLauncher.HOST;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final long LISTEN_TIMEOUT_SECONDS = 10;
    /** Interval of the empty lines on a roster watch. */
    private static final long KEEP_ALIVE_INTERVAL_MILLIS = 1_000;
    /** With the delay between attempts, the relay has 10 s to answer its first PING. */
    private static final int PING_ATTEMPTS = 400;

    private static final long PING_RETRY_DELAY_MILLIS = 25;
    private static final long EXIT_TIMEOUT_SECONDS = 5;
    private static final long MAX_RECORDED_LATENCY_NANOS = 60_000_000_000L;
    /** Decimal digits to which the histograms are precise. */
    private static final int SIGNIFICANT_DIGITS = 3;
    /** For every so many measured connections, one more is opened at the beginning as warm-up. */
    private static final int CONNECTIONS_PER_WARM_UP = 4;
    /**
     * An association's key is its id times this, so that consecutive associations have different, non-adjacent keys.
     */
    private static final long KEY_MULTIPLIER = 77;

    /** Index of the connections that go directly to the backend. */
    private static final int DIRECT = 0;
    /** Index of the connections that go through the relay. */
    private static final int VIA_RELAY = 1;

    private final Vertx vertx = Vertx.vertx(
            new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
    private final int backendPort;
    private final int relayPort;
    private final Process relayProcess;
    /** Id of the last association; each connection gets the next one. */
    private long lastId;
    /** Time from the start of the connect to the UP line, in nanoseconds, by {@link #DIRECT} and {@link #VIA_RELAY}. */
    private final Histogram[] openingLatencies = {newHistogram(), newHistogram()};
    /** Time from sending a line to its answer, in nanoseconds, by {@link #DIRECT} and {@link #VIA_RELAY}. */
    private final Histogram[] lineLatencies = {newHistogram(), newHistogram()};

    private static Histogram newHistogram() {
        return new Histogram(MAX_RECORDED_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    }

    /**
     * Starts a backend, a roster service that lists it, and a relay, and waits until the relay answers.
     *
     * @param scenario supplies the relay's settings; its first fleet describes the backend
     * @param jar the relay daemon's jar
     * @param workingDirectory where the relay's configuration (cost.json) and log (cost.log) are written
     * @throws IOException if a server cannot listen or the relay does not answer within 10 s
     */
    public RelayOverheadBenchmark(Scenario scenario, Path jar, Path workingDirectory)
            throws IOException, InterruptedException {
        try {
            // The backend answers OPEN with UP, and every other line with R.
            backendPort = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true))
                    .connectHandler(socket -> socket.handler(RecordParser.newDelimited(
                            "\r\n",
                            line -> socket.write(Buffer.buffer(
                                    line.length() > 4 && line.getByte(0) == 'O' ? "UP 1\r\n" : "R\r\n")))))
                    .listen(0, HOST)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(LISTEN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .actualPort();
            JsonObject roster = RelayConfigurationJson.createRoster(RelayConfigurationJson.createRosterEntry(
                    "s-1", HOST + ":" + backendPort, scenario.fleets().get(0), "in_service", 0));
            int rosterPort = vertx.createHttpServer()
                    .requestHandler(request -> {
                        HttpServerResponse response = request.response().setChunked(true);
                        response.write(roster.encode() + "\n");
                        long keepAliveTimer = vertx.setPeriodic(KEEP_ALIVE_INTERVAL_MILLIS, t -> response.write("\n"));
                        response.closeHandler(v -> vertx.cancelTimer(keepAliveTimer));
                    })
                    .listen(0, HOST)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(LISTEN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .actualPort();
            relayPort = RelayLauncher.findFreePort();
            Files.createDirectories(workingDirectory);
            Path configurationFile = workingDirectory.resolve("cost.json");
            Files.writeString(
                    configurationFile,
                    RelayConfigurationJson.create(
                                    scenario, "cost", HOST + ":" + relayPort, HOST + ":" + rosterPort, 1, roster)
                            .encodePrettily());
            relayProcess = RelayLauncher.start(jar, configurationFile, workingDirectory.resolve("cost.log"));
            awaitPong();
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("the test backend or the roster service could not listen: " + e, e);
        }
    }

    private void awaitPong() throws IOException, InterruptedException {
        for (int attempt = 0; attempt < PING_ATTEMPTS; attempt++) {
            try (Socket socket = connect(relayPort)) {
                socket.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
                if (readLine(new BufferedInputStream(socket.getInputStream())).equals("PONG")) {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(PING_RETRY_DELAY_MILLIS);
            }
        }
        throw new IOException("the relay did not answer PING within 10 s; see cost.log");
    }

    private static Socket connect(int port) throws IOException {
        Socket socket = new Socket(HOST, port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /** Reads up to the next line feed; the result has no line end. */
    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection was closed before the end of a line");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    /** Opens one connection, sends the given number of lines one after the other, and closes it. */
    private void measureConnection(int path, int lineCount, boolean recorded) throws IOException {
        long startNanos = System.nanoTime();
        try (Socket socket = connect(path == VIA_RELAY ? relayPort : backendPort)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            socket.getOutputStream()
                    .write(("OPEN " + Long.toHexString(++lastId) + " " + Long.toHexString(lastId * KEY_MULTIPLIER)
                                    + " c=open,t=t,d=2000\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            String answer = readLine(in);
            if (!answer.startsWith("UP")) {
                throw new IOException("OPEN was not answered with UP, but with: " + answer);
            }
            if (recorded) {
                openingLatencies[path].recordValue(System.nanoTime() - startNanos);
            }
            for (int i = 0; i < lineCount; i++) {
                long sentNanos = System.nanoTime();
                socket.getOutputStream().write("L\r\n".getBytes(StandardCharsets.US_ASCII));
                readLine(in);
                if (recorded) {
                    lineLatencies[path].recordValue(System.nanoTime() - sentNanos);
                }
            }
        }
    }

    /** CPU time of the relay process so far; 0 if the platform does not report it. */
    private long relayCpuNanos() {
        return relayProcess
                .info()
                .totalCpuDuration()
                .map(java.time.Duration::toNanos)
                .orElse(0L);
    }

    /**
     * Runs the benchmark. Before the measured connections it opens a quarter as many for warm-up. Then it measures the
     * relay's CPU time in two separate passes.
     *
     * @param connections number of measured connections, each directly and through the relay; at least 1
     * @param linesPerConnection number of lines sent on each of them
     * @return the result as a table, one element per row
     */
    public List<String> measure(int connections, int linesPerConnection) throws IOException {
        for (int i = 0; i < connections + connections / CONNECTIONS_PER_WARM_UP; i++) {
            measureConnection(DIRECT, linesPerConnection, i >= connections / CONNECTIONS_PER_WARM_UP);
            measureConnection(VIA_RELAY, linesPerConnection, i >= connections / CONNECTIONS_PER_WARM_UP);
        }
        long cpuNanosBefore = relayCpuNanos();
        for (int i = 0; i < connections; i++) {
            measureConnection(VIA_RELAY, 0, false);
        }
        double cpuMicrosPerOpening = (relayCpuNanos() - cpuNanosBefore) / 1e3 / connections;
        cpuNanosBefore = relayCpuNanos();
        measureConnection(VIA_RELAY, connections, false);
        // All lines were sent on one connection, so the CPU time contains that of one opening.
        double cpuMicrosPerLine =
                (relayCpuNanos() - cpuNanosBefore) / 1e3 / connections - cpuMicrosPerOpening / connections;
        List<String> table = new ArrayList<>();
        table.add(String.format(Locale.ROOT, "%-28s %10s %10s %10s", "microseconds", "p50", "p99", "p99.9"));
        appendRow(table, "opening, straight", openingLatencies[DIRECT]);
        appendRow(table, "opening, through the relay", openingLatencies[VIA_RELAY]);
        appendRow(table, "line, straight", lineLatencies[DIRECT]);
        appendRow(table, "line, through the relay", lineLatencies[VIA_RELAY]);
        table.add(String.format(
                Locale.ROOT,
                "the relay's CPU: %.0f us an opening and its end, %.0f us a line and its answer",
                cpuMicrosPerOpening,
                cpuMicrosPerLine));
        return table;
    }

    /** Appends a row with percentiles in microseconds. */
    private static void appendRow(List<String> table, String name, Histogram histogram) {
        table.add(String.format(
                Locale.ROOT,
                "%-28s %10.0f %10.0f %10.0f",
                name,
                histogram.getValueAtPercentile(50) / 1e3,
                histogram.getValueAtPercentile(99) / 1e3,
                histogram.getValueAtPercentile(99.9) / 1e3));
    }

    @Override
    public void close() throws InterruptedException {
        relayProcess.destroyForcibly();
        relayProcess.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        vertx.close();
    }
}
