package ambertrestle.lab.world;

import ambertrestle.relay.wire.FromClient;
import java.nio.charset.StandardCharsets;

/** A client that sends what none may send, or says nothing; it is owed an error or a close within 3 s. */
final class BadClient extends ClientEnd {
    private static final String[] SENDS = {"HELLO", "OPEN", "OPEN zz 1 c=x,t=t,d=1", "OPEN 1 2 c=nothing-like-it,t=t,d=100",
        "OPEN 3 4 c=,,=", "OPEN 5 6 d=-1", "PING", "", null};
    static final int KINDS = SENDS.length;
    private static final long OWED = 3_000_000_000L;

    private final World world;
    private final RelayNode relay;
    private final int kind;
    private boolean over;

    BadClient(World world, RelayNode relay, int kind) {
        this.world = world;
        this.relay = relay;
        this.kind = kind;
        way = world.clientWay(relay.number, kind);
    }

    void connect() {
        world.agenda.after(way, () -> {
            if (!relay.accept(this)) {
                return;
            }
            world.agenda.after(2 * way, this::sends);
            world.agenda.after(2 * way + OWED, () -> {
                if (!over) {
                    world.badLeftAlone();
                }
            });
        });
    }

    private void sends() {
        if (SENDS[kind] == null) {
            relay.clientGarbled(this);
        } else if (!SENDS[kind].isEmpty()) {
            FromClient line = world.decode((SENDS[kind] + "\r\n").getBytes(StandardCharsets.UTF_8));
            relay.clientSaid(this, line);
        }
    }

    @Override
    void said(byte[] raw) {
        over |= raw[0] == 'E' || raw[0] == 'B';
    }

    @Override
    void ended(boolean reset) {
        over = true;
    }

    @Override
    void relayDied() {
        over = true;
    }

    @Override
    void relayEndsProcess() {
        over = true;
    }
}
