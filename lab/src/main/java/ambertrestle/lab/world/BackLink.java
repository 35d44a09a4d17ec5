package ambertrestle.lab.world;

import ambertrestle.relay.wire.FromBackend;

/** One connection from a relay to a backend, as the backend has it: in the model or on a socket. */
public abstract class BackLink {
    protected BackendNode backend;
    /** The backend's process that holds it. */
    protected int backendLife;
    /** Set once the opening has reached the backend. */
    ClientLink client;

    protected Judge.Run run;
    /** Let in and not yet over. */
    boolean open;
    /** Its backend ended it. */
    private boolean over;

    protected abstract RelayEnd relay();

    protected abstract void say(FromBackend line);

    protected abstract void end();

    protected abstract void reset();

    final void ends() {
        over = true;
        end();
    }

    final void breaks() {
        over = true;
        reset();
    }

    /** Its backend still answers on it. */
    final boolean sound() {
        World world = relay().world;
        return !over && backend.answers() && world.passable(relay(), backend) <= world.now();
    }
}
