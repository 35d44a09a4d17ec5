package ambertrestle.lab.scenario;

import ambertrestle.relay.toml.TomlDocument;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The description of one run: the fleet, its load and the troubles that are injected. {@link #read} parses it from TOML
 * and validates it; no other code checks these values. All times and durations are in nanoseconds. Amounts of work are
 * the nanoseconds that a backend of speed 1 takes for it.
 *
 * @param name the name in reports
 * @param description one or two sentences for reports; empty if the file has none
 * @param warmUp time from the run's start to the start of the measured time
 * @param duration length of the measured time, which follows the warm-up
 * @param measurementStart offset into the measured time before which sums and latency percentiles count nothing; a
 *     fraction of a second is dropped
 * @param roster the roster service
 * @param store the store that all set-ups share
 * @param troubles faults and load changes, each at its offset from the end of the warm-up
 */
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
    private static final long MIN_LINE_INTERVAL = 1_000_000L;

    /**
     * The relays of a run.
     *
     * @param failureDetectionDelay how long the load balancer in front still sends new clients to a relay that was
     *     killed
     * @param maxSockets limit of open sockets of one relay
     * @param persistsState whether a relay restores after a restart what it had learned before
     * @param persistInterval upper bound for the age of the persisted state; a relay writes it twice per interval
     * @param restartRoster the roster in the configuration of a relay that is started again
     */
    public record Relays(
            int count,
            long failureDetectionDelay,
            int maxSockets,
            boolean persistsState,
            long persistInterval,
            RestartRoster restartRoster) {
        /** A copy with state persistence switched on or off. */
        public Relays withStatePersistence(boolean persistsState) {
            return new Relays(count, failureDetectionDelay, maxSockets, persistsState, persistInterval, restartRoster);
        }
    }

    /** The roster that the configuration of a restarted relay contains. */
    public enum RestartRoster {
        /** The roster as the relay last received it. */
        LAST,
        /** The roster as it was before the run. */
        FIRST,
        /** An empty roster of version 0. */
        NONE
    }

    /** How a roster service that is down fails on sockets. In the simulation each of them is a call that fails. */
    public enum RosterFailureMode {
        /** Connections are refused. */
        REFUSES,
        /** Requests are accepted and never answered. */
        HANGS,
        /** Requests are answered with status 503. */
        ANSWERS_503,
        /** An answer stops in the middle of a line and its connection stays open. */
        HALF_A_LINE
    }

    /** One-way latency between any two nodes: each pair has a fixed value between the two limits, both inclusive. */
    public record Network(long minLatency, long maxLatency) {}

    /**
     * The roster service.
     *
     * @param propagationDelay time from a change of the roster to its delivery to the relays
     * @param failureDetectionDelay time from a backend's death to the change that lists it as gone
     */
    public record RosterService(long propagationDelay, long failureDetectionDelay) {}

    /**
     * Identical backends, which are named NAME-1, NAME-2 and so on.
     *
     * @param weight the weight of each backend in the roster
     * @param speed seconds of work that a warm backend does per second
     * @param maxConnections limit of open connections of one backend, which answers further requests with BUSY
     * @param startsInSlowStart whether the backends count as started at the end of the warm-up, so that they are cold
     *     at the start of the measured time; otherwise they count as started long before the run
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
     * The load of one use case.
     *
     * @param deduplicationScope `all`, `zone` or `cell`: the backends that share a deduplication window; used for
     *     fingerprinted requests only
     * @param deduplicationWindow how long a backend recognises a repeated request; used for fingerprinted requests only
     * @param goalTime a connection that is established within this time brings its whole benefit; after it the benefit
     *     falls linearly and reaches 0 at `cutOff`
     * @param cutOff time after which a client gives up an association that was not answered
     * @param arrivalRate new client sessions per second, over all relays together
     * @param longLivedConnections number of sessions that start during the warm-up and last until the end of the run
     * @param meanLifetime mean of the exponentially distributed duration of the other sessions
     * @param setUpWork work of one set-up; a set-up costs twice as much on a backend that does not hold its group yet
     * @param lineWork work of answering one line
     * @param lineInterval time between two lines of one client
     * @param lineGoalTime a line that is answered within this time brings `lineBenefit`; a later one brings nothing
     * @param openingBenefit benefit of a connection that is established within `goalTime`
     * @param lineBenefit benefit of a line that is answered within `lineGoalTime`
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

    /** Whether a request may be sent to more than one backend. */
    public enum Effect {
        /** Idempotent: it may run any number of times. */
        RETRIABLE,
        /** It may be repeated only within the deduplication window and scope. */
        FINGERPRINTED,
        /** It must run at most once, so it is never repeated once it may have run. */
        BINDING
    }

    /**
     * The groups that client sessions belong to.
     *
     * @param count number of groups; 0: sessions have no group
     * @param skew exponent of the Zipf distribution of sessions over groups; 0: all groups are equally frequent
     * @param workPerSecond work per second that each group with an open connection on a backend costs that backend
     */
    public record Groups(int count, double skew, long workPerSecond) {}

    /**
     * How clients react to failures.
     *
     * @param maxRetries number of retries after a request was shed, forfeited or not answered; a binding request is
     *     retried only after it was shed
     * @param initialBackoff mean wait before the first retry; it doubles with each further one, and the actual wait is
     *     drawn at random between half of it and one and a half times it
     * @param reconnects whether a client connects again after its connection broke or its backend sent it away
     * @param maxReconnectDelay upper bound of the random delay before it reconnects
     */
    public record Clients(int maxRetries, long initialBackoff, boolean reconnects, long maxReconnectDelay) {}

    /**
     * The limits that relays are configured with. The invariant checker checks those of drains and of slow start.
     *
     * @param drainGrace how long after learning of a drain a relay may still dispatch to that backend
     * @param slowStartInitialFactor share of its full capacity that a backend has when it starts, from 0.01 to 1
     * @param slowStartDuration time over which that share grows linearly to 1
     * @param slowStartBurstMultiple within any burst window a cold backend may get this multiple of the set-ups that a
     *     backend of its speed and age can do in that time
     * @param slowStartBurstWindow length of the burst window
     * @param maxDispatches maximum number of dispatches for one association
     * @param maxRetryAfter longest retry delay that a relay asks clients for; 0: relays ask for none
     */
    public record Rules(
            long drainGrace,
            double slowStartInitialFactor,
            long slowStartDuration,
            double slowStartBurstMultiple,
            long slowStartBurstWindow,
            int maxDispatches,
            long maxRetryAfter) {}

    /**
     * A store that every set-up uses, and that therefore can slow down all backends at once.
     *
     * @param workPerSetUp work of one set-up in the store; 0: there is no store
     * @param speed seconds of work that the store does per second
     */
    public record SharedStore(long workPerSetUp, double speed) {}

    /**
     * A fault, or a change of load, that is injected during the run.
     *
     * @param startOffset offset from the end of the warm-up
     * @param backendCount number of affected backends, chosen at random; 0 for kinds that affect none
     * @param relayCount number of affected relays, chosen at random; 0 for kinds that affect none
     * @param factor its meaning depends on the kind, see {@link TroubleKind}; 1 for kinds without a factor
     * @param badClientRate clients per second that send an invalid request; 0 except for
     *     {@link TroubleKind#BAD_CLIENTS}
     * @param rosterFailureMode how the roster service fails; used by {@link TroubleKind#ROSTER_DOWN} only
     */
    public record Trouble(
            TroubleKind kind,
            long startOffset,
            long duration,
            int backendCount,
            int relayCount,
            double factor,
            double badClientRate,
            RosterFailureMode rosterFailureMode) {}

    /** What happens in a trouble. */
    public enum TroubleKind {
        /** Backends die and start again after the duration. */
        KILL,
        /** Backends process nothing during the duration and then go on. */
        HANG,
        /** The speed of backends is multiplied by the factor. */
        SLOW,
        /** Backends accept connections and do not answer OPEN requests; established connections go on. */
        SILENT_ACCEPT,
        /** Backends are drained, send their clients away during the duration, and end. */
        DRAIN,
        /** New backends of the first fleet are added, which are cold; the duration has no meaning. */
        JOIN,
        /** The propagation delay of the roster is multiplied by the factor. */
        ROSTER_LAG,
        /** The roster service fails in the failure mode of the trouble. */
        ROSTER_DOWN,
        /** Relays are killed and start again after the duration. */
        RELAY_KILL,
        /** Relays are asked to stop and start again after the duration, but not before they have ended. */
        RELAY_RESTART,
        /** The affected relays and the affected backends cannot reach each other. */
        PARTITION,
        /** The speed of the shared store is divided by the factor. */
        STORE_SLOW,
        /** One group gets a share of the new sessions, given by the factor. */
        HOT_GROUP,
        /** The arrival rates are multiplied by the factor. */
        BURST,
        /** Additional clients send invalid requests. */
        BAD_CLIENTS;

        /** The value of `kind` in a scenario file. */
        public String tomlName() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }

        /** Whether the trouble affects a number of backends, which the key `backends` gives. */
        boolean affectsBackends() {
            return this == KILL
                    || this == HANG
                    || this == SLOW
                    || this == SILENT_ACCEPT
                    || this == DRAIN
                    || this == JOIN
                    || this == PARTITION;
        }

        /** Whether the trouble affects a number of relays, which the key `relays` gives. */
        boolean affectsRelays() {
            return this == RELAY_KILL || this == RELAY_RESTART || this == PARTITION;
        }

        /** Whether the trouble needs the key `factor`. */
        boolean hasFactor() {
            return this == SLOW || this == ROSTER_LAG || this == STORE_SLOW || this == HOT_GROUP || this == BURST;
        }
    }

    /** A scenario file has faults. The message has one line for each, with file, line number and key. */
    public static final class InvalidScenarioException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidScenarioException(List<TomlDocument.Fault> faults) {
            super(String.join(
                    System.lineSeparator(),
                    faults.stream().map(Object::toString).toList()));
        }
    }

    /** A copy with state persistence of the relays switched on or off. */
    public Scenario withStatePersistence(boolean persistsState) {
        return new Scenario(
                name,
                description,
                warmUp,
                duration,
                measurementStart,
                relays.withStatePersistence(persistsState),
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

    /** Number of backends at the start of the run. */
    public int backendCount() {
        return fleets.stream().mapToInt(Fleet::count).sum();
    }

    /** Time from the start of the run to its end, in nanoseconds. */
    public long endTime() {
        return warmUp + duration;
    }

    /** Reads and validates a TOML file. */
    public static Scenario read(Path path) throws IOException, InvalidScenarioException {
        return read(TomlDocument.read(path));
    }

    /** Validates a parsed document. Unknown keys are faults; all faults are reported at once. */
    public static Scenario read(TomlDocument document) throws InvalidScenarioException {
        TomlDocument.Table root = document.rootTable();
        String name = root.readString("name", null);
        String description = root.readString("says", "");
        long warmUp = root.readDurationNanos("warm-up", "10s");
        long duration = root.readDurationNanos("length", "60s");
        long measurementStart = root.readDurationNanos("count-from", "0s");
        if (measurementStart >= duration) {
            root.addFault("count-from", "is malformed: expected a time before the run's length");
        }
        TomlDocument.Table relaysTable = root.readTable("relays");
        Relays relays = new Relays(
                (int) relaysTable.readLong("count", 2L, 1, 1000),
                relaysTable.readDurationNanos("notice", "1s"),
                (int) relaysTable.readLong("sockets", 65_536L, 128, 1 << 20),
                relaysTable.readBoolean("kept", false),
                relaysTable.readDurationNanos("interval", "2s"),
                RestartRoster.valueOf(relaysTable
                        .readChoice("known", "last", tomlNames(RestartRoster.values()))
                        .toUpperCase(java.util.Locale.ROOT)));
        relaysTable.reportUnknownKeys();
        TomlDocument.Table networkTable = root.readTable("network");
        Network network = new Network(
                networkTable.readDurationNanos("least", "200us"), networkTable.readDurationNanos("most", "800us"));
        if (network.maxLatency < network.minLatency) {
            networkTable.addFault("most", "is malformed: expected a time not below least");
        }
        networkTable.reportUnknownKeys();
        TomlDocument.Table rosterTable = root.readTable("roster");
        RosterService roster = new RosterService(
                rosterTable.readDurationNanos("lag", "200ms"), rosterTable.readDurationNanos("notice", "2s"));
        rosterTable.reportUnknownKeys();
        List<Fleet> fleets = readFleets(root);
        List<Workload> workloads = readWorkloads(root);
        TomlDocument.Table groupsTable = root.readTable("groups");
        Groups groups = new Groups(
                (int) groupsTable.readLong("count", 0L, 0, 10_000_000),
                groupsTable.readDouble("skew", 0.0, 0, 3),
                groupsTable.readDurationNanos("work", "0ms"));
        groupsTable.reportUnknownKeys();
        TomlDocument.Table clientsTable = root.readTable("clients");
        Clients clients = new Clients(
                (int) clientsTable.readLong("retries", 2L, 0, 100),
                clientsTable.readDurationNanos("back-off", "500ms"),
                clientsTable.readBoolean("returns", true),
                clientsTable.readDurationNanos("return-within", "400ms"));
        clientsTable.reportUnknownKeys();
        TomlDocument.Table rulesTable = root.readTable("rules");
        Rules rules = new Rules(
                rulesTable.readDurationNanos("drain-grace", "1s"),
                rulesTable.readDouble("cold-from", 0.2, 0.01, 1),
                rulesTable.readDurationNanos("cold", "10s"),
                rulesTable.readDouble("fall-multiple", 3.0, 1, 100),
                rulesTable.readDurationNanos("fall", "3s"),
                (int) rulesTable.readLong("dispatches", 4L, 1, 100),
                rulesTable.readDurationNanos("retry-after", "1500ms"));
        rulesTable.reportUnknownKeys();
        TomlDocument.Table storeTable = root.readTable("store");
        SharedStore store = new SharedStore(
                storeTable.readDurationNanos("work", "0ms"), storeTable.readDouble("speed", 1.0, 0.001, 1e6));
        storeTable.reportUnknownKeys();
        int backendCount = fleets.stream().mapToInt(Fleet::count).sum();
        List<Trouble> troubles = readTroubles(root, backendCount, relays.count, duration, store, groups);
        root.reportUnknownKeys();
        if (!document.faults().isEmpty()) {
            throw new InvalidScenarioException(document.faults());
        }
        return new Scenario(
                name,
                description,
                warmUp,
                duration,
                measurementStart,
                relays,
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

    private static List<Fleet> readFleets(TomlDocument.Table root) {
        List<Fleet> fleets = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlDocument.Table fleetTable : root.readTables("fleet")) {
            Fleet fleet = new Fleet(
                    fleetTable.readString("name", "s"),
                    (int) fleetTable.readLong("count", null, 1, 100_000),
                    fleetTable.readDouble("weight", 1.0, 0.01, 100),
                    fleetTable.readDouble("speed", 1.0, 0.001, 1000),
                    fleetTable.readString("zone", "a"),
                    (int) fleetTable.readLong("slots", 1_000_000L, 1, 1 << 24),
                    fleetTable.readBoolean("cold", false));
            if (!names.add(fleet.name)) {
                fleetTable.addFault("name", "is already the name of another fleet");
            }
            fleetTable.reportUnknownKeys();
            fleets.add(fleet);
        }
        if (fleets.isEmpty()) {
            root.addFault("fleet", "is missing: expected at least one [[fleet]]");
        }
        return fleets;
    }

    private static List<Workload> readWorkloads(TomlDocument.Table root) {
        List<Workload> workloads = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlDocument.Table workloadTable : root.readTables("use-case")) {
            String effectName =
                    workloadTable.readChoice("effect", "retriable", List.of("retriable", "fingerprinted", "binding"));
            long goalTime = workloadTable.readDurationNanos("goal", "400ms");
            long cutOff = workloadTable.readDurationNanos("cut-off", "2s");
            Workload workload = new Workload(
                    workloadTable.readString("name", null),
                    Effect.valueOf(effectName.toUpperCase(java.util.Locale.ROOT)),
                    workloadTable.readChoice("scope", "zone", List.of("all", "zone", "cell")),
                    workloadTable.readDurationNanos("window", "500ms"),
                    goalTime,
                    cutOff,
                    workloadTable.readDouble("rate", 0.0, 0, 1e6),
                    (int) workloadTable.readLong("standing", 0L, 0, 10_000_000),
                    workloadTable.readDurationNanos("life", "20s"),
                    workloadTable.readDurationNanos("set-up", "5ms"),
                    workloadTable.readDurationNanos("line", "200us"),
                    workloadTable.readDurationNanos("every", "2s"),
                    workloadTable.readDurationNanos("line-goal", "100ms"),
                    workloadTable.readDouble("benefit", 1.0, 0, 1e6),
                    workloadTable.readDouble("line-benefit", 0.1, 0, 1e6));
            if (cutOff <= goalTime) {
                workloadTable.addFault("cut-off", "is malformed: expected a time greater than goal");
            }
            if (workload.lineInterval < MIN_LINE_INTERVAL) {
                workloadTable.addFault("every", "is malformed: expected at least 1ms");
            }
            if (workload.name != null && !names.add(workload.name)) {
                workloadTable.addFault("name", "is already the name of another use case");
            }
            workloadTable.reportUnknownKeys();
            workloads.add(workload);
        }
        if (workloads.isEmpty()) {
            root.addFault("use-case", "is missing: expected at least one [[use-case]]");
        }
        return workloads;
    }

    /** The values of an enum as a scenario file writes them. */
    private static List<String> tomlNames(Enum<?>[] values) {
        return java.util.Arrays.stream(values)
                .map(value -> value.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'))
                .toList();
    }

    private static List<Trouble> readTroubles(
            TomlDocument.Table root,
            int backendCount,
            int relayCount,
            long runDuration,
            SharedStore store,
            Groups groups) {
        List<Trouble> troubles = new ArrayList<>();
        List<String> kindNames = java.util.Arrays.stream(TroubleKind.values())
                .map(TroubleKind::tomlName)
                .toList();
        for (TomlDocument.Table troubleTable : root.readTables("trouble")) {
            String kindName = troubleTable.readChoice("kind", null, kindNames);
            TroubleKind kind = kindName == null
                    ? null
                    : TroubleKind.valueOf(
                            kindName.toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
            long startOffset = troubleTable.readDurationNanos("at", null);
            long duration = troubleTable.readDurationNanos("lasts", "5s");
            if (kind == null) {
                continue;
            }
            int affectedBackends = kind.affectsBackends()
                    ? (int) troubleTable.readLong("backends", 1L, 1, kind == TroubleKind.JOIN ? 100_000 : backendCount)
                    : 0;
            int affectedRelays = kind.affectsRelays() ? (int) troubleTable.readLong("relays", 1L, 1, relayCount) : 0;
            double factor = kind.hasFactor() ? troubleTable.readDouble("factor", null, 0.001, 1e6) : 1;
            String failureModeName = kind == TroubleKind.ROSTER_DOWN
                    ? troubleTable.readChoice("how", "answers-503", tomlNames(RosterFailureMode.values()))
                    : "answers-503";
            double badClientRate =
                    kind == TroubleKind.BAD_CLIENTS ? troubleTable.readDouble("rate", 50.0, 0.1, 1e5) : 0;
            if (startOffset >= runDuration) {
                troubleTable.addFault("at", "is malformed: expected a time before the run's length");
            }
            if (kind == TroubleKind.STORE_SLOW && store.workPerSetUp == 0) {
                troubleTable.addFault("kind", "is store-slow: expected a [store] whose work is above 0");
            }
            if (kind == TroubleKind.HOT_GROUP && (groups.count == 0 || factor > 1)) {
                troubleTable.addFault(
                        "factor", "is malformed: expected a share of at most 1, and [groups] with a count above 0");
            }
            troubleTable.reportUnknownKeys();
            troubles.add(new Trouble(
                    kind,
                    startOffset,
                    duration,
                    affectedBackends,
                    affectedRelays,
                    factor,
                    badClientRate,
                    RosterFailureMode.valueOf(
                            failureModeName.toUpperCase(java.util.Locale.ROOT).replace('-', '_'))));
        }
        return troubles;
    }
}
