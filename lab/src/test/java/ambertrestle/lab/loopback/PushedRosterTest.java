package ambertrestle.lab.loopback;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.lab.scenario.RelayConfigurationJson;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A relay process and a roster service that pushes changes and whose answers the test holds back. Of two backends the
 * relay knows both as in service; the roster service lists the first as terminating. The relay may not make a dispatch
 * before the answer, which is checked by the order of events: no line reaches a backend before the answer is sent, and
 * none the terminating backend after it.
 */
class PushedRosterTest extends RelayProcessFixture {
    private static final int CLIENTS = 20;
    private static final int CLIENT_TIMEOUT_MILLIS = 10_000;
    private static final int MICROS_PER_MILLI = 1_000;
    /** Time in which a relay would pass on lines that it doesn't hold back. */
    private static final int HOLD_MILLIS = 500;
    /** Drain grace period of the settings; no dispatch is made after half of it. */
    private static final int DRAIN_GRACE_MILLIS = 250;

    private final List<ServerSocket> servers = new ArrayList<>();
    private final AtomicInteger drainingBackendLines = new AtomicInteger();
    private final AtomicInteger otherBackendLines = new AtomicInteger();
    /** Calls of the relay that wait for the roster service's answer. */
    private final BlockingQueue<Socket> calls = new LinkedBlockingQueue<>();

    private String drainingBackend;
    private String otherBackend;

    @BeforeEach
    void startRelayWithPushedRoster() throws Exception {
        drainingBackend = listen(socket -> serveBackend(socket, drainingBackendLines));
        otherBackend = listen(socket -> serveBackend(socket, otherBackendLines));
        String rosterAddress = listen(this::acceptCall);
        startRelay(
                rosterAddress,
                settings -> {
                    settings.put("discovery", "pushed");
                    settings.getJsonObject("guarantees").put("drainGraceUs", DRAIN_GRACE_MILLIS * MICROS_PER_MILLI);
                    // A relay that has just started, on a busy machine, must not take its only backend for a failed
                    // one.
                    settings.getJsonObject("limits")
                            .put("connectTimeoutUs", CLIENT_TIMEOUT_MILLIS / 4 * MICROS_PER_MILLI);
                    settings.getJsonArray("useCases")
                            .getJsonObject(0)
                            .put("goalTimeUs", CLIENT_TIMEOUT_MILLIS / 2 * MICROS_PER_MILLI)
                            .put("cutOffUs", CLIENT_TIMEOUT_MILLIS * MICROS_PER_MILLI);
                },
                "-Xmx64m",
                drainingBackend,
                otherBackend);
    }

    @AfterEach
    void closeServers() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
    }

    private interface Service {
        void serve(Socket socket) throws IOException;
    }

    /** Starts a server and returns its address. */
    private String listen(Service service) throws IOException {
        ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName(RelayLauncher.HOST));
        servers.add(server);
        threads.submit((Callable<Void>) () -> {
            while (true) {
                Socket socket = server.accept();
                threads.submit((Callable<Void>) () -> {
                    service.serve(socket);
                    return null;
                });
            }
        });
        return RelayLauncher.HOST + ":" + server.getLocalPort();
    }

    private static void serveBackend(Socket socket, AtomicInteger lines) throws IOException {
        try (socket) {
            BufferedReader in = reader(socket);
            while (in.readLine() != null) {
                lines.incrementAndGet();
                send(socket, "UP 1");
            }
        }
    }

    /** Reads the head of a request for a watch. */
    private void acceptCall(Socket socket) throws IOException {
        BufferedReader in = reader(socket);
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            // The request's content doesn't matter.
        }
        calls.add(socket);
    }

    private Socket awaitCall() throws InterruptedException {
        Socket call = calls.poll(20, TimeUnit.SECONDS);
        assertThat(call).as("call for the roster").isNotNull();
        return call;
    }

    /** Answers a call with the complete roster. */
    private void answer(Socket call, String statusOfFirstBackend) throws IOException {
        JsonObject roster = RelayConfigurationJson.createRoster(
                rosterEntry(0, drainingBackend, statusOfFirstBackend), rosterEntry(1, otherBackend, "in_service"));
        String line = roster.encode() + "\n";
        String response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length())
                + "\r\n" + line + "\r\n";
        call.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
    }

    /** One client of a group of its own; returns its answer. */
    private String openConnection(int client) throws IOException {
        try (Socket socket = connect()) {
            String id = Integer.toHexString(client);
            send(socket, "OPEN " + id + " " + id + " c=view,t=t,d=" + CLIENT_TIMEOUT_MILLIS + ",g=" + id);
            return reader(socket).readLine();
        }
    }

    private List<Future<String>> openConnections() {
        List<Future<String>> answers = new ArrayList<>();
        for (int client = 1; client <= CLIENTS; client++) {
            int number = client;
            answers.add(threads.submit(() -> openConnection(number)));
        }
        return answers;
    }

    private void assertHeldUntilAnswer(Socket call, List<Future<String>> clients) throws Exception {
        Thread.sleep(HOLD_MILLIS);
        assertThat(drainingBackendLines.get() + otherBackendLines.get())
                .as("lines at backends before the answer")
                .isZero();
        answer(call, "terminating");
        for (Future<String> client : clients) {
            assertThat(client.get(20, TimeUnit.SECONDS)).as(readLog()).isEqualTo("UP 1");
        }
        assertThat(drainingBackendLines.get()).isZero();
        assertThat(otherBackendLines.get()).isEqualTo(CLIENTS);
    }

    /** Guards against a restarted relay that sends new work to a backend that began to drain while it was away. */
    @Test
    void restartedRelayMakesNoDispatchBeforeItHasHeardTheRosterService() throws Exception {
        Socket call = awaitCall();
        Future<String> pong = threads.submit(() -> {
            try (Socket socket = connect()) {
                send(socket, "PING");
                return reader(socket).readLine();
            }
        });
        assertHeldUntilAnswer(call, openConnections());
        assertThat(pong.get(20, TimeUnit.SECONDS)).isEqualTo("PONG");
    }

    /** Guards against new work at a backend that began to drain while the relay's watch was broken. */
    @Test
    void relayWithBrokenWatchMakesNoDispatchOnceTheGraceIsOver() throws Exception {
        Socket watch = awaitCall();
        answer(watch, "in_service");
        assertThat(openConnection(CLIENTS + 1)).isEqualTo("UP 1");
        drainingBackendLines.set(0);
        otherBackendLines.set(0);
        watch.close();
        Socket call = awaitCall();
        // The relay has noticed the end of its watch before it made this call.
        Thread.sleep(DRAIN_GRACE_MILLIS);
        assertHeldUntilAnswer(call, openConnections());
    }
}
