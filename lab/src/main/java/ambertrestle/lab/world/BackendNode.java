package ambertrestle.lab.world;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.wire.FromBackend;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** One backend: a queue of work, what it holds, and the troubles it can have. */
public final class BackendNode {
    private static final long SECOND = 1_000_000_000L;
    /** Longer than this a set-up does not wait for the shared store; then it is an error. */
    private static final long STORE_PATIENCE = SECOND;

    private static final FromBackend BUSY = FromBackend.decode(raw("BUSY")),
            ERR = FromBackend.decode(raw("ERR")),
            BYE = FromBackend.decode(raw("BYE")),
            MOVE = FromBackend.decode(raw("MOVE")),
            REPLY = FromBackend.decode(raw("R")),
            UP = FromBackend.decode(raw("UP 1"));

    final World world;
    public final int number;
    public final String name;
    final Scenario.Fleet fleet;
    /** Counts its processes. */
    private int life = 1;

    private boolean dead;
    /** Told when its process dies and when it runs again: whoever owns its sockets. */
    private Runnable onDeath = () -> {};

    private Runnable onStart = () -> {};
    private boolean hung;
    private boolean silent;
    private boolean draining;
    private long turnsAwayFrom = Long.MAX_VALUE;
    double factor = 1;
    /** When its process started; below 0: long ago. */
    long startedAt = Long.MIN_VALUE / 4;

    private long busyUntil;
    /** Those up, in the order of their connecting, and how many of each group. */
    private final LinkedHashSet<BackLink> links = new LinkedHashSet<>();

    private int open;
    /** What those open cost, in nanoseconds of work a second. */
    private double work;

    private final Map<Long, Integer> groups = new HashMap<>();
    private final List<Runnable> whileHung = new ArrayList<>();
    private Judge.Cold cold = new Judge.Cold();

    BackendNode(World world, int number, String name, Scenario.Fleet fleet) {
        this.world = world;
        this.number = number;
        this.name = name;
        this.fleet = fleet;
    }

