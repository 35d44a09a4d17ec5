package ambertrestle.lab.simulation;

import ambertrestle.relay.wire.BackendMessage;

/**
 * One connection from a relay to a backend in the model, both ends. What a partition holds up comes, in order, when it
 * is over.
 */
final class SimulatedBackendConnection extends BackendConnection {
    private enum Stage {
        CONNECTING,
        ABANDONED,
        CONNECTED,
        CLOSED
    }

    final SimulatedRelay relay;
    final int relayIncarnation;
    final long socket;
    private final byte[] opening;
    private Stage stage = Stage.CONNECTING;
    private long way;
    private boolean wasReset;

    SimulatedBackendConnection(SimulatedRelay relay, long socket, byte[] opening) {
        this.relay = relay;
        this.relayIncarnation = relay.incarnation;
        this.socket = socket;
        this.opening = opening;
    }

    private SimulatedTestbed world() {
        return relay.model();
    }

    private void later(Runnable thing) {
        world().scheduler.scheduleAt(world().reachableAt(relay, backend) + way, thing);
    }

    void connect(String address) {
        backend = world().findBackend(address);
        if (backend == null) {
            world().scheduler.scheduleAfter(1, () -> refused());
            return;
        }
        way = world().oneWayLatency(relay.number, backend.number);
        later(() -> {
            if (backend.isListening()) {
                int there = backend.incarnation();
                later(() -> cameUp(there));
            } else {
                later(this::refused);
            }
        });
    }

    private void refused() {
        stage = Stage.CLOSED;
        relay.onBackendClosed(this, true);
    }

    private void cameUp(int there) {
        if (stage == Stage.ABANDONED) {
            // As the daemon: a connection that nobody waits for any more carries nothing.
            stage = Stage.CLOSED;
            relay.onBackendClosed(this, false);
            return;
        }
        if (backend.incarnation() != there) {
            refused();
            return;
        }
        stage = Stage.CONNECTED;
        backend.onConnected(this);
        relay.onBackendConnected(this);
        boolean heldUp = world().reachableAt(relay, backend) > world().now();
        later(() -> {
            // A reset throws away what the network still holds; what a close leaves behind still comes.
            if (!heldUp || !wasReset) {
                backend.onOpenRequest(this, opening);
            }
        });
    }

    SimulatedBackend backend() {
        return backend;
    }

    /** A line that the relay passed on. */
    void forwardLine() {
        later(() -> backend.onLine(this));
    }

    /** The relay ends its sending. */
    void shutdownOutput() {
        later(() -> backend.onClientEnded(this));
    }

    /** The relay closes or resets it; true when it is given back at once. */
    boolean closeByRelay(boolean reset) {
        wasReset = reset;
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
        later(() -> backend.onClosed(this));
        return true;
    }

    void onRelayKilled() {
        if (stage == Stage.CONNECTED) {
            stage = Stage.CLOSED;
            if (dispatch != null) {
                dispatch.markEnded();
            }
            later(() -> backend.onClosed(this));
        } else if (stage == Stage.CONNECTING) {
            stage = Stage.ABANDONED;
        }
    }

    @Override
    protected RelayInstance relay() {
        return relay;
    }

    // ---- from the backend

    @Override
    protected void sendLine(BackendMessage line) {
        later(() -> relay.onBackendLine(this, line));
    }

    @Override
    protected void doClose() {
        later(() -> relay.onBackendEnded(this));
    }

    @Override
    protected void doReset() {
        later(() -> {
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
