package ambertrestle.lab.simulation;

import ambertrestle.relay.wire.BackendMessage;

/**
 * The backend's end of one connection from a relay to a backend. Subclasses provide the transport: virtual time or a
 * socket.
 */
public abstract class BackendConnection {
    /** The backend at this end; null before a connection was attempted, and if the address belongs to no backend. */
    protected SimulatedBackend backend;

    /** The {@link SimulatedBackend#incarnation()} that accepted the connection. */
    protected int backendIncarnation;

    /**
     * The client connection that this dispatch is for. Null until the OPEN line reaches the backend, and afterwards if
     * no regular client sent that line.
     */
    ClientConnection client;

    /** The invariant checker's record of the dispatch; null as long as {@link #client} is null. */
    protected InvariantChecker.ObservedDispatch dispatch;

    /** The backend has admitted the connection, so it counts towards the fleet's maximum until it ends. */
    boolean admitted;

    /** The backend closed or reset the connection. */
    private boolean closedByBackend;

    /** The relay at the other end. */
    protected abstract RelayInstance relay();

    /** Sends a line to the relay. */
    protected abstract void sendLine(BackendMessage line);

    /** Closes the connection after the lines that were already sent. */
    protected abstract void doClose();

    /** Resets the connection; lines that were sent may be lost. */
    protected abstract void doReset();

    /** Closes the connection from the backend's side, and records that. */
    final void closeByBackend() {
        closedByBackend = true;
        doClose();
    }

    /** Resets the connection from the backend's side, and records that. */
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
