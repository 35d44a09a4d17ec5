package ambertrestle.lab.simulation;

import ambertrestle.relay.wire.BackendMessage;

/**
 * Both ends of one simulated connection from a relay to a backend. Messages that a partition holds back are delivered
 * in order when the partition ends.
 */
final class SimulatedBackendConnection extends BackendConnection {
    /** The connection's state as the relay sees it. */
    private enum Stage {
        CONNECTING,
        /** The relay closed it while it was still connecting. */
        ABANDONED,
        CONNECTED,
        CLOSED
    }

    final SimulatedRelay relay;

    /** The {@link SimulatedRelay#incarnation} that opened the connection. */
    final int relayIncarnation;

    /** The relay's number of the socket, below 0. */
    final long socket;

    /** The opening, which is sent as soon as the connection is up. */
    private final byte[] openRequest;

    private Stage stage = Stage.CONNECTING;

    /** Latency of a message in one direction, in nanoseconds. */
    private long oneWayLatency;

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

    /** Runs `delivery` after the one-way latency, counted from the end of the partition if there is one. */
    private void scheduleDelivery(Runnable delivery) {
        testbed().scheduler.scheduleAt(testbed().reachableAt(relay, backend) + oneWayLatency, delivery);
    }

    /** Connects to the backend of that address; an unknown address is refused at once. */
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

    private void onRefused() {
        stage = Stage.CLOSED;
        relay.onBackendClosed(this, true);
    }

    /** The relay learns that the connection is up; `acceptedBy` is the backend's incarnation that accepted it. */
    private void onAccepted(int acceptedBy) {
        if (stage == Stage.ABANDONED) {
            // Like the daemon, sends nothing on a connection that was given up while it was being set up.
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
            // A reset discards the data that a partition still holds back; after a close that data still arrives.
            if (!heldBack || !resetByRelay) {
                backend.onOpenRequest(this, openRequest);
            }
        });
    }

    SimulatedBackend backend() {
        return backend;
    }

    /** The relay forwards one of the client's lines. */
    void forwardLine() {
        scheduleDelivery(() -> backend.onLine(this));
    }

    /** The relay shuts down its sending direction. */
    void shutdownOutput() {
        scheduleDelivery(() -> backend.onClientEnded(this));
    }

    /**
     * The relay closes or resets the connection. True if the socket is released at once; false if the connection is
     * still being set up, which releases it later, or is closed already.
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

    // ---- calls from the backend

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
