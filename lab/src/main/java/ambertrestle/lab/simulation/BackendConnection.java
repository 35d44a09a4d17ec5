package ambertrestle.lab.simulation;

import ambertrestle.relay.wire.BackendMessage;

/**
 * The backend's end of one connection from a relay to a backend. The subclass carries the bytes, in virtual time or on
 * a socket.
 */
public abstract class BackendConnection {
    /** The backend at this end; null before a connection was attempted, and if the address belongs to no backend. */
    protected SimulatedBackend backend;

    /** The {@link SimulatedBackend#incarnation()} that accepted the connection. */
    protected int backendIncarnation;

    /**
     * The client's connection whose opening was sent here. Null until the opening reaches the backend, and for good if
     * no regular client sent it.
     */
    ClientConnection client;

    /** The invariant checker's record of the dispatch; null as long as {@link #client} is null. */
    protected InvariantChecker.ObservedDispatch dispatch;

    /** The backend admitted the connection, which holds one of the backend's slots until it ends. */
    boolean admitted;

    /** The backend closed or reset the connection. */
    private boolean closedByBackend;

    /** The relay at the other end. */
    protected abstract RelayInstance relay();

    /** Sends a line to the relay. */
    protected abstract void sendLine(BackendMessage line);

    /** Closes the connection from the backend's side, after the lines already sent. */
    protected abstract void doClose();

    /** Resets the connection from the backend's side. */
    protected abstract void doReset();

    final void closeByBackend() {
        closedByBackend = true;
        doClose();
    }

    final void resetByBackend() {
        closedByBackend = true;
        doReset();
    }

    /** Whether the backend still answers on this connection and no partition separates it from the relay. */
    final boolean isResponsive() {
        Testbed testbed = relay().testbed;
        return !closedByBackend && backend.isResponsive() && testbed.reachableAt(relay(), backend) <= testbed.now();
    }
}
