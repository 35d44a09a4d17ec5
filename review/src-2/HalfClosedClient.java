import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client ends its sending after its last line and reads on. Its backend still sends a line each second, up to a last
 * one and BYE.
 */
final class HalfClosedClient {
    private static final int LINES = 20;
    private static final int INTERVAL_MILLIS = 1000;

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, HalfClosedClient::run);
    }

    private static int run() throws Exception {
        Rig.Discovery discovery = new Rig.Discovery("127.0.0.1");
        AtomicInteger sent = new AtomicInteger();
        for (int i = 0; i < 3; i++) {
            Rig.Backend backend = new Rig.Backend("s-" + i, "127.0.0.1", (self, connection, first) -> {
                connection.send("UP from-" + self.name);
                String document = connection.read();
                Rig.record(self.name + " got " + document);
                connection.send("page 0");
                for (int page = 1; page <= LINES; page++) {
                    Rig.sleep(INTERVAL_MILLIS);
                    try {
                        connection.send("page " + page);
                    } catch (java.io.IOException e) {
                        Rig.record(self.name + " could not send page " + page + ": " + e.getMessage());
                        return;
                    }
                    sent.set(page);
                }
                connection.send("BYE");
                Rig.record(self.name + " has sent " + LINES + " pages and BYE");
            });
            discovery.set(backend.entry(i));
        }
        Rig.Relay relay = new Rig.Relay("n1", "127.0.0.1", discovery.address);
        relay.configure(
                discovery.address,
                discovery.known(),
                Rig.settings(4, "pass", 4, 150, 1000, "", Rig.useCase("full-convert", "idempotent", 800, 3200, "")),
                144,
                512);
        relay.start();
        relay.awaitReady();
        Rig.sleep(1000);
        Rig.Lines client = Rig.Lines.connect(relay.address);
        client.send("OPEN " + Rig.hex(1) + " " + Rig.hex(2) + " c=full-convert,t=t,d=3200,g=0");
        Rig.record("the client got " + client.read(3200));
        client.send("document");
        if (Rig.hasTrouble()) {
            client.socket.shutdownOutput();
            Rig.record("the client has ended its sending and reads on");
        }
        int pages = 0;
        String line = client.read(8000);
        if (!line.equals("page 0")) {
            throw new Rig.CannotRun("the client got " + line);
        }
        line = client.read(8000);
        for (; line.startsWith("page "); line = client.read(8000)) {
            pages++;
        }
        Rig.record("the client got " + pages + " of " + LINES + " pages, then " + line);
        boolean isMoved = line.equals("MOVE");
        relay.recordLog(5);
        return pages == LINES && line.equals("BYE") || isMoved ? Rig.HELD : Rig.BROKEN;
    }
}
