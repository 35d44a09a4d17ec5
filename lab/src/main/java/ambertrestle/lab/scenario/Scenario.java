package ambertrestle.lab.scenario;

import ambertrestle.relay.sheet.Sheet;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What one run plays: plain values, read and checked here alone. Times in whole nanoseconds, from the run's start. */
public record Scenario(
        String name,
        String says,
        long warmUp,
        long length,
        long countFrom,
        Relays relays,
        Network network,
        RosterService roster,
        List<Fleet> fleets,
        List<Work> works,
        Groups groups,
        Clients clients,
        Rules rules,
        Store store,
        List<Trouble> troubles) {
    /**
     * `notice`: the front sends on to a relay that is gone for so long. `kept`: what a relay learned survives it, no
     * older than `interval`; `known`: the list that a relay is started again with.
     */
    public record Relays(int count, long notice, int sockets, boolean kept, long interval, Known known) {
        public Relays keeping(boolean on) {
            return new Relays(count, notice, sockets, on, interval, known);
        }
    }

    /** As the relay last had it; as it was before the run; none. */
    public enum Known {
        LAST,
        FIRST,
        NONE
    }

    /** How a roster service that is down fails, on sockets; in the model all four are calls that fail. */
    public enum Down {
        REFUSES,
        HANGS,
        ANSWERS_503,
        HALF_A_LINE
    }

    public record Network(long least, long most) {}

    /**
     * `lag`: from a change to its telling; `notice`: how long a backend is dead before the service lists it as gone.
     */
    public record RosterService(long lag, long notice) {}

    /**
     * Backends alike. `speed`: work done in a second, in seconds; `weight`: as listed; `slots`: connections held at
     * most.
     */
    public record Fleet(String name, int count, double weight, double speed, String zone, int slots, boolean cold) {}

    /**
     * A use case. `rate`: arrivals a second over all relays; `standing`: opened in the warm-up to last the run; `life`:
     * mean time open; `setUp` and `line`: work of one opening and of one line; `every`: a client's lines; `benefit`: of
     * an opening in goal time, `lineBenefit`: of a line answered in `lineGoal`.
     */
    public record Work(
            String name,
            Effect effect,
            String scope,
            long window,
            long goal,
            long cutOff,
            double rate,
            int standing,
            long life,
            long setUp,
            long line,
            long every,
            long lineGoal,
            double benefit,
            double lineBenefit) {}

    public enum Effect {
        RETRIABLE,
        FINGERPRINTED,
        BINDING
    }

    /** `count` 0: no groups. `skew`: 0 all alike, 1 Zipf's. `work`: what holding a group costs a backend, a second. */
    public record Groups(int count, double skew, long work) {}

    /**
     * `retries`: how often a client that was shed, or heard nothing, asks again; `backOff`: after how long, doubling.
     */
    public record Clients(int retries, long backOff, boolean returns, long returnWithin) {}

    public record Rules(
            long drainGrace,
            double coldFrom,
            long cold,
            double fallMultiple,
            long fall,
            int dispatches,
            long retryAfter) {}

    /** What all set-ups share; `work` 0: none. */
    public record Store(long work, double speed) {}

    /** `backends` and `relays`: how many it strikes; `at` from the end of the warm-up on. */
    public record Trouble(
            Kind kind, long at, long lasts, int backends, int relays, double factor, double rate, Down how) {}

    public enum Kind {
        KILL,
        HANG,
        SLOW,
        SILENT_ACCEPT,
        DRAIN,
        JOIN,
        ROSTER_LAG,
        ROSTER_DOWN,
        RELAY_KILL,
        RELAY_RESTART,
        PARTITION,
        STORE_SLOW,
        HOT_GROUP,
        BURST,
        BAD_CLIENTS;

        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }

        boolean strikesBackends() {
            return this == KILL
                    || this == HANG
                    || this == SLOW
                    || this == SILENT_ACCEPT
                    || this == DRAIN
                    || this == JOIN
                    || this == PARTITION;
        }

        boolean strikesRelays() {
            return this == RELAY_KILL || this == RELAY_RESTART || this == PARTITION;
        }

        boolean hasFactor() {
            return this == SLOW || this == ROSTER_LAG || this == STORE_SLOW || this == HOT_GROUP || this == BURST;
        }
    }

    /** The scenario is faulty: one line a fault, each with file, line and key. */
    public static final class Faulty extends Exception {
        private static final long serialVersionUID = 1L;

        Faulty(List<Sheet.Fault> faults) {
            super(String.join(
                    System.lineSeparator(),
                    faults.stream().map(Object::toString).toList()));
        }
    }

    /** The same with what relays learn kept, or not. */
    public Scenario keeping(boolean on) {
        return new Scenario(
                name,
                says,
                warmUp,
                length,
                countFrom,
                relays.keeping(on),
                network,
                roster,
                fleets,
                works,
                groups,
                clients,
                rules,
                store,
                troubles);
    }

    public int backends() {
        return fleets.stream().mapToInt(Fleet::count).sum();
    }

    public long end() {
        return warmUp + length;
    }

    public static Scenario read(Path path) throws IOException, Faulty {
        return read(Sheet.read(path));
    }

    public static Scenario read(Sheet sheet) throws Faulty {
        Sheet.Part top = sheet.top();
        String name = top.text("name", null);
        String says = top.text("says", "");
        long warmUp = top.time("warm-up", "10s");
        long length = top.time("length", "60s");
        long countFrom = top.time("count-from", "0s");
        if (countFrom >= length) {
            top.fault("count-from", "is malformed: expected a time before the run's length");
        }
        Sheet.Part r = top.part("relays");
        Relays relays = new Relays(
                (int) r.whole("count", 2L, 1, 1000),
                r.time("notice", "1s"),
                (int) r.whole("sockets", 65_536L, 128, 1 << 20),
                r.flag("kept", false),
                r.time("interval", "2s"),
                Known.valueOf(r.word("known", "last", words(Known.values())).toUpperCase(java.util.Locale.ROOT)));
        r.end();
        Sheet.Part n = top.part("network");
        Network network = new Network(n.time("least", "200us"), n.time("most", "800us"));
        if (network.most < network.least) {
            n.fault("most", "is malformed: expected no less than least");
        }
        n.end();
        Sheet.Part ro = top.part("roster");
        RosterService roster = new RosterService(ro.time("lag", "200ms"), ro.time("notice", "2s"));
        ro.end();
        List<Fleet> fleets = fleets(top);
        List<Work> works = works(top);
        Sheet.Part g = top.part("groups");
        Groups groups = new Groups(
                (int) g.whole("count", 0L, 0, 10_000_000), g.number("skew", 0.0, 0, 3), g.time("work", "0ms"));
        g.end();
        Sheet.Part c = top.part("clients");
        Clients clients = new Clients(
                (int) c.whole("retries", 2L, 0, 100),
                c.time("back-off", "500ms"),
                c.flag("returns", true),
                c.time("return-within", "400ms"));
        c.end();
        Sheet.Part u = top.part("rules");
        Rules rules = new Rules(
                u.time("drain-grace", "1s"),
                u.number("cold-from", 0.2, 0.01, 1),
                u.time("cold", "10s"),
                u.number("fall-multiple", 3.0, 1, 100),
                u.time("fall", "3s"),
                (int) u.whole("dispatches", 4L, 1, 100),
                u.time("retry-after", "1500ms"));
        u.end();
        Sheet.Part s = top.part("store");
        Store store = new Store(s.time("work", "0ms"), s.number("speed", 1.0, 0.001, 1e6));
        s.end();
        int backends = fleets.stream().mapToInt(Fleet::count).sum();
        List<Trouble> troubles = troubles(top, backends, relays.count, length, store, groups);
        top.end();
        if (!sheet.faults().isEmpty()) {
            throw new Faulty(sheet.faults());
        }
        return new Scenario(
                name, says, warmUp, length, countFrom, relays, network, roster, fleets, works, groups, clients, rules,
                store, troubles);
    }

    private static List<Fleet> fleets(Sheet.Part top) {
        List<Fleet> fleets = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Sheet.Part f : top.parts("fleet")) {
            Fleet fleet = new Fleet(
                    f.text("name", "s"),
                    (int) f.whole("count", null, 1, 100_000),
                    f.number("weight", 1.0, 0.01, 100),
                    f.number("speed", 1.0, 0.001, 1000),
                    f.text("zone", "a"),
                    (int) f.whole("slots", 1_000_000L, 1, 1 << 24),
                    f.flag("cold", false));
            if (!names.add(fleet.name)) {
                f.fault("name", "is taken by another fleet");
            }
            f.end();
            fleets.add(fleet);
        }
        if (fleets.isEmpty()) {
            top.fault("fleet", "is missing: expected one [[fleet]] at least");
        }
        return fleets;
    }

    private static List<Work> works(Sheet.Part top) {
        List<Work> works = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Sheet.Part w : top.parts("use-case")) {
            String effect = w.word("effect", "retriable", List.of("retriable", "fingerprinted", "binding"));
            long goal = w.time("goal", "400ms");
            long cutOff = w.time("cut-off", "2s");
            Work work = new Work(
                    w.text("name", null),
                    Effect.valueOf(effect.toUpperCase(java.util.Locale.ROOT)),
                    w.word("scope", "zone", List.of("all", "zone", "cell")),
                    w.time("window", "500ms"),
                    goal,
                    cutOff,
                    w.number("rate", 0.0, 0, 1e6),
                    (int) w.whole("standing", 0L, 0, 10_000_000),
                    w.time("life", "20s"),
                    w.time("set-up", "5ms"),
                    w.time("line", "200us"),
                    w.time("every", "2s"),
                    w.time("line-goal", "100ms"),
                    w.number("benefit", 1.0, 0, 1e6),
                    w.number("line-benefit", 0.1, 0, 1e6));
            if (cutOff <= goal) {
                w.fault("cut-off", "is malformed: expected more than goal");
            }
            if (work.every < 1_000_000) {
                w.fault("every", "is malformed: expected 1ms at least");
            }
            if (work.name != null && !names.add(work.name)) {
                w.fault("name", "is taken by another use case");
            }
            w.end();
            works.add(work);
        }
        if (works.isEmpty()) {
            top.fault("use-case", "is missing: expected one [[use-case]] at least");
        }
        return works;
    }

    private static List<String> words(Enum<?>[] values) {
        return java.util.Arrays.stream(values)
                .map(v -> v.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'))
                .toList();
    }

    private static List<Trouble> troubles(
            Sheet.Part top, int backends, int relays, long length, Store store, Groups groups) {
        List<Trouble> troubles = new ArrayList<>();
        List<String> words =
                java.util.Arrays.stream(Kind.values()).map(Kind::word).toList();
        for (Sheet.Part t : top.parts("trouble")) {
            String word = t.word("kind", null, words);
            Kind kind = word == null
                    ? null
                    : Kind.valueOf(word.toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
            long at = t.time("at", null);
            long lasts = t.time("lasts", "5s");
            if (kind == null) {
                continue;
            }
            int struck = kind.strikesBackends()
                    ? (int) t.whole("backends", 1L, 1, kind == Kind.JOIN ? 100_000 : backends)
                    : 0;
            int away = kind.strikesRelays() ? (int) t.whole("relays", 1L, 1, relays) : 0;
            double factor = kind.hasFactor() ? t.number("factor", null, 0.001, 1e6) : 1;
            String how = kind == Kind.ROSTER_DOWN ? t.word("how", "answers-503", words(Down.values())) : "answers-503";
            double rate = kind == Kind.BAD_CLIENTS ? t.number("rate", 50.0, 0.1, 1e5) : 0;
            if (at >= length) {
                t.fault("at", "is malformed: expected a time before the run's length");
            }
            if (kind == Kind.STORE_SLOW && store.work == 0) {
                t.fault("kind", "needs a [store] with work");
            }
            if (kind == Kind.HOT_GROUP && (groups.count == 0 || factor > 1)) {
                t.fault("factor", "is malformed: expected a share up to 1, and [groups] with a count");
            }
            t.end();
            troubles.add(new Trouble(
                    kind,
                    at,
                    lasts,
                    struck,
                    away,
                    factor,
                    rate,
                    Down.valueOf(how.toUpperCase(java.util.Locale.ROOT).replace('-', '_'))));
        }
        return troubles;
    }
}
