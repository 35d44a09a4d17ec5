package ambertrestle.lab.simulation;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.wire.RosterMessage;
import java.util.List;

/** One relay as clients, backends and troubles see it: in the model or as a process. */
public abstract class RelayInstance {
    protected final Testbed testbed;
    public final int number;
    public final String name;
    /** Its process runs. */
    protected boolean running;
    /** When it was last started, or -1 once something was up through it since. */
    private long restartedAt = -1;

    protected RelayInstance(Testbed world, int number) {
        this.testbed = world;
        this.number = number;
        this.name = "relay-" + number;
    }

    /** The list in its configuration at that start, the first being 1; `heard`: as it last had it. */
    protected final RosterMessage startupRoster(int start, DeliveredRoster heard) {
        return switch (start == 1
                ? Scenario.RestartRoster.LAST
                : testbed.scenario.relays().restartRoster()) {
            case LAST -> heard.snapshot();
            case FIRST -> testbed.initialRoster();
            case NONE -> new RosterMessage(0, true, List.of());
        };
    }

    protected final void recordRestart() {
        restartedAt = testbed.now();
    }

    /** A client of it is up. */
    final void onClientEstablished() {
        if (restartedAt >= 0) {
            testbed.onFirstClientEstablished(this, testbed.now() - restartedAt);
            restartedAt = -1;
        }
    }

    /** Starts it, or again after a kill with the roster as it last had it; `ready` once it serves. */
    protected abstract void start(Runnable ready);

    /** A kill: what it held is reset, and it answers nothing until it starts again. */
    protected abstract void kill();

    /** A planned restart: told to stop, killed 4 s later if it is still there. */
    protected abstract void requestStop();

    /** Connects a client, which is told that it is accepted or refused. */
    protected abstract void connect(ClientEndpoint client);

    /** Sends what the client says; a line has its end. */
    protected abstract void send(ClientEndpoint client, byte[] raw);

    /** The client ends its connection. */
    protected abstract void disconnect(ClientEndpoint client);
}
