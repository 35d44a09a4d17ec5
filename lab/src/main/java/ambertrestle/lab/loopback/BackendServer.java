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
    private final LoopbackTestbed testbed;
    private final SimulatedBackend simulatedBackend;
    private final List<? extends RelayInstance> relays;
    private final int[] ports;
    private final Channel[] serverChannels;
    /** While a pair is cut off: connections that fill the backlog, so that the kernel drops every further SYN. */
    private final List<List<java.nio.channels.SocketChannel>> backlogFillers = new ArrayList<>();

    BackendServer(
            EventLoop loop, LoopbackTestbed testbed, SimulatedBackend backend, List<? extends RelayInstance> relays) {
        this.loop = loop;
        this.testbed = testbed;
        this.relays = relays;
        simulatedBackend = backend;
        ports = new int[relays.size()];
        serverChannels = new Channel[relays.size()];
        relays.forEach(relay -> backlogFillers.add(new ArrayList<>()));
        simulatedBackend.setLifecycleCallbacks(this::stopListening, this::listen);
    }

    String address(int relayNumber) {
        return HOST + ":" + ports[relayNumber];
    }

    CompletableFuture<Void> listen() {
        List<CompletableFuture<Void>> pending = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            int relayNumber = i;
            CompletableFuture<Void> bindResult = new CompletableFuture<>();
            pending.add(bindResult);
            ChannelFuture bindFuture = new ServerBootstrap()
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
                                            new RelayConnection(channel, relays.get(relayNumber)).new Handler());
                        }
                    })
                    .bind(HOST, ports[i]);
            bindFuture.addListener(future -> {
                if (future.isSuccess()) {
                    serverChannels[relayNumber] = bindFuture.channel();
                    ports[relayNumber] =
                            ((InetSocketAddress) bindFuture.channel().localAddress()).getPort();
                    bindResult.complete(null);
                } else {
                    bindResult.completeExceptionally(future.cause());
                }
            });
        }
        return CompletableFuture.allOf(pending.toArray(CompletableFuture[]::new));
    }

    /** New connections are refused; those that are up are the node's to reset. */
    private void stopListening() {
        for (int i = 0; i < serverChannels.length; i++) {
            serverChannels[i].close();
            closeBacklogFillers(i);
        }
    }

    private void closeBacklogFillers(int relayNumber) {
        for (java.nio.channels.SocketChannel filler : backlogFillers.get(relayNumber)) {
            try {
                filler.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        backlogFillers.get(relayNumber).clear();
    }

    /** Cut off, no connection from that relay comes up; healed, those that still try do. */
    void setPartitioned(int relayNumber, boolean partitioned) {
        serverChannels[relayNumber].config().setAutoRead(!partitioned);
        try {
            for (int i = 0; partitioned && i <= BACKLOG; i++) {
                java.nio.channels.SocketChannel filler = java.nio.channels.SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(new InetSocketAddress(HOST, ports[relayNumber]));
                backlogFillers.get(relayNumber).add(filler);
            }
            if (!partitioned) {
                closeBacklogFillers(relayNumber);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private final class RelayConnection extends BackendConnection {
        private final Channel channel;
        private final RelayInstance relay;
        private final long oneWayDelayNanos;
        private boolean isFirstLine = true;

        RelayConnection(Channel channel, RelayInstance relay) {
            this.channel = channel;
            this.relay = relay;
            long latency = testbed.oneWayLatency(relay.number, simulatedBackend.number);
            oneWayDelayNanos = latency >= MIN_DELAY_NANOS ? latency : 0;
        }

        /** Danger: while a partition holds, what the relay wrote is on its way and must not be acted on. */
        private void runWhenDelivered(Runnable action) {
            long deliveredAt = testbed.reachableAt(relay, simulatedBackend) + oneWayDelayNanos;
            if (deliveredAt <= testbed.now()) {
                action.run();
            } else {
                testbed.scheduler.scheduleAt(deliveredAt, action);
            }
        }

        private void onLineReceived(byte[] line) {
            if (isFirstLine) {
                isFirstLine = false;
                testbed.onDispatchSent(relay, simulatedBackend);
                simulatedBackend.onOpenRequest(this, line);
            } else {
                simulatedBackend.onLine(this);
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
            simulatedBackend.onClosed(this);
        }

        @Override
        protected RelayInstance relay() {
            return relay;
        }

        @Override
        protected void sendLine(BackendMessage line) {
            runWhenDelivered(() -> channel.writeAndFlush(Unpooled.wrappedBuffer(line.raw())));
        }

        @Override
        protected void doClose() {
            runWhenDelivered(channel::close);
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
                simulatedBackend.onConnected(RelayConnection.this);
            }

            @Override
            protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
                byte[] bytes = ByteBufUtil.getBytes(line);
                runWhenDelivered(() -> onLineReceived(bytes));
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                onDisconnected();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                // The peer reset it; what that means is told when the channel is gone.
                context.close();
            }
        }
    }
}
