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
public final class Sockets {
    private final NetServer server;
    private final NetClient client;
    private final Consumer<Heard> tell;
    private final Names names;
    private final Map<Long, LineSocket> connected = new HashMap<>();
    /** Dialled and not yet up; true once nobody wants it any more. */
    private final Map<Long, Boolean> dialled = new HashMap<>();

    private long accepted;

    public Sockets(Vertx vertx, int connectMillis, Names names, Consumer<Heard> tell) {
        this.tell = tell;
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
        long number = ++accepted;
        connected.put(number, new LineSocket(socket, new Owner(number) {
            @Override
            public void line(byte[] raw) {
                tell.accept(new Heard.ClientSaid(number, FromClient.decode(raw, names)));
            }
        }));
        tell.accept(new Heard.Accepted(number));
    }

    private void dial(long number, String address, byte[] line) {
        SocketAddress there;
        try {
            int colon = address.lastIndexOf(':');
            there = SocketAddress.inetSocketAddress(
                    Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon));
        } catch (RuntimeException e) {
            // Danger: the roster may list what is no address; the dispatch must still end.
            tell.accept(new Heard.Gone(number, true));
            return;
        }
        dialled.put(number, false);
        client.connect(there)
                .onFailure(e -> {
                    dialled.remove(number);
                    tell.accept(new Heard.Gone(number, true));
                })
                .onSuccess(socket -> {
                    if (dialled.remove(number)) {
                        // Danger: a connection that nobody waits for any more must not carry its line.
                        socket.close();
                        tell.accept(new Heard.Gone(number, false));
                        return;
                    }
                    LineSocket made = new LineSocket(socket, new Owner(number) {
                        @Override
                        public void line(byte[] raw) {
                            tell.accept(new Heard.BackendSaid(number, FromBackend.decode(raw)));
                        }
                    });
                    connected.put(number, made);
                    tell.accept(new Heard.Connected(number));
                    made.write(line).onSuccess(v -> tell.accept(new Heard.Written(number)));
                });
    }

    public void carryOut(Ask ask) {
        if (ask instanceof Ask.Dial dial) {
            dial(dial.socket(), dial.address(), dial.line());
        } else if (ask instanceof Ask.Write write) {
            LineSocket s = connected.get(write.socket());
            if (s != null) {
                s.write(write.line());
            }
        } else if (ask instanceof Ask.Couple couple) {
            LineSocket one = connected.get(couple.one());
            LineSocket other = connected.get(couple.other());
            if (one != null && other != null) {
                one.couple(other);
                other.couple(one);
            }
        } else if (ask instanceof Ask.Finish finish) {
            LineSocket s = connected.get(finish.socket());
            if (s != null) {
                s.finish();
            }
        } else if (ask instanceof Ask.Close close) {
            drop(close.socket(), false);
        } else if (ask instanceof Ask.Reset reset) {
            drop(reset.socket(), true);
        }
    }

    private void drop(long number, boolean reset) {
        dialled.computeIfPresent(number, (n, unwanted) -> true);
        LineSocket s = connected.get(number);
        if (s != null && reset) {
            s.reset();
        } else if (s != null) {
            s.close();
        }
    }

    private abstract class Owner implements LineSocket.Owner {
        private final long number;

        Owner(long number) {
            this.number = number;
        }

        @Override
        public void garbled() {
            tell.accept(new Heard.Garbled(number));
        }

        @Override
        public void ended() {
            tell.accept(new Heard.Ended(number));
        }

        @Override
        public void gone(boolean reset) {
            connected.remove(number);
            tell.accept(new Heard.Gone(number, reset));
        }
    }
}
