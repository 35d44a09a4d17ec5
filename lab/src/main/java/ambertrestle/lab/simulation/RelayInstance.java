package ambertrestle.lab.simulation;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.wire.RosterMessage;
import java.util.List;

/** A relay as clients, backends and injected faults see it: simulated in virtual time, or a separate process. */
public abstract class RelayInstance {
    protected final Testbed testbed;

    /** The relay's index in the run, from 0. */
    public final int number;

    /** The relay's name in its configuration and in logs. */
    public final String name;

    /** The relay's process runs and accepts connections. */
    protected boolean running;

    /** When the relay was last restarted; -1 if it never was, or once a client has been established since. */
    private long restartedAt = -1;

    protected RelayInstance(Testbed testbed, int number) {
        this.testbed = testbed;
        this.number = number;
        this.name = "relay-" + number;
    }

    /**
     * The roster that the relay's configuration contains at a start. After the first start, the scenario's
     * {@link Scenario.RestartRoster} selects it.
     *
     * @param incarnation 1 at the first start, which always gets the last delivered roster; greater afterwards
     * @param deliveredRoster the roster as this relay last received it
     */
    protected final RosterMessage startupRoster(int incarnation, DeliveredRoster deliveredRoster) {
        return switch (incarnation == 1
                ? Scenario.RestartRoster.LAST
                : testbed.scenario.relays().restartRoster()) {
            case LAST -> deliveredRoster.snapshot();
            case FIRST -> testbed.initialRoster();
            case NONE -> new RosterMessage(0, true, List.of());
        };
    }

    /** Starts measuring the time from this restart to the first established client. */
    protected final void recordRestart() {
        restartedAt = testbed.now();
    }

    /** Called when a client of this relay has received UP. */
    final void onClientEstablished() {
        if (restartedAt >= 0) {
            testbed.onFirstClientEstablished(this, testbed.now() - restartedAt);
            restartedAt = -1;
        }
    }

    /** Starts the relay, also after it was killed or stopped, and runs {@code ready} once it accepts connections. */
    protected abstract void start(Runnable ready);

    /** Kills the relay: its connections are lost, and it accepts none until it is started again. */
    protected abstract void kill();

    /** Asks the relay to shut down, for a planned restart; kills it if it still runs 4 s later. */
    protected abstract void requestStop();

    /** Connects a client, and then notifies it whether it was accepted or refused. */
    protected abstract void connect(ClientEndpoint client);

    /** Sends the client's bytes to the relay; a line includes its CRLF. */
    protected abstract void send(ClientEndpoint client, byte[] raw);

    /** The client closes its connection to the relay. */
    protected abstract void disconnect(ClientEndpoint client);
}
