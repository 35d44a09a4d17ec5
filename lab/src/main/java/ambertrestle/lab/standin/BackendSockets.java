package ambertrestle.lab.standin;

import ambertrestle.lab.world.BackLink;
import ambertrestle.lab.world.BackendNode;
import ambertrestle.lab.world.RelayEnd;
import ambertrestle.lab.world.World;
import ambertrestle.relay.wire.FromBackend;
import io.netty.channel.ChannelOption;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayList;
import java.util.List;

/**
 * Owns the listening sockets of one stand-in backend, one for each relay, so that it knows who dials and a partition can cut
 * a pair. What it does with a connection is the world's {@link BackendNode}, the same as in the model. A machine cut off is
 * played as one that takes connections and says nothing: loopback has no way to lose packets.
 */
final class BackendSockets {
    private static final String HOST = "127.0.0.1";

    private final Vertx vertx;
    private final World world;
    private final BackendNode node;
    private final List<? extends RelayEnd> relays;
    private final int[] ports;
    private final List<NetServer> servers = new ArrayList<>();

    BackendSockets(Vertx vertx, World world, BackendNode backend, List<? extends RelayEnd> relays) {
        this.vertx = vertx;
        this.world = world;
        node = backend;
        this.relays = relays;
        ports = new int[relays.size()];
        node.onFate(this::close, this::listen);
    }

    String address(int relay) {
        return HOST + ":" + ports[relay];
    }

    Future<Void> listen() {
        List<Future<NetServer>> all = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            int relay = i;
            NetServer server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true).setAcceptBacklog(1024));
            servers.add(server);
            all.add(server.connectHandler(s -> new Link(s, relays.get(relay))).listen(ports[i], HOST)
                    .onSuccess(s -> ports[relay] = s.actualPort()));
        }
        return Future.all(all).mapEmpty();
    }

    void close() {
        servers.forEach(NetServer::close);
        servers.clear();
    }

    private final class Link extends BackLink {
        private final NetSocketInternal socket;
        private final RelayEnd relay;
        private boolean first = true;
        private boolean gone;

        Link(NetSocket made, RelayEnd relay) {
            socket = (NetSocketInternal) made;
            this.relay = relay;
            node.joined(this);
            RecordParser lines = RecordParser.newDelimited("\r\n", line -> later(() -> heard(line.getBytes())));
            socket.handler(lines).exceptionHandler(e -> { }).closeHandler(v -> {
                gone = true;
                if (run != null) {
                    run.ended();
                }
                node.closed(this);
            });
        }

        /** Danger: while a partition holds, what the relay wrote is on its way and must not be acted on. */
        private void later(Runnable thing) {
            long from = world.passable(relay, node);
            if (from <= world.now()) {
                thing.run();
            } else {
                world.clock.at(from, thing);
            }
        }

        private void heard(byte[] line) {
            if (first) {
                first = false;
                world.sent(relay, node);
                node.opened(this, line);
            } else {
                node.line(this);
            }
        }

        @Override
        protected RelayEnd relay() {
            return relay;
        }

        @Override
        protected void say(FromBackend line) {
            later(() -> {
                if (!gone) {
                    socket.write(Buffer.buffer(line.raw()));
                }
            });
        }

        @Override
        protected void end() {
            later(() -> {
                if (!gone) {
                    socket.end();
                }
            });
        }

        @Override
        protected void reset() {
            if (!gone) {
                socket.channelHandlerContext().channel().config().setOption(ChannelOption.SO_LINGER, 0);
                socket.close();
            }
        }
    }
}
