package ambertrestle.relay.connection;

import ambertrestle.decide.Association;
import ambertrestle.relay.wire.ClientMessage;
import java.util.ArrayDeque;

/** One client's connection, and the backend's that serves it. Times in nanoseconds. */
final class Connection {
    enum State {
        /** Nothing was asked yet. */
        AWAITING_OPEN,
        /** Its association is with the module: waiting, or a dispatch is out. */
        DISPATCHING,
        /** Up at a backend; lines pass. */
        OPEN,
        /** The final answer is given or the end is passed on; only sockets are left. */
        CLOSING
    }

    final long clientSocket;
    State state = State.AWAITING_OPEN;
    boolean isClientClosed;
    boolean hasPinged;
    Association association;
    ClientMessage.OpenRequest openRequest;
    /**
     * The dispatch that is out: its socket, 0 while none; `handed`: its line is with the socket; `written`: it is out.
     */
    long backendSocket;

    int dispatchIndex;
    long backendId;
    long dispatchedAt;
    /**
     * How long its backend has for an answer, from when the line was handed to its socket; `over`: that was up once.
     */
    long responseTimeout;

    boolean hasTimedOutOnce;
    boolean isFirstLineQueued;
    boolean isFirstLineWritten;
    /** It was open at that backend before this relay started, and goes back there. */
    boolean isResumption;
    /** The backend said that the connection is served to its end, or sent the client away. */
    boolean hasReceivedBye;

    boolean hasReceivedMove;
    /** Lines that came before the connection was up. */
    final ArrayDeque<byte[]> bufferedLines = new ArrayDeque<>();
    /** When the client's lines that brought nothing back yet were passed on, oldest first. */
    final ArrayDeque<Long> unansweredSentAt = new ArrayDeque<>();

    ConnectionTimers.Timer timer;

    Connection(long client) {
        this.clientSocket = client;
    }
}
