package ambertrestle.lab.world;

/** A client's end of a connection to a relay, as the relay's machine knows it. */
public abstract class ClientEnd {
    /** Its number at the relay's machine and the start of the relay that holds it: kept here for the relay's side. */
    long socket;

    int relayLife;
    /** How long a message takes one way, in the model. */
    long way;

    /** The key that it goes by. */
    abstract long key();

    /** The relay's machine took the connection. */
    public abstract void accepted();

    /** Nobody listens there. */
    public abstract void refused();

    /** A line from the relay. */
    public abstract void said(byte[] raw);

    /** The relay ended or reset the connection. */
    public abstract void ended(boolean reset);

    /** The relay's process was killed by the platform. */
    public abstract void relayDied();

    /** The relay's process ends as planned with this still open. */
    public abstract void relayEndsProcess();
}
