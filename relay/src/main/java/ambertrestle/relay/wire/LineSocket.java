package ambertrestle.relay.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.function.Consumer;

/** One connected socket: lines in, lines out, ends told apart. Given back once, when its channel closes. */
final class LineSocket {
    private final NetSocketInternal socket;
    private final Channel channel;
    private final LineDecoder decoder = new LineDecoder();
    private Future<Void> lastWrite = Future.succeededFuture();
    private LineSocket linkedSocket;
    private boolean isReset;
    private boolean isClosing;

    interface Listener {
        void onLine(byte[] raw);

        void onFramingError();

        void onInputShutdown();

        void onClosed(boolean reset);
    }

    LineSocket(NetSocket made, Listener owner) {
        socket = (NetSocketInternal) made;
        channel = socket.channelHandlerContext().channel();
        // Danger: without this a peer that only ends its sending would be cut off in what it still reads.
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        Consumer<byte[]> line = raw -> {
            if (!isClosing) {
                owner.onLine(raw);
            }
        };
        socket.handler(piece -> {
            if (!isClosing && !decoder.feed(piece.getBytes(), line)) {
                owner.onFramingError();
            }
        });
        socket.eventHandler(event -> {
            if (event instanceof ChannelInputShutdownEvent) {
                owner.onInputShutdown();
            }
        });
        socket.exceptionHandler(e -> isReset = true);
        socket.drainHandler(v -> {
            if (linkedSocket != null) {
                linkedSocket.socket.resume();
            }
        });
        socket.closeHandler(v -> {
            // Danger: a paused peer whose other end is gone would never be read again, nor found closed.
            if (linkedSocket != null) {
                linkedSocket.socket.resume();
            }
            owner.onClosed(isReset);
        });
    }

    void linkFlowControl(LineSocket other) {
        linkedSocket = other;
    }

    Future<Void> write(byte[] line) {
        lastWrite = socket.write(Buffer.buffer(line));
        if (linkedSocket != null && socket.writeQueueFull()) {
            linkedSocket.socket.pause();
        }
        return lastWrite;
    }

    void shutdownOutput() {
        lastWrite.onComplete(v -> ((DuplexChannel) channel).shutdownOutput());
    }

    void close() {
        isClosing = true;
        lastWrite.onComplete(v -> socket.close());
    }

    void reset() {
        isClosing = true;
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        socket.close();
    }
}
