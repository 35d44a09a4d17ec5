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
 * Makes every placement decision of one relay. A relay has one instance and uses it from one thread. The caller passes
 * the time, which stays the same within a batch of events. There is no I/O, and random choices follow from the seed.
 * Times are in nanoseconds, loads in nanoseconds of work per second.
 *
 * <p>Ordinary path: the tracking table maps a key (the association's group, else its client) to the backend that holds
 * its connections. On a miss, the Maglev lookup table gives an order of backends that depends only on key and roster,
 * so that all relays agree. Mechanisms beside it: capacity weighting (slots in proportion to roster weight); load
 * limits (slow or overloaded backends are passed over even on a hit, a group is limited to a subset of backends, and
 * connections are moved off slow backends, the heaviest first); rebalancing during slow starts (misplaced connections
 * move to their assigned backend); slow start (a cold backend's weight grows with its age, and a budget limits
 * dispatches to it); outlier detection (a backend with failures gets work by its estimated chance of success); set-up
 * pacing (dispatches time out in time for a retry, and are spaced during widespread set-up failures); drain handling
 * (no new dispatch after half of the grace period); learned state (persisted by the caller, restored at a restart).
 */
public final class Balancer implements BalancingPolicy {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;
    private static final int LOOKUP_TABLE_SIZE = 4093; // prime, so that every skip reaches all slots
    private static final int MAX_TRACKING_ENTRIES = 1 << 16; // beyond it the least recently used entry is evicted
    // Changes missed by a silent watch count as received after 6 s. Finding it silent takes 3.2 s of that.
    private static final long MAX_FIRST_ROSTER_RETRY_DELAY = 2_300 * MILLISECOND;
    private static final int MAX_FAILURES_WHILE_MISSING = 2; // failed set-ups in a row, then it counts as gone
    // A relay sees one in relayCount^2 of the pairs of one group. Below about 16 relays it misses little.
    private static final int PAIR_VISIBILITY_SCALE = 16 * 16;
    private static final int UNOBSERVED_PAIRS = 4; // per group, assumed where others hold nearly all connections
    private static final int REBALANCE_ONE_IN = 8; // one in this many misplaced connections moves per second
    private static final int MAX_REBALANCE_CANDIDATES = 256; // connections examined per second, approximately
    private static final long REBALANCE_AFTER_SLOW_START = 5 * SECOND; // rebalancing goes on this long after the last
    private static final long TRACKING_ENTRY_LIFETIME = 60 * SECOND; // from the end of the last connection
    private static final long EVIDENCE_HALF_LIFE = 4 * SECOND; // of set-up successes and failures

    private final SplittableRandom random;
    private final HashMap<Long, Backend> backendsById = new HashMap<>();
    private Backend[] tableMembers = new Backend[0]; // ready and draining backends, sorted by id
    private Backend[] lookupTable = new Backend[0];
    private Backend[] preferenceOrder = new Backend[0]; // distinct backends from the current key's slot on
    private int preferenceCount; // backends in preferenceOrder
    private int nextTableSlot; // where the walk goes on, not reduced modulo the table's size
    private final LinkedHashMap<Long, TrackingEntry> trackingTable = new LinkedHashMap<>(256, 0.75f, true); // LRU order
    private long nextPurgeAt; // of unused tracking entries
    private int currentMark; // generation number of the latest pass that marks visited backends
    private DueActions pendingActions = new DueActions(); // collected until the next poll
    private long lastLoggedAt = Long.MIN_VALUE / 2;

    private final UseCase[] useCases;
    private final int maxDispatches; // per association
    private final int relayCount; // relays of the deployment, this one included
    private final boolean allowsConcurrentDispatches; // of one association
    private final boolean usesRosterWeights; // else all backends weigh 1
    private final boolean isDelayReported; // delay reports arrive
    private final boolean isDelayUnobserved; // the wire protocol shows no message delay at all
    private final boolean removalNeedsConfirmation; // a roster entry alone doesn't remove a ready backend
    private final boolean isRosterPushed; // pushed by an agent; no calls at start
    private final long drainGracePeriod; // from when this relay learned of the drain
    private final long rosterCallDeadline; // after it the relay counts as informed of a roster change
    private final long slowStartDuration; // age at which a backend is warm
    private final long slowStartBudgetWindow; // time over which unused budget accumulates
    private final long shedRetryAfter; // sent to shed clients; 0 for none
    private final double slowStartInitialFactor; // slow start factor at age 0
    private final double slowStartBudgetMultiple; // budget as a multiple of the rate of completed connections
    private final double totalConnectionQuota; // connections, summed over all tenants
    private long shortestMessageGoal = Long.MAX_VALUE / 4; // shortest goal for the delay of a message
    private long longestCutOff; // longest time that any client waits for an answer
    private double typicalLoad; // moving average of the load per connection
    private int loadReportCount; // load reports that typicalLoad rests on
    private long nextWatchAt; // when to call the roster service; Long.MAX_VALUE if no call is due
    private int rosterCallFailures; // consecutive
    private long nextRebalanceAt; // at most one pass a second
    private int rebalanceIndex; // member of the table at which the next rebalancing starts
    private double completedConnections; // decaying count, an estimate of the rate that warm backends sustain
    private long completedConnectionsUpdatedAt; // the count has decayed up to this time
    private long observedSince; // since when completed connections are counted
    private double typicalSetUpTime; // moving average, 0 before the first set-up
    private long setUpInterval; // between two set-ups while they are paced, else 0
    private long nextSetUpAt; // next time not yet reserved for a set-up
    // Sums over the ready backends, unless stated otherwise.
    private double effectiveWeightSum; // sum of weight times slow start factor
    private double rosterWeightSum; // sum of the weights alone
    private double effectiveBackendCount; // sum of the slow start factors
    private double totalLoad; // of open connections
    private int totalConnections; // open and pending
    private int occupiedBackends; // backends of any stage with an open connection
    private int readyBackends; // count, cold ones included
    private long sameKeyPairs; // pairs of open connections with the same placement key; estimates the number of groups
    private long totalsUpdatedAt; // when all sums were last recomputed
    private long slowStartsEndAt = Long.MIN_VALUE; // when the last known slow start ends
    private final LinkedHashSet<Backend> slowBackends = new LinkedHashSet<>(); // includes ones whose report has expired
    private final LinkedHashSet<Backend> recentlyTriedBackends = new LinkedHashSet<>(); // with recent set-up evidence
    private final ChangeTracker changeTracker = new ChangeTracker(); // changes since the last takeLearnedStateChanges
    private long staleRosterSince; // when it started with a roster too old to show restarts; 0 once a new one arrives
    private double restoredCompletionRate; // connections completed per nanosecond in the previous process
    private boolean hasWidespreadSetUpFailures; // many backends fail at once: a shared cause is assumed

    public Balancer(Map<String, String> settings, long seed, long now) {
        random = new SplittableRandom(seed);
        useCases = new UseCase[(int) Settings.getDouble(settings, "useCases.count")];
        for (int i = 0; i < useCases.length; i++) {
            useCases[i] = UseCase.fromSettings(settings, "useCases." + i + ".");
            longestCutOff = Math.max(longestCutOff, useCases[i].cutOff());
        }
        maxDispatches = (int) Settings.getDouble(settings, "limits.dispatches");
        allowsConcurrentDispatches = Boolean.parseBoolean(settings.get("limits.secondCopies"));
        isDelayReported = "true".equals(settings.get("familyInfo.tellsDelay"));
        // The wire protocol shows no delay. Repeated resets by a backend are then taken as a sign of overload.
        isDelayUnobserved = "unseen".equals(settings.get("familyInfo.tellsDelay"));
        drainGracePeriod = (long) Settings.getDouble(settings, "rules.drainGrace");
        removalNeedsConfirmation = Settings.getBoolean(settings, "rules.onlyDrainingBinds");
        slowStartInitialFactor = Settings.getDouble(settings, "rules.coldFrom");
        slowStartDuration = (long) Settings.getDouble(settings, "rules.cold");
        slowStartBudgetMultiple = Settings.getDouble(settings, "rules.fallMultiple");
        slowStartBudgetWindow = (long) Settings.getDouble(settings, "rules.fall");
        usesRosterWeights = List.of("nominal", "rough")
                .contains(Settings.getString(settings, "weights", "nominal", "rough", "none", "live"));
        isRosterPushed = Settings.getString(settings, "discovery", "pushed", "on_request")
                .equals("pushed");
        rosterCallDeadline = (long) Settings.getDoubleOrDefault(settings, "rules.askWithin", 16.0 * SECOND);
        boolean sendsRetryAfter = Boolean.parseBoolean(settings.get("limits.retryAfter"));
        shedRetryAfter = sendsRetryAfter ? (long) Settings.getDouble(settings, "limits.maxRetryAfter") : 0;
        for (double goal : Settings.getDoubles(settings, "familyInfo.messageAim")) {
            shortestMessageGoal = Math.min(shortestMessageGoal, (long) goal);
        }
        totalConnectionQuota = Arrays.stream(Settings.getDoubles(settings, "familyInfo.tenantQuotaConnections"))
                .sum();
        relayCount = (int) Settings.getDouble(settings, "relays");
        observedSince = now;
        completedConnectionsUpdatedAt = now;
        nextPurgeAt = now + TRACKING_ENTRY_LIFETIME;
        // Without this jitter, relays that start together would call together, and calls that queue too long fail.
        nextWatchAt = isRosterPushed
                ? Long.MAX_VALUE
                : now + new SplittableRandom(seed + 1).nextLong(rosterCallDelayRange(0));
    }

    // ---- decisions
    @Override
    public Decision selectBackend(Association association, long now) {
        if (association.closed || association.hasDispatchInFlight()) {
            return Decision.NOTHING;
        }
        // Answers now if no dispatch is possible any more. Otherwise the client would wait until its cut-off.
        if (now >= association.cutOffAt
                || association.dispatchCount - association.uncountedDispatches >= maxDispatches
                || !isSafeToRepeat(association, null, now)) {
            return shedOrForfeit(association);
        }
        // Set-up pacing: waits for the next free set-up time, unless too little time would be left then.
        if (setUpInterval > 0 && now < nextSetUpAt && association.reservedSetUpAt == 0 && !association.isMidFlow) {
            if (nextSetUpAt >= association.cutOffAt - useCases[association.useCase].cutOff() / 4) {
                return shedOrForfeit(association);
            }
            association.reservedSetUpAt = nextSetUpAt;
            nextSetUpAt += setUpInterval;
            return new Decision(Kind.WAIT, 0, association.reservedSetUpAt);
        }
        association.reservedSetUpAt = 0;
        nextSetUpAt = Math.max(nextSetUpAt, now + setUpInterval);
        Backend backend = findEligibleBackend(association, now);
        return backend != null ? dispatchTo(association, backend, now) : waitOrGiveUp(association, now);
    }

    @Override
    public Decision onDispatchFinished(
            Association association, int dispatch, DispatchOutcome outcome, boolean finished, long now) {
        if (dispatch < 0
                || dispatch >= association.dispatchCount
                || association.dispatchStates[dispatch] != DispatchState.IN_FLIGHT) {
            return Decision.NOTHING;
        }
        Backend backend = backendsById.get(association.sentTo[dispatch]);
        association.dispatchStates[dispatch] = outcome.neverRan ? DispatchState.NEVER_RAN : DispatchState.MAY_HAVE_RUN;
        removeConnection(association, backend, now);
        recordOutcome(backend, outcome, association.established, now);
        changeTracker.markChanged(backend);
        // An old roster lists backends that are gone. Attempts at those must not use up the dispatch limit.
        association.uncountedDispatches += staleRosterSince > 0 && outcome == DispatchOutcome.NOT_CONNECTED ? 1 : 0;
        // If all set-ups become slow and the timeout stays short, each association is dispatched several times.
        typicalSetUpTime = outcome == DispatchOutcome.TIMED_OUT
                ? Math.max(typicalSetUpTime, (now - association.sentAt[dispatch]) / 2.0)
                : typicalSetUpTime;
        if (finished || association.closed) {
            association.closed = true;
            return Decision.NOTHING;
        }
        return selectBackend(association, now);
    }

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
                    .removeIf(entry -> entry.openConnections.isEmpty()
                            && now - entry.unusedSince >= TRACKING_ENTRY_LIFETIME
                            && changeTracker.markRemoved(entry));
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

    // ---- events
    @Override
    public void onRosterUpdate(List<RosterEntry> entries, boolean complete, boolean cached, long now) {
        rosterCallFailures = 0;
        currentMark++;
        staleRosterSince = cached ? staleRosterSince : 0;
        boolean changed = false;
        for (RosterEntry entry : entries) {
            Backend backend = backendsById.computeIfAbsent(entry.backend(), Backend::new);
            backend.visitMark = currentMark;
            changed |= applyRosterEntry(backend, entry, now);
        }
        if (complete) {
            for (Backend b : tableMembers) {
                if (b.visitMark != currentMark) {
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
        // Backoff with jitter. Relays that retry in step would overload the service, and all would fail again.
        long base = rosterCallDelayRange(Math.min(rosterCallFailures, 4));
        // The first retry comes early, because changes that a silent watch misses count as received meanwhile.
        nextWatchAt = now
                + (rosterCallFailures++ == 0
                        ? random.nextLong(Math.min(base, MAX_FIRST_ROSTER_RETRY_DELAY))
                        : base / 2 + random.nextLong(base));
    }

    /** Range to spread all relays' calls over: 50 ms each, doubled {@code doublings} times, up to half the deadline. */
    private long rosterCallDelayRange(int doublings) {
        // A pushed roster counts as received once the local agent has it, even while no watch is open.
        long limit = Math.min(isRosterPushed ? SECOND / 4 : 8 * SECOND, rosterCallDeadline / 2);
        return Math.max(1, Math.min(limit, relayCount * 50 * MILLISECOND << doublings));
    }

    @Override
    public void onConnectionAdopted(Association association, long backendId, long now) {
        association.recordDispatch(backendId, now);
        Backend backend = backendsById.computeIfAbsent(backendId, Backend::new);
        backend.pendingDispatches++;
        addToTotals(backend, 1, 0);
        addConnection(association, backend);
    }

    @Override
    public LearnedState takeLearnedStateChanges(int maxEntries, long now) {
        LearnedState.RelayStatistics relayStatistics = new LearnedState.RelayStatistics(
                decayCompletedConnections(now),
                Math.min(now - observedSince, 10 * SECOND),
                typicalSetUpTime,
                typicalLoad,
                loadReportCount,
                setUpInterval);
        return changeTracker.takeChanges(
                maxEntries, tableFormat(), relayStatistics, backendsById.values(), trackingTable.values());
    }

    @Override
    public void restoreLearnedState(LearnedState state, boolean startTimesUnknown, long now) {
        completedConnections = state.relayStatistics().completedConnections();
        completedConnectionsUpdatedAt = now;
        observedSince = Math.min(observedSince, now - state.relayStatistics().observedFor());
        restoredCompletionRate = completedConnections / (state.relayStatistics().observedFor() + SECOND);
        typicalSetUpTime = state.relayStatistics().typicalSetUpTime();
        typicalLoad = state.relayStatistics().typicalLoad();
        loadReportCount = state.relayStatistics().loadReportCount();
        setUpInterval = Math.min(state.relayStatistics().setUpInterval(), relayCount * SECOND / 8);
        nextSetUpAt = setUpInterval > 0 ? now + random.nextLong(setUpInterval) : 0;
        for (LearnedState.BackendStatistics statistics : state.backends()) {
            Backend backend = backendsById.get(statistics.backend());
            if (backend != null && backend.restore(statistics)) {
                slowBackends.add(backend);
                recentlyTriedBackends.add(backend);
            }
        }
        hasWidespreadSetUpFailures = detectWidespreadSetUpFailures(now);
        for (LearnedState.Pin pin : state.pins()) {
            Backend backend = backendsById.get(pin.backend());
            // A pin to a backend that is no longer listed would take effect as soon as its id is listed again.
            boolean listed = backend != null && backend.stage != Stage.GONE;
            if (listed && state.tableFormat() == tableFormat() && trackingTable.size() < MAX_TRACKING_ENTRIES) {
                TrackingEntry entry = trackingTable.computeIfAbsent(pin.key(), TrackingEntry::new);
                entry.pinnedBackend = backend;
                entry.unusedSince = pin.unusedSince();
            }
        }
        staleRosterSince = startTimesUnknown ? now : 0;
        slowStartsEndAt = startTimesUnknown
                ? Math.max(slowStartsEndAt, now + slowStartDuration + slowStartDuration / 64)
                : slowStartsEndAt;
        recomputeTotals(now);
    }

    private long tableFormat() {
        return Backend.mix64(LOOKUP_TABLE_SIZE * 2 + (usesRosterWeights ? 1 : 0));
    }

    @Override
    public void onConnectionEstablished(Association association, int dispatch, long setUpTime, long now) {
        if (dispatch >= association.dispatchCount || association.established) {
            return;
        }
        Backend backend = backendsById.get(association.sentTo[dispatch]).decayEvidence(now, EVIDENCE_HALF_LIFE);
        backend.successes++;
        backend.setUpFailuresWhileMissing = 0;
        changeTracker.markChanged(backend);
        recentlyTriedBackends.add(backend);
        hasWidespreadSetUpFailures = hasWidespreadSetUpFailures && detectWidespreadSetUpFailures(now);
        setUpInterval = setUpInterval < relayCount * 12 * MILLISECOND ? 0 : setUpInterval / 2;
        typicalSetUpTime += (setUpTime - typicalSetUpTime) / 8;
        addConnection(association, backend);
    }

    @Override
    public void onLoadReport(Association association, double load, long now) {
        double increase = load - association.load;
        association.load = load;
        if (association.openConnectionIndex >= 0) {
            Backend backend = backendsById.get(association.sentTo[association.dispatchCount - 1]);
            addToTotals(backend, 0, increase);
            typicalLoad += (meanConnectionLoad() - typicalLoad) / Math.min(64, ++loadReportCount);
            if (increase > 0 && now - backend.lastOffloadAt > SECOND && isOverloaded(backend, now)) {
                backend.lastOffloadAt = now;
                requestMoves(backend, Math.max(1, backend.openConnections.size() / 6), now);
            }
        }
    }

    /**
     * True if the estimated load exceeds half of the backend's share of the tenants' quota and the fleet has room. Each
     * other relay is assumed to hold the mean of this relay's load there and the proportional share. With delay
     * unobserved, growing load would otherwise slow all connections of the backend unnoticed.
     */
    private boolean isOverloaded(Backend backend, long now) {
        double share = backend.weight * slowStartFactor(backend, now) / Math.max(rosterWeightSum, 1e-9),
                quota = 0.5 * totalConnectionQuota * typicalLoad;
        return isDelayUnobserved
                && loadReportCount > 32
                && totalLoad * relayCount < 0.7 * quota
                && backend.load * (relayCount + 1) / 2 + totalLoad * share * (relayCount - 1) / 2 > quota * share;
    }

    @Override
    public void onDelayReport(long backendId, long delay, long now) {
        Backend backend = backendsById.computeIfAbsent(backendId, Backend::new);
        boolean rising = delay >= backend.reportedDelay || now - backend.delayReportedAt > 3 * SECOND;
        if (delay * 3 > shortestMessageGoal) {
            double currentLoad = backend.effectiveLoad(meanConnectionLoad());
            backend.observedCapacity = !isSlow(backend, now) && backend.observedCapacity > 0
                    ? (backend.observedCapacity + currentLoad) / 2
                    : backend.observedCapacity == 0 ? currentLoad : Math.min(backend.observedCapacity, currentLoad);
            backend.lastSlowAt = now;
            slowBackends.add(backend);
        }
        backend.reportedDelay = delay * 3 > shortestMessageGoal ? delay : 0;
        backend.delayReportedAt = now;
        changeTracker.markChanged(backend);
        if (rising && delay > shortestMessageGoal) {
            // A hung backend keeps its connections open. If the delay exceeds what any client waits, all must move.
            boolean isHung = delay > (isDelayUnobserved ? SECOND : longestCutOff);
            requestMoves(
                    backend,
                    isHung
                            ? backend.openConnections.size()
                            : (int) (backend.openConnections.size() / 6.0 + random.nextDouble()),
                    now);
        }
    }

    /** Asks the {@code count} heaviest connections to move. Overload makes all connections of a backend slow. */
    private void requestMoves(Backend backend, int count, long now) {
        backend.openConnections.stream()
                .filter(a -> !a.moveRequested)
                .sorted(Comparator.comparing(a -> -a.load))
                .limit(count)
                .forEach(a -> {
                    a.moveRequested = true;
                    pendingActions.connectionsToMove.add(a);
                    logRateLimited("a backend is late, connections leave it", now);
                });
    }

    @Override
    public void onClientDisconnected(Association association, long now) {
        association.closed = true;
        if (association.hasDispatchInFlight()) {
            removeConnection(association, backendsById.get(association.sentTo[association.dispatchCount - 1]), now);
        }
    }

    /** Returns the pinned backend or the first eligible one in the key's order; null if there is none. */
    private Backend findEligibleBackend(Association association, long now) {
        if (now < slowStartsEndAt && now - totalsUpdatedAt > slowStartDuration / 256) {
            recomputeTotals(now);
        }
        // The slow share is taken of occupied or slow backends, plus two: new backends in a growing fleet aren't spare
        // capacity yet, and in a large fleet most backends send this relay no reports, which doesn't make them fast.
        slowBackends.removeIf(b -> b.stage == Stage.GONE || !isSlow(b, now));
        long unobservedSlow =
                slowBackends.stream().filter(b -> b.openConnections.isEmpty()).count();
        double slowShare = slowBackends.size()
                / Math.max(Math.min(effectiveBackendCount, occupiedBackends + unobservedSlow + 2), 1);
        TrackingEntry entry = trackingTable.get(association.placementKey());
        // A group costs each backend that holds any of it. Spread over all backends, it would overload them all.
        double subsetSize = association.groupKey == 0 ? tableMembers.length : subsetSize(entry, slowShare);
        int maxSpread = slowShare * 3 > 1 ? 1 + (int) subsetSize : 2 + (int) Math.round(subsetSize);
        int holderCount = 0;
        int holderMark = ++currentMark;
        for (Association other : entry == null ? List.<Association>of() : entry.openConnections) {
            Backend backend = backendsById.get(other.sentTo[other.dispatchCount - 1]);
            holderCount += backend.holdsKeyMark != holderMark && backend.stage != Stage.GONE ? 1 : 0;
            backend.holdsKeyMark = holderMark;
        }
        startPreferenceOrder(association);
        int subsetCount =
                association.groupKey == 0 || !isSampleTooSmall() ? 1 : assignSubsetIndex(association, subsetSize, now);
        TrackingEntry pin = trackingTable.get(association.pinKey());
        Backend pinned = association.placementKey() == 0 || pin == null ? null : pin.pinnedBackend;
        // An open connection is reset if it is sent elsewhere, so a mid-flow hit is not subject to load limits.
        boolean alreadyOpen = association.isMidFlow && association.dispatchCount == 0;
        if (pinned != null
                && pinned.stage == Stage.READY
                && !association.hasTried(pinned.id)
                && mayDispatch(pinned, association, true, now)
                && (alreadyOpen || passesOutlierDetection(pinned, now) && !isOverCapacity(pinned, slowShare, now))) {
            return pinned;
        }
        Backend fallback = null;
        boolean searchAll = slowShare * 4 <= 1
                || totalConnections > 3 * effectiveBackendCount
                || totalConnections * 4 > relayCount * effectiveBackendCount;
        for (int i = 0, readySeen = 0; i < tableMembers.length && (searchAll || readySeen <= maxSpread); i++) {
            Backend backend = preferredBackend(i < subsetCount ? (association.subsetIndex + i) % subsetCount : i);
            boolean likelyHolder = alreadyOpen && i == 0;
            readySeen += backend != null && backend.stage == Stage.READY ? 1 : 0;
            // More work would keep an entirely slow fleet slow, so then the association waits or is shed.
            if (backend == null
                    || !likelyHolder
                            && (backend.stage != Stage.READY
                                    || association.hasTried(backend.id)
                                    || isSlow(backend, now) && backend.reportedDelay > shortestMessageGoal
                                    || now < backend.overCapacityUntil
                                    || backend.effectiveLoad(meanConnectionLoad()) >= loadLimit(backend, now)
                                    || holderCount >= maxSpread && backend.holdsKeyMark != holderMark
                                    || slowShare * 4 > 1 && readySeen > maxSpread && !isIdle(backend, now)
                                    || !passesOutlierDetection(backend, now))
                    || !mayDispatch(backend, association, i == 0, now)) {
                continue;
            }
            if (likelyHolder || !isOverCapacity(backend, slowShare, now)) {
                return backend;
            }
            fallback = fallback == null ? backend : fallback;
        }
        return fallback;
    }

    /** True if this relay has too few connections per backend to see from them that a group overloads one. */
    private boolean isSampleTooSmall() {
        return totalConnections * 2 <= relayCount * effectiveBackendCount;
    }

    /** Number of backends, not rounded, that the group fills. A small sample assumes one more connection per group. */
    private double subsetSize(TrackingEntry entry, double slowShare) {
        int observed = entry == null ? 0 : entry.openConnections.size();
        // One of hundreds of relays holds few connections and may see no pair. It would take every group for a small
        // one, and all relays would put it on one backend. Some unseen pairs are therefore assumed, except while many
        // backends are slow or delay is unobserved, because each further backend that holds a group adds cost.
        double unobserved = isDelayUnobserved || slowShare * 3 > 1 ? 0 : unobservedShare();
        double pairs = totalConnections * (totalConnections + 1.0) / 2 + effectiveBackendCount * (0.25 + unobserved);
        double groupCount = pairs / (sameKeyPairs + 0.25 + UNOBSERVED_PAIRS * unobserved);
        return isSampleTooSmall()
                ? effectiveBackendCount * (1 + observed) / (totalConnections + groupCount)
                : effectiveBackendCount * observed / totalConnections;
    }

    /** Returns the share of same-group pairs that a relay can't see: near 0 with few relays, near 1 with a hundred. */
    private double unobservedShare() {
        return (double) relayCount * relayCount / (relayCount * relayCount + PAIR_VISIBILITY_SCALE);
    }

    private void startPreferenceOrder(Association a) {
        nextTableSlot = (int) Long.remainderUnsigned(
                Backend.mix64(a.placementKey() != 0 ? a.placementKey() : a.id), LOOKUP_TABLE_SIZE);
        preferenceCount = 0;
        currentMark++;
    }

    /** Returns the backend at this rank of the key's order, walking the table as needed; null past the end. */
    private Backend preferredBackend(int rank) {
        for (int end = nextTableSlot + LOOKUP_TABLE_SIZE;
                preferenceCount <= rank && nextTableSlot < end && lookupTable.length > 0;
                nextTableSlot++) {
            Backend backend = lookupTable[nextTableSlot % LOOKUP_TABLE_SIZE];
            if (backend.visitMark != currentMark) {
                backend.visitMark = currentMark;
                preferenceOrder[preferenceCount++] = backend;
            }
        }
        return rank < preferenceCount ? preferenceOrder[rank] : null;
    }

    /**
     * Sets the client's index in its group's subset and returns the subset's size. The subset is the start of the key's
     * order, up to the group's capacity. Weighted rendezvous hashing picks the client's backend, alike at all relays. A
     * reconnecting client gets a random one, since its own may be slow, unless delay is unobserved and nobody knows it.
     */
    private int assignSubsetIndex(Association association, double subsetSize, long now) {
        double lowestScore = Double.MAX_VALUE, warm = 0;
        int rank = 0;
        long clientHash = association.isReconnect && !association.isMidFlow && !isDelayUnobserved
                ? random.nextLong()
                : association.clientKey;
        // A subset of cold backends alone would be overloaded by the clients of the group arriving at once.
        for (double remaining = subsetSize; (remaining > 0.5 || warm < 1) && preferredBackend(rank) != null; rank++) {
            Backend backend = preferredBackend(rank);
            // If draining backends counted, their clients would go to the next ones in order, past the cold ones.
            if (backend.stage == Stage.READY || association.isMidFlow) {
                double score = rendezvousScore(clientHash, backend, now);
                remaining -= relativeCapacity(backend, now);
                warm += slowStartFactor(backend, now);
                association.subsetIndex = score < lowestScore ? rank : association.subsetIndex;
                lowestScore = Math.min(lowestScore, score);
            }
        }
        return Math.max(1, rank);
    }

    /** Weighted rendezvous hashing: the lowest score wins, with a probability proportional to the capacity. */
    private double rendezvousScore(long clientHash, Backend b, long now) {
        return -StrictMath.log((Backend.mix64(clientHash ^ b.hash) >>> 11) * 0x1p-53) / relativeCapacity(b, now);
    }

    /** Capacity relative to the mean; when cold, 1.25 times the slow start factor, which is the promised minimum. */
    private double relativeCapacity(Backend b, long now) {
        return b.weight * Math.min(1, 1.25 * slowStartFactor(b, now)) * effectiveBackendCount / effectiveWeightSum;
    }

    /**
     * Moves some connections whose assigned backend has changed. Those placed while new backends were cold would
     * otherwise stay on the few backends that took them, and nothing would show that they are slow there.
     */
    private void rebalance(DueActions due, long now) {
        nextRebalanceAt = now + SECOND;
        recomputeTotals(now);
        for (int i = 0, examined = 0; i < tableMembers.length && examined < MAX_REBALANCE_CANDIDATES; i++) {
            Backend backend = tableMembers[rebalanceIndex % tableMembers.length];
            rebalanceIndex = (rebalanceIndex + 1) % tableMembers.length;
            examined += backend.openConnections.size();
            for (Association a : backend.stage == Stage.READY ? backend.openConnections : List.<Association>of()) {
                if (a.groupKey != 0
                        && !a.moveRequested
                        && random.nextInt(REBALANCE_ONE_IN) == 0
                        && isMisplaced(a, backend, now)) {
                    a.moveRequested = true;
                    due.connectionsToMove.add(a);
                }
            }
        }
    }

    private boolean isMisplaced(Association a, Backend b, long now) {
        startPreferenceOrder(a);
        int previousIndex = a.subsetIndex;
        assignSubsetIndex(a, subsetSize(trackingTable.get(a.placementKey()), 0), now);
        Backend assigned = preferredBackend(a.subsetIndex);
        a.subsetIndex = previousIndex;
        return assigned != null
                && assigned.stage == Stage.READY
                && rendezvousScore(a.clientKey, assigned, now) < rendezvousScore(a.clientKey, b, now);
    }

    /** True if full, slow, just offloaded, at its load limit, or over twice (1.25 if many are slow) its fair share. */
    private boolean isOverCapacity(Backend b, double slowShare, long now) {
        double unit = meanConnectionLoad() == 0 ? 1 : meanConnectionLoad(); // one connection
        double fair = totalConnections * unit * b.weight * slowStartFactor(b, now) / Math.max(effectiveWeightSum, 1e-9);
        double bound = Math.max(1.25, 2 - 2 * slowShare); // factor, and margin in connections
        double current = b.effectiveLoad(meanConnectionLoad());
        return now < b.overCapacityUntil
                || isSlow(b, now)
                || now - b.lastOffloadAt < 5 * SECOND
                || current >= loadLimit(b, now)
                || current > bound * fair && current >= fair + bound * unit;
    }

    /** Load at which it was last slow, relaxed with time. It limits bursts that come before the first delay report. */
    private double loadLimit(Backend b, long now) {
        double elapsed = (double) (now - b.lastSlowAt) / (10 * SECOND);
        return b.observedCapacity == 0 ? Double.MAX_VALUE : b.observedCapacity * (1 + elapsed / 2 + elapsed * elapsed);
    }

    /** Returns the mean load of one connection, or 0 if no load is reported. */
    private double meanConnectionLoad() {
        return totalLoad > 0 && totalConnections > 0 ? totalLoad / totalConnections : 0;
    }

    /** Recomputes the sums over the ready backends. In between, addToTotals updates load and connections. */
    private void recomputeTotals(long now) {
        effectiveWeightSum = rosterWeightSum = effectiveBackendCount = totalLoad = totalConnections = readyBackends = 0;
        totalsUpdatedAt = now;
        for (Backend backend : tableMembers) {
            if (backend.stage == Stage.READY) {
                readyBackends++;
                effectiveWeightSum += backend.weight * slowStartFactor(backend, now);
                rosterWeightSum += backend.weight;
                effectiveBackendCount += slowStartFactor(backend, now);
                totalLoad += backend.load;
                totalConnections += backend.connectionCount();
            }
        }
    }

    private void addToTotals(Backend backend, int connectionDelta, double loadDelta) {
        backend.load += loadDelta;
        if (backend.stage == Stage.READY) {
            totalConnections += connectionDelta;
            totalLoad += loadDelta;
        }
    }

    /** True if more than half of the recently tried backends, and at least three, fail set-ups. */
    private boolean detectWidespreadSetUpFailures(long now) {
        long failing = recentlyTriedBackends.stream()
                .filter(b -> b.decayEvidence(now, EVIDENCE_HALF_LIFE).sharedCauseFailures >= 0.25)
                .count();
        recentlyTriedBackends.removeIf(b -> b.sharedCauseFailures + b.successes < 0.25 || b.stage == Stage.GONE);
        return failing * 2 > recentlyTriedBackends.size() && failing > 2;
    }

    /** True after a recent report of delay. Without open connections no report can follow, so it is valid longer. */
    private boolean isSlow(Backend backend, long now) {
        double retentionSeconds = backend.openConnections.isEmpty()
                ? Math.max(3, Math.min(30, 6 * effectiveBackendCount / Math.max(totalConnections, 1)))
                : 3;
        return backend.reportedDelay > 0 && now - backend.delayReportedAt < retentionSeconds * SECOND;
    }

    /** True if the backend has no connection although this relay has many, or has had none for long. */
    private boolean isIdle(Backend backend, long now) {
        return backend.connectionCount() == 0
                && (totalConnections > 3 * effectiveBackendCount
                        || totalConnections * 4 > relayCount * effectiveBackendCount
                                && now - backend.lastActiveAt > 5 * SECOND);
    }

    /** Returns the factor on a backend's weight: rises linearly from the initial factor to 1 with its age. */
    private double slowStartFactor(Backend backend, long now) {
        long start = slowStartBeganAt(backend);
        return start == 0 || now - start >= slowStartDuration
                ? 1
                : slowStartInitialFactor + (1 - slowStartInitialFactor) * Math.max(0, now - start) / slowStartDuration;
    }

    /** With a stale roster every backend counts as cold, since relays would overload those that just started. */
    private long slowStartBeganAt(Backend backend) {
        return Math.max(backend.startedAt, staleRosterSince);
    }

    /** Samples the success probability (beta posterior, normal approximation); true if it is at least one half. */
    private boolean passesOutlierDetection(Backend backend, long now) {
        // A slow shared store fails set-ups at all backends. Counting it against each would exclude them all.
        double failures = backend.decayEvidence(now, EVIDENCE_HALF_LIFE).failures
                - (hasWidespreadSetUpFailures ? backend.sharedCauseFailures : 0);
        double successes = 1 + backend.successes;
        double trials = successes + failures;
        double deviation = Math.sqrt(successes * failures / (trials * trials * (trials + 1)));
        return failures < 0.25 || successes / trials + deviation * random.nextGaussian() >= 0.5;
    }

    private void recordOutcome(Backend backend, DispatchOutcome outcome, boolean wasEstablished, long now) {
        backend.decayEvidence(now, EVIDENCE_HALF_LIFE);
        // A backend that is missing from the roster and really gone would fail dispatches again and again. Timeouts
        // don't count during widespread failures, as a slow shared store would then remove all missing backends.
        boolean setUpFailed = outcome == DispatchOutcome.NOT_CONNECTED
                || outcome == DispatchOutcome.TIMED_OUT && !hasWidespreadSetUpFailures;
        if (backend.missingFromRoster
                && setUpFailed
                && !wasEstablished
                && ++backend.setUpFailuresWhileMissing >= MAX_FAILURES_WHILE_MISSING) {
            applyRosterEntry(
                    backend,
                    new RosterEntry(backend.id, Stage.GONE, 0, backend.cell, backend.weight, backend.zone, 0),
                    now);
            rebuildTableMembers();
            recomputeTotals(now);
        }
        switch (outcome) {
            case FULL -> backend.overCapacityUntil = now + SECOND / 2;
            case NOT_CONNECTED -> backend.failures++;
            case RESET -> {
                backend.failures += wasEstablished ? 0.5 : 1;
                long elapsed = now - backend.lastResetAt;
                backend.lastResetAt = wasEstablished ? now : backend.lastResetAt;
                // With delay unobserved, clients would return again and again to a backend that resets them.
                if (isDelayUnobserved && wasEstablished && elapsed > SECOND / 10 && elapsed < 2 * SECOND) {
                    onDelayReport(backend.id, shortestMessageGoal, now);
                }
            }
            case ERROR, TIMED_OUT -> {
                backend.failures++;
                backend.sharedCauseFailures++;
                recentlyTriedBackends.add(backend);
                hasWidespreadSetUpFailures = detectWidespreadSetUpFailures(now);
                // Retries of all relays would keep a shared store overloaded. Set-ups are spaced until some succeed.
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

    // ---- dispatching, its preconditions, and giving up
    /** Rule 2, no effect twice: true if a dispatch is safe at the backend, or with null at some backend. */
    private boolean isSafeToRepeat(Association association, Backend backend, long now) {
        UseCase useCase = useCases[association.useCase];
        for (int d = 0; d < association.dispatchCount; d++) {
            Backend earlier = backendsById.get(association.sentTo[d]);
            boolean outsideScope = backend != null
                    && (useCase.scope() == DeduplicationScope.ZONE && earlier.zone != backend.zone
                            || useCase.scope() == DeduplicationScope.CELL && earlier.cell != backend.cell);
            boolean undetected = outsideScope || now - association.sentAt[d] >= useCase.deduplicationWindow();
            if (association.dispatchStates[d] != DispatchState.NEVER_RAN
                    && (useCase.effect() == Effect.BINDING || useCase.effect() == Effect.FINGERPRINTED && undetected)) {
                return false;
            }
        }
        return true;
    }

    /** Checks rules 2 (no effect twice), 3 (drain grace) and 4 (slow start). Every dispatch must pass it. */
    private boolean mayDispatch(Backend backend, Association association, boolean isAssigned, long now) {
        if (association.closed
                || association.hasDispatchInFlight() && !allowsConcurrentDispatches
                || !isSafeToRepeat(association, backend, now)) {
            return false;
        }
        // Rule 3: no new dispatch past the grace period; the relay stops at half of it.
        if (backend.stage != Stage.READY && now - backend.drainNoticedAt >= drainGracePeriod / 2) {
            return false;
        }
        // Rule 4: cold backends are not overloaded.
        if (slowStartFactor(backend, now) < 1) {
            double rate = slowStartRate(backend, now);
            if (backend.slowStartBudgetUpdatedAt < slowStartBeganAt(backend)) {
                // A random initial budget. Relays that start together would otherwise all dispatch at the same time.
                double initialBudget = staleRosterSince > 0 ? 1 : isSampleTooSmall() ? unobservedShare() : 0;
                backend.slowStartBudget = initialBudget > 0 ? random.nextDouble() * initialBudget : 0;
                backend.slowStartBudgetUpdatedAt = Math.max(slowStartBeganAt(backend), now - slowStartBudgetWindow);
            }
            backend.slowStartBudget = Math.min(
                    Math.max(1, rate * slowStartBudgetWindow),
                    backend.slowStartBudget + rate * (now - backend.slowStartBudgetUpdatedAt));
            backend.slowStartBudgetUpdatedAt = now;
            // With a hundred relays none earns a whole dispatch in time, and new backends would get nothing. A client's
            // assigned backend may exceed the budget, since assignment follows the slow start factor and the sum stays
            // in proportion. The smaller the warm share of the fleet, the smaller the excess. A mid-flow connection
            // needs no budget of its own, since it is probably open there already.
            double maxOverdraft = unobservedShare()
                    * Math.min(
                            1,
                            4
                                    * effectiveBackendCount
                                    * effectiveBackendCount
                                    / Math.max(readyBackends * readyBackends, 1));
            int required = association.isMidFlow && association.dispatchCount == 0 ? 0 : 1;
            return backend.slowStartBudget >= 1
                    || isAssigned && isSampleTooSmall() && backend.slowStartBudget > required - maxOverdraft;
        }
        return true;
    }

    /** Returns this relay's share of the dispatches per nanosecond that a backend of this weight and age may get. */
    private double slowStartRate(Backend backend, long now) {
        decayCompletedConnections(now);
        // Based on completed connections. In a reset storm dispatches repeat and would inflate the budget.
        double observedTime = Math.min(now - observedSince, 10 * SECOND) + SECOND;
        // While few backends are slow, a warm backend can sustain a multiple of what it is seen to do.
        int headroom = !isDelayReported || slowBackends.size() * 8 > tableMembers.length ? 1 : 4;
        // With a stale roster all backends count as cold. Dividing by effective weights would cancel the factor.
        double rate = slowStartBudgetMultiple
                * slowStartFactor(backend, now)
                * headroom
                * (staleRosterSince > 0
                        ? Math.max(restoredCompletionRate, completedConnections / observedTime)
                        : completedConnections / observedTime)
                * backend.weight
                / Math.max(staleRosterSince > 0 ? rosterWeightSum : effectiveWeightSum, 1e-9);
        // Without learned state the rate would stay 0. Any backend can set up one connection per budget window.
        return staleRosterSince > 0
                ? Math.max(rate, slowStartBudgetMultiple / relayCount / slowStartBudgetWindow)
                : rate;
    }

    private double decayCompletedConnections(long now) {
        completedConnections *= StrictMath.exp(-(double) (now - completedConnectionsUpdatedAt) / (10 * SECOND));
        completedConnectionsUpdatedAt = now;
        return completedConnections;
    }

    private Decision dispatchTo(Association association, Backend backend, long now) {
        backend.slowStartBudget -= slowStartFactor(backend, now) < 1 ? 1 : 0;
        association.recordDispatch(backend.id, now);
        backend.lastActiveAt = now;
        backend.pendingDispatches++;
        addToTotals(backend, 1, 0);
        return new Decision(Kind.SEND, backend.id, dispatchTimeout(association, now));
    }

    /** Returns the timeout of the next dispatch. Unless it is the last, it leaves time for another before the goal. */
    private long dispatchTimeout(Association association, long now) {
        long typicalTimeout = Math.max(useCases[association.useCase].goalTime() / 2, (long) (4 * typicalSetUpTime));
        boolean isLast =
                association.dispatchCount - association.uncountedDispatches >= maxDispatches || setUpInterval > 0;
        return isLast ? association.cutOffAt - now : Math.min(association.cutOffAt - now, typicalTimeout);
    }

    /** Waits with exponential backoff (50 ms to 1.6 s) if that ends before the goal time, else gives up. */
    private Decision waitOrGiveUp(Association association, long now) {
        long retryAt = now + (50 * MILLISECOND << Math.min(association.waitCount++, 5));
        UseCase useCase = useCases[association.useCase];
        return retryAt < association.cutOffAt - useCase.cutOff() + useCase.goalTime()
                ? new Decision(Kind.WAIT, 0, retryAt)
                : shedOrForfeit(association);
    }

    /** Rule 1, one final answer: closes the association; shed if no dispatch can have had an effect, else forfeited. */
    private Decision shedOrForfeit(Association association) {
        association.closed = true;
        UseCase useCase = useCases[association.useCase];
        boolean mayShed = useCase.effect() == Effect.RETRIABLE
                || useCase.scope() == DeduplicationScope.ALL
                || association.noDispatchRan();
        return mayShed ? new Decision(Kind.SHED, 0, shedRetryAfter) : Decision.FORFEIT;
    }

    /** Queues a log message, at most one in five seconds. */
    private void logRateLimited(String message, long now) {
        if (now - lastLoggedAt >= 5 * SECOND && pendingActions.logMessages.add(message)) {
            lastLoggedAt = now;
        }
    }

    private void addConnection(Association association, Backend backend) {
        association.established = true;
        backend.pendingDispatches--;
        backend.addConnection(association);
        occupiedBackends += backend.openConnections.size() == 1 ? 1 : 0;
        addToTotals(backend, 0, association.load);
        if (association.placementKey() != 0) {
            TrackingEntry entry = trackingTable.computeIfAbsent(association.placementKey(), TrackingEntry::new);
            sameKeyPairs += entry.openConnections.size();
            entry.openConnections.add(association);
            TrackingEntry pin = association.subsetIndex <= 0
                    ? entry
                    : trackingTable.computeIfAbsent(association.pinKey(), TrackingEntry::new);
            pin.pinnedBackend = backend;
            changeTracker.markChanged(entry);
            changeTracker.markChanged(pin);
            if (trackingTable.size() > MAX_TRACKING_ENTRIES) {
                changeTracker.markRemoved(
                        trackingTable.remove(trackingTable.keySet().iterator().next()));
            }
        }
    }

    private void removeConnection(Association association, Backend backend, long now) {
        backend.lastActiveAt = now;
        if (!association.established) {
            backend.pendingDispatches--;
            addToTotals(backend, -1, 0);
        }
        if (backend.removeConnection(association)) {
            addToTotals(backend, -1, backend.openConnections.isEmpty() ? -backend.load : -association.load);
            occupiedBackends -= backend.openConnections.isEmpty() ? 1 : 0;
        }
        TrackingEntry entry = trackingTable.get(association.placementKey());
        if (entry != null && entry.openConnections.remove(association)) {
            sameKeyPairs -= entry.openConnections.size();
            entry.unusedSince = now;
            changeTracker.markChanged(entry);
        }
    }

    /** Applies one roster entry; true if the lookup table must be rebuilt. */
    private boolean applyRosterEntry(Backend backend, RosterEntry entry, long now) {
        // A faulty roster may omit running backends, so removal needs failed set-ups too. Else few would be left.
        boolean removed = backend.stage == Stage.READY && entry.stage() == Stage.GONE;
        if (removalNeedsConfirmation && removed && backend.setUpFailuresWhileMissing < MAX_FAILURES_WHILE_MISSING) {
            backend.missingFromRoster = true;
            return false;
        }
        backend.missingFromRoster = false;
        backend.setUpFailuresWhileMissing = 0;
        double weight = usesRosterWeights && entry.weight() > 0 ? entry.weight() : 1;
        boolean changed = backend.weight != weight || (backend.stage == Stage.GONE) != (entry.stage() == Stage.GONE);
        if (entry.stage() != Stage.READY && (backend.stage == Stage.READY || backend.drainNoticedAt == 0)) {
            backend.drainNoticedAt = now;
            changeTracker.markChanged(backend);
        }
        if (entry.stage() == Stage.READY && entry.startedAt() != backend.startedAt) {
            backend.successes = 0;
            backend.failures = 0;
            backend.overCapacityUntil = 0;
        }
        backend.lastActiveAt = backend.lastActiveAt == 0 ? now : backend.lastActiveAt;
        backend.stage = entry.stage();
        backend.startedAt = entry.stage() == Stage.GONE ? backend.startedAt : entry.startedAt();
        backend.weight = weight;
        backend.cell = entry.cell();
        backend.zone = entry.zone();
        slowStartsEndAt = Math.max(
                slowStartsEndAt,
                backend.startedAt == 0
                        ? slowStartsEndAt
                        : backend.startedAt + slowStartDuration + slowStartDuration / 64);
        return changed;
    }

    /** Maglev: members, sorted by id, take slots in weighted turns; each walks from its own offset by its own skip. */
    private void fillLookupTable() {
        preferenceOrder = new Backend[tableMembers.length];
        lookupTable = new Backend[tableMembers.length == 0 ? 0 : LOOKUP_TABLE_SIZE];
        int count = tableMembers.length;
        int[] nextSlot = new int[count];
        double[] credit = new double[count];
        double maxWeight =
                Arrays.stream(tableMembers).mapToDouble(b -> b.weight).max().orElse(0);
        for (int i = 0; i < count; i++) {
            nextSlot[i] = (int) Long.remainderUnsigned(tableMembers[i].hash, LOOKUP_TABLE_SIZE);
        }
        for (int filled = 0, i = 0; count > 0 && filled < LOOKUP_TABLE_SIZE; i = (i + 1) % count) {
            credit[i] += tableMembers[i].weight / maxWeight;
            if (credit[i] < 1) {
                continue;
            }
            credit[i]--;
            int skip = (int) Long.remainderUnsigned(Backend.mix64(tableMembers[i].hash), LOOKUP_TABLE_SIZE - 1) + 1;
            while (lookupTable[nextSlot[i]] != null) {
                nextSlot[i] = (nextSlot[i] + skip) % LOOKUP_TABLE_SIZE;
            }
            lookupTable[nextSlot[i]] = tableMembers[i];
            filled++;
        }
    }
}
