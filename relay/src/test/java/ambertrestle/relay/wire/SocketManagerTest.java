package ambertrestle.relay.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ambertrestle.decide.RosterInterruption;
import com.sun.management.UnixOperatingSystemMXBean;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import io.vertx.core.internal.net.NetSocketInternal;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** {@link SocketManager} and {@link RosterWatcher} on loopback, against plain sockets that the tests open. */
class SocketManagerTest {
    private static final byte[] FILLING_LINE = bytes("x".repeat(3998) + "\r\n");
    /** 24 MB in all, more than the buffers that Linux grows for the two ends of a connection. */
    private static final int FILLING_LINES = 6_000;
    /** Lines of three bytes, fewer than fit into the socket's buffers. */
    private static final int FLOODING_LINES = 20_000;
    /** Time in which a half-close that is not held back would be reported. */
    private static final int EARLY_EVENT_MILLIS = 200;

    private final Vertx vertx =
            Vertx.builder().withTransport(new SingleEventLoopTransport()).build();
    private final LinkedBlockingQueue<NetworkEvent> events = new LinkedBlockingQueue<>();
    private final SocketManager sockets =
            new SocketManager(vertx, 2000, new ConfiguredNames(List.of("read"), List.of()), events::add);
    private final InetAddress loopback = InetAddress.getLoopbackAddress();

    @AfterEach
    void close() {
        vertx.close();
    }

