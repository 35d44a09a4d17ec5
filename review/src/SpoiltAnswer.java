import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One of eight backends gives spoilt answers that never end; every client is owed its one final answer. */
final class SpoiltAnswer {
    private static final int BACKENDS = 8;
    private static final int CLIENTS = 60;
    private static final int CUT_OFF_MILLIS = 3200;
    /** What the pages add to each time limit on sockets. */
    private static final int SLACK_MILLIS = 50;

    private static final AtomicInteger spoilt = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger up = new AtomicInteger();
    private static final AtomicInteger refused = new AtomicInteger();

    public static void main(String[] args) {
        StandIn.run(args, SpoiltAnswer::run);
    }

    private static void run(Path root, Path folder) throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            String name = "s-" + i;
            boolean isSpoilt = i == 0;
            StandIn.Server server = new StandIn.Server(name, "127.81.1." + (i + 1), line -> backend(name, isSpoilt, line));
            entries.add(StandIn.entry(name, server.address(), "in_service"));
        }
        StandIn.Server discovery = StandIn.discovery("127.81.2.1", entries);
        StandIn.Relay relay = new StandIn.Relay(
                root, folder, "n1", "127.81.0.1", discovery.address(), entries, 192,
                StandIn.settings(StandIn.useCase("full-convert", 800, CUT_OFF_MILLIS), "100000.0"));
        relay.awaitReady();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            StandIn.spawn("client " + i, () -> {
                try {
                    client(relay, number);
                } finally {
                    done.countDown();
                }
            });
            StandIn.sleepMillis(100);
        }
        boolean isComplete = done.await(20, TimeUnit.SECONDS);
        String counts = CLIENTS + " associations: " + up + " up, " + refused + " answered BUSY or ERR, " + unanswered
                + " ended without an answer, " + late + " answered late or never; " + spoilt + " spoilt answers sent";
        if (!isComplete || !relay.process.isAlive() || StandIn.TROUBLE && spoilt.get() == 0) {
            StandIn.end(2, "could not run: " + counts);
        }
        boolean isBroken = unanswered.get() + late.get() > 0;
        StandIn.end(isBroken ? 1 : 0, (isBroken ? "rule broken: " : "rule held: ") + counts);
    }

    private static void backend(String name, boolean isSpoilt, StandIn.Line line) throws Exception {
        String open = line.read();
        if (open == null) {
            return;
        }
        String id = open.split(" ")[1];
        if (isSpoilt) {
            if (!StandIn.TROUBLE) {
                StandIn.note(name + " received " + id + ", answers ERR");
                line.send("ERR");
                line.read();
                return;
            }
            // Three forms in turn; each goes on until the relay closes.
            int form = spoilt.getAndIncrement() % 3;
            String start = form == 0 ? "ERR " + "x".repeat(2996) + "\r\n" : form == 1 ? "" : "ERR\r\n";
            StandIn.note(name + " received " + id + ", spoilt answer: "
                    + (form == 0 ? "a line of 3,000 bytes" : form == 1 ? "no line end" : "ERR") + ", then bytes without end");
            line.sendRaw(start + "y".repeat(32768));
            while (true) {
                line.sendRaw("y".repeat(8192));
                StandIn.sleepMillis(5);
            }
        }
        StandIn.note(name + " received " + id + ", answers UP");
        line.send("UP " + name + "-" + id);
        for (String text = line.read(); text != null; text = line.read()) {
            line.send("OK " + text);
        }
    }

    private static void client(StandIn.Relay relay, int number) throws Exception {
        String id = Integer.toHexString(0x1000 + number);
        try (StandIn.Line line = StandIn.Line.connect(relay.host, relay.port)) {
            line.socket.setSoTimeout(CUT_OFF_MILLIS + SLACK_MILLIS);
            line.send("OPEN " + id + " " + StandIn.key(number)
                    + " c=full-convert,t=acme,d=" + CUT_OFF_MILLIS);
            StandIn.note("client sent OPEN " + id);
            String answer;
            try {
                answer = line.read();
            } catch (java.net.SocketTimeoutException e) {
                late.incrementAndGet();
                StandIn.note("client " + id + " has no answer at its cut-off");
                return;
            } catch (java.io.IOException e) {
                answer = null;
            }
            StandIn.note("client " + id + " was answered " + answer);
            if (answer == null) {
                unanswered.incrementAndGet();
            } else if (answer.startsWith("UP ")) {
                up.incrementAndGet();
                StandIn.sleepMillis(3000);
            } else {
                refused.incrementAndGet();
            }
        }
    }
}
