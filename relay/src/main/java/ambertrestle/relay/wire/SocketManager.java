package ambertrestle.relay.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Owns the listening socket and the connections to clients and backends: executes {@link NetworkCommand}s and reports
 * {@link NetworkEvent}s. A socket is released only when its channel closes. Not thread-safe; commands are executed on
 * the event loop.
 */
public final class SocketManager {
    /** Number of connections that the operating system may hold until the event loop accepts them. */
    private static final int ACCEPT_BACKLOG = 1024;
    /**
     * Multiple of the reducer's connect timeout after which a connect fails by itself. The reducer cancels a connect
     * after its timeout; this is a fallback in case it doesn't.
     */
    private static final int CONNECT_TIMEOUT_FACTOR = 2;

    private final Vertx vertx;
    private final NetServer server;
    private final NetClient client;
    private final Consumer<NetworkEvent> eventListener;
    private final ConfiguredNames names;
    private final InputScheduler inputScheduler;
    private final WriteBatch writeBatch = new WriteBatch();
    /** By socket number. */
    private final Map<Long, LineSocket> openSockets = new HashMap<>();
    /** Connects in progress, by socket number; the value is true once the connect was cancelled. */
    private final Map<Long, Boolean> pendingConnects = new HashMap<>();

    private long lastAcceptedSocket;

    /**
     * Creates the manager; it accepts no connections before {@link #listen}.
     *
     * @param connectTimeoutMillis timeout that the reducer applies to connects to backends
     * @param names the use cases and tenants that clients may name
     * @param eventListener receives all events, on the event loop
     */
    public SocketManager(
            Vertx vertx, int connectTimeoutMillis, ConfiguredNames names, Consumer<NetworkEvent> eventListener) {
        this.vertx = vertx;
        inputScheduler = new InputScheduler((ContextInternal) vertx.getOrCreateContext());
        this.eventListener = eventListener;
        this.names = names;
        server = vertx.createNetServer(new NetServerOptions()
                .setTcpNoDelay(true)
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setReuseAddress(true));
        client = vertx.createNetClient(new NetClientOptions()
                .setTcpNoDelay(true)
                .setConnectTimeout(CONNECT_TIMEOUT_FACTOR * connectTimeoutMillis));
    }

    /** Starts to accept clients and returns the port, which the system chooses if `port` is 0. */
    public Future<Integer> listen(String host, int port) {
        return server.connectHandler(this::accept).listen(port, host).map(NetServer::actualPort);
    }

    private void accept(NetSocket netSocket) {
        long socket = ++lastAcceptedSocket;
        openSockets.put(socket, new LineSocket(netSocket, inputScheduler, writeBatch, new SocketListener(socket) {
            @Override
            public void onLine(byte[] raw) {
                eventListener.accept(new NetworkEvent.ClientMessageReceived(socket, ClientMessage.decode(raw, names)));
            }
        }));
        eventListener.accept(new NetworkEvent.ClientAccepted(socket));
    }

    private void connect(long socket, String address, byte[] firstLine) {
        SocketAddress remoteAddress;
        try {
            int colon = address.lastIndexOf(':');
            remoteAddress = SocketAddress.inetSocketAddress(
                    Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon));
        } catch (RuntimeException e) {
            // The roster may list a malformed address. Without this event, the dispatch would never end.
            eventListener.accept(new NetworkEvent.SocketClosed(socket, true));
            return;
        }
        pendingConnects.put(socket, false);
        client.connect(remoteAddress)
                .onFailure(e -> {
                    pendingConnects.remove(socket);
                    eventListener.accept(new NetworkEvent.SocketClosed(socket, true));
                })
                .onSuccess(netSocket -> {
                    if (pendingConnects.remove(socket)) {
                        // The connect was cancelled. Without this check, the first line would still be sent, and the
                        // backend would run a dispatch that was given up.
                        netSocket.close();
                        eventListener.accept(new NetworkEvent.SocketClosed(socket, false));
                        return;
                    }
                    LineSocket lineSocket =
                            new LineSocket(netSocket, inputScheduler, writeBatch, new SocketListener(socket) {
                                @Override
                                public void onLine(byte[] raw) {
                                    eventListener.accept(new NetworkEvent.BackendMessageReceived(
                                            socket, BackendMessage.decode(raw)));
                                }
                            });
                    openSockets.put(socket, lineSocket);
                    // The end of the client's connection may be ready to be read in this turn too. In the next one it
                    // was read, and a request whose client is gone is not sent.
                    vertx.runOnContext(v -> writeFirstLine(socket, lineSocket, firstLine));
                });
    }

    /** Reports that a backend is connected and writes the first line, unless the connection was given up meanwhile. */
    private void writeFirstLine(long socket, LineSocket lineSocket, byte[] firstLine) {
        if (lineSocket.isClosing()) {
            return;
        }
        eventListener.accept(new NetworkEvent.BackendConnected(socket));
        if (!lineSocket.isClosing()) {
            lineSocket
                    .writeAndFlush(firstLine)
                    .onSuccess(v -> eventListener.accept(new NetworkEvent.FirstLineWritten(socket)));
        }
    }

    /** Executes a command; {@link NetworkCommand.WatchRoster} is ignored, {@link RosterWatcher} handles it. */
    public void execute(NetworkCommand command) {
        if (command instanceof NetworkCommand.Connect connect) {
            connect(connect.socket(), connect.address(), connect.firstLine());
        } else if (command instanceof NetworkCommand.Write write) {
            LineSocket lineSocket = openSockets.get(write.socket());
            if (lineSocket != null) {
                lineSocket.write(write.line());
            }
        } else if (command instanceof NetworkCommand.LinkFlowControl link) {
            LineSocket first = openSockets.get(link.firstSocket());
            LineSocket second = openSockets.get(link.secondSocket());
            if (first != null && second != null) {
                first.linkFlowControl(second);
                second.linkFlowControl(first);
            }
        } else if (command instanceof NetworkCommand.ShutdownOutput shutdown) {
            LineSocket lineSocket = openSockets.get(shutdown.socket());
            if (lineSocket != null) {
                lineSocket.shutdownOutput();
            }
        } else if (command instanceof NetworkCommand.Close close) {
            closeSocket(close.socket(), false);
        } else if (command instanceof NetworkCommand.Reset reset) {
            closeSocket(reset.socket(), true);
        }
    }

    /** Cancels a pending connect, or closes or resets an open socket. */
    private void closeSocket(long socket, boolean reset) {
        pendingConnects.computeIfPresent(socket, (key, cancelled) -> true);
        LineSocket lineSocket = openSockets.get(socket);
        if (lineSocket != null && reset) {
            lineSocket.reset();
        } else if (lineSocket != null) {
            lineSocket.close();
        }
    }

    /** Reports the events of one socket that are the same for clients and backends. */
    private abstract class SocketListener implements LineSocket.Listener {
        private final long socket;

        SocketListener(long socket) {
            this.socket = socket;
        }

        @Override
        public void onFramingError() {
            eventListener.accept(new NetworkEvent.FramingError(socket));
        }

        @Override
        public void onInputShutdown() {
            eventListener.accept(new NetworkEvent.InputShutdown(socket));
        }

        @Override
        public void onClosed(boolean reset) {
            openSockets.remove(socket);
            eventListener.accept(new NetworkEvent.SocketClosed(socket, reset));
        }
    }
}