    /** Waits for the next event; null if none comes within 10 s. */
    private NetworkEvent pollEvent() throws InterruptedException {
        return events.poll(10, TimeUnit.SECONDS);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Executes the command on the event loop, without waiting for it. */
    private void execute(NetworkCommand command) {
        vertx.runOnContext(v -> sockets.execute(command));
    }

    /** Starts to listen and connects the first client, whose socket number is 1. */
    private Socket connectClient() throws Exception {
        int port = sockets.listen("127.0.0.1", 0)
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        Socket client = new Socket(loopback, port);
        assertThat(pollEvent()).isEqualTo(new NetworkEvent.ClientAccepted(1));
        return client;
    }

    /** TCP may split a line anywhere. A client that closed its sending direction must still get its answer. */
    @Test
    void decodesFragmentedLinesAndReportsHalfClose() throws Exception {
        try (Socket client = connectClient()) {
            OutputStream out = client.getOutputStream();
            for (String chunk : new String[] {"PI", "NG\r", "\nPING\r\nPING\r\nP"}) {
                out.write(bytes(chunk));
                out.flush();
            }
            for (int i = 0; i < 3; i++) {
                assertThat(((NetworkEvent.ClientMessageReceived) pollEvent()).message())
                        .isInstanceOf(ClientMessage.Ping.class);
            }
            client.shutdownOutput();
            assertThat(pollEvent()).isEqualTo(new NetworkEvent.InputShutdown(1));
            execute(new NetworkCommand.Write(1, bytes("BUSY\r\n")));
            execute(new NetworkCommand.Close(1));
            assertThat(new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                    .isEqualTo("BUSY\r\n");
            assertThat(pollEvent()).isEqualTo(new NetworkEvent.SocketClosed(1, false));
        }
    }

    /** A line without end must not fill the memory, and a reset must not be reported as a normal close. */
    @Test
    void reportsFramingErrorForOverlongLineAndDistinguishesReset() throws Exception {
        try (Socket client = connectClient()) {
            client.getOutputStream().write(new byte[5000]);
            assertThat(pollEvent()).isEqualTo(new NetworkEvent.FramingError(1));
            client.setSoLinger(true, 0);
        }
        assertThat(pollEvent()).isEqualTo(new NetworkEvent.SocketClosed(1, true));
    }

    /**
     * If connections were accepted on another thread, they would use up the file descriptors while the event loop is
     * too busy to reject them. The 40 clients of this test take 40 descriptors; accepting them would take 40 more.
     */
    @Test
    void acceptsNoConnectionWhileEventLoopIsBusy() throws Exception {
        UnixOperatingSystemMXBean operatingSystem =
                (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        int port = sockets.listen("127.0.0.1", 0)
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        CountDownLatch unblock = blockEventLoop();
        long descriptorsBefore = operatingSystem.getOpenFileDescriptorCount();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            clients.add(new Socket(loopback, port));
        }
        Thread.sleep(300);
        assertThat(operatingSystem.getOpenFileDescriptorCount() - descriptorsBefore)
                .isLessThan(60);
        unblock.countDown();
        for (int i = 1; i <= 40; i++) {
            assertThat(pollEvent()).isEqualTo(new NetworkEvent.ClientAccepted(i));
        }
        for (Socket client : clients) {
            client.close();
        }
    }

    /**
     * Guards against one client that sends short lines at full speed: the event loop handled a hundred thousand of them
     * in one turn, and all others waited for over a second.
     */
    @Test
    void shortLinesOfOneClientLetOthersTakeTheirTurn() throws Exception {
        try (Socket flooding = connectClient();
                Socket other = new Socket(loopback, flooding.getPort())) {
            assertThat(pollEvent()).isEqualTo(new NetworkEvent.ClientAccepted(2));
            CountDownLatch unblock = blockEventLoop();
            flooding.getOutputStream().write(bytes("x\r\n".repeat(FLOODING_LINES)));
            other.getOutputStream().write(bytes("y\r\n"));
            Thread.sleep(EARLY_EVENT_MILLIS);
            unblock.countDown();
            int linesBefore = 0;
            while (((NetworkEvent.ClientMessageReceived) pollEvent()).socket() != 2) {
                linesBefore++;
            }
            assertThat(linesBefore).isLessThan(FLOODING_LINES / 10);
            for (int line = linesBefore; line < FLOODING_LINES; line++) {
                assertThat(((NetworkEvent.ClientMessageReceived) pollEvent()).socket())
                        .isEqualTo(1);
            }
        }
    }

    /** Keeps the event loop busy until the returned latch is released. */
    private CountDownLatch blockEventLoop() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        vertx.runOnContext(v -> {
            blocked.countDown();
            try {
                unblock.await(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertThat(blocked.await(10, TimeUnit.SECONDS)).isTrue();
        return unblock;
    }

    /**
     * The outcome of a failed dispatch depends on whether its first line was written, so each step must be reported in
     * order.
     */
    @Test
    void reportsProgressOfBackendConnection() throws Exception {
        try (ServerSocket backend = new ServerSocket(0, 5, loopback)) {
            execute(new NetworkCommand.Connect(-1, "127.0.0.1:" + backend.getLocalPort(), bytes("OPEN\r\n")));
            try (Socket connection = backend.accept()) {
                assertThat(pollEvent()).isEqualTo(new NetworkEvent.BackendConnected(-1));
                assertThat(pollEvent()).isEqualTo(new NetworkEvent.FirstLineWritten(-1));
                assertThat(connection.getInputStream().readNBytes(6)).isEqualTo(bytes("OPEN\r\n"));
                connection.getOutputStream().write(bytes("UP 1\r\nLOAD 7.5\r\n"));
                assertThat(((NetworkEvent.BackendMessageReceived) pollEvent()).message())
                        .isInstanceOf(BackendMessage.Up.class);
                BackendMessage load = ((NetworkEvent.BackendMessageReceived) pollEvent()).message();
                assertThat(((BackendMessage.Load) load).microsPerSecond()).isEqualTo(7.5);
                execute(new NetworkCommand.ShutdownOutput(-1));
                InputStream in = connection.getInputStream();
                assertThat(in.read()).isEqualTo(-1);
            }
            assertThat(pollEvent()).isEqualTo(new NetworkEvent.InputShutdown(-1));
        }
    }

    /**
     * Guards against requests that are sent on after their client is gone: a relay that was held up reads the request
     * and the reset one after the other, and the reset must be seen before the request is written to a backend.
     */
    @Test
    void requestOfClientThatResetItsConnectionIsNotSent() throws Exception {
        try (ServerSocket backend = new ServerSocket(0, 5, loopback)) {
            SocketManager[] relaySockets = new SocketManager[1];
            relaySockets[0] = new SocketManager(vertx, 2000, new ConfiguredNames(List.of("read"), List.of()), event -> {
                events.add(event);
                if (event instanceof NetworkEvent.ClientMessageReceived) {
                    String address = "127.0.0.1:" + backend.getLocalPort();
                    relaySockets[0].execute(new NetworkCommand.Connect(-1, address, bytes("OPEN\r\n")));
                } else if (event.equals(new NetworkEvent.SocketClosed(1, true))) {
                    relaySockets[0].execute(new NetworkCommand.Close(-1));
                }
            });
            int port = relaySockets[0]
                    .listen("127.0.0.1", 0)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS);
            CountDownLatch unblock = blockEventLoop();
            try (Socket client = new Socket(loopback, port)) {
                client.getOutputStream().write(bytes("OPEN 1 1 c=read\r\n"));
                client.setSoLinger(true, 0);
            }
            unblock.countDown();
            try (Socket connection = backend.accept()) {
                assertThat(connection.getInputStream().read()).isEqualTo(-1);
            }
            assertThat(pollEventNames(4))
                    .containsExactly("ClientAccepted", "OpenRequest", "SocketClosed", "SocketClosed");
        }
    }

    /**
     * Guards against lines that go missing in the middle of a connection that goes on: a write that failed for lack of
     * memory was looked at by nobody, and the next line was written after it.
     */
    @Test
    void failedWriteEndsTheConnection() throws Exception {
        CompletableFuture<LineSocket> accepted = new CompletableFuture<>();
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        WriteBatch writeBatch = new WriteBatch();
        InputScheduler inputScheduler = new InputScheduler((ContextInternal) vertx.getOrCreateContext());
        int port = vertx.createNetServer()
                .connectHandler(netSocket -> {
                    failSecondWrite((NetSocketInternal) netSocket);
                    accepted.complete(
                            new LineSocket(netSocket, inputScheduler, writeBatch, new ClosedListener(closed)));
                })
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS)
                .actualPort();
        try (Socket peer = new Socket(loopback, port)) {
            LineSocket socket = accepted.get(10, TimeUnit.SECONDS);
            vertx.runOnContext(v -> {
                for (String line : new String[] {"1\r\n", "2\r\n", "3\r\n"}) {
                    socket.write(bytes(line));
                }
            });
            assertThat(closed.get(10, TimeUnit.SECONDS)).isTrue();
            assertThat(peer.getInputStream().readNBytes(3)).isEqualTo(bytes("1\r\n"));
            assertThatThrownBy(() -> peer.getInputStream().read()).isInstanceOf(SocketException.class);
        }
    }

    private static void failSecondWrite(NetSocketInternal socket) {
        socket.channelHandlerContext().pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
            private int writes;

            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                if (++writes == 2) {
                    promise.setFailure(new OutOfMemoryError("injected"));
                } else {
                    context.write(message, promise);
                }
            }
        });
    }

