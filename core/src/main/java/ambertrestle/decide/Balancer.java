package ambertrestle.decide;

import ambertrestle.decide.Association.DispatchState;
import ambertrestle.decide.Decision.Kind;
import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.decide.UseCase.DeduplicationScope;
import ambertrestle.decide.UseCase.Effect;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Every decision of one relay. Ask {@link #selectBackend} for an association that arrived or has waited,
 * {@link #onDispatchFinished} when a dispatch ended, {@link #pollDueActions} after each batch; tell it the rest. The
 * plain values of this interface stand beside it in this package. One instance a relay, one thread, the batch's clock.
 *
 * <p>The ordinary path is docs/design.md's: own tracking table, else the Maglev table in the key's order. Mechanisms
 * beside it, as numbered there: 1. size: a backend takes turns in the Maglev table in proportion to its listed weight;
 * 2. crowding: overfull and late backends are passed over on a hit too, a group lies on its part of them; 3. moves:
 * connections leave a late backend, the heaviest first; 4. warm-up: a fresh backend counts by its age, with a hard
 * budget in the gate; 5. doubt: a backend with failures gets work by a draw from the posterior of its chance of
 * success; 6. pacing: time-outs with further dispatches, and set-ups spaced while they fail all over.
 */
public final class Balancer implements BalancingPolicy {
    private static final long MILLISECOND = 1_000_000L, SECOND = 1_000 * MILLISECOND;
    /** Prime; turns keep it even to one slot: four times as many changed nothing at 138 backends. */
    private static final int LOOKUP_TABLE_SIZE = 4093;

    private static final int MAX_TRACKING_ENTRIES = 1 << 16;
    /** A silent watch counts as told after 6 s, and 3.2 s are over when it is found silent. */
    private static final long MAX_FIRST_ROSTER_RETRY_DELAY = 2_300 * MILLISECOND;
    /** Set-ups in a row that an unlisted backend may fail before it counts as gone. */
    private static final int MAX_SET_UP_FAILURES_WHILE_MISSING = 2;
    /** A relay sees one pair in as many as the square of the number of relays; of a few it misses little. */
    private static final int PAIR_VISIBILITY_SCALE = 16 * 16;
    /** Pairs of one group that a relay takes for granted where others hold nearly all connections. */
    private static final int UNOBSERVED_PAIRS = 4;
    /** One in so many that are not in their own place leave in a second; about so many are looked at then. */
    private static final int REBALANCE_ONE_IN = 8, MAX_REBALANCE_CANDIDATES = 256;

    private static final long REBALANCE_AFTER_SLOW_START = 5 * SECOND;
    private static final long TRACKING_ENTRY_LIFETIME = 60 * SECOND;
    /** Evidence about a backend halves in this time. */
    private static final long EVIDENCE_HALF_LIFE = 4 * SECOND;

    private final SplittableRandom random;
    private final HashMap<Long, Backend> backendsById = new HashMap<>();
    /** Listed ready or draining, by id: the members of the Maglev table. */
    private Backend[] tableMembers = new Backend[0];

    private Backend[] lookupTable = new Backend[0];
    /** The key's order as far as it was walked: distinct backends met from the key's slot on. */
    private Backend[] preferenceOrder = new Backend[0];

    private int preferenceCount, nextTableSlot;
    private final LinkedHashMap<Long, TrackingEntry> trackingTable = new LinkedHashMap<>(256, 0.75f, true);
    private long nextPurgeAt;
    private int currentMark;
    /** Gathers what is due until it is next asked for. */
    private DueActions pendingActions = new DueActions();

    private long lastLoggedAt = Long.MIN_VALUE / 2;

    private final UseCase[] useCases;
    private final int maxDispatches, relayCount;
    private final boolean allowsConcurrentDispatches,
            usesRosterWeights,
            isDelayReported,
            isDelayUnobserved,
            removalNeedsConfirmation,
            isRosterPushed;
    private final long drainGracePeriod, rosterCallDeadline, slowStartDuration, slowStartBudgetWindow, shedRetryAfter;
    private final double slowStartInitialFactor, slowStartBudgetMultiple, totalConnectionQuota;
    /** The shortest time in which a message is wanted, and the longest that a client waits. */
    private long shortestMessageGoal = Long.MAX_VALUE / 4, longestCutOff;
    /** The usual load of one connection, and how many notes of load that rests on. */
    private double typicalLoad;

    private int loadReportCount;

    private long nextWatchAt;
    private int rosterCallFailures;
    private long nextRebalanceAt;
    private int rebalanceIndex;
    /** Connections that lived to their end here, decaying: what warm backends surely carry. */
    private double completedConnections;

    private long completedConnectionsUpdatedAt;
    private long observedSince;
    private double typicalSetUpTime;
    /** The time between two set-ups while set-ups fail all over, and the next that is free. */
    private long setUpInterval, nextSetUpAt;
    /** Sums over the ready backends: weight and count by warmth, load, connections; pairs of one group. */
    private double effectiveWeightSum, rosterWeightSum, effectiveBackendCount, totalLoad;

    private int totalConnections, occupiedBackends, readyBackends;
    private long sameKeyPairs, totalsUpdatedAt, slowStartsEndAt = Long.MIN_VALUE;
    /** Backends told to be late, and those with fresh evidence; looked through instead of all. */
    private final LinkedHashSet<Backend> slowBackends = new LinkedHashSet<>();

    private final LinkedHashSet<Backend> recentlyTriedBackends = new LinkedHashSet<>();
    /** What changed since it was last asked what to keep. */
    private final ChangeTracker changeTracker = new ChangeTracker();
    /** When it began with a list so old that any backend may have started since; 0 once one is heard. */
    private long staleRosterSince;
    /** Connections a nanosecond that lived to their end in the process before: its own take their time. */
    private double restoredCompletionRate;
    /** Over half of the backends tried lately fail set-ups: what they share is to blame. */
    private boolean hasWidespreadSetUpFailures;

    public Balancer(Map<String, String> jobTicket, long seed, long now) {
        random = new SplittableRandom(seed);
        useCases = new UseCase[(int) Settings.getDouble(jobTicket, "useCases.count")];
        for (int u = 0; u < useCases.length; u++) {
            useCases[u] = UseCase.fromSettings(jobTicket, "useCases." + u + ".");
            longestCutOff = Math.max(longestCutOff, useCases[u].cutOff());
        }
        maxDispatches = (int) Settings.getDouble(jobTicket, "limits.dispatches");
        allowsConcurrentDispatches = Boolean.parseBoolean(jobTicket.get("limits.secondCopies"));
        isDelayReported = "true".equals(jobTicket.get("familyInfo.tellsDelay"));
        // Where the relay's wire shows no delay; that a backend breaks connections then stands for it.
        isDelayUnobserved = "unseen".equals(jobTicket.get("familyInfo.tellsDelay"));
        drainGracePeriod = (long) Settings.getDouble(jobTicket, "rules.drainGrace");
        removalNeedsConfirmation = Settings.getBoolean(jobTicket, "rules.onlyDrainingBinds");
        slowStartInitialFactor = Settings.getDouble(jobTicket, "rules.coldFrom");
        slowStartDuration = (long) Settings.getDouble(jobTicket, "rules.cold");
        slowStartBudgetMultiple = Settings.getDouble(jobTicket, "rules.fallMultiple");
        slowStartBudgetWindow = (long) Settings.getDouble(jobTicket, "rules.fall");
        usesRosterWeights = List.of("nominal", "rough")
                .contains(Settings.getString(jobTicket, "weights", "nominal", "rough", "none", "live"));
        isRosterPushed = Settings.getString(jobTicket, "discovery", "pushed", "on_request")
                .equals("pushed");
        rosterCallDeadline = (long) Settings.getDoubleOrDefault(jobTicket, "rules.askWithin", 16.0 * SECOND);
        boolean tells = Boolean.parseBoolean(jobTicket.get("limits.retryAfter"));
        shedRetryAfter = tells ? (long) Settings.getDouble(jobTicket, "limits.maxRetryAfter") : 0;
        for (double goal : Settings.getDoubles(jobTicket, "familyInfo.messageAim")) {
            shortestMessageGoal = Math.min(shortestMessageGoal, (long) goal);
        }
        totalConnectionQuota = Arrays.stream(Settings.getDoubles(jobTicket, "familyInfo.tenantQuotaConnections"))
                .sum();
        relayCount = (int) Settings.getDouble(jobTicket, "relays");
        observedSince = now;
        completedConnectionsUpdatedAt = now;
        nextPurgeAt = now + TRACKING_ENTRY_LIFETIME;
        // Danger: relays that start together ask together, and the service fails calls that waited too long.
        nextWatchAt = isRosterPushed
                ? Long.MAX_VALUE
                : now + new SplittableRandom(seed + 1).nextLong(rosterCallDelayRange(0));
    }

    // ---- the three questions

    /** Where to send this association, which has arrived or has waited as told. */
    @Override
    public Decision selectBackend(Association a, long now) {
        if (a.closed || a.hasDispatchInFlight()) {
            return Decision.NOTHING;
        }
        // Danger: what can never be sent again would sit out its time; it is given up at once.
        if (now >= a.cutOffAt
                || a.dispatchCount - a.uncountedDispatches >= maxDispatches
                || !isSafeToRepeat(a, null, now)) {
            return shedOrForfeit(a);
        }
        if (setUpInterval > 0 && now < nextSetUpAt && a.reservedSetUpAt == 0 && !a.isMidFlow) {
            if (nextSetUpAt >= a.cutOffAt - useCases[a.useCase].cutOff() / 4) {
                return shedOrForfeit(a);
            }
            a.reservedSetUpAt = nextSetUpAt;
            nextSetUpAt += setUpInterval;
            return new Decision(Kind.WAIT, 0, a.reservedSetUpAt);
        }
        a.reservedSetUpAt = 0;
        nextSetUpAt = Math.max(nextSetUpAt, now + setUpInterval);
        Backend b = findEligibleBackend(a, now);
        return b != null ? dispatchTo(a, b, now) : waitOrGiveUp(a, now);
    }

    /** What to do after this outcome of a dispatch; `finished`: the association is over. */
    @Override
    public Decision onDispatchFinished(
            Association a, int dispatch, DispatchOutcome outcome, boolean finished, long now) {
        if (dispatch < 0 || dispatch >= a.dispatchCount || a.dispatchStates[dispatch] != DispatchState.IN_FLIGHT) {
            return Decision.NOTHING;
        }
        Backend b = backendsById.get(a.sentTo[dispatch]);
        a.dispatchStates[dispatch] = outcome.neverRan ? DispatchState.NEVER_RAN : DispatchState.MAY_HAVE_RUN;
        removeConnection(a, b, now);
        recordOutcome(b, outcome, a.established, now);
        changeTracker.markChanged(b);
        // Danger: an old list names backends that are gone; finding that out must not use up all dispatches.
        a.uncountedDispatches += staleRosterSince > 0 && outcome == DispatchOutcome.NOT_CONNECTED ? 1 : 0;
        // Danger: where all set-ups turn slow, a short time-out sends each of them several times over.
        typicalSetUpTime = outcome == DispatchOutcome.TIMED_OUT
                ? Math.max(typicalSetUpTime, (now - a.sentAt[dispatch]) / 2.0)
                : typicalSetUpTime;
        if (finished || a.closed) {
            a.closed = true;
            return Decision.NOTHING;
        }
        return selectBackend(a, now);
    }

    /** How long to wait before asking again, and the chores now due. */
    @Override
    public DueActions pollDueActions(long now) {
        DueActions due = pendingActions;
        pendingActions = new DueActions();
        if (now >= nextWatchAt) {
            nextWatchAt = Long.MAX_VALUE;
            due.rosterCall = DueActions.RosterCall.WATCH;
        }
        if (now >= nextPurgeAt) {
            trackingTable
                    .values()
                    .removeIf(e -> e.openConnections.isEmpty()
                            && now - e.unusedSince >= TRACKING_ENTRY_LIFETIME
                            && changeTracker.markRemoved(e));
            nextPurgeAt = now + TRACKING_ENTRY_LIFETIME / 4;
        }
        due.wakeAt = Math.min(nextPurgeAt, nextWatchAt);
        if (isDelayUnobserved && now < slowStartsEndAt + REBALANCE_AFTER_SLOW_START && isSampleTooSmall()) {
            if (now >= nextRebalanceAt) {
                rebalance(due, now);
            }
            due.wakeAt = Math.min(due.wakeAt, nextRebalanceAt);
        }
        return due;
    }

    // ---- what it is told

    /** The roster, whole or changes only; `cached`: as this relay last had it, perhaps stale. */
    @Override
    public void onRosterUpdate(List<RosterEntry> lines, boolean whole, boolean cached, long now) {
        rosterCallFailures = 0;
        currentMark++;
        staleRosterSince = cached ? staleRosterSince : 0;
        boolean changed = false;
        for (RosterEntry line : lines) {
            Backend b = backendsById.computeIfAbsent(line.backend(), Backend::new);
            b.walkMark = currentMark;
            changed |= applyRosterEntry(b, line, now);
        }
        if (whole) {
            for (Backend b : tableMembers) {
                if (b.walkMark != currentMark) {
                    changed |=
                            applyRosterEntry(b, new RosterEntry(b.id, Stage.GONE, 0, b.cell, b.weight, b.zone, 0), now);
                }
            }
        }
        if (changed) {
            rebuildTableMembers();
        }
        recomputeTotals(now);
    }

    private void rebuildTableMembers() {
        tableMembers = backendsById.values().stream()
                .filter(b -> b.stage != Stage.GONE)
                .toArray(Backend[]::new);
        Arrays.sort(tableMembers, (x, y) -> Long.compareUnsigned(x.id, y.id));
        fillLookupTable();
    }

    @Override
    public void onRosterCallFailed(long now) {
        logRateLimited("roster call failed, asking again", now);
        // Danger: relays that ask again in step keep the roster service full and all of them fail again.
        long base = rosterCallDelayRange(Math.min(rosterCallFailures, 4));
        // Danger: what a watch fallen silent misses counts as told while the relay still waits its turn.
        nextWatchAt = now
                + (rosterCallFailures++ == 0
                        ? random.nextLong(Math.min(base, MAX_FIRST_ROSTER_RETRY_DELAY))
                        : base / 2 + random.nextLong(base));
    }

    /** Calls of all relays spread over this, half at most of the time after which silence counts as told. */
    private long rosterCallDelayRange(int doubled) {
        // Danger: where lists are pushed, all that the agent has counts as told whether or not it is watched.
        long most = Math.min(isRosterPushed ? SECOND / 4 : 8 * SECOND, rosterCallDeadline / 2);
        return Math.max(1, Math.min(most, relayCount * 50 * MILLISECOND << doubled));
    }

    /** An open connection that was passing through when this relay started. */
    @Override
    public void onConnectionAdopted(Association a, long backend, long now) {
        a.recordDispatch(backend, now);
        Backend b = backendsById.computeIfAbsent(backend, Backend::new);
        b.pendingDispatches++;
        addToTotals(b, 1, 0);
        addConnection(a, b);
    }

    /** What it would keep beyond this process: at most so many values, those changed since last asked. */
    @Override
    public LearnedState takeLearnedStateChanges(int most, long now) {
        LearnedState.RelayStatistics whole = new LearnedState.RelayStatistics(
                decayCompletedConnections(now),
                Math.min(now - observedSince, 10 * SECOND),
                typicalSetUpTime,
                typicalLoad,
                loadReportCount,
                setUpInterval);
        return changeTracker.takeChanges(most, tableFormat(), whole, backendsById.values(), trackingTable.values());
    }

    /** What an earlier process kept, weighed by its age; `unseen`: ages in the list mean nothing. */
    @Override
    public void restoreLearnedState(LearnedState kept, boolean unseen, long now) {
        completedConnections = kept.relayStatistics().completedConnections();
        completedConnectionsUpdatedAt = now;
        observedSince = Math.min(observedSince, now - kept.relayStatistics().observedFor());
        restoredCompletionRate = completedConnections / (kept.relayStatistics().observedFor() + SECOND);
        typicalSetUpTime = kept.relayStatistics().typicalSetUpTime();
        typicalLoad = kept.relayStatistics().typicalLoad();
        loadReportCount = kept.relayStatistics().loadReportCount();
        setUpInterval = Math.min(kept.relayStatistics().setUpInterval(), relayCount * SECOND / 8);
        nextSetUpAt = setUpInterval > 0 ? now + random.nextLong(setUpInterval) : 0;
        for (LearnedState.BackendStatistics j : kept.backends()) {
            Backend b = backendsById.get(j.backend());
            if (b != null && b.restore(j)) {
                slowBackends.add(b);
                recentlyTriedBackends.add(b);
            }
        }
        hasWidespreadSetUpFailures = detectWidespreadSetUpFailures(now);
        for (LearnedState.Pin p : kept.pins()) {
            Backend b = backendsById.get(p.backend());
            // Danger: a pin to what is no longer listed would be followed the moment that id is listed again.
            boolean listed = b != null && b.stage != Stage.GONE;
            if (listed && kept.tableFormat() == tableFormat() && trackingTable.size() < MAX_TRACKING_ENTRIES) {
                TrackingEntry entry = trackingTable.computeIfAbsent(p.key(), TrackingEntry::new);
                entry.pinnedBackend = b;
                entry.unusedSince = p.unusedSince();
            }
        }
        staleRosterSince = unseen ? now : 0;
        slowStartsEndAt =
                unseen ? Math.max(slowStartsEndAt, now + slowStartDuration + slowStartDuration / 64) : slowStartsEndAt;
        recomputeTotals(now);
    }

    private long tableFormat() {
        return Backend.mix64(LOOKUP_TABLE_SIZE * 2 + (usesRosterWeights ? 1 : 0));
    }

    @Override
    public void onConnectionEstablished(Association a, int dispatch, long took, long now) {
        if (dispatch >= a.dispatchCount || a.established) {
            return;
        }
        Backend b = backendsById.get(a.sentTo[dispatch]).decayEvidence(now, EVIDENCE_HALF_LIFE);
        b.successes++;
        b.setUpFailuresWhileMissing = 0;
        changeTracker.markChanged(b);
        recentlyTriedBackends.add(b);
        hasWidespreadSetUpFailures = hasWidespreadSetUpFailures && detectWidespreadSetUpFailures(now);
        setUpInterval = setUpInterval < relayCount * 12 * MILLISECOND ? 0 : setUpInterval / 2;
        typicalSetUpTime += (took - typicalSetUpTime) / 8;
        addConnection(a, b);
    }

    @Override
    public void onLoadReport(Association a, double load, long now) {
        double grown = load - a.load;
        a.load = load;
        if (a.openConnectionIndex >= 0) {
            Backend b = backendsById.get(a.sentTo[a.dispatchCount - 1]);
            addToTotals(b, 0, grown);
            typicalLoad += (meanConnectionLoad() - typicalLoad) / Math.min(64, ++loadReportCount);
            if (grown > 0 && now - b.lastOffloadAt > SECOND && isOverloaded(b, now)) {
                b.lastOffloadAt = now;
                requestMoves(b, Math.max(1, b.openConnections.size() / 6), now);
            }
        }
    }

    /**
     * Danger: unseen, what grows on a backend makes all there late. Too much is where its load and what others likely
     * hold there pass half of its part of the tenants' quota, with room elsewhere.
     */
    private boolean isOverloaded(Backend b, long now) {
        double size = b.weight * slowStartFactor(b, now) / Math.max(rosterWeightSum, 1e-9),
                room = 0.5 * totalConnectionQuota * typicalLoad;
        return isDelayUnobserved
                && loadReportCount > 32
                && totalLoad * relayCount < 0.7 * room
                && b.load * (relayCount + 1) / 2 + totalLoad * size * (relayCount - 1) / 2 > room * size;
    }

    @Override
    public void onDelayReport(long backend, long delay, long now) {
        Backend b = backendsById.computeIfAbsent(backend, Backend::new);
        boolean rising = delay >= b.reportedDelay || now - b.delayReportedAt > 3 * SECOND;
        if (delay * 3 > shortestMessageGoal) {
            double crowd = b.effectiveLoad(meanConnectionLoad());
            b.observedCapacity = !isSlow(b, now) && b.observedCapacity > 0
                    ? (b.observedCapacity + crowd) / 2
                    : b.observedCapacity == 0 ? crowd : Math.min(b.observedCapacity, crowd);
            b.lastSlowAt = now;
            slowBackends.add(b);
        }
        b.reportedDelay = delay * 3 > shortestMessageGoal ? delay : 0;
        b.delayReportedAt = now;
        changeTracker.markChanged(b);
        if (rising && delay > shortestMessageGoal) {
            // Danger: a hung backend keeps its connections; with more piled up than anyone waits, all leave.
            boolean hangs = delay > (isDelayUnobserved ? SECOND : longestCutOff);
            requestMoves(
                    b,
                    hangs ? b.openConnections.size() : (int) (b.openConnections.size() / 6.0 + random.nextDouble()),
                    now);
        }
    }

    /** Danger: what piles up on an overloaded backend makes every connection there late; some must leave. */
    private void requestMoves(Backend b, int some, long now) {
        b.openConnections.stream()
                .filter(a -> !a.moveRequested)
                .sorted(Comparator.comparing(a -> -a.load))
                .limit(some)
                .forEach(a -> {
                    a.moveRequested = true;
                    pendingActions.connectionsToMove.add(a);
                    logRateLimited("a backend is late, connections leave it", now);
                });
    }

    @Override
    public void onClientDisconnected(Association a, long now) {
        a.closed = true;
        if (a.hasDispatchInFlight()) {
            removeConnection(a, backendsById.get(a.sentTo[a.dispatchCount - 1]), now);
        }
    }

    // ---- the ordinary path

    private Backend findEligibleBackend(Association a, long now) {
        if (now < slowStartsEndAt && now - totalsUpdatedAt > slowStartDuration / 256) {
            recomputeTotals(now);
        }
        // Danger: fresh backends that carry nothing yet must not look like room in a fleet that grows.
        slowBackends.removeIf(b -> b.stage == Stage.GONE || !isSlow(b, now));
        // Danger: in a large fleet most backends tell this relay nothing; they do not pass for in time.
        long untold =
                slowBackends.stream().filter(b -> b.openConnections.isEmpty()).count();
        double lateShare =
                slowBackends.size() / Math.max(Math.min(effectiveBackendCount, occupiedBackends + untold + 2), 1);
        TrackingEntry entry = trackingTable.get(a.placementKey());
        // Danger: every backend that holds any of a group pays for it; one strewn over all sinks them all.
        double part = a.groupKey == 0 ? tableMembers.length : subsetSize(entry, lateShare);
        int depth = lateShare * 3 > 1 ? 1 + (int) part : 2 + (int) Math.round(part);
        int holding = 0;
        int holds = ++currentMark;
        for (Association other : entry == null ? List.<Association>of() : entry.openConnections) {
            Backend b = backendsById.get(other.sentTo[other.dispatchCount - 1]);
            holding += b.holdsKeyMark != holds && b.stage != Stage.GONE ? 1 : 0;
            b.holdsKeyMark = holds;
        }
        startPreferenceOrder(a);
        int parts = a.groupKey == 0 || !isSampleTooSmall() ? 1 : assignSubsetIndex(a, part, now);
        TrackingEntry pin = trackingTable.get(a.pinKey());
        Backend known = a.placementKey() == 0 || pin == null ? null : pin.pinnedBackend;
        // Danger: an open connection sent elsewhere is reset, so a mid-flow hit is not passed over.
        boolean open = a.isMidFlow && a.dispatchCount == 0;
        if (known != null
                && known.stage == Stage.READY
                && !a.hasTried(known.id)
                && mayDispatch(known, a, true, now)
                && (open || passesOutlierDetection(known, now) && !isOverCapacity(known, lateShare, now))) {
            return known;
        }
        Backend spare = null;
        boolean far = lateShare * 4 <= 1
                || totalConnections > 3 * effectiveBackendCount
                || totalConnections * 4 > relayCount * effectiveBackendCount;
        for (int i = 0, ready = 0; i < tableMembers.length && (far || ready <= depth); i++) {
            Backend b = preferredBackend(i < parts ? (a.subsetIndex + i) % parts : i);
            boolean first = open && i == 0;
            ready += b != null && b.stage == Stage.READY ? 1 : 0;
            // Danger: work sent to a fleet that is late all over keeps it late; it waits or is shed.
            if (b == null
                    || !first
                            && (b.stage != Stage.READY
                                    || a.hasTried(b.id)
                                    || isSlow(b, now) && b.reportedDelay > shortestMessageGoal
                                    || now < b.overCapacityUntil
                                    || b.effectiveLoad(meanConnectionLoad()) >= loadLimit(b, now)
                                    || holding >= depth && b.holdsKeyMark != holds
                                    || lateShare * 4 > 1 && ready > depth && !isIdle(b, now)
                                    || !passesOutlierDetection(b, now))
                    || !mayDispatch(b, a, i == 0, now)) {
                continue;
            }
            if (first || !isOverCapacity(b, lateShare, now)) {
                return b;
            }
            spare = spare == null ? b : spare;
        }
        return spare;
    }

    /** It holds so few a backend that twice its part cannot show that a group crowds one. */
    private boolean isSampleTooSmall() {
        return totalConnections * 2 <= relayCount * effectiveBackendCount;
    }

    /** Backends that the group would fill; if blind, one more is seen a group, which pairs of one count. */
    private double subsetSize(TrackingEntry entry, double lateShare) {
        int seen = entry == null ? 0 : entry.openConnections.size();
        // Danger: one of hundreds of relays holds a few, has seen no pair, and would take each group for a
        // small one; all would pile it on one backend. What it cannot see counts as some pairs, unless
        // many are late or nothing tells that they are: each further backend that holds a group costs.
        double apart = isDelayUnobserved || lateShare * 3 > 1 ? 0 : unobservedShare();
        double all = totalConnections * (totalConnections + 1.0) / 2 + effectiveBackendCount * (0.25 + apart);
        double groups = all / (sameKeyPairs + 0.25 + UNOBSERVED_PAIRS * apart);
        return isSampleTooSmall()
                ? effectiveBackendCount * (1 + seen) / (totalConnections + groups)
                : effectiveBackendCount * seen / totalConnections;
    }

    /** How little of each other relays see: next to nothing where they are few, next to one at a hundred. */
    private double unobservedShare() {
        return (double) relayCount * relayCount / (relayCount * relayCount + PAIR_VISIBILITY_SCALE);
    }

    private void startPreferenceOrder(Association a) {
        nextTableSlot = (int) Long.remainderUnsigned(
                Backend.mix64(a.placementKey() != 0 ? a.placementKey() : a.id), LOOKUP_TABLE_SIZE);
        preferenceCount = 0;
        currentMark++;
    }

    private Backend preferredBackend(int i) {
        for (int end = nextTableSlot + LOOKUP_TABLE_SIZE;
                preferenceCount <= i && nextTableSlot < end && lookupTable.length > 0;
                nextTableSlot++) {
            Backend b = lookupTable[nextTableSlot % LOOKUP_TABLE_SIZE];
            if (b.walkMark != currentMark) {
                b.walkMark = currentMark;
                preferenceOrder[preferenceCount++] = b;
            }
        }
        return i < preferenceCount ? preferenceOrder[i] : null;
    }

    /**
     * Its group lies on the first in its order whose weights make up the group's part; the client's among them is drawn
     * by weight, alike at every relay, but anew for one that comes back from where it was late; where no delay is seen
     * nobody knows that it was, and it goes to its own place.
     */
    private int assignSubsetIndex(Association a, double part, long now) {
        double least = Double.MAX_VALUE, warmed = 0;
        int n = 0;
        long who = a.isReconnect && !a.isMidFlow && !isDelayUnobserved ? random.nextLong() : a.clientKey;
        // Danger: a group that lay on cold backends alone would push them over with all its clients at once.
        for (double left = part; (left > 0.5 || warmed < 1) && preferredBackend(n) != null; n++) {
            Backend b = preferredBackend(n);
            // Danger: those on a draining one would be strewn over what comes next, past all that are cold.
            if (b.stage == Stage.READY || a.isMidFlow) {
                double draw = rendezvousScore(who, b, now);
                left -= relativeCapacity(b, now);
                warmed += slowStartFactor(b, now);
                a.subsetIndex = draw < least ? n : a.subsetIndex;
                least = Math.min(least, draw);
            }
        }
        return Math.max(1, n);
    }

    /** The least draw is a client's place: each backend has the chance of its size (rendezvous hashing). */
    private double rendezvousScore(long who, Backend b, long now) {
        return -StrictMath.log((Backend.mix64(who ^ b.hash) >>> 11) * 0x1p-53) / relativeCapacity(b, now);
    }

    /** A fresh one counts a quarter more than its warmth, which is the least that the settings promise. */
    private double relativeCapacity(Backend b, long now) {
        return b.weight * Math.min(1, 1.25 * slowStartFactor(b, now)) * effectiveBackendCount / effectiveWeightSum;
    }

    /**
     * Danger: what was placed while fresh backends were cold stays where it piled up, and nothing tells that it is late
     * there. While any warms up, a few a second whose own place is elsewhere by now are moved.
     */
    private void rebalance(DueActions due, long now) {
        nextRebalanceAt = now + SECOND;
        recomputeTotals(now);
        for (int i = 0, looked = 0; i < tableMembers.length && looked < MAX_REBALANCE_CANDIDATES; i++) {
            Backend b = tableMembers[rebalanceIndex % tableMembers.length];
            rebalanceIndex = (rebalanceIndex + 1) % tableMembers.length;
            looked += b.openConnections.size();
            for (Association a : b.stage == Stage.READY ? b.openConnections : List.<Association>of()) {
                if (a.groupKey != 0
                        && !a.moveRequested
                        && random.nextInt(REBALANCE_ONE_IN) == 0
                        && isMisplaced(a, b, now)) {
                    a.moveRequested = true;
                    due.connectionsToMove.add(a);
                }
            }
        }
    }

    private boolean isMisplaced(Association a, Backend b, long now) {
        startPreferenceOrder(a);
        int was = a.subsetIndex;
        assignSubsetIndex(a, subsetSize(trackingTable.get(a.placementKey()), 0), now);
        Backend own = preferredBackend(a.subsetIndex);
        a.subsetIndex = was;
        return own != null
                && own.stage == Stage.READY
                && rendezvousScore(a.clientKey, own, now) < rendezvousScore(a.clientKey, b, now);
    }

    /** Holds twice its part and two more, or what it carries, said so, or is late. */
    private boolean isOverCapacity(Backend b, double lateShare, long now) {
        double unit = meanConnectionLoad() == 0 ? 1 : meanConnectionLoad();
        double fair = totalConnections * unit * b.weight * slowStartFactor(b, now) / Math.max(effectiveWeightSum, 1e-9);
        double bound = Math.max(1.25, 2 - 2 * lateShare);
        double has = b.effectiveLoad(meanConnectionLoad());
        return now < b.overCapacityUntil
                || isSlow(b, now)
                || now - b.lastOffloadAt < 5 * SECOND
                || has >= loadLimit(b, now)
                || has > bound * fair && has >= fair + bound * unit;
    }

    /** Danger: a burst fills a backend before its messages are told to be late; what it carried bounds it. */
    private double loadLimit(Backend b, long now) {
        double since = (double) (now - b.lastSlowAt) / (10 * SECOND);
        return b.observedCapacity == 0 ? Double.MAX_VALUE : b.observedCapacity * (1 + since / 2 + since * since);
    }

    /** The usual load of one connection, 0 where none is told. */
    private double meanConnectionLoad() {
        return totalLoad > 0 && totalConnections > 0 ? totalLoad / totalConnections : 0;
    }

    /** Makes the sums over the ready backends anew; between, tally keeps those of load and connections. */
    private void recomputeTotals(long now) {
        effectiveWeightSum = rosterWeightSum = effectiveBackendCount = totalLoad = totalConnections = readyBackends = 0;
        totalsUpdatedAt = now;
        for (Backend b : tableMembers) {
            if (b.stage == Stage.READY) {
                readyBackends++;
                effectiveWeightSum += b.weight * slowStartFactor(b, now);
                rosterWeightSum += b.weight;
                effectiveBackendCount += slowStartFactor(b, now);
                totalLoad += b.load;
                totalConnections += b.connectionCount();
            }
        }
    }

    private void addToTotals(Backend b, int connections, double work) {
        b.load += work;
        if (b.stage == Stage.READY) {
            totalConnections += connections;
            totalLoad += work;
        }
    }

    /** Over half of the backends tried lately fail set-ups. */
    private boolean detectWidespreadSetUpFailures(long now) {
        long doubtful = recentlyTriedBackends.stream()
                .filter(b -> b.decayEvidence(now, EVIDENCE_HALF_LIFE).sharedCauseFailures >= 0.25)
                .count();
        recentlyTriedBackends.removeIf(b -> b.sharedCauseFailures + b.successes < 0.25 || b.stage == Stage.GONE);
        return doubtful * 2 > recentlyTriedBackends.size() && doubtful > 2;
    }

    /** Its messages are told to take long; with none left here to tell, that is kept the longer. */
    private boolean isSlow(Backend b, long now) {
        double kept = b.openConnections.isEmpty()
                ? Math.max(3, Math.min(30, 6 * effectiveBackendCount / Math.max(totalConnections, 1)))
                : 3;
        return b.reportedDelay > 0 && now - b.delayReportedAt < kept * SECOND;
    }

    /** Plainly empty: nothing here though this relay holds much, or for long though it holds some. */
    private boolean isIdle(Backend b, long now) {
        return b.connectionCount() == 0
                && (totalConnections > 3 * effectiveBackendCount
                        || totalConnections * 4 > relayCount * effectiveBackendCount
                                && now - b.lastActiveAt > 5 * SECOND);
    }

    /** What a fresh backend counts for, by its age. */
    private double slowStartFactor(Backend b, long now) {
        long start = slowStartBeganAt(b);
        return start == 0 || now - start >= slowStartDuration
                ? 1
                : slowStartInitialFactor + (1 - slowStartInitialFactor) * Math.max(0, now - start) / slowStartDuration;
    }

    /** Danger: relays that begin with old lists would flood what may have just started: it is cold. */
    private long slowStartBeganAt(Backend b) {
        return Math.max(b.startedAt, staleRosterSince);
    }

    /** Draws whether a doubtful backend gets work. */
    private boolean passesOutlierDetection(Backend b, long now) {
        // Danger: a shared store that slows fails set-ups everywhere; blaming each backend would leave none.
        double no = b.decayEvidence(now, EVIDENCE_HALF_LIFE).failures
                - (hasWidespreadSetUpFailures ? b.sharedCauseFailures : 0);
        double yes = 1 + b.successes;
        double sum = yes + no;
        double spread = Math.sqrt(yes * no / (sum * sum * (sum + 1)));
        return no < 0.25 || yes / sum + spread * random.nextGaussian() >= 0.5;
    }

    private void recordOutcome(Backend b, DispatchOutcome outcome, boolean wasEstablished, long now) {
        b.decayEvidence(now, EVIDENCE_HALF_LIFE);
        // Danger: what is unlisted and really gone would fail a dispatch again and again; but a shared store
        // that slows times set-ups out on all that are unlisted, and none would be left.
        boolean fails = outcome == DispatchOutcome.NOT_CONNECTED
                || outcome == DispatchOutcome.TIMED_OUT && !hasWidespreadSetUpFailures;
        if (b.missingFromRoster
                && fails
                && !wasEstablished
                && ++b.setUpFailuresWhileMissing >= MAX_SET_UP_FAILURES_WHILE_MISSING) {
            applyRosterEntry(b, new RosterEntry(b.id, Stage.GONE, 0, b.cell, b.weight, b.zone, 0), now);
            rebuildTableMembers();
            recomputeTotals(now);
        }
        switch (outcome) {
            case FULL -> b.overCapacityUntil = now + SECOND / 2;
            case NOT_CONNECTED -> b.failures++;
            case RESET -> {
                b.failures += wasEstablished ? 0.5 : 1;
                long since = now - b.lastResetAt;
                b.lastResetAt = wasEstablished ? now : b.lastResetAt;
                // Danger: with no delay seen, connections come back to one that breaks them over and over.
                if (isDelayUnobserved && wasEstablished && since > SECOND / 10 && since < 2 * SECOND) {
                    onDelayReport(b.id, shortestMessageGoal, now);
                }
            }
            case ERROR, TIMED_OUT -> {
                b.failures++;
                b.sharedCauseFailures++;
                recentlyTriedBackends.add(b);
                hasWidespreadSetUpFailures = detectWidespreadSetUpFailures(now);
                // Danger: repeats of all relays keep a jammed store jammed; set-ups wait until some stand.
                if (hasWidespreadSetUpFailures) {
                    logRateLimited("set-ups fail all over, spacing them", now);
                    setUpInterval = Math.min(
                            relayCount * SECOND / 8, Math.max(2 * setUpInterval, relayCount * 12 * MILLISECOND));
                    nextSetUpAt = Math.max(nextSetUpAt, now + setUpInterval / 2 + random.nextLong(setUpInterval));
                }
            }
            case DONE -> completedConnections = decayCompletedConnections(now) + 1;
            default -> {}
        }
    }

    // ---- the one send, its gate and the giving up

    /** Rule 2, no effect twice: whether it may be sent again, to b or, with null, to any backend at all. */
    private boolean isSafeToRepeat(Association a, Backend b, long now) {
        UseCase u = useCases[a.useCase];
        for (int d = 0; d < a.dispatchCount; d++) {
            Backend before = backendsById.get(a.sentTo[d]);
            boolean apart = b != null
                    && (u.scope() == DeduplicationScope.ZONE && before.zone != b.zone
                            || u.scope() == DeduplicationScope.CELL && before.cell != b.cell);
            boolean over = apart || now - a.sentAt[d] >= u.deduplicationWindow();
            if (a.dispatchStates[d] != DispatchState.NEVER_RAN
                    && (u.effect() == Effect.BINDING || u.effect() == Effect.FINGERPRINTED && over)) {
                return false;
            }
        }
        return true;
    }

    /** The one place that every send passes: rules 2, 3 and 4 are kept here. */
    private boolean mayDispatch(Backend b, Association a, boolean own, long now) {
        if (a.closed || a.hasDispatchInFlight() && !allowsConcurrentDispatches || !isSafeToRepeat(a, b, now)) {
            return false;
        }
        // Rule 3: nothing new past the grace.
        if (b.stage != Stage.READY && now - b.drainNoticedAt >= drainGracePeriod / 2) {
            return false;
        }
        // Rule 4: no cold backend pushed over.
        if (slowStartFactor(b, now) < 1) {
            double rate = slowStartRate(b, now);
            if (b.slowStartBudgetUpdatedAt < slowStartBeganAt(b)) {
                // Danger: relays that begin at one moment would all send the first at one moment too.
                double most = staleRosterSince > 0 ? 1 : isSampleTooSmall() ? unobservedShare() : 0;
                b.slowStartBudget = most > 0 ? random.nextDouble() * most : 0;
                b.slowStartBudgetUpdatedAt = Math.max(slowStartBeganAt(b), now - slowStartBudgetWindow);
            }
            b.slowStartBudget = Math.min(
                    Math.max(1, rate * slowStartBudgetWindow),
                    b.slowStartBudget + rate * (now - b.slowStartBudgetUpdatedAt));
            b.slowStartBudgetUpdatedAt = now;
            // Danger: of a hundred relays none earns a whole dispatch in time, and fresh ones get nothing.
            // Where it is the client's own place, drawn by warmth, the sum is in proportion: one goes ahead.
            // The less of the fleet is warm, the fewer go ahead; an open connection likely is there already.
            double ahead = unobservedShare()
                    * Math.min(
                            1,
                            4
                                    * effectiveBackendCount
                                    * effectiveBackendCount
                                    / Math.max(readyBackends * readyBackends, 1));
            int first = a.isMidFlow && a.dispatchCount == 0 ? 0 : 1;
            return b.slowStartBudget >= 1 || own && isSampleTooSmall() && b.slowStartBudget > first - ahead;
        }
        return true;
    }

    /** This relay's part, in dispatches a nanosecond, of what a backend of that size and age may be sent. */
    private double slowStartRate(Backend b, long now) {
        decayCompletedConnections(now);
        // Danger: dispatches of a storm of resets come back many times over and would inflate the budget.
        double span = Math.min(now - observedSince, 10 * SECOND) + SECOND;
        // Where few are late, a warm backend could do some times what it is seen to do.
        int room = !isDelayReported || slowBackends.size() * 8 > tableMembers.length ? 1 : 4;
        // Danger: with all of them counted as cold, parts of the cold weights would cancel what cold means.
        double rate = slowStartBudgetMultiple
                * slowStartFactor(b, now)
                * room
                * (staleRosterSince > 0
                        ? Math.max(restoredCompletionRate, completedConnections / span)
                        : completedConnections / span)
                * b.weight
                / Math.max(staleRosterSince > 0 ? rosterWeightSum : effectiveWeightSum, 1e-9);
        // Danger: a relay that learned nothing must not sit idle; any backend sets up one connection a fall.
        return staleRosterSince > 0
                ? Math.max(rate, slowStartBudgetMultiple / relayCount / slowStartBudgetWindow)
                : rate;
    }

    private double decayCompletedConnections(long now) {
        completedConnections *= StrictMath.exp(-(double) (now - completedConnectionsUpdatedAt) / (10 * SECOND));
        completedConnectionsUpdatedAt = now;
        return completedConnections;
    }

    private Decision dispatchTo(Association a, Backend b, long now) {
        b.slowStartBudget -= slowStartFactor(b, now) < 1 ? 1 : 0;
        a.recordDispatch(b.id, now);
        b.lastActiveAt = now;
        b.pendingDispatches++;
        addToTotals(b, 1, 0);
        return new Decision(Kind.SEND, b.id, dispatchTimeout(a, now));
    }

    /** Leaves room for a further dispatch before the goal time. */
    private long dispatchTimeout(Association a, long now) {
        long usual = Math.max(useCases[a.useCase].goalTime() / 2, (long) (4 * typicalSetUpTime));
        boolean last = a.dispatchCount - a.uncountedDispatches >= maxDispatches || setUpInterval > 0;
        return last ? a.cutOffAt - now : Math.min(a.cutOffAt - now, usual);
    }

    private Decision waitOrGiveUp(Association a, long now) {
        long until = now + (50 * MILLISECOND << Math.min(a.waitCount++, 5));
        UseCase u = useCases[a.useCase];
        return until < a.cutOffAt - u.cutOff() + u.goalTime() ? new Decision(Kind.WAIT, 0, until) : shedOrForfeit(a);
    }

    /** Rule 1: the one place a final answer is given, at once. */
    private Decision shedOrForfeit(Association a) {
        a.closed = true;
        UseCase u = useCases[a.useCase];
        boolean harmless = u.effect() == Effect.RETRIABLE || u.scope() == DeduplicationScope.ALL || a.noDispatchRan();
        return harmless ? new Decision(Kind.SHED, 0, shedRetryAfter) : Decision.FORFEIT;
    }

    /** Few lines: one in five seconds at the most. */
    private void logRateLimited(String line, long now) {
        if (now - lastLoggedAt >= 5 * SECOND && pendingActions.logMessages.add(line)) {
            lastLoggedAt = now;
        }
    }

    private void addConnection(Association a, Backend b) {
        a.established = true;
        b.pendingDispatches--;
        b.addConnection(a);
        occupiedBackends += b.openConnections.size() == 1 ? 1 : 0;
        addToTotals(b, 0, a.load);
        if (a.placementKey() != 0) {
            TrackingEntry entry = trackingTable.computeIfAbsent(a.placementKey(), TrackingEntry::new);
            sameKeyPairs += entry.openConnections.size();
            entry.openConnections.add(a);
            TrackingEntry pin =
                    a.subsetIndex <= 0 ? entry : trackingTable.computeIfAbsent(a.pinKey(), TrackingEntry::new);
            pin.pinnedBackend = b;
            changeTracker.markChanged(entry);
            changeTracker.markChanged(pin);
            if (trackingTable.size() > MAX_TRACKING_ENTRIES) {
                changeTracker.markRemoved(
                        trackingTable.remove(trackingTable.keySet().iterator().next()));
            }
        }
    }

    private void removeConnection(Association a, Backend b, long now) {
        b.lastActiveAt = now;
        if (!a.established) {
            b.pendingDispatches--;
            addToTotals(b, -1, 0);
        }
        if (b.removeConnection(a)) {
            addToTotals(b, -1, b.openConnections.isEmpty() ? -b.load : -a.load);
            occupiedBackends -= b.openConnections.isEmpty() ? 1 : 0;
        }
        TrackingEntry entry = trackingTable.get(a.placementKey());
        if (entry != null && entry.openConnections.remove(a)) {
            sameKeyPairs -= entry.openConnections.size();
            entry.unusedSince = now;
            changeTracker.markChanged(entry);
        }
    }

    private boolean applyRosterEntry(Backend b, RosterEntry line, long now) {
        // Danger: a list that calls running backends gone would leave few or none; it alone does not count.
        boolean calledGone = b.stage == Stage.READY && line.stage() == Stage.GONE;
        if (removalNeedsConfirmation && calledGone && b.setUpFailuresWhileMissing < MAX_SET_UP_FAILURES_WHILE_MISSING) {
            b.missingFromRoster = true;
            return false;
        }
        b.missingFromRoster = false;
        b.setUpFailuresWhileMissing = 0;
        double weight = usesRosterWeights && line.weight() > 0 ? line.weight() : 1;
        boolean changed = b.weight != weight || (b.stage == Stage.GONE) != (line.stage() == Stage.GONE);
        if (line.stage() != Stage.READY && (b.stage == Stage.READY || b.drainNoticedAt == 0)) {
            b.drainNoticedAt = now;
            changeTracker.markChanged(b);
        }
        if (line.stage() == Stage.READY && line.startedAt() != b.startedAt) {
            b.successes = 0;
            b.failures = 0;
            b.overCapacityUntil = 0;
        }
        b.lastActiveAt = b.lastActiveAt == 0 ? now : b.lastActiveAt;
        b.stage = line.stage();
        b.startedAt = line.stage() == Stage.GONE ? b.startedAt : line.startedAt();
        b.weight = weight;
        b.cell = line.cell();
        b.zone = line.zone();
        slowStartsEndAt = Math.max(
                slowStartsEndAt,
                b.startedAt == 0 ? slowStartsEndAt : b.startedAt + slowStartDuration + slowStartDuration / 64);
        return changed;
    }

    /** Maglev: the listed backends, sorted by id, take slots in turn, each by its own offset and skip. */
    private void fillLookupTable() {
        preferenceOrder = new Backend[tableMembers.length];
        lookupTable = new Backend[tableMembers.length == 0 ? 0 : LOOKUP_TABLE_SIZE];
        int n = tableMembers.length;
        int[] next = new int[n];
        double[] turns = new double[n];
        double heaviest =
                Arrays.stream(tableMembers).mapToDouble(b -> b.weight).max().orElse(0);
        for (int i = 0; i < n; i++) {
            next[i] = (int) Long.remainderUnsigned(tableMembers[i].hash, LOOKUP_TABLE_SIZE);
        }
        for (int filled = 0, i = 0; n > 0 && filled < LOOKUP_TABLE_SIZE; i = (i + 1) % n) {
            turns[i] += tableMembers[i].weight / heaviest;
            if (turns[i] < 1) {
                continue;
            }
            turns[i]--;
            int skip = (int) Long.remainderUnsigned(Backend.mix64(tableMembers[i].hash), LOOKUP_TABLE_SIZE - 1) + 1;
            while (lookupTable[next[i]] != null) {
                next[i] = (next[i] + skip) % LOOKUP_TABLE_SIZE;
            }
            lookupTable[next[i]] = tableMembers[i];
            filled++;
        }
    }
}