    private static byte[] raw(String line) {
        return (line + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    public int life() {
        return life;
    }

    public void onFate(Runnable death, Runnable start) {
        onDeath = death;
        onStart = start;
    }

    public boolean listens() {
        return !dead;
    }

    /** Takes work and answers, as far as anyone can see from outside. */
    boolean serves() {
        return !dead && !hung && !silent && !draining;
    }

    /** What is up here still gets answers. */
    boolean answers() {
        return !dead && !hung;
    }

    int open() {
        return open;
    }

    /** How long what comes now would wait, in nanoseconds. */
    long waits() {
        return Math.max(0, busyUntil - world.now());
    }

    /** The part of its speed that what is open here takes. */
    double busy() {
        return work * 1e-9 / speed();
    }

    boolean holds(long group) {
        return groups.containsKey(group);
    }

    /** How much of what a cold backend may get has reached it lately; 0 for a warm one. */
    double coldSpent() {
        return world.now() - startedAt < world.scenario.rules().cold()
                ? cold.spent(world.now(), world.scenario.rules().fall())
                : 0;
    }

    double speed() {
        double age = Math.min(
                1, (double) (world.now() - startedAt) / world.scenario.rules().cold());
        double warmth =
                world.scenario.rules().coldFrom() + (1 - world.scenario.rules().coldFrom()) * age;
        double forGroups = (double) groups.size() * world.scenario.groups().work() / SECOND;
        return Math.max(0.05 * fleet.speed(), fleet.speed() * warmth * factor - forGroups);
    }

    private long serve(long work) {
        busyUntil = Math.max(world.now(), busyUntil) + (long) (work / speed());
        return busyUntil;
    }

    private boolean here(BackLink link) {
        return !dead && link.backendLife == life && links.contains(link);
    }

    // ---- what reaches it

    /** A connection is up. */
    public void joined(BackLink link) {
        link.backend = this;
        link.backendLife = life;
        links.add(link);
    }

    public void opened(BackLink link, byte[] opening) {
        if (dead || link.backendLife != life) {
            return;
        }
        ClientLink client = world.client(opening);
        if (client == null) {
            world.judge.strayReached(name, world.now());
            link.say(ERR);
            return;
        }
        link.client = client;
        link.run = world.judge.reached(client.judged, name, fleet.zone(), world.now());
        Judge.Run run = link.run;
        // Two ways from one relay may differ in length: the end of the dispatch before may come after this one.
        world.judge
                .stillOut(client.judged)
                .forEach(before -> world.clock.after(
                        world.judge.slack(), () -> world.judge.twoOut(client.judged, before, run, world.now())));
        world.meter.add(Meter.Series.DISPATCHES, 1, world.now());
        if (world.now() - startedAt < world.scenario.rules().cold()) {
            world.meter.add(Meter.Series.TO_FRESH, 1, world.now());
            world.judge.coldReached(
                    cold, name, startedAt, fleet.speed() * SECOND / Math.max(1, world.meanSetUp()), world.now());
        }
        act(() -> admit(link));
    }

    private void act(Runnable thing) {
        if (hung) {
            whileHung.add(thing);
        } else {
            thing.run();
        }
    }

    private void admit(BackLink link) {
        if (!here(link)) {
            return;
        }
        if (open >= fleet.slots() || world.now() >= turnsAwayFrom) {
            link.run.never();
            link.say(BUSY);
            return;
        }
        if (silent) {
            return;
        }
        open++;
        link.open = true;
        work += rate(link);
        long group = link.client.visit.group;
        boolean newHere = group != 0 && groups.merge(group, 1, Integer::sum) == 1;
        long setUp = link.client.visit.work.setUp();
        long done = serve(newHere ? 2 * setUp : setUp);
        long stored = world.store(done);
        int mine = life;
        if (stored - world.now() > STORE_PATIENCE) {
            world.clock.after(STORE_PATIENCE, () -> act(() -> failed(link, mine)));
        } else {
            world.clock.at(stored, () -> act(() -> up(link, mine)));
        }
    }

    private static double rate(BackLink link) {
        return (double) link.client.visit.work.line() * SECOND / link.client.visit.work.every();
    }

    private void failed(BackLink link, int mine) {
        if (mine == life && here(link)) {
            release(link);
            link.say(ERR);
        }
    }

    private void up(BackLink link, int mine) {
        if (mine != life || !here(link)) {
            return;
        }
        link.client.held = link;
        link.say(UP);
        long left = link.client.visit.left();
        world.clock.after(left, () -> act(() -> served(link, mine)));
    }

    private void served(BackLink link, int mine) {
        if (mine == life && here(link)) {
            release(link);
            links.remove(link);
            link.say(BYE);
            link.ends();
        }
    }

    public void line(BackLink link) {
        act(() -> {
            if (here(link) && link.open) {
                long done = serve(link.client.visit.work.line());
                int mine = life;
                world.clock.at(
                        done,
                        () -> act(() -> {
                            if (mine == life && here(link)) {
                                link.say(REPLY);
                            }
                        }));
            }
        });
    }

    public void clientEnded(BackLink link) {
        act(() -> {
            if (here(link)) {
                release(link);
                links.remove(link);
                link.ends();
            }
        });
    }

    public void closed(BackLink link) {
        if (link.backendLife == life && links.remove(link)) {
            release(link);
        }
    }

    private void release(BackLink link) {
        if (link.open) {
            link.open = false;
            open--;
            work -= rate(link);
            long group = link.client.visit.group;
            if (group != 0) {
                groups.merge(group, -1, (x, y) -> x + y == 0 ? null : x + y);
            }
        }
    }

    // ---- troubles

    void kill() {
        dead = true;
        life++;
        whileHung.clear();
        hung = false;
        List<BackLink> all = new ArrayList<>(links);
        all.forEach(this::release);
        links.clear();
        all.forEach(BackLink::breaks);
        onDeath.run();
        world.roster.died(this);
    }

    void restart() {
        dead = false;
        draining = false;
        silent = false;
        turnsAwayFrom = Long.MAX_VALUE;
        factor = 1;
        startedAt = world.now();
        busyUntil = world.now();
        cold = new Judge.Cold();
        onStart.run();
        world.roster.started(this);
    }

    void hang(boolean on) {
        hung = on;
        if (!on) {
            List<Runnable> waiting = new ArrayList<>(whileHung);
            whileHung.clear();
            busyUntil = Math.max(busyUntil, world.now());
            waiting.forEach(this::act);
        }
    }

    void silent(boolean on) {
        silent = on;
    }

    /** Told to go: the roster hears of it, clients are sent away bit by bit, then it is gone. */
    void drain(long lasts) {
        draining = true;
        world.roster.drains(this);
        long grace = world.scenario.rules().drainGrace();
        turnsAwayFrom = world.now() + world.scenario.roster().lag() + 2 * grace;
        int mine = life;
        int steps = 20;
        for (int i = 0; i < steps; i++) {
            int rest = steps - i;
            world.clock.after(grace + lasts * i / steps, () -> act(() -> sendAway(mine, rest)));
        }
        world.clock.after(grace + lasts, () -> {
            if (mine == life && !dead) {
                kill();
            }
        });
    }

    private void sendAway(int mine, int rest) {
        if (mine != life || dead) {
            return;
        }
        List<BackLink> all = links.stream().filter(l -> l.open).toList();
        all.stream().limit((all.size() + rest - 1) / rest).forEach(link -> {
            release(link);
            links.remove(link);
            link.say(MOVE);
            link.ends();
        });
    }
}