    /** Records how the socket closed. */
    private record ClosedListener(CompletableFuture<Boolean> closed) implements LineSocket.Listener {
        @Override
        public void onLine(byte[] raw) {}

        @Override
        public void onFramingError() {}

        @Override
        public void onInputShutdown() {}

        @Override
        public void onClosed(boolean reset) {
            closed.complete(reset);
        }
    }

    /** Without the event, a dispatch to a backend that refuses connections, or has a malformed address, never ends. */
    @Test
    void reportsResetForRefusedConnectionAndInvalidAddress() throws Exception {
        int port;
        try (ServerSocket backend = new ServerSocket(0, 5, loopback)) {
            port = backend.getLocalPort();
        }
        execute(new NetworkCommand.Connect(-1, "127.0.0.1:" + port, bytes("OPEN\r\n")));
        assertThat(pollEvent()).isEqualTo(new NetworkEvent.SocketClosed(-1, true));
        for (String address : new String[] {"nowhere", "127.0.0.1:99999", ":1"}) {
            execute(new NetworkCommand.Connect(-2, address, bytes("OPEN\r\n")));
            assertThat(pollEvent()).isEqualTo(new NetworkEvent.SocketClosed(-2, true));
        }
    }

    /**
     * The end of a connection must not overtake lines that wait because the other side is not read: a client would get
     * a document without its last lines, or a backend a request without them.
     */
    @Test
    void halfCloseFollowsLinesHeldByFlowControl() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, loopback);
                Socket client = connectClient();
                Socket backend = connectBackend(listener)) {
            fillWriteQueue(1, -1);
            sendLinesAndHalfClose(backend);
            drain(client);
            assertThat(pollEventNames(3)).containsExactly("Load", "Move", "InputShutdown");
            fillWriteQueue(-1, 1);
            sendLinesAndHalfClose(client);
            drain(backend);
            assertThat(pollEventNames(3)).containsExactly("Payload", "Payload", "InputShutdown");
        }
    }

    /** Connects socket -1 to the listener and returns the backend's end, with the first line read. */
    private Socket connectBackend(ServerSocket listener) throws Exception {
        execute(new NetworkCommand.Connect(-1, "127.0.0.1:" + listener.getLocalPort(), bytes("OPEN\r\n")));
        Socket backend = listener.accept();
        assertThat(backend.getInputStream().readNBytes(6)).isEqualTo(bytes("OPEN\r\n"));
        assertThat(pollEvent()).isEqualTo(new NetworkEvent.BackendConnected(-1));
        assertThat(pollEvent()).isEqualTo(new NetworkEvent.FirstLineWritten(-1));
        return backend;
    }

    /** Writes more to the first socket than the system takes while its peer doesn't read; links it to the other one. */
    private void fillWriteQueue(long fullSocket, long linkedSocket) throws Exception {
        CountDownLatch filled = new CountDownLatch(1);
        vertx.runOnContext(v -> {
            sockets.execute(new NetworkCommand.LinkFlowControl(fullSocket, linkedSocket));
            for (int i = 0; i < FILLING_LINES; i++) {
                sockets.execute(new NetworkCommand.Write(fullSocket, FILLING_LINE));
            }
            filled.countDown();
        });
        assertThat(filled.await(10, TimeUnit.SECONDS)).isTrue();
    }

    /** Sends two lines and ends the sending, then leaves time for an event that is reported too early. */
    private static void sendLinesAndHalfClose(Socket socket) throws Exception {
        socket.getOutputStream().write(bytes("LOAD 7.5\r\nMOVE\r\n"));
        socket.shutdownOutput();
        Thread.sleep(EARLY_EVENT_MILLIS);
    }

    /** Reads what {@link #fillWriteQueue} wrote. */
    private static void drain(Socket socket) throws Exception {
        for (int i = 0; i < FILLING_LINES; i++) {
            assertThat(socket.getInputStream().readNBytes(FILLING_LINE.length)).isEqualTo(FILLING_LINE);
        }
    }

    /** Returns the type names of the next events; for a received line, that of its message. */
    private List<String> pollEventNames(int count) throws InterruptedException {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            NetworkEvent event = pollEvent();
            Object named = event instanceof NetworkEvent.BackendMessageReceived received
                    ? received.message()
                    : event instanceof NetworkEvent.ClientMessageReceived received ? received.message() : event;
            names.add(named.getClass().getSimpleName());
        }
        return names;
    }

    /**
     * A roster service that vanishes doesn't close its connections. Without a timeout, the roster would stay outdated.
     */
    @Test
    void idleWatchFailsBeforeTwoHeartbeatsAreMissed() throws Exception {
        try (ServerSocket service = new ServerSocket(0, 5, loopback)) {
            RosterWatcher watcher = new RosterWatcher(vertx, events::add);
            vertx.runOnContext(v -> watcher.watch(new Address("127.0.0.1", service.getLocalPort()), 41));
            try (Socket connection = service.accept()) {
                connection
                        .getOutputStream()
                        .write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"));
                assertThat(pollEvent()).isInstanceOf(NetworkEvent.RosterConfirmed.class);
                NetworkEvent.RosterWatchFailed failed =
                        (NetworkEvent.RosterWatchFailed) events.poll(4, TimeUnit.SECONDS);
                assertThat(failed.reason()).isEqualTo("no data within 3200 ms");
                assertThat(failed.cause()).isEqualTo(RosterInterruption.WATCH_SILENT);
                assertThat(failed.elapsedNanos()).isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(3_200));
            }
        }
    }

    /**
     * A service that refuses a call is down and has told nothing. One that accepts it and sends garbage is running and
     * may have told a drain, which an old roster doesn't show.
     */
    @Test
    void failedWatchTellsWhetherTheServiceAcceptedTheCall() throws Exception {
        assertThat(watchAnsweredBy("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
                .isEqualTo(RosterInterruption.CALL_FAILED);
        assertThat(watchAnsweredBy("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n}}}\r\n"))
                .isEqualTo(RosterInterruption.WATCH_ENDED);
        assertThat(watchAnsweredBy("")).isEqualTo(RosterInterruption.CALL_FAILED);
    }

    /** Answers a watch with these bytes and the end of the connection; returns the cause of its failure. */
    private RosterInterruption watchAnsweredBy(String response) throws Exception {
        try (ServerSocket service = new ServerSocket(0, 5, loopback)) {
            RosterWatcher watcher = new RosterWatcher(vertx, events::add);
            vertx.runOnContext(v -> watcher.watch(new Address("127.0.0.1", service.getLocalPort()), 41));
            try (Socket connection = service.accept()) {
                connection.getOutputStream().write(bytes(response));
            }
            return ((NetworkEvent.RosterWatchFailed) pollEvent()).cause();
        }
    }

    /** HTTP chunks may split a message anywhere; the end of the response must end the watch. */
    @Test
    void watchDecodesFragmentedMessagesAndReportsEnd() throws Exception {
        try (ServerSocket service = new ServerSocket(0, 5, loopback)) {
            RosterWatcher watcher = new RosterWatcher(vertx, events::add);
            vertx.runOnContext(v -> watcher.watch(new Address("127.0.0.1", service.getLocalPort()), 41));
            try (Socket connection = service.accept()) {
                byte[] request = new byte[42];
                connection.getInputStream().readNBytes(request, 0, 42);
                assertThat(new String(request, StandardCharsets.UTF_8))
                        .startsWith("GET /v1/endpoints?stream=1&index=41 ");
                OutputStream out = connection.getOutputStream();
                String message = "{\"index\":42,\"endpoints\":[]}\n";
                String body = "\n" + message.substring(0, 9) + "|" + message.substring(9) + message.substring(0, 5)
                        + "|" + message.substring(5);
                out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                for (String chunk : body.split("\\|")) {
                    out.write(bytes(Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n"));
                    out.flush();
                }
                assertThat(((NetworkEvent.RosterReceived) pollEvent()).message().version())
                        .isEqualTo(42);
                assertThat(((NetworkEvent.RosterReceived) pollEvent()).message().isComplete())
                        .isFalse();
            }
            assertThat(pollEvent())
                    .isInstanceOfSatisfying(NetworkEvent.RosterWatchFailed.class, failed -> assertThat(failed.cause())
                            .isEqualTo(RosterInterruption.WATCH_ENDED));
        }
    }
}
