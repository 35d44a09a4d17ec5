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
    private final Process process;
    private long lastId;
    private final Histogram[] openings = {histogram(), histogram()};
    private final Histogram[] lines = {histogram(), histogram()};

    private static Histogram histogram() {
        return new Histogram(60_000_000_000L, 3);
    }

    public RelayOverheadBenchmark(Scenario scenario, Path jar, Path dir) throws IOException, InterruptedException {
        try {
            backendPort = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true))
                    .connectHandler(s -> s.handler(RecordParser.newDelimited(
                            "\r\n",
                            line -> s.write(Buffer.buffer(
                                    line.length() > 4 && line.getByte(0) == 'O' ? "UP 1\r\n" : "R\r\n")))))
                    .listen(0, HOST)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS)
                    .actualPort();
            JsonObject list = new JsonObject()
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
            int roster = vertx.createHttpServer()
                    .requestHandler(r -> {
                        HttpServerResponse answer = r.response().setChunked(true);
                        answer.write(list.encode() + "\n");
                        long still = vertx.setPeriodic(1_000, t -> answer.write("\n"));
                        answer.closeHandler(v -> vertx.cancelTimer(still));
                    })
                    .listen(0, HOST)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS)
                    .actualPort();
            relayPort = RelayLauncher.freePort();
            Files.createDirectories(dir);
            Path file = dir.resolve("cost.json");
            Files.writeString(
                    file,
                    RelayConfigurationJson.create(
                                    scenario, "cost", HOST + ":" + relayPort, HOST + ":" + roster, 1, list)
                            .encodePrettily());
            process = RelayLauncher.start(jar, file, dir.resolve("cost.log"));
            awaitPong();
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("the stand-ins could not listen: " + e, e);
        }
    }

    private void awaitPong() throws IOException, InterruptedException {
        for (int tries = 0; tries < 400; tries++) {
            try (Socket s = connect(relayPort)) {
                s.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
                if (readLine(new BufferedInputStream(s.getInputStream())).equals("PONG")) {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(25);
            }
        }
        throw new IOException("the relay did not answer PING within 10 s; see cost.log");
    }

    private static Socket connect(int port) throws IOException {
        Socket s = new Socket(HOST, port);
        s.setTcpNoDelay(true);
        s.setSoTimeout(READ_TIMEOUT_MILLIS);
        return s;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection ended");
            }
            out.append((char) c);
        }
        return out.toString().strip();
    }

    private void measureConnection(int through, int each, boolean counts) throws IOException {
        long began = System.nanoTime();
        try (Socket s = connect(through == 1 ? relayPort : backendPort)) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            s.getOutputStream()
                    .write(("OPEN " + Long.toHexString(++lastId) + " " + Long.toHexString(lastId * 77)
                                    + " c=open,t=t,d=2000\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            String up = readLine(in);
            if (!up.startsWith("UP")) {
                throw new IOException("an opening was answered " + up);
            }
            if (counts) {
                openings[through].recordValue(System.nanoTime() - began);
            }
            for (int i = 0; i < each; i++) {
                long sent = System.nanoTime();
                s.getOutputStream().write("L\r\n".getBytes(StandardCharsets.US_ASCII));
                readLine(in);
                if (counts) {
                    lines[through].recordValue(System.nanoTime() - sent);
                }
            }
        }
    }

    private long relayCpuNanos() {
        return process.info()
                .totalCpuDuration()
                .map(java.time.Duration::toNanos)
                .orElse(0L);
    }

    /** `opens` of each kind, in turn, with `each` lines; the first fifth is warm-up. A table, one row a line. */
    public List<String> measure(int opens, int each) throws IOException {
        for (int i = 0; i < opens + opens / 4; i++) {
            measureConnection(0, each, i >= opens / 4);
            measureConnection(1, each, i >= opens / 4);
        }
        long before = relayCpuNanos();
        for (int i = 0; i < opens; i++) {
            measureConnection(1, 0, false);
        }
        double open = (relayCpuNanos() - before) / 1e3 / opens;
        before = relayCpuNanos();
        measureConnection(1, opens, false);
        double line = (relayCpuNanos() - before) / 1e3 / opens - open / opens;
        List<String> out = new ArrayList<>();
        out.add(String.format(Locale.ROOT, "%-28s %10s %10s %10s", "microseconds", "p50", "p99", "p99.9"));
        appendRow(out, "opening, straight", openings[0]);
        appendRow(out, "opening, through the relay", openings[1]);
        appendRow(out, "line, straight", lines[0]);
        appendRow(out, "line, through the relay", lines[1]);
        out.add(String.format(
                Locale.ROOT,
                "the relay's CPU: %.0f us an opening and its end, %.0f us a line and its answer",
                open,
                line));
        return out;
    }

    private static void appendRow(List<String> out, String name, Histogram h) {
        out.add(String.format(
                Locale.ROOT,
                "%-28s %10.0f %10.0f %10.0f",
                name,
                h.getValueAtPercentile(50) / 1e3,
                h.getValueAtPercentile(99) / 1e3,
                h.getValueAtPercentile(99.9) / 1e3));
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
        vertx.close();
    }
}
