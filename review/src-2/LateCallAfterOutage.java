import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Discovery is down for some seconds and comes back; right after its return a backend begins to drain. Each relay is a
 * trial of its own, with its own way to discovery, which comes back shortly after a call of that relay has failed.
 */
final class LateCallAfterOutage {
    private static final int RELAYS = 24;
    private static final int SIBLINGS = 6;
    private static final int DRAIN_GRACE_MILLIS = 300;
    /** A change counts as told at the latest this long after discovery had it and could be reached. */
    private static final int TOLD_AFTER_MILLIS = 6000;
    /** Each time limit is this much longer on sockets. */
    private static final int SLACK_MILLIS = 50;
    /** The outage lasts at least until this many calls have failed, which takes a relay 1.5 to 7 s. */
    private static final int FAILED_CALLS = 4;

    private static final int MOST_OUTAGE_MILLIS = 20_000;
    /** Outages of each relay's discovery, one after the other; after each another backend begins to drain. */
    private static final int ROUNDS = 3;

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, LateCallAfterOutage::run);
    }

    private static final class Trial {
        final Rig.Discovery discovery;
        final Rig.Relay relay;
        final List<Double> arrivals = Collections.synchronizedList(new ArrayList<>());
        /** Number of backends that drain: the first ones, one more in each round. */
        volatile int draining;
        double downAt;
        double returnedAt;
        double drainedAt;
        double heardAt;
        int failedCalls;
        final AtomicInteger client = new AtomicInteger();
        final List<Rig.Entry> entries = new ArrayList<>();
        long late;

        Trial(int number) throws Exception {
            discovery = new Rig.Discovery("127.0.0.1");
            for (int i = 0; i < 6; i++) {
                int position = i;
                Rig.Backend backend = new Rig.Backend("s-" + i, "127.0.0.1", (self, connection, first) -> {
                    if (position < draining) {
                        if (position == draining - 1) {
                            arrivals.add(Rig.millis());
                        }
                        connection.send("BUSY");
                        return;
                    }
                    connection.send("UP from-" + self.name);
                    Rig.sleep(100);
                    connection.send("BYE");
                });
                discovery.set(backend.entry(0));
                entries.add(backend.entry(0));
            }
            relay = new Rig.Relay("n" + number, "127.0.0.1", discovery.address);
            relay.configure(
                    discovery.address,
                    discovery.known(),
                    Rig.settings(
                            SIBLINGS,
                            "pass",
                            3,
                            50,
                            DRAIN_GRACE_MILLIS,
                            ",\"askWithinUs\":10000000",
                            Rig.useCase("passenger-lookup", "idempotent", 800, 3200, "")),
                    144,
                    512);
            relay.start();
        }

        int run() throws Exception {
            for (int round = 0; round < ROUNDS; round++) {
                runRound();
                late += lateArrivals();
                recordRound(round);
                arrivals.clear();
                Rig.sleep(3000);
            }
            return 0;
        }

        private void runRound() throws Exception {
            discovery.failedCalls = 0;
            heardAt = 0;
            for (double until = Rig.millis() + 10_000; discovery.watchCount() == 0; Rig.sleep(20)) {
                if (Rig.millis() > until) {
                    throw new Rig.CannotRun("relay " + relay.name + " opened no watch");
                }
            }
            downAt = Rig.millis();
            if (Rig.hasTrouble()) {
                discovery.setDown(true);
                while (discovery.failedCalls < FAILED_CALLS && Rig.millis() < downAt + MOST_OUTAGE_MILLIS) {
                    Rig.sleep(5);
                }
                Rig.sleep(20);
                failedCalls = discovery.failedCalls;
                discovery.setDown(false);
            }
            returnedAt = Rig.millis();
            Rig.sleep(100);
            drainedAt = Rig.millis();
            draining++;
            discovery.set(entries.get(draining - 1).as("terminating"));
            Rig.start("watcher", () -> {
                while (discovery.watchCount() == 0) {
                    Rig.sleep(2);
                }
                heardAt = Rig.millis();
                return 0;
            });
            // Clients come steadily, from half a second before the change counts as told.
            Rig.sleep(TOLD_AFTER_MILLIS - 500);
            while (Rig.millis() < drainedAt + TOLD_AFTER_MILLIS + 2000) {
                int id = client.incrementAndGet();
                Rig.start("client", () -> {
                    try (Rig.Lines lines = Rig.Lines.connect(relay.address)) {
                        lines.send("OPEN " + Rig.hex(id) + " " + Rig.hex(id * 0x9e3779b97f4a7c15L)
                                + " c=passenger-lookup,t=t,d=3200,g=0");
                        for (String line = lines.read(); line != null; line = lines.read()) {
                            // Reads to the end.
                        }
                    }
                    return 0;
                });
                Rig.sleep(20);
            }
        }

        private void recordRound(int round) {
            Rig.record(String.format(
                    "%s, outage %d: down for %.1f s, %d calls failed; drain listed %.0f ms after the return, the relay asked"
                            + " again %.0f ms after that; %d OPENs reached the draining backend, the last %.0f ms after"
                            + " the drain, %d of them later than %d ms",
                    relay.name,
                    round + 1,
                    (returnedAt - downAt) / 1000,
                    failedCalls,
                    drainedAt - returnedAt,
                    heardAt - drainedAt,
                    arrivals.size(),
                    arrivals.stream().mapToDouble(at -> at - drainedAt).max().orElse(0),
                    lateArrivals(),
                    TOLD_AFTER_MILLIS + DRAIN_GRACE_MILLIS + SLACK_MILLIS));
        }

        long lateArrivals() {
            double last = drainedAt + TOLD_AFTER_MILLIS + DRAIN_GRACE_MILLIS + SLACK_MILLIS;
            return arrivals.stream().filter(at -> at > last).count();
        }
    }

    private static int run() throws Exception {
        List<Trial> trials = new ArrayList<>();
        for (int i = 0; i < RELAYS; i++) {
            trials.add(new Trial(i));
            Rig.sleep(150);
        }
        for (Trial trial : trials) {
            trial.relay.awaitReady();
        }
        Rig.record(RELAYS + " relays are ready");
        Rig.sleep(2000);
        List<Thread> threads = new ArrayList<>();
        for (Trial trial : trials) {
            threads.add(Rig.start(trial.relay.name, trial::run));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        long broken = trials.stream().filter(trial -> trial.late > 0).count();
        Rig.record(broken + " of " + RELAYS + " relays sent new work to the draining backend too late");
        return broken > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
