package ambertrestle.lab.simulation;

/** A client's end of a connection to a relay, as the relay's machine knows it. */
public abstract class ClientEndpoint {
    /** Its number at the relay's machine and the start of the relay that holds it: kept here for the relay's side. */
    long socket;

    int relayIncarnation;
    /** How long a message takes one way, in the model. */
    long oneWayLatency;

    /** The key that it goes by. */
    abstract long latencyKey();

    /** The relay's machine took the connection. */
    public abstract void onAccepted();

    /** Nobody listens there. */
    public abstract void onRefused();

    /** A line from the relay. */
    public abstract void onLine(byte[] raw);

    /** The relay ended or reset the connection. */
    public abstract void onClosed(boolean reset);

    /** The relay's process was killed by the platform. */
    public abstract void onRelayKilled();

    /** The relay's process ends as planned with this still open. */
    public abstract void onRelayShutdown();
}
