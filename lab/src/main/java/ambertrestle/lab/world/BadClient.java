package ambertrestle.lab.world;

import java.nio.charset.StandardCharsets;

/** A client that sends what none may send, or says nothing; it is owed an error or a close within 3 s. */
final class BadClient extends ClientEnd {
    private static final String[] SENDS = {
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
    static final int KINDS = SENDS.length;
    private static final long OWED = 3_000_000_000L;

    private final World world;
    private final RelayEnd relay;
    private final int kind;
    private boolean over;

    BadClient(World world, RelayEnd relay, int kind) {
        this.world = world;
        this.relay = relay;
        this.kind = kind;
    }

    void connect() {
        relay.connect(this);
    }

    @Override
    long key() {
        return kind;
    }

    @Override
    public void accepted() {
        if (!SENDS[kind].isEmpty()) {
            relay.send(this, (SENDS[kind] + "\r\n").getBytes(StandardCharsets.UTF_8));
        }
        world.clock.after(OWED + 50_000_000L, () -> {
            if (!over) {
                over = true;
                world.badLeftAlone();
                relay.end(this);
            }
        });
    }

    @Override
    public void refused() {
        over = true;
    }

    @Override
    public void said(byte[] raw) {
        over |= raw[0] == 'E' || raw[0] == 'B';
    }

    @Override
    public void ended(boolean reset) {
        over = true;
    }

    @Override
    public void relayDied() {
        over = true;
    }

    @Override
    public void relayEndsProcess() {
        over = true;
    }
}
