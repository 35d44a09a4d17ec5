package ambertrestle.lab.world;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.wire.RosterMessage;
import java.util.List;

/** One relay as clients, backends and troubles see it: in the model or as a process. */
public abstract class RelayEnd {
    protected final World world;
    public final int number;
    public final String name;
    /** Its process runs. */
    protected boolean up;
    /** When it was last started, or -1 once something was up through it since. */
    private long firstUpSince = -1;

    protected RelayEnd(World world, int number) {
        this.world = world;
        this.number = number;
        this.name = "relay-" + number;
    }

    /** The list in its configuration at that start, the first being 1; `heard`: as it last had it. */
    protected final RosterMessage listed(int start, HeardRoster heard) {
        return switch (start == 1
                ? Scenario.Known.LAST
                : world.scenario.relays().known()) {
            case LAST -> heard.known();
            case FIRST -> world.first();
            case NONE -> new RosterMessage(0, true, List.of());
        };
    }

    protected final void starts() {
        firstUpSince = world.now();
    }

    /** A client of it is up. */
    final void cameUp() {
        if (firstUpSince >= 0) {
            world.firstUp(this, world.now() - firstUpSince);
            firstUpSince = -1;
        }
    }

    /** Starts it, or again after a kill with the roster as it last had it; `ready` once it serves. */
    protected abstract void start(Runnable ready);

    /** A kill: what it held is reset, and it answers nothing until it starts again. */
    protected abstract void kill();

    /** A planned restart: told to stop, killed 4 s later if it is still there. */
    protected abstract void tellToStop();

    /** Connects a client, which is told that it is accepted or refused. */
    protected abstract void connect(ClientEnd client);

    /** Sends what the client says; a line has its end. */
    protected abstract void send(ClientEnd client, byte[] raw);

    /** The client ends its connection. */
    protected abstract void end(ClientEnd client);
}
