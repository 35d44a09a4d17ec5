import java.util.ArrayList;
import java.util.List;

/**
 * Planned restarts of three relays, one after the other. Within 0.4 s of SIGTERM one more client connects to each and
 * writes its OPEN line in two pieces, 0.3 s apart. Its request has to be answered.
 */
final class SlowLineAtShutdown {
    /** Time that a backend takes to set a connection up; the goal of the use case is 800 ms. */
    private static final int SET_UP_MILLIS = 250;

    /** When the slow client connects, counted from SIGTERM; the pages allow 0.2 to 0.4 s. */
    private static final int CONNECT_AT_MILLIS = 360;

    /** Time between the two pieces of its line. */
    private static final int GAP_MILLIS = 290;

    /** The longest deadline, 3 s at most, and 0.7 s more: no SIGKILL before. */
    private static final int KILL_MILLIS = 3700;

    private static final int RELAYS = 3;

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, SlowLineAtShutdown::run);
    }

    private static int run() throws Exception {
        Rig.Discovery discovery = new Rig.Discovery("127.0.0.1");
        for (int i = 1; i <= 4; i++) {
            Rig.Backend backend = new Rig.Backend("s-" + i, "127.0.0.1", (self, connection, first) -> {
                Rig.sleep(SET_UP_MILLIS);
                Rig.Backend.echo(connection, "from-" + self.name);
            });
            discovery.set(backend.entry(i));
        }
        int lost = 0;
        for (int relay = 0; relay < RELAYS; relay++) {
            lost += restart(relay, discovery) ? 1 : 0;
        }
        Rig.record(lost + " of " + RELAYS + " requests lost");
        return lost > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Restarts one relay; returns true if the request of its slow client got no answer. */
    private static boolean restart(int number, Rig.Discovery discovery) throws Exception {
        Rig.Relay relay = new Rig.Relay("n" + number, "127.0.0.1", discovery.address);
        relay.configure(
                discovery.address,
                discovery.known(),
                Rig.settings(4, "pass", 4, 150, 1000, "", Rig.useCase("full-convert", "idempotent", 800, 3200, "")),
                192,
                1024);
        relay.start();
        relay.awaitReady();
        Rig.sleep(1500);
        // Six clients with open connections, which send a line every 2 s.
        for (int i = 0; i < 6; i++) {
            Rig.Lines client = Rig.Lines.connect(relay.address);
            client.send("OPEN " + Rig.hex(100 + i) + " " + Rig.hex(7000 + i) + " c=full-convert,t=t,d=3200,g=0");
            String up = client.read(3000);
            if (!up.startsWith("UP ")) {
                throw new Rig.CannotRun("a client was answered " + up + " before the restart");
            }
            Rig.start("client", () -> {
                while (true) {
                    client.send("line");
                    Rig.sleep(2000);
                }
            });
        }
        Rig.sleep(1000);

        double termAt = Rig.millis();
        if (Rig.hasTrouble()) {
            Rig.record(relay.name + ": SIGTERM");
            relay.signal("TERM");
        }
        Rig.sleep(termAt + CONNECT_AT_MILLIS - Rig.millis());
        String line = "OPEN " + Rig.hex(500) + " " + Rig.hex(9000) + " c=full-convert,t=t,d=3200,g=0";
        String answer;
        boolean isWritten = false;
        try (Rig.Lines client = Rig.Lines.connect(relay.address)) {
            client.raw(line.substring(0, 12));
            Rig.record(String.format("%s: connected, first piece of the line sent, %+.0f ms", relay.name, Rig.millis() - termAt));
            Rig.sleep(GAP_MILLIS);
            client.raw(line.substring(12) + "\r\n");
            isWritten = relay.process.isAlive();
            Rig.record(String.format(
                    "%s: last byte of the line written, %+.0f ms; the relay runs: %s",
                    relay.name, Rig.millis() - termAt, isWritten));
            answer = client.read(3400);
        } catch (java.io.IOException e) {
            answer = "(not written: " + e.getMessage() + ")";
        }
        Rig.record(String.format("%s: the client got %s, %+.0f ms", relay.name, answer, Rig.millis() - termAt));
        while (Rig.hasTrouble() && relay.process.isAlive() && Rig.millis() < termAt + KILL_MILLIS) {
            Rig.sleep(5);
        }
        Rig.record(String.format(
                "%s: runs %s at %+.0f ms; SIGKILL may come %+d ms after SIGTERM at the earliest",
                relay.name, relay.process.isAlive(), Rig.millis() - termAt, KILL_MILLIS));
        relay.recordLog(5);
        relay.process.destroyForcibly();
        // A line that was not complete while the relay ran was not taken.
        return isWritten && !answer.matches("(UP|BUSY|ERR|MOVE).*");
    }
}
