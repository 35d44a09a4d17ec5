package ambertrestle.relay.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.management.UnixOperatingSystemMXBean;
import io.vertx.core.Vertx;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Real sockets on loopback against stand-ins of the test's own. */
class SocketsTest {
    private final Vertx vertx = Vertx.builder().withTransport(new OneLoop()).build();
    private final LinkedBlockingQueue<Heard> heard = new LinkedBlockingQueue<>();
    private final Sockets sockets = new Sockets(vertx, 2000, new Names(List.of("read"), List.of()), heard::add);
    private final InetAddress here = InetAddress.getLoopbackAddress();

    @AfterEach
    void close() {
        vertx.close();
    }

    /** The next that is heard, or null where nothing comes. */
    private Heard next() throws InterruptedException {
        return heard.poll(10, TimeUnit.SECONDS);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void ask(Ask ask) {
        vertx.runOnContext(v -> sockets.carryOut(ask));
    }

    private Socket client() throws Exception {
        int port = sockets.listen("127.0.0.1", 0)
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        Socket client = new Socket(here, port);
        assertThat(next()).isEqualTo(new Heard.Accepted(1));
        return client;
    }

    @Test
    void linesInPiecesThenAHalfClose() throws Exception {
        try (Socket client = client()) {
            OutputStream out = client.getOutputStream();
            for (String piece : new String[] {"PI", "NG\r", "\nPING\r\nPING\r\nP"}) {
                out.write(bytes(piece));
                out.flush();
            }
            for (int i = 0; i < 3; i++) {
                assertThat(((Heard.ClientSaid) next()).line()).isInstanceOf(FromClient.Ping.class);
            }
            client.shutdownOutput();
            assertThat(next()).isEqualTo(new Heard.Ended(1));
            ask(new Ask.Write(1, bytes("BUSY\r\n")));
            ask(new Ask.Close(1));
            assertThat(new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                    .isEqualTo("BUSY\r\n");
            assertThat(next()).isEqualTo(new Heard.Gone(1, false));
        }
    }

    @Test
    void aLineTooLongIsGarbledAndAResetIsToldApart() throws Exception {
        try (Socket client = client()) {
            client.getOutputStream().write(new byte[5000]);
            assertThat(next()).isEqualTo(new Heard.Garbled(1));
            client.setSoLinger(true, 0);
        }
        assertThat(next()).isEqualTo(new Heard.Gone(1, true));
    }

    @Test
    void nothingIsAcceptedWhileTheLoopIsBusy() throws Exception {
        UnixOperatingSystemMXBean system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        int port = sockets.listen("127.0.0.1", 0)
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch free = new CountDownLatch(1);
        vertx.runOnContext(v -> {
            started.countDown();
            try {
                free.await(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        started.await(10, TimeUnit.SECONDS);
        long before = system.getOpenFileDescriptorCount();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            clients.add(new Socket(here, port));
        }
        Thread.sleep(300);
        assertThat(system.getOpenFileDescriptorCount() - before).isLessThan(60);
        free.countDown();
        for (int i = 1; i <= 40; i++) {
            assertThat(next()).isEqualTo(new Heard.Accepted(i));
        }
        for (Socket client : clients) {
            client.close();
        }
    }

    @Test
    void dialledSocketsTellHowFarTheyCame() throws Exception {
        try (ServerSocket backend = new ServerSocket(0, 5, here)) {
            ask(new Ask.Dial(-1, "127.0.0.1:" + backend.getLocalPort(), bytes("OPEN\r\n")));
            try (Socket up = backend.accept()) {
                assertThat(next()).isEqualTo(new Heard.Connected(-1));
                assertThat(next()).isEqualTo(new Heard.Written(-1));
                assertThat(up.getInputStream().readNBytes(6)).isEqualTo(bytes("OPEN\r\n"));
                up.getOutputStream().write(bytes("UP 1\r\nLOAD 7.5\r\n"));
                assertThat(((Heard.BackendSaid) next()).line()).isInstanceOf(FromBackend.Up.class);
                FromBackend load = ((Heard.BackendSaid) next()).line();
                assertThat(((FromBackend.Load) load).micros()).isEqualTo(7.5);
                ask(new Ask.Finish(-1));
                InputStream in = up.getInputStream();
                assertThat(in.read()).isEqualTo(-1);
            }
            assertThat(next()).isEqualTo(new Heard.Ended(-1));
        }
    }

    @Test
    void refusedConnectionIsGoneWithoutAWord() throws Exception {
        int port;
        try (ServerSocket backend = new ServerSocket(0, 5, here)) {
            port = backend.getLocalPort();
        }
        ask(new Ask.Dial(-1, "127.0.0.1:" + port, bytes("OPEN\r\n")));
        assertThat(next()).isEqualTo(new Heard.Gone(-1, true));
        for (String address : new String[] {"nowhere", "127.0.0.1:99999", ":1"}) {
            ask(new Ask.Dial(-2, address, bytes("OPEN\r\n")));
            assertThat(next()).isEqualTo(new Heard.Gone(-2, true));
        }
    }

    @Test
    void aWatchThatFallsSilentBreaksBeforeTwoOfItsSignsAreMissed() throws Exception {
        try (ServerSocket service = new ServerSocket(0, 5, here)) {
            RosterWatch watch = new RosterWatch(vertx, heard::add);
            vertx.runOnContext(v -> watch.ask(new Address("127.0.0.1", service.getLocalPort()), 41));
            try (Socket call = service.accept()) {
                call.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"));
                assertThat(heard.poll(4, TimeUnit.SECONDS)).isEqualTo(new Heard.RosterBroke("silent"));
            }
        }
    }

    @Test
    void watchHearsPiecesOfMessagesAndTheEnd() throws Exception {
        try (ServerSocket service = new ServerSocket(0, 5, here)) {
            RosterWatch watch = new RosterWatch(vertx, heard::add);
            vertx.runOnContext(v -> watch.ask(new Address("127.0.0.1", service.getLocalPort()), 41));
            try (Socket call = service.accept()) {
                byte[] request = new byte[42];
                call.getInputStream().readNBytes(request, 0, 42);
                assertThat(new String(request, StandardCharsets.UTF_8))
                        .startsWith("GET /v1/endpoints?stream=1&index=41 ");
                OutputStream out = call.getOutputStream();
                String one = "{\"index\":42,\"endpoints\":[]}\n";
                String body = "\n" + one.substring(0, 9) + "|" + one.substring(9) + one.substring(0, 5) + "|"
                        + one.substring(5);
                out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                for (String chunk : body.split("\\|")) {
                    out.write(bytes(Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n"));
                    out.flush();
                }
                assertThat(((Heard.Roster) next()).message().index()).isEqualTo(42);
                assertThat(((Heard.Roster) next()).message().whole()).isFalse();
            }
            assertThat(next()).isInstanceOf(Heard.RosterBroke.class);
        }
    }
}
