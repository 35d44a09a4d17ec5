import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients get documents in numbered lines and are cut off for 6 s each: they read nothing meanwhile, and their
 * connections stay open. Then they read on. No line may be missing between two lines of one connection.
 */
final class MissingLine {
    private static final int MEMORY_MEGABYTES = 48;
    private static final int DOCUMENTS = 150;
    private static final int MILLIS_BETWEEN = 100;
    private static final int PAGES = 1500;
    private static final String TEXT = "z".repeat(4000);
    private static final int PAGES_A_WRITE = 16;
    private static final int CUT_MILLIS = 6000;
    /** Clients that read all the time; their backends send them a short numbered line every 10 ms. */
    private static final int READERS = 30;

    private static final int READER_MILLIS = 10;

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, MissingLine::run);
    }

    private static void serve(Rig.Lines connection) throws Exception {
        connection.send("UP receipt");
        String wish = connection.read();
        if ("document".equals(wish)) {
            StringBuilder lines = new StringBuilder();
            for (int page = 0; page < PAGES; page++) {
                lines.append("PAGE ").append(page).append(' ').append(TEXT).append("\r\n");
                if ((page + 1) % PAGES_A_WRITE == 0 || page + 1 == PAGES) {
                    connection.raw(lines.toString());
                    lines.setLength(0);
                }
            }
            connection.read();
            return;
        }
        Rig.start("answers", () -> {
            for (String line = connection.read(); line != null; line = connection.read()) {
                connection.send("R " + line);
            }
            return 0;
        });
        for (int tick = 0; ; tick++) {
            connection.send("TICK " + tick);
            Rig.sleep(READER_MILLIS);
        }
    }

    private static final AtomicInteger missing = new AtomicInteger();
    private static final AtomicInteger received = new AtomicInteger();
    private static final Map<String, Integer> ends = java.util.Collections.synchronizedMap(new TreeMap<>());

    /** Reads numbered lines to the end or to the last one. */
    private static void readNumbered(String who, Rig.Lines client, int last) throws Exception {
        int expected = 0;
        while (true) {
            String line = client.read(12_000);
            if (line.startsWith("R ")) {
                continue;
            }
            if (!line.startsWith("PAGE ") && !line.startsWith("TICK ")) {
                ends.merge(who + " ended by " + line, 1, Integer::sum);
                return;
            }
            int number = Integer.parseInt(line.split(" ")[1]);
            received.incrementAndGet();
            if (number != expected) {
                missing.addAndGet(number - expected);
                Rig.record(who + " got line " + number + " after line " + (expected - 1) + " on one open connection: "
                        + (number - expected) + " MISSING");
            }
            expected = number + 1;
            if (expected == last) {
                ends.merge(who + " got its last line", 1, Integer::sum);
                return;
            }
        }
    }

    private static int run() throws Exception {
        Rig.Discovery discovery = new Rig.Discovery("127.0.0.1");
        for (int i = 0; i < 6; i++) {
            Rig.Backend backend =
                    new Rig.Backend("s-" + i, "127.0.0.1", (self, connection, first) -> serve(connection));
            discovery.set(backend.entry(0));
        }
        Rig.Relay relay = new Rig.Relay("n1", "127.0.0.1", discovery.address);
        relay.configure(
                discovery.address,
                discovery.known(),
                Rig.settings(4, "pass", 4, 150, 1000, "", Rig.useCase("full-convert", "idempotent", 800, 3200, "")),
                MEMORY_MEGABYTES,
                1024);
        relay.start();
        relay.awaitReady();
        Rig.sleep(1000);
        for (int i = 0; i < READERS; i++) {
            int number = i;
            Rig.start("reader", () -> {
                for (int round = 0; ; round++) {
                    try (Rig.Lines client = open(relay, number * 100 + round + 1, number * 7919L + 5)) {
                        if (client == null) {
                            Rig.sleep(200);
                            continue;
                        }
                        client.send("ticks");
                        Rig.start("sender", () -> {
                            while (true) {
                                Rig.sleep(2000);
                                client.send("line");
                            }
                        });
                        readNumbered("a reader", client, -1);
                    } catch (java.io.IOException e) {
                        Rig.sleep(200);
                    }
                }
            });
        }
        Rig.sleep(2000);
        AtomicInteger left = new AtomicInteger(DOCUMENTS);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < DOCUMENTS; i++) {
            int number = i;
            threads.add(Rig.start("document", () -> {
                try (Rig.Lines client = open(relay, 50_000 + number, number * 104_729L + 5)) {
                    if (client != null) {
                        client.send("document");
                        if (Rig.hasTrouble()) {
                            Rig.sleep(CUT_MILLIS);
                        }
                        readNumbered("a document's client", client, PAGES);
                    }
                } finally {
                    left.decrementAndGet();
                }
                return 0;
            }));
            Rig.sleep(MILLIS_BETWEEN);
        }
        for (double until = Rig.millis() + 40_000; left.get() > 0 && Rig.millis() < until; ) {
            Rig.sleep(100);
        }
        Rig.record(received.get() + " numbered lines received, " + missing.get() + " missing between two others; " + ends);
        relay.recordLog(6);
        if (missing.get() > 0) {
            return Rig.BROKEN;
        }
        if (ends.getOrDefault("a document's client got its last line", 0) < 20) {
            throw new Rig.CannotRun("too few documents passed");
        }
        return Rig.HELD;
    }

    /** Opens a connection; null if the relay refused it or gave no answer, which this case doesn't judge. */
    private static Rig.Lines open(Rig.Relay relay, long id, long key) throws Exception {
        Rig.Lines client = Rig.Lines.connect(relay.address);
        client.socket.setReceiveBufferSize(65_536);
        client.send("OPEN " + Rig.hex(id) + " " + Rig.hex(key) + " c=full-convert,t=t,d=3200,g=0");
        String answer = client.read(4000);
        if (answer.startsWith("UP ")) {
            return client;
        }
        ends.merge("not opened, " + answer, 1, Integer::sum);
        client.close();
        return null;
    }
}
