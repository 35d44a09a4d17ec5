import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients whose connection broke (`again=1`) and that have little time left are turned away with BUSY and come again at
 * once. Meanwhile and afterwards usual clients have to be answered. Without the trouble the same clients come as new
 * ones, without `again=1`.
 */
final class ReturningClients {
    private static final int MEMORY_MEGABYTES = 32;
    private static final int RETURNING_CLIENTS = 12;
    private static final int MOST_ATTEMPTS = 900_000;
    private static final int MOST_MILLIS = 103_000;
    private static final int CUT_OFF_MILLIS = 3200;
    private static final int STANDING_CLIENTS = 4;

    /** When a client with an open connection last got a line back. */
    private static volatile double lastLineBack;

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, ReturningClients::run);
    }

    private static int run() throws Exception {
        Rig.Discovery discovery = new Rig.Discovery("127.0.0.1");
        for (int i = 0; i < 4; i++) {
            Rig.Backend backend = new Rig.Backend("s-" + i, "127.0.0.1", (self, connection, first) ->
                    Rig.Backend.echo(connection, "from-" + self.name));
            discovery.set(backend.entry(i));
        }
        Rig.Relay relay = new Rig.Relay("n1", "127.0.0.1", discovery.address);
        relay.configure(
                discovery.address,
                discovery.known(),
                Rig.settings(
                        4, "pass", 4, 150, 1000, "", Rig.useCase("full-convert", "idempotent", 800, CUT_OFF_MILLIS, "")),
                MEMORY_MEGABYTES,
                256);
        relay.start();
        relay.awaitReady();

        // Usual clients with open connections, which send a line every 2 s and get one back.
        for (int i = 0; i < STANDING_CLIENTS; i++) {
            Rig.Lines client = Rig.Lines.connect(relay.address);
            client.send("OPEN " + Rig.hex(90_000 + i) + " " + Rig.hex(80_000 + i) + " c=full-convert,t=t,d=3200,g=0");
            String up = client.read(3200);
            if (!up.startsWith("UP ")) {
                throw new Rig.CannotRun("a client was answered " + up + " at the start");
            }
            Rig.start("standing client", () -> {
                Rig.sleep(Math.random() * 2000);
                while (true) {
                    client.send("line");
                    client.read();
                    lastLineBack = Rig.millis();
                    Rig.sleep(2000);
                }
            });
        }
        AtomicLong attempts = new AtomicLong();
        AtomicLong turnedAway = new AtomicLong();
        AtomicBoolean isOver = new AtomicBoolean();
        for (int i = 0; i < RETURNING_CLIENTS; i++) {
            int number = i;
            Rig.start("returning client", () -> {
                while (!isOver.get()) {
                    long id = attempts.incrementAndGet();
                    String from = "127.0.1." + (1 + number);
                    try (Rig.Lines client = Rig.Lines.connect(relay.address, from)) {
                        client.send("OPEN " + Rig.hex(1_000_000 + id) + " " + Rig.hex(500 + number)
                                + " c=full-convert,t=t,d=15,g=0" + (Rig.hasTrouble() ? ",again=1" : ""));
                        turnedAway.addAndGet(client.read(3000).startsWith("BUSY") ? 1 : 0);
                    } catch (java.io.IOException e) {
                        Rig.sleep(100);
                    }
                }
                return 0;
            });
        }
        // A usual client each second. It is answered within its time, and one that isn't has waited half a second more.
        AtomicInteger usual = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        double until = Rig.millis() + MOST_MILLIS;
        int lostInARow = 0;
        while (Rig.millis() < until && attempts.get() < MOST_ATTEMPTS && lostInARow < 3) {
            int id = usual.incrementAndGet();
            double sentAt = Rig.millis();
            String answer;
            try (Rig.Lines client = Rig.Lines.connect(relay.address)) {
                client.send("OPEN " + Rig.hex(id) + " " + Rig.hex(77_000 + id) + " c=full-convert,t=t,d="
                        + CUT_OFF_MILLIS + ",g=0");
                answer = client.read(CUT_OFF_MILLIS + 500);
            } catch (java.io.IOException e) {
                answer = "(" + e.getMessage() + ")";
            }
            boolean isAnswered = answer.matches("(UP|BUSY|ERR).*");
            lostInARow = isAnswered ? 0 : lostInARow + 1;
            unanswered.addAndGet(isAnswered ? 0 : 1);
            if (!isAnswered || id % 10 == 1) {
                Rig.record(String.format(
                        "usual client %d: %s after %.0f ms; %d attempts of returning clients so far, %d answered BUSY",
                        id, answer, Rig.millis() - sentAt, attempts.get(), turnedAway.get()));
            }
            Rig.sleep(1000);
        }
        isOver.set(true);
        Rig.sleep(3000);
        String last;
        try (Rig.Lines client = Rig.Lines.connect(relay.address)) {
            client.send("PING");
            last = client.read(3000);
        } catch (java.io.IOException e) {
            last = "(" + e.getMessage() + ")";
        }
        Rig.record("3 s after the returning clients have stopped: the process runs " + relay.process.isAlive()
                + ", PING is answered " + last
                + String.format(
                        "; the last line back on any of %d open connections came %.1f s ago",
                        STANDING_CLIENTS, (Rig.millis() - lastLineBack) / 1000));
        Rig.record(unanswered.get() + " of " + usual.get() + " usual clients got no answer; "
                + attempts.get() + " attempts of returning clients");
        relay.recordLog(40);
        if (unanswered.get() > 0 || !"PONG".equals(last)) {
            return Rig.BROKEN;
        }
        if (Rig.hasTrouble() && attempts.get() < 400_000) {
            throw new Rig.CannotRun("this machine is too slow: " + attempts.get() + " attempts");
        }
        return Rig.HELD;
    }
}
