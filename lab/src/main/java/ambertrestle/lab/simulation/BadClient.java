package ambertrestle.lab.simulation;

import java.nio.charset.StandardCharsets;

/**
 * A client that breaks the protocol: it sends an invalid first line, or nothing at all. The relay must answer with an
 * error or close the connection within {@link #ANSWER_DEADLINE}; if it doesn't, the client is counted as unanswered.
 */
final class BadClient extends ClientEndpoint {
    /**
     * First lines without their CRLF. An empty one means that the client sends nothing. The last one is longer than the
     * relay's line limit of 4096 bytes.
     */
    private static final String[] INVALID_REQUESTS = {
        "HELLO",
        "OPEN",
        "OPEN zz 1 c=x,t=t,d=1",
        "OPEN 1 2 c=nothing-like-it,t=t,d=100",
        "OPEN 3 4 c=,,=",
        "OPEN 5 6 d=-1",
        "PING",
        "",
        "X".repeat(5000)
    };

    /** Number of different bad clients. */
    static final int INVALID_REQUEST_COUNT = INVALID_REQUESTS.length;

    /** How long the relay may take to answer or close, in nanoseconds. */
    private static final long ANSWER_DEADLINE = 3_000_000_000L;

    /** Time on top of the deadline for the network's latency, in nanoseconds. */
    private static final long NETWORK_TOLERANCE = 50_000_000L;

    private final Testbed testbed;
    private final RelayInstance relay;

    /** Index into {@link #INVALID_REQUESTS}. */
    private final int requestIndex;

    /** The relay has answered, closed or refused the connection, or the deadline has passed. */
    private boolean finished;

    BadClient(Testbed testbed, RelayInstance relay, int requestIndex) {
        this.testbed = testbed;
        this.relay = relay;
        this.requestIndex = requestIndex;
    }

    /** Connects to the relay and sends the request once the relay has accepted the connection. */
    void connect() {
        relay.connect(this);
    }

    @Override
    long latencyKey() {
        return requestIndex;
    }

    @Override
    public void onAccepted() {
        if (!INVALID_REQUESTS[requestIndex].isEmpty()) {
            relay.send(this, (INVALID_REQUESTS[requestIndex] + "\r\n").getBytes(StandardCharsets.UTF_8));
        }
        testbed.scheduler.scheduleAfter(ANSWER_DEADLINE + NETWORK_TOLERANCE, () -> {
            if (!finished) {
                finished = true;
                testbed.onBadClientUnanswered();
                relay.disconnect(this);
            }
        });
    }

    @Override
    public void onRefused() {
        finished = true;
    }

    /** Accepts ERR, BUSY and BYE as an answer. */
    @Override
    public void onLine(byte[] raw) {
        finished |= raw[0] == 'E' || raw[0] == 'B';
    }

    @Override
    public void onClosed(boolean reset) {
        finished = true;
    }

    @Override
    public void onRelayKilled() {
        finished = true;
    }

    @Override
    public void onRelayShutdown() {
        finished = true;
    }
}
