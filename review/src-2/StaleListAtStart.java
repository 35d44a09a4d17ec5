import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lists are pushed. A relay is killed; while it is away a backend begins to drain. The relay comes back with its last
 * list, in which that backend is in service. Clients come once it has answered PING. A call to discovery takes 0.3 s.
 */
final class StaleListAtStart {
    private static final int DRAIN_GRACE_MILLIS = 250;
    private static final int SLACK_MILLIS = 50;
    private static final int DISCOVERY_ANSWERS_AFTER_MILLIS = 300;
    /** How long the relay is away; the pages say 2.8 to 8 s. */
    private static final int AWAY_MILLIS = 3000;

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, StaleListAtStart::run);
    }

    private static int run() throws Exception {
        Rig.Discovery discovery = new Rig.Discovery("127.0.0.1");
        discovery.answerDelayMillis = DISCOVERY_ANSWERS_AFTER_MILLIS;
        List<Double> arrivals = Collections.synchronizedList(new ArrayList<>());
        boolean[] isDraining = new boolean[1];
        Rig.Entry drainingEntry = null;
        for (int i = 0; i < 4; i++) {
            boolean drains = i == 0;
            Rig.Backend backend = new Rig.Backend("s-" + i, "127.0.0.1", (self, connection, first) -> {
                if (drains && isDraining[0]) {
                    arrivals.add(Rig.millis());
                    connection.send("BUSY");
                    return;
                }
                Rig.Backend.echo(connection, "from-" + self.name);
            });
            discovery.set(backend.entry(0));
            drainingEntry = drains ? backend.entry(0) : drainingEntry;
        }
        Rig.Relay relay = new Rig.Relay("n1", "127.0.0.1", discovery.address);
        String settings = Rig.settings(
                        3,
                        "pass",
                        4,
                        250,
                        DRAIN_GRACE_MILLIS,
                        "",
                        Rig.useCase("adjuster-view", "idempotent", 500, 2000, ""))
                .replace("\"discovery\":\"on_request\"", "\"discovery\":\"pushed\"");
        // The list as the relay last had it, before the drain.
        relay.configure(discovery.address, discovery.known(), settings, 192, 1024);
        relay.start();
        relay.awaitReady();
        for (double until = Rig.millis() + 10_000; discovery.watchCount() == 0; Rig.sleep(20)) {
            if (Rig.millis() > until) {
                throw new Rig.CannotRun("the relay opened no watch");
            }
        }
        Rig.sleep(1000);
        if (Rig.hasTrouble()) {
            relay.signal("KILL");
            Rig.record("the relay was killed");
        }
        Rig.sleep(1000);
        double drainedAt = Rig.millis();
        discovery.set(drainingEntry.as("terminating"));
        Rig.sleep(DRAIN_GRACE_MILLIS + SLACK_MILLIS);
        isDraining[0] = true;
        Rig.record("s-0 was listed as terminating; the grace is over");
        Rig.sleep(drainedAt + AWAY_MILLIS - 1000 - Rig.millis());
        double startedAt = Rig.millis();
        if (Rig.hasTrouble()) {
            relay.start();
            Rig.record("the relay was started again");
        }
        relay.awaitReady();
        Rig.record(String.format("the relay has answered PING, %.0f ms after its start", Rig.millis() - startedAt));
        AtomicInteger answered = new AtomicInteger();
        for (int i = 1; i <= 40; i++) {
            int id = i;
            Rig.start("client", () -> {
                Rig.Lines client = Rig.Lines.connect(relay.address);
                client.send("OPEN " + Rig.hex(id) + " " + Rig.hex(id * 0x9e3779b97f4a7c15L)
                        + " c=adjuster-view,t=t,d=2000,g=0");
                answered.addAndGet(client.read(2500).startsWith("UP ") ? 1 : 0);
                return 0;
            });
            Rig.sleep(10);
        }
        Rig.sleep(3000);
        int late = 0;
        for (double at : arrivals) {
            boolean isLate = at > startedAt + DRAIN_GRACE_MILLIS + SLACK_MILLIS;
            late += isLate ? 1 : 0;
            Rig.record(String.format(
                    "an OPEN reached s-0 %.0f ms after it was listed as terminating, %.0f ms after the relay's start%s",
                    at - drainedAt, at - startedAt, isLate ? ": TOO LATE" : ""));
        }
        Rig.record(answered.get() + " of 40 clients were answered UP");
        relay.recordLog(5);
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
