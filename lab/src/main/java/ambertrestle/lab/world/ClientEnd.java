package ambertrestle.lab.world;

/** A client's end of a connection to a relay, as the relay's machine knows it. */
abstract class ClientEnd {
    long socket;
    int relayLife;
    /** How long a message takes one way. */
    long way;

    /** A line from the relay. */
    abstract void said(byte[] raw);

    /** The relay ended or reset the connection. */
    abstract void ended(boolean reset);

    /** The relay's process was killed by the platform. */
    abstract void relayDied();

    /** The relay's process ends as planned with this still open. */
    abstract void relayEndsProcess();
}
