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
    private final Lines lines = new Lines();
    private Future<Void> last = Future.succeededFuture();
    private LineSocket coupled;
    private boolean reset;
    private boolean closing;

    interface Owner {
        void line(byte[] raw);

        void garbled();

        void ended();

        void gone(boolean reset);
    }

    LineSocket(NetSocket made, Owner owner) {
        socket = (NetSocketInternal) made;
        channel = socket.channelHandlerContext().channel();
        // Danger: without this a peer that only ends its sending would be cut off in what it still reads.
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        Consumer<byte[]> line = raw -> {
            if (!closing) {
                owner.line(raw);
            }
        };
        socket.handler(piece -> {
            if (!closing && !lines.feed(piece.getBytes(), line)) {
                owner.garbled();
            }
        });
        socket.eventHandler(event -> {
            if (event instanceof ChannelInputShutdownEvent) {
                owner.ended();
            }
        });
        socket.exceptionHandler(e -> reset = true);
        socket.drainHandler(v -> {
            if (coupled != null) {
                coupled.socket.resume();
            }
        });
        socket.closeHandler(v -> {
            // Danger: a paused peer whose other end is gone would never be read again, nor found closed.
            if (coupled != null) {
                coupled.socket.resume();
            }
            owner.gone(reset);
        });
    }

    void couple(LineSocket other) {
        coupled = other;
    }

    Future<Void> write(byte[] line) {
        last = socket.write(Buffer.buffer(line));
        if (coupled != null && socket.writeQueueFull()) {
            coupled.socket.pause();
        }
        return last;
    }

    void finish() {
        last.onComplete(v -> ((DuplexChannel) channel).shutdownOutput());
    }

    void close() {
        closing = true;
        last.onComplete(v -> socket.close());
    }

    void reset() {
        closing = true;
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        socket.close();
    }
}
