package ambertrestle.lab.loopback;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A relay process with the heap of a small deployment serves usual clients beside hostile ones. Each usual client must
 * be accepted within its own time, and each of its lines answered within a second.
 */
class HostileClientsTest extends RelayProcessFixture {
    private static final int USUAL_CLIENTS = 60;
    private static final int LINES = 5;
    private static final String USUAL_LINE = "line";
    /** How long a client waits for the answer to its OPEN line, as that line tells the relay. */
    private static final int OPEN_LIMIT_MILLIS = 2_000;

    private static final int LINE_LIMIT_MILLIS = 1_000;
    private static final int MAX_LINE_BYTES = 4_096;

    private final AtomicInteger nextId = new AtomicInteger();
    private final List<Socket> hostileSockets = new ArrayList<>();
    private ServerSocket backend;

    @BeforeEach
    void startRelayWithSmallHeap() throws Exception {
        backend = new ServerSocket(0, 1_000, InetAddress.getByName(RelayLauncher.HOST));
        threads.submit(this::acceptAtBackend);
        // No roster service listens at this address; the relay goes on with the roster that it starts with.
        String rosterAddress = RelayLauncher.HOST + ":" + RelayLauncher.findFreePort();
        startRelay(rosterAddress, settings -> {}, "-Xmx16m", RelayLauncher.HOST + ":" + backend.getLocalPort());
    }

    @AfterEach
    void closeSockets() throws Exception {
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

    /** Returns the OPEN line of a new client with a group of its own. */
    private String openLine() {
        String id = Integer.toHexString(nextId.incrementAndGet());
        return "OPEN " + id + " " + id + " c=view,t=t,d=" + OPEN_LIMIT_MILLIS + ",g=" + id;
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
        String step = "connect";
        long stepStartedAt = System.nanoTime();
        try (Socket socket = connect()) {
            socket.setSoTimeout(OPEN_LIMIT_MILLIS);
            BufferedReader in = reader(socket);
            step = "OPEN";
            send(socket, openLine());
            String answer = in.readLine();
            if (answer == null || !answer.startsWith("UP")) {
                return "answer to OPEN: " + answer;
            }
            socket.setSoTimeout(LINE_LIMIT_MILLIS);
            for (int line = 1; line <= LINES; line++) {
                step = "line " + line;
                stepStartedAt = System.nanoTime();
                send(socket, USUAL_LINE);
                answer = in.readLine();
                if (!USUAL_LINE.equals(answer)) {
                    return "answer to " + step + ": " + answer;
                }
            }
            return "served";
        } catch (IOException e) {
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stepStartedAt);
            return step + " after " + millis + " ms: " + e;
        }
    }

    private void assertUsualClientsAreServed() throws Exception {
        List<Future<String>> results = new ArrayList<>();
        for (int client = 0; client < USUAL_CLIENTS; client++) {
            results.add(threads.submit(this::beUsualClient));
            Thread.sleep(50);
        }
        for (int client = 0; client < USUAL_CLIENTS; client++) {
            assertThat(results.get(client).get())
                    .as("client %d, log of the relay:%n%s", client, readLog())
                    .isEqualTo("served");
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
