package ambertrestle.lab.loopback;

import ambertrestle.lab.scenario.RelayConfigurationJson;
import ambertrestle.lab.scenario.Scenario;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
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
 * What a relay costs: openings and lines through one relay as shipped, and straight to the same stand-in backend, in
 * turn, in one run. The client is one blocking thread, so each figure is of a relay with nothing else to do.
 */
public final class RelayOverheadBenchmark implements AutoCloseable {
    private static final String HOST = RelayLauncher.HOST;
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Vertx vertx = Vertx.vertx(
            new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
    private final int backendPort;
    private final int relayPort;
    private final Process relayProcess;
    private long lastId;
    private final Histogram[] openingLatencies = {newHistogram(), newHistogram()};
    private final Histogram[] lineLatencies = {newHistogram(), newHistogram()};

    private static Histogram newHistogram() {
        return new Histogram(60_000_000_000L, 3);
    }

    public RelayOverheadBenchmark(Scenario scenario, Path jar, Path workingDirectory)
            throws IOException, InterruptedException {
        try {
            backendPort = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true))
                    .connectHandler(socket -> socket.handler(RecordParser.newDelimited(
                            "\r\n",
                            line -> socket.write(Buffer.buffer(
                                    line.length() > 4 && line.getByte(0) == 'O' ? "UP 1\r\n" : "R\r\n")))))
                    .listen(0, HOST)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS)
                    .actualPort();
            JsonObject roster = new JsonObject()
                    .put("index", 1)
                    .put("snapshot", true)
                    .put(
                            "endpoints",
                            new JsonArray()
                                    .add(RelayConfigurationJson.createRosterEntry(
                                            "s-1",
                                            HOST + ":" + backendPort,
                                            scenario.fleets().get(0),
                                            "in_service",
                                            0)));
            int rosterPort = vertx.createHttpServer()
                    .requestHandler(request -> {
                        HttpServerResponse response = request.response().setChunked(true);
                        response.write(roster.encode() + "\n");
                        long keepAliveTimer = vertx.setPeriodic(1_000, t -> response.write("\n"));
                        response.closeHandler(v -> vertx.cancelTimer(keepAliveTimer));
                    })
                    .listen(0, HOST)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS)
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
            throw new IOException("the stand-ins could not listen: " + e, e);
        }
    }

    private void awaitPong() throws IOException, InterruptedException {
        for (int attempt = 0; attempt < 400; attempt++) {
            try (Socket socket = connect(relayPort)) {
                socket.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
                if (readLine(new BufferedInputStream(socket.getInputStream())).equals("PONG")) {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(25);
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

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    private void measureConnection(int path, int lineCount, boolean recorded) throws IOException {
        long startNanos = System.nanoTime();
        try (Socket socket = connect(path == 1 ? relayPort : backendPort)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            socket.getOutputStream()
                    .write(("OPEN " + Long.toHexString(++lastId) + " " + Long.toHexString(lastId * 77)
                                    + " c=open,t=t,d=2000\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            String answer = readLine(in);
            if (!answer.startsWith("UP")) {
                throw new IOException("an opening was answered " + answer);
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

    private long relayCpuNanos() {
        return relayProcess
                .info()
                .totalCpuDuration()
                .map(java.time.Duration::toNanos)
                .orElse(0L);
    }

    /** `opens` of each kind, in turn, with `each` lines; the first fifth is warm-up. A table, one row a line. */
    public List<String> measure(int connections, int linesPerConnection) throws IOException {
        for (int i = 0; i < connections + connections / 4; i++) {
            measureConnection(0, linesPerConnection, i >= connections / 4);
            measureConnection(1, linesPerConnection, i >= connections / 4);
        }
        long cpuNanosBefore = relayCpuNanos();
        for (int i = 0; i < connections; i++) {
            measureConnection(1, 0, false);
        }
        double cpuMicrosPerOpening = (relayCpuNanos() - cpuNanosBefore) / 1e3 / connections;
        cpuNanosBefore = relayCpuNanos();
        measureConnection(1, connections, false);
        double cpuMicrosPerLine =
                (relayCpuNanos() - cpuNanosBefore) / 1e3 / connections - cpuMicrosPerOpening / connections;
        List<String> table = new ArrayList<>();
        table.add(String.format(Locale.ROOT, "%-28s %10s %10s %10s", "microseconds", "p50", "p99", "p99.9"));
        appendRow(table, "opening, straight", openingLatencies[0]);
        appendRow(table, "opening, through the relay", openingLatencies[1]);
        appendRow(table, "line, straight", lineLatencies[0]);
        appendRow(table, "line, through the relay", lineLatencies[1]);
        table.add(String.format(
                Locale.ROOT,
                "the relay's CPU: %.0f us an opening and its end, %.0f us a line and its answer",
                cpuMicrosPerOpening,
                cpuMicrosPerLine));
        return table;
    }

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
        relayProcess.waitFor(5, TimeUnit.SECONDS);
        vertx.close();
    }
}
