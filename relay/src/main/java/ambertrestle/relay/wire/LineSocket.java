package ambertrestle.relay.wire;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.io.IOException;

/**
 * A connected socket that reads and writes lines and reports a half-close, a close and a reset separately. It is
 * released exactly once, when its channel closes.
 *
 * <p>The socket is read while its lines are delivered at once and the linked socket, if there is one, takes what is
 * written to it. Lines beyond one turn of the {@link InputScheduler} stay in the decoder meanwhile.
 */
final class LineSocket {
    /** Bytes that are read at once, at least, at first and at most. The relay keeps what it has not delivered. */
    private static final int MIN_READ_BYTES = 64;

    private static final int INITIAL_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;
    /** Lines are flushed at the latest when they reach this size, within the allocator's pooled sizes. */
    private static final int MAX_BATCH_BYTES = 16 * 1024;

    private final NetSocketInternal socket;
    private final Channel channel;
    private final Listener listener;
    private final InputScheduler inputScheduler;
    private final WriteBatch writeBatch;
    private final LineDecoder decoder = new LineDecoder();
    private Future<Void> lastWrite = Future.succeededFuture();
    /** Lines that were written in the open {@link WriteBatch}; null if there are none. */
    private Buffer unflushedLines;
    /** The other socket of a proxied connection, for backpressure; null until linked. */
    private LineSocket linkedSocket;
    /** The linked socket's write queue is full. */
    private boolean isHeldByLinkedSocket;
    /** This socket waits for a turn of the {@link InputScheduler}. */
    private boolean isWaitingForTurn;
    /** The peer sent a line that is too long. */
    private boolean hasFramingError;
    /** An I/O error occurred, such as a reset by the peer. */
    private boolean isReset;
    /** The listener was told that the channel closed. */
    private boolean isCloseReported;
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
    LineSocket(NetSocket netSocket, InputScheduler inputScheduler, WriteBatch writeBatch, Listener listener) {
        this.inputScheduler = inputScheduler;
        this.writeBatch = writeBatch;
        this.listener = listener;
        socket = (NetSocketInternal) netSocket;
        channel = socket.channelHandlerContext().channel();
        // Without this option, a peer that only closes its sending direction would lose the data that it still reads,
        // because Netty would close the whole channel.
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES));
        socket.handler(this::onChunk);
        socket.eventHandler(event -> {
            if (event instanceof ChannelInputShutdownEvent) {
                listener.onInputShutdown();
            }
        });
        // After an I/O error the channel closes, but its close handler runs in a later turn of the event loop. Until
        // then, the reducer would dispatch requests of a client that is gone.
        socket.exceptionHandler(e -> {
            isReset = true;
            onChannelClosed();
        });
        socket.drainHandler(v -> holdLinkedSocket(false));
        socket.closeHandler(v -> onChannelClosed());
    }

    private void onChunk(Buffer chunk) {
        if (isClosing) {
            return;
        }
        if (hasFramingError) {
            listener.onFramingError();
            return;
        }
        decoder.append(chunk.getBytes());
        if (!isWaitingForTurn && !isHeldByLinkedSocket) {
            deliverLines(InputScheduler.LINES_PER_TURN);
        }
    }

    /** Delivers the lines of one turn; called by the {@link InputScheduler}. Returns their number. */
    int takeTurn() {
        isWaitingForTurn = false;
        int deliveredLines = isHeldByLinkedSocket ? 0 : deliverLines(InputScheduler.LINES_PER_TURN);
        updateReading();
        return deliveredLines;
    }

    /**
     * Passes at most `maxLines` complete lines to the listener, until this side closes the socket, and flushes what was
     * written meanwhile. If lines are left, the socket isn't read until it had another turn. Returns the number of
     * lines.
     */
    private int deliverLines(int maxLines) {
        int[] deliveredLines = new int[1];
        writeBatch.run(() -> deliveredLines[0] = passLines(maxLines));
        if (!isClosing && decoder.hasLine() && !isWaitingForTurn && channel.isOpen()) {
            isWaitingForTurn = true;
            inputScheduler.add(this);
            updateReading();
        }
        return deliveredLines[0];
    }

    private int passLines(int maxLines) {
        int deliveredLines = 0;
        while (deliveredLines < maxLines && !isClosing) {
            byte[] raw = decoder.takeLine();
            if (raw == null) {
                reportLineTooLong();
                break;
            }
            deliveredLines++;
            listener.onLine(raw);
        }
        if (isClosing) {
            decoder.clear();
        }
        return deliveredLines;
    }

    /** Reports a line that is too long; what follows it can't be split into lines, so it is not kept. */
    private void reportLineTooLong() {
        if (decoder.isLineTooLong()) {
            hasFramingError = true;
            decoder.clear();
            listener.onFramingError();
        }
    }

    private void onChannelClosed() {
        if (isCloseReported) {
            return;
        }
        isCloseReported = true;
        // Lines that arrived before the end come before it.
        if (!isClosing && decoder.hasLine()) {
            deliverLines(Integer.MAX_VALUE);
        }
        // Without this, a linked socket that is paused would never be read again, and its close would go undetected.
        holdLinkedSocket(false);
        listener.onClosed(isReset);
    }

    /** Pauses reading from `other` while the write queue of this socket is full. */
    void linkFlowControl(LineSocket other) {
        linkedSocket = other;
    }

    private void holdLinkedSocket(boolean isHeld) {
        if (linkedSocket != null) {
            linkedSocket.setHeldByLinkedSocket(isHeld);
        }
    }

    private void setHeldByLinkedSocket(boolean isHeld) {
        isHeldByLinkedSocket = isHeld;
        if (!isHeld && !isWaitingForTurn && decoder.hasLine() && channel.isOpen()) {
            isWaitingForTurn = true;
            inputScheduler.add(this);
        }
        updateReading();
    }

    /**
     * Starts or stops reading. The channel itself stops: {@link NetSocket#pause} would hold back what was read, but not
     * the end of the stream, which would be reported ahead of the lines before it.
     */
    private void updateReading() {
        channel.config().setAutoRead(!isHeldByLinkedSocket && !isWaitingForTurn);
    }

    /** Returns whether the socket closed, or this side closes or resets it. */
    boolean isClosing() {
        return isClosing || isCloseReported;
    }

    /** Writes a line, which must include its CRLF. While a batch is open, it is flushed at the end of the batch. */
    void write(byte[] line) {
        if (unflushedLines == null) {
            unflushedLines = Buffer.buffer(line);
            if (writeBatch.isOpen()) {
                writeBatch.add(this);
            }
        } else {
            unflushedLines.appendBytes(line);
        }
        if (!writeBatch.isOpen() || unflushedLines.length() >= MAX_BATCH_BYTES) {
            flush();
        }
    }

    /** Writes a line at once. The result succeeds when its last byte was passed to the operating system. */
    Future<Void> writeAndFlush(byte[] line) {
        write(line);
        flush();
        return lastWrite;
    }

    /** Passes the lines that were written to the channel. */
    void flush() {
        if (unflushedLines == null) {
            return;
        }
        Buffer lines = unflushedLines;
        unflushedLines = null;
        lastWrite = socket.write(lines);
        lastWrite.onFailure(this::onWriteFailed);
        if (socket.writeQueueFull()) {
            holdLinkedSocket(true);
        }
    }

    /**
     * Resets the connection if lines could not be written for another reason than an I/O error, such as lack of memory.
     * They would be missing between those before and after them, and the peer would not know. After an I/O error, the
     * channel closes by itself.
     */
    private void onWriteFailed(Throwable failure) {
        if (!isClosing() && !(failure instanceof IOException)) {
            isReset = true;
            onChannelClosed();
            reset();
        }
    }

    /** Closes the sending direction after pending writes are flushed. */
    void shutdownOutput() {
        flush();
        lastWrite.onComplete(v -> ((DuplexChannel) channel).shutdownOutput());
    }

    /** Closes the socket after pending writes are flushed. */
    void close() {
        flush();
        isClosing = true;
        lastWrite.onComplete(v -> socket.close());
    }

    /** Closes the socket at once with a TCP reset and discards pending writes. */
    void reset() {
        unflushedLines = null;
        isClosing = true;
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        socket.close();
    }
}
