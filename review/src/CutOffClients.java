import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The machines of some clients are cut off for 6 s while their backends send them documents. Other clients open
 * connections all the time; each is owed its one final answer. Without the disruption the same documents are sent and
 * read.
 */
final class CutOffClients {
    private static final int BACKENDS = 6;
    /** Open connections; half of them get documents, and these are the ones that are cut off. */
    private static final int STANDING = 60;
    private static final int WITH_DOCUMENT = STANDING / 2;

    private static final int DOCUMENT_KILOBYTES = 6000;
    /** The documents begin one after the other within this time. */
    private static final int STAGGER_MILLIS = 5000;
    private static final int CUT_MILLIS = 6000;

    private static final int CUT_OFF_MILLIS = 1200;
    /** Up to half a second after its time an answer only earns nothing; later it is lost. */
    private static final int LATE_MILLIS = 500;

    private static final int NEW_CLIENTS = 120;
    private static final int MILLIS_BETWEEN = 150;
    private static final int MEMORY_MEGABYTES = 96;
    private static final String PAGES = ("PAGE " + "z".repeat(4000) + "\r\n").repeat(16);

    private static volatile long cutFrom = Long.MAX_VALUE;
    private static volatile boolean isOver;
    private static final AtomicInteger standingUp = new AtomicInteger();
    private static final AtomicInteger moved = new AtomicInteger();
    /** Connections without a document that the relay ended without MOVE. */
    private static final AtomicInteger broken = new AtomicInteger();
    /** The same with a document; only reported. */
    private static final AtomicInteger cutBroken = new AtomicInteger();

