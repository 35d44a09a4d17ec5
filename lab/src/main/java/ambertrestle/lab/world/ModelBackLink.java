package ambertrestle.lab.world;

import ambertrestle.relay.wire.FromBackend;

/**
 * One connection from a relay to a backend in the model, both ends. What a partition holds up comes, in order, when it
 * is over.
 */
final class ModelBackLink extends BackLink {
    private enum Stage {
        DIALLED,
        UNWANTED,
        CONNECTED,
        GONE
    }

    final RelayNode relay;
    final int relayLife;
    final long socket;
    private final byte[] opening;
    private Stage stage = Stage.DIALLED;
    private long way;
    private boolean wasReset;

    ModelBackLink(RelayNode relay, long socket, byte[] opening) {
        this.relay = relay;
        this.relayLife = relay.life;
        this.socket = socket;
        this.opening = opening;
    }

    private Model world() {
        return relay.model();
    }

    private void later(Runnable thing) {
        world().clock.at(world().passable(relay, backend) + way, thing);
    }

    void dial(String address) {
        backend = world().backend(address);
        if (backend == null) {
            world().clock.after(1, () -> refused());
            return;
        }
        way = world().way(relay.number, backend.number);
        later(() -> {
            if (backend.listens()) {
                int there = backend.life();
                later(() -> cameUp(there));
            } else {
                later(this::refused);
            }
        });
    }

    private void refused() {
        stage = Stage.GONE;
        relay.backendGone(this, true);
    }

    private void cameUp(int there) {
        if (stage == Stage.UNWANTED) {
            // As the daemon: a connection that nobody waits for any more carries nothing.
            stage = Stage.GONE;
            relay.backendGone(this, false);
            return;
        }
        if (backend.life() != there) {
            refused();
            return;
        }
        stage = Stage.CONNECTED;
        backend.joined(this);
        relay.connected(this);
        boolean heldUp = world().passable(relay, backend) > world().now();
        later(() -> {
            // A reset throws away what the network still holds; what a close leaves behind still comes.
            if (!heldUp || !wasReset) {
                backend.opened(this, opening);
            }
        });
    }

    BackendNode there() {
        return backend;
    }

    /** A line that the relay passed on. */
    void write() {
        later(() -> backend.line(this));
    }

    /** The relay ends its sending. */
    void finish() {
        later(() -> backend.clientEnded(this));
    }

    /** The relay closes or resets it; true when it is given back at once. */
    boolean dropped(boolean reset) {
        wasReset = reset;
        if (stage == Stage.DIALLED) {
            stage = Stage.UNWANTED;
            return false;
        }
        if (stage != Stage.CONNECTED) {
            return false;
        }
        stage = Stage.GONE;
        if (run != null) {
            run.ended();
        }
        later(() -> backend.closed(this));
        return true;
    }

    void relayDied() {
        if (stage == Stage.CONNECTED) {
            stage = Stage.GONE;
            if (run != null) {
                run.ended();
            }
            later(() -> backend.closed(this));
        } else if (stage == Stage.DIALLED) {
            stage = Stage.UNWANTED;
        }
    }

    @Override
    protected RelayEnd relay() {
        return relay;
    }

    // ---- from the backend

    @Override
    protected void say(FromBackend line) {
        later(() -> relay.backendSaid(this, line));
    }

    @Override
    protected void end() {
        later(() -> relay.backendEnded(this));
    }

    @Override
    protected void reset() {
        later(() -> {
            if (stage == Stage.CONNECTED) {
                stage = Stage.GONE;
                if (run != null) {
                    run.ended();
                }
                relay.backendGone(this, true);
            }
        });
    }
}
