package ambertrestle.relay.connection;

import ambertrestle.decide.Association;
import ambertrestle.relay.wire.ClientMessage;
import java.util.ArrayDeque;

/**
 * State of one client connection and of the backend connection that serves it. All times are in nanoseconds on the
 * clock whose time callers pass to {@link Reducer#apply}. Only {@link Reducer} and {@link ConnectionTimers} change it.
 */
final class Connection {
    /** The stages of a connection's life, in order; see {@link Reducer} for the transitions. */
    enum State {
        /** The client is connected and has not sent a valid OPEN line yet. It may have sent PING. */
        AWAITING_OPEN,
        /**
         * The client sent a valid OPEN line and waits for an answer: the balancing policy lets it wait for a backend, a
         * dispatch is in flight, or a resumption is attempted.
         */
        DISPATCHING,
        /** A backend accepted the connection; lines are forwarded in both directions. */
        OPEN,
        /** The final answer was sent or one side closed; only the sockets remain to be closed. */
        CLOSING
    }

    /** Number of the client's socket; above 0. */
    final long clientSocket;

    State state = State.AWAITING_OPEN;
    /** The sockets were asked to close; false in CLOSING while the client still gets what its backend sent. */
    boolean isCloseRequested;
    /** The client's socket is closed; no command may be sent to it. */
    boolean isClientClosed;
    /** The client ended its output; it may still read. */
    boolean isClientInputEnded;
    /** The client sent PING; a second one is a protocol violation. */
    boolean hasPinged;
    /** The request as the balancing policy sees it; null before OPEN. */
    Association association;
    /** The decoded OPEN line; null before OPEN, and again once the connection is open or closes. */
    ClientMessage.OpenRequest openRequest;
    /** Name of the use case; null before OPEN. */
    String useCaseName;
    /** Name of the backend that a resumption returns to; null if it is none. */
    String resumedBackend;
    /** Number of the socket to the backend, below 0; 0 if there is none. */
    long backendSocket;
    /** Index of the latest dispatch within the association; unused for a resumption. */
    int dispatchIndex;
    /** The backend of the latest dispatch, or the one that a resumption returns to. */
    long backendId;
    /** When the latest dispatch began; for a resumption, when the OPEN line arrived. */
    long dispatchedAt;
    /** How long the backend may take to answer, counted from the time its socket connected. */
    long responseTimeout;
    /** The timeout of the current dispatch expired and was extended once, so that input already received is read. */
    boolean hasTimedOutOnce;
    /** The backend's socket is connected and the first line was passed to it for writing. */
    boolean isFirstLineQueued;
    /** The first line was written to the backend's socket completely. */
    boolean isFirstLineWritten;
    /** The connection was open at a backend before this relay started and returns to that backend. */
    boolean isResumption;
    /** The backend sent BYE: it served the connection to its end. */
    boolean hasReceivedBye;
    /** The backend sent MOVE: it asked the client to reconnect. */
    boolean hasReceivedMove;
    /** Lines that the client sent before the connection was open, in order. */
    final LineBuffer bufferedLines = new LineBuffer();
    /** When each of the client's lines that is still unanswered was forwarded, oldest first. */
    final ArrayDeque<Long> unansweredSentAt = new ArrayDeque<>(0);
    /** The pending timer; null if there is none. Set by {@link ConnectionTimers} only. */
    ConnectionTimers.Timer timer;

    Connection(long clientSocket) {
        this.clientSocket = clientSocket;
    }

    /** Returns whether the backend has told the client that it ends the connection. */
    boolean isEndAnnounced() {
        return hasReceivedBye || hasReceivedMove;
    }
}
