package ambertrestle.lab.simulation;

import ambertrestle.relay.wire.BackendMessage;

/**
 * Both ends of one simulated connection from a relay to a backend. A network partition delays messages: they are
 * delivered in order after it has ended.
 */
final class SimulatedBackendConnection extends BackendConnection {
    /** The connection's state as the relay sees it. */
    private enum Stage {
        CONNECTING,
        /** The relay closed it while it was still connecting. */
        ABANDONED,
        CONNECTED,
        /** Refused, or closed or reset by either side. */
        CLOSED
    }

    /** The relay that opened the connection. */
    final SimulatedRelay relay;

    /** The {@link SimulatedRelay#incarnation} that opened the connection. */
    final int relayIncarnation;

    /** The relay's number of the socket; negative. */
    final long socket;

    /** The OPEN line, which is sent as soon as the connection is established. */
    private final byte[] openRequest;

    private Stage stage = Stage.CONNECTING;

    /** Latency of a message in one direction, in nanoseconds. */
    private long oneWayLatency;

    /** The relay has ended the connection with a reset. */
    private boolean resetByRelay;

    SimulatedBackendConnection(SimulatedRelay relay, long socket, byte[] openRequest) {
        this.relay = relay;
        this.relayIncarnation = relay.incarnation;
        this.socket = socket;
        this.openRequest = openRequest;
    }

    private SimulatedTestbed testbed() {
        return relay.simulatedTestbed();
    }

    /** Runs {@code delivery} after the one-way latency, counted from the end of the partition if there is one. */
    private void scheduleDelivery(Runnable delivery) {
        testbed().scheduler.scheduleAt(testbed().reachableAt(relay, backend) + oneWayLatency, delivery);
    }

    /** Connects to the backend with that address; an unknown address is refused one nanosecond later. */
    void connect(String address) {
        backend = testbed().findBackend(address);
        if (backend == null) {
            testbed().scheduler.scheduleAfter(1, () -> onRefused());
            return;
        }
        oneWayLatency = testbed().oneWayLatency(relay.number, backend.number);
        scheduleDelivery(() -> {
            if (backend.isListening()) {
                int acceptedBy = backend.incarnation();
                scheduleDelivery(() -> onAccepted(acceptedBy));
            } else {
                scheduleDelivery(this::onRefused);
            }
        });
    }

    /** Called on the relay's side when the backend has refused the connection, or has died since it accepted it. */
    private void onRefused() {
        stage = Stage.CLOSED;
        relay.onBackendClosed(this, true);
    }

    /**
     * Called on the relay's side when the connection is established.
     *
     * @param acceptedBy the backend's incarnation that accepted it
     */
    private void onAccepted(int acceptedBy) {
        if (stage == Stage.ABANDONED) {
            // Like the daemon, sends nothing on a connection that the relay closed while it was still connecting.
            stage = Stage.CLOSED;
            relay.onBackendClosed(this, false);
            return;
        }
        if (backend.incarnation() != acceptedBy) {
            onRefused();
            return;
        }
        stage = Stage.CONNECTED;
        backend.onConnected(this);
        relay.onBackendConnected(this);
        boolean heldBack = testbed().reachableAt(relay, backend) > testbed().now();
        scheduleDelivery(() -> {
            // A reset discards data that a partition still delays. After a close, that data still arrives.
            if (!heldBack || !resetByRelay) {
                backend.onOpenRequest(this, openRequest);
            }
        });
    }

    SimulatedBackend backend() {
        return backend;
    }

    /** Sends one of the client's lines from the relay to the backend. */
    void forwardLine() {
        scheduleDelivery(() -> backend.onLine(this));
    }

    /** Shuts down the relay's sending direction. */
    void shutdownOutput() {
        scheduleDelivery(() -> backend.onClientEnded(this));
    }

    /**
     * Closes or resets the connection from the relay's side. Returns true if the socket is released at once; false if
     * the connection is closed already, or is still connecting: then {@link SimulatedRelay#onBackendClosed} follows.
     */
    boolean closeByRelay(boolean reset) {
        resetByRelay = reset;
        if (stage == Stage.CONNECTING) {
            stage = Stage.ABANDONED;
            return false;
        }
        if (stage != Stage.CONNECTED) {
            return false;
        }
        stage = Stage.CLOSED;
        if (dispatch != null) {
            dispatch.markEnded();
        }
        scheduleDelivery(() -> backend.onClosed(this));
        return true;
    }

    /** Ends the connection because the relay's process was killed; the relay gets no notification. */
    void onRelayKilled() {
        if (stage == Stage.CONNECTED) {
            stage = Stage.CLOSED;
            if (dispatch != null) {
                dispatch.markEnded();
            }
            scheduleDelivery(() -> backend.onClosed(this));
        } else if (stage == Stage.CONNECTING) {
            stage = Stage.ABANDONED;
        }
    }

    @Override
    protected RelayInstance relay() {
        return relay;
    }

    // ---- called by the backend

    @Override
    protected void sendLine(BackendMessage line) {
        scheduleDelivery(() -> relay.onBackendLine(this, line));
    }

    @Override
    protected void doClose() {
        scheduleDelivery(() -> relay.onBackendEnded(this));
    }

    @Override
    protected void doReset() {
        scheduleDelivery(() -> {
            if (stage == Stage.CONNECTED) {
                stage = Stage.CLOSED;
                if (dispatch != null) {
                    dispatch.markEnded();
                }
                relay.onBackendClosed(this, true);
            }
        });
    }
}
