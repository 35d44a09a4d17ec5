package ambertrestle.lab.loopback;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.lab.scenario.RelayConfigurationJson;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.toml.TomlDocument;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A relay process with the heap of a small deployment serves usual clients beside hostile ones. Each usual client must
 * be accepted, and each of its lines answered within a second.
 */
class HostileClientsTest {
    private static final Path JAR = Path.of(System.getProperty(
            "relay.jar", Path.of("..", "relay", "target", "ambertrestle.jar").toString()));
    private static final int USUAL_CLIENTS = 60;
    private static final int LINES = 5;
    private static final String USUAL_LINE = "line";
    private static final int LINE_LIMIT_MILLIS = 1_000;
    private static final int MAX_LINE_BYTES = 4_096;

    @TempDir
    private Path dir;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger nextId = new AtomicInteger();
    private final List<Socket> hostileSockets = new ArrayList<>();
    private int port;
    private Process relay;
    private ServerSocket backend;

    @BeforeEach
    void startRelay() throws Exception {
        backend = new ServerSocket(0, 1_000, InetAddress.getByName(RelayLauncher.HOST));
        threads.submit(this::acceptAtBackend);
        port = RelayLauncher.findFreePort();
        Scenario scenario = Scenario.read(TomlDocument.parse(
                "hostile.toml",
                "name = \"hostile\"\n[relays]\ncount = 1\n[[fleet]]\nname = \"s\"\ncount = 1\n"
                        + "[[use-case]]\nname = \"view\"\n"));
        JsonObject roster = RelayConfigurationJson.createRoster(RelayConfigurationJson.createRosterEntry(
                "s-0",
                RelayLauncher.HOST + ":" + backend.getLocalPort(),
                scenario.fleets().get(0),
                "in_service",
                0));
        // No roster service listens at this address; the relay goes on with the roster that it starts with.
        String rosterAddress = RelayLauncher.HOST + ":" + RelayLauncher.findFreePort();
        Path configuration = Files.writeString(
                dir.resolve("relay.json"),
                RelayConfigurationJson.create(scenario, "n", RelayLauncher.HOST + ":" + port, rosterAddress, 7, roster)
                        .encode());
        relay = RelayLauncher.start(JAR, configuration, null, dir.resolve("log"), "-Xmx16m");
        for (int attempt = 0;
                attempt < 100 && !Files.readString(dir.resolve("log")).contains(" serves");
                attempt++) {
            Thread.sleep(100);
        }
    }

    @AfterEach
    void stop() throws Exception {
        relay.destroyForcibly().waitFor();
        threads.shutdownNow();
        backend.close();
        for (Socket socket : hostileSockets) {
            socket.close();
        }
    }

    /** Accepts the relay's connections; each answers UP and then every line, until its input ends. */
    private Void acceptAtBackend() throws IOException {
        while (true) {
            Socket socket = backend.accept();
            threads.submit((Callable<Void>) () -> {
                try (socket) {
                    BufferedReader in = reader(socket);
                    in.readLine();
                    send(socket, "UP 1");
                    for (String line = in.readLine(); line != null; line = in.readLine()) {
                        send(socket, line);
                    }
                }
                return null;
            });
        }
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    private static void send(Socket socket, String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(RelayLauncher.HOST, port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Returns the OPEN line of a new client with a group of its own. */
    private String openLine() {
        String id = Integer.toHexString(nextId.incrementAndGet());
        return "OPEN " + id + " " + id + " c=view,t=t,d=2000,g=" + id;
    }

    /** Returns an OPEN line of nearly the longest length with some 700 short parameters. */
    private String longOpenLine() {
        StringBuilder line = new StringBuilder(openLine());
        for (int key = 0; line.length() < MAX_LINE_BYTES - 10; key++) {
            line.append(",z").append(Integer.toString(key, Character.MAX_RADIX)).append('=');
        }
        return line.toString();
    }

    /** One usual client; returns what went wrong, or "served". */
    private String beUsualClient() throws IOException {
        try (Socket socket = connect()) {
            socket.setSoTimeout(LINE_LIMIT_MILLIS);
            BufferedReader in = reader(socket);
            send(socket, openLine());
            String answer = in.readLine();
            for (int line = 0; line < LINES && answer != null && (line == 0 || answer.equals(USUAL_LINE)); line++) {
                if (line == 0 && !answer.startsWith("UP")) {
                    return answer;
                }
                send(socket, USUAL_LINE);
                answer = in.readLine();
            }
            return USUAL_LINE.equals(answer) ? "served" : answer;
        } catch (IOException e) {
            return e.toString();
        }
    }

    private void assertUsualClientsAreServed() throws Exception {
        List<Future<String>> results = new ArrayList<>();
        for (int client = 0; client < USUAL_CLIENTS; client++) {
            results.add(threads.submit(this::beUsualClient));
            Thread.sleep(50);
        }
        for (Future<String> result : results) {
            assertThat(result.get()).as(Files.readString(dir.resolve("log"))).isEqualTo("served");
        }
        assertThat(relay.isAlive()).isTrue();
    }

    /** Guards against a heap filled by clients that stop in the middle of long requests or hold them open. */
    @Test
    void servesBesideClientsWithLongAndUnfinishedRequests() throws Exception {
        for (int client = 0; client < 240; client++) {
            Socket socket = connect();
            hostileSockets.add(socket);
            String line = longOpenLine();
            send(socket, client % 3 == 0 ? line.substring(0, line.length() / 2) : line);
        }
        assertUsualClientsAreServed();
    }

    /** Guards against descriptors and memory used up by clients that come and go under ever new names. */
    @Test
    void servesBesideClientsThatComeAndGoUnderNewNames() throws Exception {
        for (int client = 0; client < 4; client++) {
            threads.submit((Callable<Void>) () -> {
                while (true) {
                    try (Socket socket = connect()) {
                        send(socket, openLine());
                        reader(socket).readLine();
                    }
                }
            });
        }
        assertUsualClientsAreServed();
    }
}