    private static final AtomicInteger up = new AtomicInteger();
    private static final AtomicInteger refused = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] args) {
        StandIn.run(args, CutOffClients::run);
    }

    private static void run(Path root, Path folder) throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            String name = "s-" + i;
            StandIn.Server server = new StandIn.Server(name, "127.85.1." + (i + 1), line -> backend(name, line));
            entries.add(StandIn.entry(name, server.address(), "in_service"));
        }
        StandIn.Server discovery = StandIn.discovery("127.85.2.1", entries);
        StandIn.Relay relay = new StandIn.Relay(
                root, folder, "n1", "127.85.0.1", discovery.address(), entries, MEMORY_MEGABYTES,
                StandIn.settings(
                        StandIn.useCase("full-convert", 800, 3200) + "," + StandIn.useCase("live-thumb", 300, CUT_OFF_MILLIS),
                        "100000.0,150000.0"));
        relay.awaitReady();
        for (int i = 0; i < STANDING; i++) {
            int number = i;
            StandIn.spawn("standing client " + i, () -> standingClient(relay, number));
            StandIn.sleepMillis(20);
        }
        StandIn.sleepMillis(2000);
        StandIn.note(standingUp + " standing connections are up");
        cutFrom = System.nanoTime() + 2_000_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < NEW_CLIENTS; i++) {
            int number = i;
            threads.add(StandIn.spawn("new client " + i, () -> newClient(relay, number)));
            StandIn.sleepMillis(MILLIS_BETWEEN);
        }
        for (Thread thread : threads) {
            thread.join(10_000);
        }
        isOver = true;
        StandIn.sleepMillis(500);
        String counts = NEW_CLIENTS + " new associations: " + up + " up, " + refused + " answered BUSY or ERR, " + lost
                + " lost; standing connections ended without MOVE: " + broken + " of " + (STANDING - WITH_DOCUMENT)
                + " without a document, " + cutBroken + " of " + WITH_DOCUMENT + " with one; " + moved + " moved";
        if (standingUp.get() < STANDING) {
            StandIn.end(2, "could not run: " + standingUp + " of " + STANDING + " standing connections came up");
        }
        boolean isBroken = lost.get() + broken.get() > 0 || !relay.process.isAlive();
        StandIn.end(isBroken ? 1 : 0, (isBroken ? "rule broken: " : "rule held: ") + counts);
    }

    /** Brings a line back at once; on a connection with `h=1000` it also sends a document. */
    private static void backend(String name, StandIn.Line line) throws Exception {
        String open = line.read();
        if (open == null) {
            return;
        }
        String id = open.split(" ")[1];
        line.send("UP " + name + "-" + id);
        if (open.contains(",h=1000")) {
            StandIn.spawn("document for " + id, () -> document(name, id, line));
        }
        for (String text = line.read(); text != null; text = line.read()) {
            synchronized (line) {
                line.send("OK " + text);
            }
        }
    }

    private static void document(String name, String id, StandIn.Line line) throws Exception {
        while (cutFrom == Long.MAX_VALUE) {
            StandIn.sleepMillis(20);
        }
        int number = Integer.parseInt(id, 16) % 0x1000;
        StandIn.sleepMillis((cutFrom - System.nanoTime()) / 1_000_000L + number * STAGGER_MILLIS / WITH_DOCUMENT);
        StandIn.note(name + " begins the document for " + id);
        for (int sent = 0; sent < DOCUMENT_KILOBYTES; sent += PAGES.length() / 1024) {
            synchronized (line) {
                line.sendRaw(PAGES);
            }
        }
        StandIn.note(name + " has sent the document for " + id);
    }

    private static boolean isCutOff() {
        long since = System.nanoTime() - cutFrom;
        return StandIn.TROUBLE && cutFrom != Long.MAX_VALUE && since >= 0 && since < CUT_MILLIS * 1_000_000L;
    }

    /** Reads at once what comes and sends a line every 2 s. While its machine is cut off, nothing goes either way. */
    private static void standingClient(StandIn.Relay relay, int number) throws Exception {
        boolean hasDocument = number < WITH_DOCUMENT;
        try (StandIn.Line line = StandIn.Line.connect(relay.host, relay.port)) {
            line.send("OPEN " + Integer.toHexString(0x1000 + number) + " " + StandIn.key(number)
                    + " c=full-convert,t=acme,d=3200,h=" + (hasDocument ? 1000 : 100));
            String answer = line.read();
            if (answer == null || !answer.startsWith("UP ")) {
                StandIn.note("standing client " + number + " was answered " + answer);
                return;
            }
            standingUp.incrementAndGet();
            byte[] buffer = new byte[1 << 16];
            String tail = "";
            long nextLineAt = System.nanoTime();
            line.socket.setSoTimeout(100);
            String end = "the end of the connection";
            try {
                while (!isOver) {
                    if (hasDocument && isCutOff()) {
                        StandIn.sleepMillis(20);
                        continue;
                    }
                    if (System.nanoTime() >= nextLineAt) {
                        nextLineAt = System.nanoTime() + 2_000_000_000L;
                        line.send("line");
                    }
                    int count = 0;
                    try {
                        count = line.readSome(buffer);
                    } catch (java.net.SocketTimeoutException e) {
                        continue;
                    }
                    if (count < 0) {
                        break;
                    }
                    tail += new String(buffer, Math.max(0, count - 6), Math.min(6, count), "ISO-8859-1");
                    tail = tail.substring(Math.max(0, tail.length() - 6));
                }
            } catch (java.io.IOException e) {
                end = e.toString();
            }
            if (isOver) {
                return;
            }
            boolean isMoved = tail.equals("MOVE\r\n");
            (isMoved ? moved : hasDocument ? cutBroken : broken).incrementAndGet();
            StandIn.note("standing client " + number + (isMoved ? " was moved" : " saw " + end + " without MOVE"));
        }
    }

    private static void newClient(StandIn.Relay relay, int number) throws Exception {
        String id = Integer.toHexString(0x8000 + number);
        String answer;
        long sentAt = System.nanoTime();
        try (StandIn.Line line = StandIn.Line.connect(relay.host, relay.port)) {
            line.socket.setSoTimeout(CUT_OFF_MILLIS + LATE_MILLIS);
            line.send("OPEN " + id + " " + StandIn.key(1000 + number) + " c=live-thumb,t=acme,d=" + CUT_OFF_MILLIS);
            sentAt = System.nanoTime();
            answer = line.read();
        } catch (java.io.IOException e) {
            answer = null;
        }
        long millis = (System.nanoTime() - sentAt) / 1_000_000;
        StandIn.note("new client " + id + (answer == null ? " has no answer" : " was answered " + answer) + " after "
                + millis + " ms");
        (answer == null ? lost : answer.startsWith("UP ") ? up : refused).incrementAndGet();
    }
}
