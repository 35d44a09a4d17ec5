package ambertrestle.relay.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * A connected socket that reads and writes lines and reports a half-close, a close and a reset separately. It is
 * released exactly once, when its channel closes.
 */
final class LineSocket {
    private final NetSocketInternal socket;
    private final Channel channel;
    private final LineDecoder decoder = new LineDecoder();
    private Future<Void> lastWrite = Future.succeededFuture();
    /** The other socket of a proxied connection, for backpressure; null until linked. */
    private LineSocket linkedSocket;
    /** An I/O error occurred, such as a reset by the peer. */
    private boolean isReset;
    /** This side closes or resets the socket; what still arrives is ignored. */
    private boolean isClosing;

    /** Receives the events of one socket, on the event loop. */
    interface Listener {
        /** A line arrived; `raw` includes its CRLF. */
        void onLine(byte[] raw);

        /** The peer sent a line that is too long. Called again for each further chunk until the socket is closed. */
        void onFramingError();

        /** The peer closed its sending direction; it may still read. */
        void onInputShutdown();

        /** The channel closed, whichever side closed it; `reset` is true after an I/O error. */
        void onClosed(boolean reset);
    }

    /** Sets the handlers of a socket that has just connected; the listener is called from now on. */
    LineSocket(NetSocket netSocket, Listener listener) {
        socket = (NetSocketInternal) netSocket;
        channel = socket.channelHandlerContext().channel();
        // Without this option, a peer that only closes its sending direction would lose the data that it still reads,
        // because Netty would close the whole channel.
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        socket.handler(chunk -> {
            if (!isClosing) {
                decoder.append(chunk.getBytes());
                deliverLines(listener);
            }
        });
        socket.eventHandler(event -> {
            if (event instanceof ChannelInputShutdownEvent) {
                listener.onInputShutdown();
            }
        });
        socket.exceptionHandler(e -> isReset = true);
        socket.drainHandler(v -> setLinkedSocketReading(true));
        socket.closeHandler(v -> {
            // Without this, a linked socket that is paused would never be read again once this socket is closed, and
            // its own close would go undetected.
            setLinkedSocketReading(true);
            listener.onClosed(isReset);
        });
    }

    /** Passes the complete lines to the listener, until this side closes the socket. */
    private void deliverLines(Listener listener) {
        for (byte[] raw = decoder.takeLine(); raw != null; raw = decoder.takeLine()) {
            listener.onLine(raw);
            if (isClosing) {
                decoder.clear();
                return;
            }
        }
        if (decoder.isLineTooLong()) {
            listener.onFramingError();
        }
    }

    /** Pauses reading from `other` while the write queue of this socket is full. */
    void linkFlowControl(LineSocket other) {
        linkedSocket = other;
    }

    /**
     * Starts or stops reading from the linked socket, if there is one. The channel itself stops reading:
     * {@link NetSocket#pause} would hold back what was read, but not the end of the stream, which would be reported
     * ahead of the lines before it.
     */
    private void setLinkedSocketReading(boolean isReading) {
        if (linkedSocket != null) {
            linkedSocket.channel.config().setAutoRead(isReading);
        }
    }

    /** Writes a line, which must include its CRLF. */
    Future<Void> write(byte[] line) {
        lastWrite = socket.write(Buffer.buffer(line));
        if (socket.writeQueueFull()) {
            setLinkedSocketReading(false);
        }
        return lastWrite;
    }

    /** Closes the sending direction after pending writes are flushed. */
    void shutdownOutput() {
        lastWrite.onComplete(v -> ((DuplexChannel) channel).shutdownOutput());
    }

    /** Closes the socket after pending writes are flushed. */
    void close() {
        isClosing = true;
        lastWrite.onComplete(v -> socket.close());
    }

    /** Closes the socket at once with a TCP reset and discards pending writes. */
    void reset() {
        isClosing = true;
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        socket.close();
    }
}
