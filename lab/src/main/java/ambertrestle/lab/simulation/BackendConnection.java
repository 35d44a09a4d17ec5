package ambertrestle.lab.simulation;

import ambertrestle.relay.wire.BackendMessage;

/** One connection from a relay to a backend, as the backend has it: in the model or on a socket. */
public abstract class BackendConnection {
    protected SimulatedBackend backend;
    /** The backend's process that holds it. */
    protected int backendIncarnation;
    /** Set once the opening has reached the backend. */
    ClientConnection client;

    protected InvariantChecker.ObservedDispatch dispatch;
    /** Let in and not yet over. */
    boolean admitted;
    /** Its backend ended it. */
    private boolean closedByBackend;

    protected abstract RelayInstance relay();

    protected abstract void sendLine(BackendMessage line);

    protected abstract void doClose();

    protected abstract void doReset();

    final void closeByBackend() {
        closedByBackend = true;
        doClose();
    }

    final void resetByBackend() {
        closedByBackend = true;
        doReset();
    }

    /** Its backend still answers on it. */
    final boolean isResponsive() {
        Testbed world = relay().testbed;
        return !closedByBackend && backend.isResponsive() && world.reachableAt(relay(), backend) <= world.now();
    }
}
