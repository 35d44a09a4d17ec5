package ambertrestle.lab.simulation;

import java.nio.charset.StandardCharsets;

/** A client that sends what none may send, or says nothing; it is owed an error or a close within 3 s. */
final class BadClient extends ClientEndpoint {
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
    static final int INVALID_REQUEST_COUNT = INVALID_REQUESTS.length;
    private static final long OWED = 3_000_000_000L;

    private final Testbed world;
    private final RelayInstance relay;
    private final int kind;
    private boolean over;

    BadClient(Testbed world, RelayInstance relay, int kind) {
        this.world = world;
        this.relay = relay;
        this.kind = kind;
    }

    void connect() {
        relay.connect(this);
    }

    @Override
    long latencyKey() {
        return kind;
    }

    @Override
    public void onAccepted() {
        if (!INVALID_REQUESTS[kind].isEmpty()) {
            relay.send(this, (INVALID_REQUESTS[kind] + "\r\n").getBytes(StandardCharsets.UTF_8));
        }
        world.scheduler.scheduleAfter(OWED + 50_000_000L, () -> {
            if (!over) {
                over = true;
                world.onBadClientUnanswered();
                relay.disconnect(this);
            }
        });
    }

    @Override
    public void onRefused() {
        over = true;
    }

    @Override
    public void onLine(byte[] raw) {
        over |= raw[0] == 'E' || raw[0] == 'B';
    }

    @Override
    public void onClosed(boolean reset) {
        over = true;
    }

    @Override
    public void onRelayKilled() {
        over = true;
    }

    @Override
    public void onRelayShutdown() {
        over = true;
    }
}
