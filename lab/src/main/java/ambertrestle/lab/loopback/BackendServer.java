package ambertrestle.lab.loopback;

import ambertrestle.lab.simulation.BackendConnection;
import ambertrestle.lab.simulation.RelayInstance;
import ambertrestle.lab.simulation.SimulatedBackend;
import ambertrestle.relay.wire.BackendMessage;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Owns the listening sockets of one stand-in backend, one for each relay, so that it knows who dials, and plays the
 * network between each pair: it can delay what passes, hold it all back, keep connections from coming up, reset them,
 * refuse them. What the backend does with a connection is the world's {@link SimulatedBackend}, the same as in the
 * model.
 */
final class BackendServer {
    private static final String HOST = RelayLauncher.HOST;
    private static final int BACKLOG = 64, MAX_LINE_BYTES = 4096;
    /** Shorter delays than this are the loopback's own. */
    private static final long MIN_DELAY_NANOS = 1_000_000L;

    private final EventLoop loop;
    private final LoopbackTestbed world;
    private final SimulatedBackend node;
    private final List<? extends RelayInstance> relays;
    private final int[] ports;
    private final Channel[] servers;
    /** While a pair is cut off: connections that fill the backlog, so that the kernel drops every further SYN. */
    private final List<List<java.nio.channels.SocketChannel>> fillers = new ArrayList<>();

    BackendServer(
            EventLoop loop, LoopbackTestbed world, SimulatedBackend backend, List<? extends RelayInstance> relays) {
        this.loop = loop;
        this.world = world;
        this.relays = relays;
        node = backend;
        ports = new int[relays.size()];
        servers = new Channel[relays.size()];
        relays.forEach(r -> fillers.add(new ArrayList<>()));
        node.setLifecycleCallbacks(this::close, this::listen);
    }

    String address(int relay) {
        return HOST + ":" + ports[relay];
    }

    CompletableFuture<Void> listen() {
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            int relay = i;
            CompletableFuture<Void> listening = new CompletableFuture<>();
            all.add(listening);
            ChannelFuture bound = new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline()
                                    .addLast(
                                            new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                            new Link(channel, relays.get(relay)).new Handler());
                        }
                    })
                    .bind(HOST, ports[i]);
            bound.addListener(f -> {
                if (f.isSuccess()) {
                    servers[relay] = bound.channel();
                    ports[relay] = ((InetSocketAddress) bound.channel().localAddress()).getPort();
                    listening.complete(null);
                } else {
                    listening.completeExceptionally(f.cause());
                }
            });
        }
        return CompletableFuture.allOf(all.toArray(CompletableFuture[]::new));
    }

    /** New connections are refused; those that are up are the node's to reset. */
    private void close() {
        for (int i = 0; i < servers.length; i++) {
            servers[i].close();
            closeFillers(i);
        }
    }

    private void closeFillers(int relay) {
        for (java.nio.channels.SocketChannel filler : fillers.get(relay)) {
            try {
                filler.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        fillers.get(relay).clear();
    }

    /** Cut off, no connection from that relay comes up; healed, those that still try do. */
    void setPartitioned(int relay, boolean off) {
        servers[relay].config().setAutoRead(!off);
        try {
            for (int i = 0; off && i <= BACKLOG; i++) {
                java.nio.channels.SocketChannel filler = java.nio.channels.SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(new InetSocketAddress(HOST, ports[relay]));
                fillers.get(relay).add(filler);
            }
            if (!off) {
                closeFillers(relay);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private final class Link extends BackendConnection {
        private final Channel channel;
        private final RelayInstance relay;
        private final long delay;
        private boolean isFirstLine = true;

        Link(Channel channel, RelayInstance relay) {
            this.channel = channel;
            this.relay = relay;
            long way = world.oneWayLatency(relay.number, node.number);
            delay = way >= MIN_DELAY_NANOS ? way : 0;
        }

        /** Danger: while a partition holds, what the relay wrote is on its way and must not be acted on. */
        private void runOnDelivery(Runnable thing) {
            long at = world.reachableAt(relay, node) + delay;
            if (at <= world.now()) {
                thing.run();
            } else {
                world.scheduler.scheduleAt(at, thing);
            }
        }

        private void onLineReceived(byte[] line) {
            if (isFirstLine) {
                isFirstLine = false;
                world.onDispatchSent(relay, node);
                node.onOpenRequest(this, line);
            } else {
                node.onLine(this);
            }
            // Danger: what a partition held back may come after its connection's end, which nobody would tell again.
            if (!channel.isActive()) {
                onDisconnected();
            }
        }

        private void onDisconnected() {
            if (dispatch != null) {
                dispatch.markEnded();
            }
            node.onClosed(this);
        }

        @Override
        protected RelayInstance relay() {
            return relay;
        }

        @Override
        protected void sendLine(BackendMessage line) {
            runOnDelivery(() -> channel.writeAndFlush(Unpooled.wrappedBuffer(line.raw())));
        }

        @Override
        protected void doClose() {
            runOnDelivery(channel::close);
        }

        @Override
        protected void doReset() {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        }

        /** What the channel brings. */
        private final class Handler extends SimpleChannelInboundHandler<ByteBuf> {
            @Override
            public void channelActive(ChannelHandlerContext context) {
                node.onConnected(Link.this);
            }

            @Override
            protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
                byte[] bytes = ByteBufUtil.getBytes(line);
                runOnDelivery(() -> onLineReceived(bytes));
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                onDisconnected();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable why) {
                // The peer reset it; what that means is told when the channel is gone.
                context.close();
            }
        }
    }
}
