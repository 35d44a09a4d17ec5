package ambertrestle.relay.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Owns the listening socket and every connection; each is given back in its gone handler. */
public final class SocketManager {
    private final NetServer server;
    private final NetClient client;
    private final Consumer<NetworkEvent> eventListener;
    private final ConfiguredNames names;
    private final Map<Long, LineSocket> openSockets = new HashMap<>();
    /** Dialled and not yet up; true once nobody wants it any more. */
    private final Map<Long, Boolean> pendingConnects = new HashMap<>();

    private long lastAcceptedSocket;

    public SocketManager(Vertx vertx, int connectMillis, ConfiguredNames names, Consumer<NetworkEvent> tell) {
        this.eventListener = tell;
        this.names = names;
        server = vertx.createNetServer(new NetServerOptions()
                .setTcpNoDelay(true)
                .setAcceptBacklog(1024)
                .setReuseAddress(true));
        // The reducer gives a dial up in time; this is for one that it forgot.
        client =
                vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(2 * connectMillis));
    }

    /** Gives the port that it listens on. */
    public Future<Integer> listen(String host, int port) {
        return server.connectHandler(this::accept).listen(port, host).map(NetServer::actualPort);
    }

    private void accept(NetSocket socket) {
        long number = ++lastAcceptedSocket;
        openSockets.put(number, new LineSocket(socket, new SocketListener(number) {
            @Override
            public void onLine(byte[] raw) {
                eventListener.accept(new NetworkEvent.ClientMessageReceived(number, ClientMessage.decode(raw, names)));
            }
        }));
        eventListener.accept(new NetworkEvent.ClientAccepted(number));
    }

    private void connect(long number, String address, byte[] line) {
        SocketAddress there;
        try {
            int colon = address.lastIndexOf(':');
            there = SocketAddress.inetSocketAddress(
                    Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon));
        } catch (RuntimeException e) {
            // Danger: the roster may list what is no address; the dispatch must still end.
            eventListener.accept(new NetworkEvent.SocketClosed(number, true));
            return;
        }
        pendingConnects.put(number, false);
        client.connect(there)
                .onFailure(e -> {
                    pendingConnects.remove(number);
                    eventListener.accept(new NetworkEvent.SocketClosed(number, true));
                })
                .onSuccess(socket -> {
                    if (pendingConnects.remove(number)) {
                        // Danger: a connection that nobody waits for any more must not carry its line.
                        socket.close();
                        eventListener.accept(new NetworkEvent.SocketClosed(number, false));
                        return;
                    }
                    LineSocket made = new LineSocket(socket, new SocketListener(number) {
                        @Override
                        public void onLine(byte[] raw) {
                            eventListener.accept(
                                    new NetworkEvent.BackendMessageReceived(number, BackendMessage.decode(raw)));
                        }
                    });
                    openSockets.put(number, made);
                    eventListener.accept(new NetworkEvent.BackendConnected(number));
                    made.write(line).onSuccess(v -> eventListener.accept(new NetworkEvent.FirstLineWritten(number)));
                });
    }

    public void execute(NetworkCommand ask) {
        if (ask instanceof NetworkCommand.Connect dial) {
            connect(dial.socket(), dial.address(), dial.firstLine());
        } else if (ask instanceof NetworkCommand.Write write) {
            LineSocket s = openSockets.get(write.socket());
            if (s != null) {
                s.write(write.line());
            }
        } else if (ask instanceof NetworkCommand.LinkFlowControl couple) {
            LineSocket one = openSockets.get(couple.firstSocket());
            LineSocket other = openSockets.get(couple.secondSocket());
            if (one != null && other != null) {
                one.linkFlowControl(other);
                other.linkFlowControl(one);
            }
        } else if (ask instanceof NetworkCommand.ShutdownOutput finish) {
            LineSocket s = openSockets.get(finish.socket());
            if (s != null) {
                s.shutdownOutput();
            }
        } else if (ask instanceof NetworkCommand.Close close) {
            closeSocket(close.socket(), false);
        } else if (ask instanceof NetworkCommand.Reset reset) {
            closeSocket(reset.socket(), true);
        }
    }

    private void closeSocket(long number, boolean reset) {
        pendingConnects.computeIfPresent(number, (n, unwanted) -> true);
        LineSocket s = openSockets.get(number);
        if (s != null && reset) {
            s.reset();
        } else if (s != null) {
            s.close();
        }
    }

    private abstract class SocketListener implements LineSocket.Listener {
        private final long number;

        SocketListener(long number) {
            this.number = number;
        }

        @Override
        public void onFramingError() {
            eventListener.accept(new NetworkEvent.FramingError(number));
        }

        @Override
        public void onInputShutdown() {
            eventListener.accept(new NetworkEvent.InputShutdown(number));
        }

        @Override
        public void onClosed(boolean reset) {
            openSockets.remove(number);
            eventListener.accept(new NetworkEvent.SocketClosed(number, reset));
        }
    }
}
