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
 * The sockets of one simulated backend. It listens on one port per relay, so that it knows which relay connects, and
 * emulates the network between each of these pairs: it can delay data, hold it back during a partition, prevent, refuse
 * or reset connections. How the backend handles a connection is decided by {@link SimulatedBackend}, which the
 * simulation uses too. All methods run on the event loop.
 */
final class BackendServer {
    private static final String HOST = RelayLauncher.HOST;
    /** Queue length of the listening sockets. A small one, because a partition has to fill it. */
    private static final int BACKLOG = 64;

    private static final int MAX_LINE_BYTES = 4096;
    /** Simulated latencies below this are not added, because the loopback itself takes about as long. */
    private static final long MIN_DELAY_NANOS = 1_000_000L;

    private final EventLoop loop;
    private final LoopbackTestbed testbed;
    private final SimulatedBackend simulatedBackend;
    private final List<? extends RelayInstance> relays;
    /** The port for each relay; 0 before the first {@link #listen}, which keeps the port when it is called again. */
    private final int[] ports;
    /** The listening channel for each relay. */
    private final Channel[] serverChannels;
    /**
     * For each relay, during a partition: connections that fill the backlog of the listening socket, so that the kernel
     * drops every further SYN.
     */
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

    /** The host:port under which the given relay reaches this backend. */
    String address(int relayNumber) {
        return HOST + ":" + ports[relayNumber];
    }

    /** Starts listening for all relays; the result fails if a port cannot be bound. */
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

    /** Makes new connections fail as refused. Open connections are reset by the {@link SimulatedBackend}. */
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

    /**
     * Starts or ends a partition for new connections from a relay. During a partition its connects time out. After the
     * end, connects that are still being retried succeed.
     */
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

    /** One connection from a relay. */
    private final class RelayConnection extends BackendConnection {
        private final Channel channel;
        private final RelayInstance relay;
        private final long oneWayDelayNanos;
        /** Whether no line has arrived yet; the first one is the OPEN request. */
        private boolean isFirstLine = true;

        RelayConnection(Channel channel, RelayInstance relay) {
            this.channel = channel;
            this.relay = relay;
            long latency = testbed.oneWayLatency(relay.number, simulatedBackend.number);
            oneWayDelayNanos = latency >= MIN_DELAY_NANOS ? latency : 0;
        }

        /**
         * Runs an action after the one-way delay, and during a partition not before its end. Without that wait the two
         * sides would act on data that is still in flight in a real network.
         */
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
            // A line that a partition held back may arrive after the connection was closed, and channelInactive does
            // not run a second time. Without this call the dispatch of such a line would never be marked as ended.
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

        /** Forwards the channel's events to the simulated backend. */
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
                // The peer reset the connection; channelInactive handles the end.
                context.close();
            }
        }
    }
}
