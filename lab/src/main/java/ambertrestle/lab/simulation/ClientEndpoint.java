package ambertrestle.lab.simulation;

/**
 * The client's end of a connection to a relay. {@link RelayInstance} calls its methods when something arrives at the
 * client. Only {@link SimulatedRelay} uses the package-visible fields, for its own record of the connection.
 */
public abstract class ClientEndpoint {
    /** The relay's number of the accepted socket; 0 before the relay has accepted it. */
    long socket;

    /** The {@link SimulatedRelay#incarnation} that accepted the connection. */
    int relayIncarnation;

    /** Latency of a message in one direction, in nanoseconds. */
    long oneWayLatency;

    /** The key from which the simulated latency between this client and a relay is derived. */
    abstract long latencyKey();

    /** The relay accepted the connection. */
    public abstract void onAccepted();

    /** The relay refused the connection because its process isn't listening. */
    public abstract void onRefused();

    /** A line from the relay has arrived; {@code raw} includes its CRLF. */
    public abstract void onLine(byte[] raw);

    /** The relay closed the connection, or reset it if {@code reset}. */
    public abstract void onClosed(boolean reset);

    /** The relay's process was killed while the connection was open. */
    public abstract void onRelayKilled();

    /** The relay's process ends in a planned restart although the connection is still open. */
    public abstract void onRelayShutdown();
}
