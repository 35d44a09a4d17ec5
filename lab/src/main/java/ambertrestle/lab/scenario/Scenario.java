package ambertrestle.lab.scenario;

import ambertrestle.relay.toml.TomlDocument;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What one run plays: plain values, read and checked here alone. Times in whole nanoseconds, from the run's start. */
public record Scenario(
        String name,
        String description,
        long warmUp,
        long duration,
        long measurementStart,
        Relays relays,
        Network network,
        RosterService roster,
        List<Fleet> fleets,
        List<Workload> workloads,
        Groups groups,
        Clients clients,
        Rules rules,
        SharedStore store,
        List<Trouble> troubles) {
    /**
     * `notice`: the front sends on to a relay that is gone for so long. `kept`: what a relay learned survives it, no
     * older than `interval`; `known`: the list that a relay is started again with.
     */
    public record Relays(
            int count,
            long failureDetectionDelay,
            int maxSockets,
            boolean persistsState,
            long persistInterval,
            RestartRoster restartRoster) {
        public Relays withStatePersistence(boolean on) {
            return new Relays(count, failureDetectionDelay, maxSockets, on, persistInterval, restartRoster);
        }
    }

    /** As the relay last had it; as it was before the run; none. */
    public enum RestartRoster {
        LAST,
        FIRST,
        NONE
    }

    /** How a roster service that is down fails, on sockets; in the model all four are calls that fail. */
    public enum RosterFailureMode {
        REFUSES,
        HANGS,
        ANSWERS_503,
        HALF_A_LINE
    }

    public record Network(long minLatency, long maxLatency) {}

    /**
     * `lag`: from a change to its telling; `notice`: how long a backend is dead before the service lists it as gone.
     */
    public record RosterService(long propagationDelay, long failureDetectionDelay) {}

    /**
     * Backends alike. `speed`: work done in a second, in seconds; `weight`: as listed; `slots`: connections held at
     * most.
     */
    public record Fleet(
            String name,
            int count,
            double weight,
            double speed,
            String zone,
            int maxConnections,
            boolean startsInSlowStart) {}

    /**
     * A use case. `rate`: arrivals a second over all relays; `standing`: opened in the warm-up to last the run; `life`:
     * mean time open; `setUp` and `line`: work of one opening and of one line; `every`: a client's lines; `benefit`: of
     * an opening in goal time, `lineBenefit`: of a line answered in `lineGoal`.
     */
    public record Workload(
            String name,
            Effect effect,
            String deduplicationScope,
            long deduplicationWindow,
            long goalTime,
            long cutOff,
            double arrivalRate,
            int longLivedConnections,
            long meanLifetime,
            long setUpWork,
            long lineWork,
            long lineInterval,
            long lineGoalTime,
            double openingBenefit,
            double lineBenefit) {}

    public enum Effect {
        RETRIABLE,
        FINGERPRINTED,
        BINDING
    }

    /** `count` 0: no groups. `skew`: 0 all alike, 1 Zipf's. `work`: what holding a group costs a backend, a second. */
    public record Groups(int count, double skew, long workPerSecond) {}

    /**
     * `retries`: how often a client that was shed, or heard nothing, asks again; `backOff`: after how long, doubling.
     */
    public record Clients(int maxRetries, long initialBackoff, boolean reconnects, long maxReconnectDelay) {}

    public record Rules(
            long drainGrace,
            double slowStartInitialFactor,
            long slowStartDuration,
            double slowStartBurstMultiple,
            long slowStartBurstWindow,
            int maxDispatches,
            long maxRetryAfter) {}

    /** What all set-ups share; `work` 0: none. */
    public record SharedStore(long workPerSetUp, double speed) {}

    /** `backends` and `relays`: how many it strikes; `at` from the end of the warm-up on. */
    public record Trouble(
            TroubleKind kind,
            long startOffset,
            long duration,
            int backendCount,
            int relayCount,
            double factor,
            double badClientRate,
            RosterFailureMode rosterFailureMode) {}

    public enum TroubleKind {
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

        public String tomlName() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }

        boolean affectsBackends() {
            return this == KILL
                    || this == HANG
                    || this == SLOW
                    || this == SILENT_ACCEPT
                    || this == DRAIN
                    || this == JOIN
                    || this == PARTITION;
        }

        boolean affectsRelays() {
            return this == RELAY_KILL || this == RELAY_RESTART || this == PARTITION;
        }

        boolean hasFactor() {
            return this == SLOW || this == ROSTER_LAG || this == STORE_SLOW || this == HOT_GROUP || this == BURST;
        }
    }

    /** The scenario is faulty: one line a fault, each with file, line and key. */
    public static final class InvalidScenarioException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidScenarioException(List<TomlDocument.Fault> faults) {
            super(String.join(
                    System.lineSeparator(),
                    faults.stream().map(Object::toString).toList()));
        }
    }

    /** The same with what relays learn kept, or not. */
    public Scenario withStatePersistence(boolean on) {
        return new Scenario(
                name,
                description,
                warmUp,
                duration,
                measurementStart,
                relays.withStatePersistence(on),
                network,
                roster,
                fleets,
                workloads,
                groups,
                clients,
                rules,
                store,
                troubles);
    }

    public int backendCount() {
        return fleets.stream().mapToInt(Fleet::count).sum();
    }

    public long endTime() {
        return warmUp + duration;
    }

    public static Scenario read(Path path) throws IOException, InvalidScenarioException {
        return read(TomlDocument.read(path));
    }

    public static Scenario read(TomlDocument sheet) throws InvalidScenarioException {
        TomlDocument.Table top = sheet.rootTable();
        String name = top.readString("name", null);
        String says = top.readString("says", "");
        long warmUp = top.readDurationNanos("warm-up", "10s");
        long length = top.readDurationNanos("length", "60s");
        long countFrom = top.readDurationNanos("count-from", "0s");
        if (countFrom >= length) {
            top.addFault("count-from", "is malformed: expected a time before the run's length");
        }
        TomlDocument.Table r = top.readTable("relays");
        Relays relays = new Relays(
                (int) r.readLong("count", 2L, 1, 1000),
                r.readDurationNanos("notice", "1s"),
                (int) r.readLong("sockets", 65_536L, 128, 1 << 20),
                r.readBoolean("kept", false),
                r.readDurationNanos("interval", "2s"),
                RestartRoster.valueOf(r.readChoice("known", "last", tomlNames(RestartRoster.values()))
                        .toUpperCase(java.util.Locale.ROOT)));
        r.reportUnknownKeys();
        TomlDocument.Table n = top.readTable("network");
        Network network = new Network(n.readDurationNanos("least", "200us"), n.readDurationNanos("most", "800us"));
        if (network.maxLatency < network.minLatency) {
            n.addFault("most", "is malformed: expected no less than least");
        }
        n.reportUnknownKeys();
        TomlDocument.Table ro = top.readTable("roster");
        RosterService roster =
                new RosterService(ro.readDurationNanos("lag", "200ms"), ro.readDurationNanos("notice", "2s"));
        ro.reportUnknownKeys();
        List<Fleet> fleets = fleets(top);
        List<Workload> works = works(top);
        TomlDocument.Table g = top.readTable("groups");
        Groups groups = new Groups(
                (int) g.readLong("count", 0L, 0, 10_000_000),
                g.readDouble("skew", 0.0, 0, 3),
                g.readDurationNanos("work", "0ms"));
        g.reportUnknownKeys();
        TomlDocument.Table c = top.readTable("clients");
        Clients clients = new Clients(
                (int) c.readLong("retries", 2L, 0, 100),
                c.readDurationNanos("back-off", "500ms"),
                c.readBoolean("returns", true),
                c.readDurationNanos("return-within", "400ms"));
        c.reportUnknownKeys();
        TomlDocument.Table u = top.readTable("rules");
        Rules rules = new Rules(
                u.readDurationNanos("drain-grace", "1s"),
                u.readDouble("cold-from", 0.2, 0.01, 1),
                u.readDurationNanos("cold", "10s"),
                u.readDouble("fall-multiple", 3.0, 1, 100),
                u.readDurationNanos("fall", "3s"),
                (int) u.readLong("dispatches", 4L, 1, 100),
                u.readDurationNanos("retry-after", "1500ms"));
        u.reportUnknownKeys();
        TomlDocument.Table s = top.readTable("store");
        SharedStore store = new SharedStore(s.readDurationNanos("work", "0ms"), s.readDouble("speed", 1.0, 0.001, 1e6));
        s.reportUnknownKeys();
        int backends = fleets.stream().mapToInt(Fleet::count).sum();
        List<Trouble> troubles = troubles(top, backends, relays.count, length, store, groups);
        top.reportUnknownKeys();
        if (!sheet.faults().isEmpty()) {
            throw new InvalidScenarioException(sheet.faults());
        }
        return new Scenario(
                name, says, warmUp, length, countFrom, relays, network, roster, fleets, works, groups, clients, rules,
                store, troubles);
    }

    private static List<Fleet> fleets(TomlDocument.Table top) {
        List<Fleet> fleets = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlDocument.Table f : top.readTables("fleet")) {
            Fleet fleet = new Fleet(
                    f.readString("name", "s"),
                    (int) f.readLong("count", null, 1, 100_000),
                    f.readDouble("weight", 1.0, 0.01, 100),
                    f.readDouble("speed", 1.0, 0.001, 1000),
                    f.readString("zone", "a"),
                    (int) f.readLong("slots", 1_000_000L, 1, 1 << 24),
                    f.readBoolean("cold", false));
            if (!names.add(fleet.name)) {
                f.addFault("name", "is taken by another fleet");
            }
            f.reportUnknownKeys();
            fleets.add(fleet);
        }
        if (fleets.isEmpty()) {
            top.addFault("fleet", "is missing: expected one [[fleet]] at least");
        }
        return fleets;
    }

    private static List<Workload> works(TomlDocument.Table top) {
        List<Workload> works = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlDocument.Table w : top.readTables("use-case")) {
            String effect = w.readChoice("effect", "retriable", List.of("retriable", "fingerprinted", "binding"));
            long goal = w.readDurationNanos("goal", "400ms");
            long cutOff = w.readDurationNanos("cut-off", "2s");
            Workload work = new Workload(
                    w.readString("name", null),
                    Effect.valueOf(effect.toUpperCase(java.util.Locale.ROOT)),
                    w.readChoice("scope", "zone", List.of("all", "zone", "cell")),
                    w.readDurationNanos("window", "500ms"),
                    goal,
                    cutOff,
                    w.readDouble("rate", 0.0, 0, 1e6),
                    (int) w.readLong("standing", 0L, 0, 10_000_000),
                    w.readDurationNanos("life", "20s"),
                    w.readDurationNanos("set-up", "5ms"),
                    w.readDurationNanos("line", "200us"),
                    w.readDurationNanos("every", "2s"),
                    w.readDurationNanos("line-goal", "100ms"),
                    w.readDouble("benefit", 1.0, 0, 1e6),
                    w.readDouble("line-benefit", 0.1, 0, 1e6));
            if (cutOff <= goal) {
                w.addFault("cut-off", "is malformed: expected more than goal");
            }
            if (work.lineInterval < 1_000_000) {
                w.addFault("every", "is malformed: expected 1ms at least");
            }
            if (work.name != null && !names.add(work.name)) {
                w.addFault("name", "is taken by another use case");
            }
            w.reportUnknownKeys();
            works.add(work);
        }
        if (works.isEmpty()) {
            top.addFault("use-case", "is missing: expected one [[use-case]] at least");
        }
        return works;
    }

    private static List<String> tomlNames(Enum<?>[] values) {
        return java.util.Arrays.stream(values)
                .map(v -> v.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'))
                .toList();
    }

    private static List<Trouble> troubles(
            TomlDocument.Table top, int backends, int relays, long length, SharedStore store, Groups groups) {
        List<Trouble> troubles = new ArrayList<>();
        List<String> words = java.util.Arrays.stream(TroubleKind.values())
                .map(TroubleKind::tomlName)
                .toList();
        for (TomlDocument.Table t : top.readTables("trouble")) {
            String word = t.readChoice("kind", null, words);
            TroubleKind kind = word == null
                    ? null
                    : TroubleKind.valueOf(
                            word.toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
            long at = t.readDurationNanos("at", null);
            long lasts = t.readDurationNanos("lasts", "5s");
            if (kind == null) {
                continue;
            }
            int struck = kind.affectsBackends()
                    ? (int) t.readLong("backends", 1L, 1, kind == TroubleKind.JOIN ? 100_000 : backends)
                    : 0;
            int away = kind.affectsRelays() ? (int) t.readLong("relays", 1L, 1, relays) : 0;
            double factor = kind.hasFactor() ? t.readDouble("factor", null, 0.001, 1e6) : 1;
            String how = kind == TroubleKind.ROSTER_DOWN
                    ? t.readChoice("how", "answers-503", tomlNames(RosterFailureMode.values()))
                    : "answers-503";
            double rate = kind == TroubleKind.BAD_CLIENTS ? t.readDouble("rate", 50.0, 0.1, 1e5) : 0;
            if (at >= length) {
                t.addFault("at", "is malformed: expected a time before the run's length");
            }
            if (kind == TroubleKind.STORE_SLOW && store.workPerSetUp == 0) {
                t.addFault("kind", "needs a [store] with work");
            }
            if (kind == TroubleKind.HOT_GROUP && (groups.count == 0 || factor > 1)) {
                t.addFault("factor", "is malformed: expected a share up to 1, and [groups] with a count");
            }
            t.reportUnknownKeys();
            troubles.add(new Trouble(
                    kind,
                    at,
                    lasts,
                    struck,
                    away,
                    factor,
                    rate,
                    RosterFailureMode.valueOf(
                            how.toUpperCase(java.util.Locale.ROOT).replace('-', '_'))));
        }
        return troubles;
    }
}
