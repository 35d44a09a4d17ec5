package ambertrestle.decide;

import ambertrestle.decide.RosterEntry.Stage;
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
 * Times are in nanoseconds, loads in nanoseconds of work per second. "Ready backends" are those of stage {@code READY},
 * cold ones included.
 *
 * <p>Ordinary path: the tracking table maps an association's key (its group, or else its client) to the backend of the
 * connection that the key opened last, the key's pin. If that backend is eligible, it gets the dispatch. Otherwise the
 * Maglev lookup table gives the key's preference order, an order of backends that depends only on the key and the
 * roster, so that all relays agree on it. The first eligible backend in that order gets the dispatch. If none is
 * eligible, the association waits with exponential backoff until its goal time and is then given up.
 *
 * <p>Four rules hold for every decision:
 *
 * <ol>
 *   <li>Each association gets exactly one final answer.
 *   <li>No effect happens twice: a dispatch that may have run is only repeated where that is safe.
 *   <li>A draining backend gets no new dispatch after its grace period. While a pushed roster is unconfirmed for longer
 *       than that, any backend may drain, and dispatches wait ({@link RosterLease}).
 *   <li>A cold backend is not overloaded.
 * </ol>
 *
 * <p>Mechanisms beside the ordinary path:
 *
 * <ul>
 *   <li>Capacity weighting: a backend takes slots of the lookup table in proportion to its roster weight.
 *   <li>Load limits: slow and overloaded backends are passed over, even if the tracking table has a pin to them. A
 *       group's connections are limited to a subset of the backends: the first ones of its preference order. While this
 *       relay has too few connections to see how a group is spread, rendezvous hashing assigns each client of the group
 *       one backend of the subset, the same at all relays.
 *   <li>Offloading: some connections are asked to leave a slow or overloaded backend, the heaviest first.
 *   <li>Rebalancing: while delay is unobserved, during slow starts and shortly after, a few connections per second move
 *       to the backend that the lookup table assigns to them by now.
 *   <li>Slow start: a cold backend's weight grows with its age. A budget limits the dispatches to it.
 *   <li>Outlier detection: a backend with recent failures gets a dispatch with the probability that most of its set-ups
 *       currently succeed.
 *   <li>Set-up pacing: dispatches time out early enough for a retry before the goal time. During widespread set-up
 *       failures, set-ups are spaced.
 *   <li>Learned state: the caller persists it and restores it after a restart, so that a relay doesn't start without
 *       pins and backend statistics.
 * </ul>
 */
public final class Balancer implements BalancingPolicy {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;
    /** Smallest divisor of a share; avoids division by zero while no backend is ready. */
    private static final double MIN_DIVISOR = 1e-9;
    /** Entries of the tracking table. Beyond this number the least recently used entry is evicted. */
    private static final int MAX_TRACKING_ENTRIES = 1 << 16;
    /** Shortest time from the end of a key's last connection until its tracking entry is removed. */
    private static final long TRACKING_ENTRY_LIFETIME = 60 * SECOND;
    /** Time between two removals of unused tracking entries. */
    private static final long PURGE_INTERVAL = TRACKING_ENTRY_LIFETIME / 4;
    /** Unless it is set, the time after a roster change within which the relay must know of it. */
    private static final double DEFAULT_ROSTER_CALL_DEADLINE = 16.0 * SECOND;
    /**
     * Time before an association's cut-off up to which it waits for the roster. A dispatch after that would hardly be
     * answered in time, and a binding association could no longer be shed.
     */
    private static final long MIN_SET_UP_RESERVE = 50 * MILLISECOND;
    /** First wait of an association for an eligible backend; each further wait is twice as long. */
    private static final long MIN_WAIT = 50 * MILLISECOND;
    /** Number of times that an association's wait doubles. */
    private static final int MAX_WAIT_DOUBLINGS = 5;
    /** Weight of a new set-up time in the moving average is one divided by this. */
    private static final int SET_UP_TIME_SMOOTHING = 8;
    /** A dispatch times out after at least this many typical set-up times. */
    private static final int TIMEOUT_TO_SET_UP_TIME_RATIO = 4;
    /** Load reports after which the typical load is no longer a plain average but an exponential moving one. */
    private static final int LOAD_AVERAGE_REPORTS = 64;
    /** Load reports that only establish the typical load; no backend counts as overloaded before. */
    private static final int MIN_LOAD_REPORTS = 32;
    /**
     * Share of the tenants' connection quota, at typical load, that the backends are taken to carry without overload.
     */
    private static final double SUSTAINABLE_QUOTA_SHARE = 0.5;
    /** A backend only counts as overloaded if the whole fleet carries less than this share of what it can sustain. */
    private static final double MAX_FLEET_LOAD_SHARE = 0.7;
    /** A delay above this means that the backend hangs, if the wire protocol shows no message delay. */
    private static final long HUNG_DELAY_IF_UNOBSERVED = SECOND;
    /**
     * Validity in seconds of a delay report from a backend without open connections if this relay has one connection
     * per ready backend on average; longer with fewer connections, shorter with more.
     */
    private static final int SPARSE_DELAY_REPORT_SECONDS = 6;
    /** Some backends are slow if more than one in this many is. Connections of groups then stay in their subsets. */
    private static final int SOME_SLOW_ONE_IN = 4;
    /** Many backends are slow if more than one in this many is. Groups then get smaller subsets. */
    private static final int MANY_SLOW_ONE_IN = 3;
    /** Added to the divisor of the share of slow backends; keeps the share low while few backends are occupied. */
    private static final int SLOW_SHARE_EXTRA_BACKENDS = 2;
    /** Connections per ready backend above which a backend without any connection of this relay is idle. */
    private static final int MANY_CONNECTIONS_PER_BACKEND = 3;
    /**
     * This relay's connections are a sufficient sample of all connections if there are more per ready backend than the
     * number of relays divided by this.
     */
    private static final int SAMPLE_SIZE_DIVISOR = 2;
    /** The same, for recognizing idle backends. */
    private static final int IDLE_SAMPLE_SIZE_DIVISOR = 4;
    /** Pairs with the same key that are assumed before any is seen; also assumed per backend among all pairs. */
    private static final double PRIOR_PAIRS = 0.25;
    /**
     * Scale of {@link #unobservedShare}: with 16 relays, half of the pairs count as unobserved. A relay sees only one
     * in relayCount^2 of the pairs of a group's connections, because both must pass through it.
     */
    private static final int PAIR_VISIBILITY_SCALE = 16 * 16;
    /** Pairs with the same key that a relay assumes in addition if it can see next to none of them. */
    private static final int UNOBSERVED_PAIRS = 4;
    /** A subset is complete if it lacks at most this capacity, in backends of mean weight. */
    private static final double SUBSET_TOLERANCE = 0.5;
    /** Capacity of a cold backend as a multiple of its slow start factor, the least that the settings promise. */
    private static final double COLD_CAPACITY_MULTIPLE = 1.25;
    /** Multiple of its fair share of the load above which a backend is over capacity while no backend is slow. */
    private static final int MAX_FAIR_SHARE_MULTIPLE = 2;
    /** Lowest value of that multiple, to which it falls as more backends are slow. */
    private static final double MIN_FAIR_SHARE_MULTIPLE = 1.25;
    /** Chance of a successful set-up that a backend must have to pass outlier detection. */
    private static final double MIN_SUCCESS_CHANCE = 0.5;
    /** A rebalancing pass moves a misplaced connection that it examines with a chance of one in this many. */
    private static final int REBALANCE_ONE_IN = 8;
    /** Connections after which a rebalancing pass ends; those of the last backend are all examined. */
    private static final int MAX_REBALANCE_CANDIDATES = 256;
    /** Time for which rebalancing goes on after the last slow start has ended. */
    private static final long REBALANCE_AFTER_SLOW_START = 5 * SECOND;
    /** Time constant of the exponential decay of completed connections, and longest time that their rate covers. */
    private static final long COMPLETION_RATE_WINDOW = 10 * SECOND;
    /** No set-up is put off into the last part of an association's time: the use case's cut-off divided by this. */
    private static final int PACING_RESERVE_DIVISOR = 4;
    /** Shortest interval between paced set-ups of all relays together; one relay's is this times the relay count. */
    private static final int MIN_SET_UP_INTERVAL_MILLIS = 12;
    /** Lowest rate of paced set-ups, in set-ups per second of all relays together. */
    private static final int MIN_SET_UP_RATE = 8;
    /** The sums over the ready backends are recomputed at most this many times in the course of a slow start. */
    private static final int RECOMPUTATIONS_PER_SLOW_START = 256;
    /**
     * The sums are recomputed for a margin after a slow start: its duration divided by this. The margin exceeds the
     * time between two recomputations, so that one takes place after the end.
     */
    private static final int SLOW_START_MARGIN_DIVISOR = 64;
    /** Multiple of the observed rate of completed connections that a warm backend sustains while few are slow. */
    private static final int WARM_HEADROOM = 4;
    /** That multiple applies unless more than one in this many backends is slow. */
    private static final int HEADROOM_SLOW_ONE_IN = 8;
    /** Shortest time between two log messages. */
    private static final long LOG_INTERVAL = 5 * SECOND;

    private final SplittableRandom random;
    /** Every backend that the roster ever listed or that had an adopted connection or a delay report. */
    private final HashMap<Long, Backend> backendsById = new HashMap<>();
    /** The Maglev lookup table; its members are the ready and draining backends. */
    private final LookupTable lookupTable = new LookupTable();
    /** Tracking entries by placement key or pin key, in order of last access. */
    private final LinkedHashMap<Long, TrackingEntry> trackingTable = new LinkedHashMap<>(256, 0.75f, true);
    /** When unused tracking entries are next removed. */
    private long nextPurgeAt;
    /** Number of the latest pass over backends; a backend with an equal mark was visited in it. */
    private int currentMark;
    /** Actions collected until the next poll. */
    private DueActions pendingActions = new DueActions();
    /** Time of the last log message. */
    private long lastLoggedAt = Backend.LONG_AGO;

    /** Use cases by the index that associations refer to. */
    private final UseCase[] useCases;
    /** Limit on the dispatches of one association. */
    private final int maxDispatches;
    /** Number of relays of the deployment, this one included. */
    private final int relayCount;
    /** Share of a group's pairs that one relay can't see: near 0 with few relays, near 1 with a hundred. */
    private final double unobservedShare;
    /** The settings allow several dispatches in flight. {@link #selectBackend} makes no further one even so. */
    private final boolean allowsConcurrentDispatches;
    /** Roster weights count; otherwise every backend weighs 1. */
    private final boolean usesRosterWeights;
    /** Message delays are reported through {@link #onDelayReport}. */
    private final boolean isDelayReported;
    /** The wire protocol shows no message delay. Repeated resets by a backend are then taken as a sign of overload. */
    private final boolean isDelayUnobserved;
    /** A ready backend that the roster calls gone is only removed once set-ups fail there too. */
    private final boolean removalNeedsConfirmation;
    /**
     * Time for which a draining backend may get dispatches, from when the drain counts as known to this relay: half of
     * the grace period that the settings allow. The rest is a margin.
     */
    private final long dispatchGrace;
    /** Tells whether the roster may be used for new dispatches; always, unless the host asks for confirmations. */
    private final RosterLease rosterLease;
    /** Age at which a backend is warm. */
    private final long slowStartDuration;
    /** Time over which unused slow start budget accumulates. */
    private final long slowStartBudgetWindow;
    /** Time after which shed clients may retry, sent to them; 0 if none is sent. */
    private final long shedRetryAfter;
    /** Slow start factor at age 0. */
    private final double slowStartInitialFactor;
    /** Rate at which the slow start budget grows, as a multiple of the rate of completed connections. */
    private final double slowStartBudgetMultiple;
    /** Quota of connections, summed over all tenants; 0 if there is none. */
    private final double totalConnectionQuota;
    /** Shortest goal for the delay of a message; very large if no goal is set. */
    private long shortestMessageGoal = Long.MAX_VALUE / 4;
    /** Longest time that a client of any use case waits for an answer. */
    private long longestCutOff;
    /** Moving average of the load per connection; 0 before the first load report. */
    private double typicalLoad;
    /** Number of load reports that {@link #typicalLoad} is based on. */
    private int loadReportCount;

    /** When to call the roster service. */
    private final RosterCallSchedule rosterCalls;
    /** Time of the next rebalancing pass, at most one per second. */
    private long nextRebalanceAt;
    /** Index of the table member at which the next rebalancing pass starts. */
    private int rebalanceIndex;
    /** Normally ended connections, decaying exponentially; an estimate of what warm backends sustain. */
    private double completedConnections;
    /** Time up to which {@link #completedConnections} has been decayed. */
    private long completedConnectionsUpdatedAt;
    /** Since when completed connections are counted, including the time for which the restored count was observed. */
    private long observedSince;
    /** Moving average of the set-up time; 0 before the first set-up. */
    private double typicalSetUpTime;
    /** Time between two set-ups of this relay while set-ups are paced; 0 if they are not. */
    private long setUpInterval;
    /** Earliest time that is not yet reserved for a set-up. */
    private long nextSetUpAt;
    /** Sum over the ready backends of weight times slow start factor. */
    private double effectiveWeightSum;
    /** Sum over the ready backends of the weights alone. */
    private double rosterWeightSum;
    /** Sum over the ready backends of the slow start factors. */
    private double effectiveBackendCount;
    /** Sum over the ready backends of the loads of this relay's open connections. */
    private double totalLoad;
    /** Sum over the ready backends of this relay's open connections and pending dispatches. */
    private int totalConnections;
    /** Number of backends of any stage with an open connection of this relay. */
    private int occupiedBackends;
    /** Number of ready backends, cold ones included. */
    private int readyBackends;
    /** Pairs of open connections with the same placement key; the number of groups is estimated from it. */
    private long sameKeyPairs;
    /** When the sums over the ready backends were last recomputed. */
    private long totalsUpdatedAt;
    /** When the last known slow start ends, plus a margin; see {@link #SLOW_START_MARGIN_DIVISOR}. */
    private long slowStartsEndAt = Long.MIN_VALUE;
    /** Backends that may be slow; those whose report has expired are dropped at the next selection. */
    private final LinkedHashSet<Backend> slowBackends = new LinkedHashSet<>();
    /** Backends with recent evidence of set-ups, so that detecting widespread failures needn't visit all backends. */
    private final LinkedHashSet<Backend> recentlyTriedBackends = new LinkedHashSet<>();
    /** Dispatches of ended associations whose use cases limit repeats. */
    private final DispatchHistory dispatchHistory = new DispatchHistory();
    /** Records what changed since learned state was last taken. */
    private final ChangeTracker changeTracker = new ChangeTracker();
    /**
     * When the relay started with a roster so old that any backend may have restarted since; 0 if it didn't, and once a
     * current roster has arrived.
     */
    private long staleRosterSince;
    /**
     * Connections completed per nanosecond in the previous process; 0 without learned state. Used while the roster is
     * stale, since connections of this process take time to complete.
     */
    private double restoredCompletionRate;
    /** More than half of the recently tried backends, and at least three, fail set-ups: they may share the cause. */
    private boolean hasWidespreadSetUpFailures;

    /**
     * Creates the balancer of a relay that starts now.
     *
     * @param settings the flat settings; missing or invalid ones fail with an {@link IllegalArgumentException}
     * @param seed seed of all random choices
     * @param now current time in nanoseconds
     */
    public Balancer(Map<String, String> settings, long seed, long now) {
        random = new SplittableRandom(seed);
        long shortestCutOff = Long.MAX_VALUE;
        useCases = new UseCase[(int) Settings.getDouble(settings, "useCases.count")];
        for (int i = 0; i < useCases.length; i++) {
            useCases[i] = UseCase.fromSettings(settings, "useCases." + i + ".");
            longestCutOff = Math.max(longestCutOff, useCases[i].cutOff());
            shortestCutOff = Math.min(shortestCutOff, useCases[i].cutOff());
        }
        maxDispatches = (int) Settings.getDouble(settings, "limits.dispatches");
        allowsConcurrentDispatches = Boolean.parseBoolean(settings.get("limits.secondCopies"));
        isDelayReported = "true".equals(settings.get("familyInfo.tellsDelay"));
        isDelayUnobserved = "unseen".equals(settings.get("familyInfo.tellsDelay"));
        dispatchGrace = (long) Settings.getDouble(settings, "rules.drainGrace") / 2;
        rosterLease = new RosterLease(dispatchGrace, shortestCutOff - shortestCutOff / PACING_RESERVE_DIVISOR);
        removalNeedsConfirmation = Settings.getBoolean(settings, "rules.onlyDrainingBinds");
        slowStartInitialFactor = Settings.getDouble(settings, "rules.coldFrom");
        slowStartDuration = (long) Settings.getDouble(settings, "rules.cold");
        slowStartBudgetMultiple = Settings.getDouble(settings, "rules.fallMultiple");
        slowStartBudgetWindow = (long) Settings.getDouble(settings, "rules.fall");
        usesRosterWeights = List.of("nominal", "rough")
                .contains(Settings.getString(settings, "weights", "nominal", "rough", "none", "live"));
        boolean sendsRetryAfter = Boolean.parseBoolean(settings.get("limits.retryAfter"));
        shedRetryAfter = sendsRetryAfter ? (long) Settings.getDouble(settings, "limits.maxRetryAfter") : 0;
        for (double goal : Settings.getDoubles(settings, "familyInfo.messageAim")) {
            shortestMessageGoal = Math.min(shortestMessageGoal, (long) goal);
        }
        totalConnectionQuota = Arrays.stream(Settings.getDoubles(settings, "familyInfo.tenantQuotaConnections"))
                .sum();
        relayCount = (int) Settings.getDouble(settings, "relays");
        unobservedShare = (double) relayCount * relayCount / (relayCount * relayCount + PAIR_VISIBILITY_SCALE);
        observedSince = now;
        completedConnectionsUpdatedAt = now;
        nextPurgeAt = now + TRACKING_ENTRY_LIFETIME;
        boolean isRosterPushed = Settings.getString(settings, "discovery", "pushed", "on_request")
                .equals("pushed");
        rosterCalls = new RosterCallSchedule(relayCount, isRosterPushed, (long)
                Settings.getDoubleOrDefault(settings, "rules.askWithin", DEFAULT_ROSTER_CALL_DEADLINE));
        // With a pushed roster no call is needed at the start.
        if (!isRosterPushed) {
            rosterCalls.scheduleFirstCall(new SplittableRandom(seed + 1), now);
        }
    }

    // ---- decisions

    @Override
    public Decision selectBackend(Association association, long now) {
        if (association.closed || association.hasDispatchInFlight()) {
            return Decision.NOTHING;
        }
        // An id that comes again after its client left is bound by what may have run for it. A mid-flow association is
        // the same connection.
        if (association.dispatchCount == 0 && !association.isMidFlow) {
            dispatchHistory.restoreInto(association, now);
        }
        // Gives the final answer as soon as no dispatch is possible any more. Otherwise the client would wait until its
        // cut-off.
        if (now >= association.cutOffAt
                || association.dispatchCount - association.uncountedDispatches >= maxDispatches
                || !isSafeToRepeat(association, null, now)) {
            return shedOrForfeit(association, now);
        }
        // Rule 3: any backend may have begun to drain since the roster was confirmed.
        if (!rosterLease.isValid(now)) {
            return awaitRoster(association, now);
        }
        // Set-up pacing: waits for the next free set-up time, or gives up if that leaves less than a quarter of the use
        // case's cut-off time.
        if (setUpInterval > 0 && now < nextSetUpAt && association.reservedSetUpAt == 0 && !association.isMidFlow) {
            if (nextSetUpAt >= association.cutOffAt - useCases[association.useCase].cutOff() / PACING_RESERVE_DIVISOR) {
                return shedOrForfeit(association, now);
            }
            association.reservedSetUpAt = nextSetUpAt;
            nextSetUpAt += setUpInterval;
            return new Decision(Decision.Kind.WAIT, 0, association.reservedSetUpAt);
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
                || association.dispatchStates[dispatch] != Association.DispatchState.IN_FLIGHT) {
            return Decision.NOTHING;
        }
        Backend backend = backendsById.get(association.sentTo[dispatch]);
        association.dispatchStates[dispatch] =
                outcome.neverRan ? Association.DispatchState.NEVER_RAN : Association.DispatchState.MAY_HAVE_RUN;
        removeConnection(association, backend, now);
        recordOutcome(backend, outcome, association.established, now);
        changeTracker.markChanged(backend);
        // An old roster lists backends that are gone. Attempts at those must not use up the dispatch limit.
        association.uncountedDispatches += staleRosterSince > 0 && outcome == DispatchOutcome.NOT_CONNECTED ? 1 : 0;
        // A timeout counts as a set-up that takes half of the time waited, which doubles the next timeout. With a
        // timeout that stays short while all set-ups become slow, each association would be dispatched several times.
        typicalSetUpTime = outcome == DispatchOutcome.TIMED_OUT
                ? Math.max(typicalSetUpTime, (now - association.sentAt[dispatch]) / 2.0)
                : typicalSetUpTime;
        if (finished || association.closed) {
            association.closed = true;
            dispatchHistory.record(association, useCases[association.useCase], now);
            return Decision.NOTHING;
        }
        return selectBackend(association, now);
    }

    @Override
    public DueActions pollDueActions(long now) {
        DueActions due = pendingActions;
        pendingActions = new DueActions();
        if (rosterCalls.pollDue(now)) {
            due.rosterCall = DueActions.RosterCall.WATCH;
        }
        if (now >= nextPurgeAt) {
            trackingTable
                    .values()
                    .removeIf(entry -> entry.openConnections.isEmpty()
                            && now - entry.unusedSince >= TRACKING_ENTRY_LIFETIME
                            && changeTracker.markRemoved(entry));
            nextPurgeAt = now + PURGE_INTERVAL;
        }
        due.wakeAt = Math.min(Math.min(nextPurgeAt, rosterCalls.nextCallAt()), rosterLease.validAgainAt(now));
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
    public void onRosterUpdate(List<RosterEntry> entries, boolean isComplete, boolean isCached, long now) {
        rosterCalls.onCallSucceeded();
        long changesKnownSince = rosterLease.changesKnownSince(now);
        if (!isCached) {
            rosterLease.onConfirmed();
        }
        currentMark++;
        staleRosterSince = isCached ? staleRosterSince : 0;
        boolean isTableChanged = false;
        for (RosterEntry entry : entries) {
            Backend backend = backendsById.computeIfAbsent(entry.backend(), Backend::new);
            backend.visitMark = currentMark;
            isTableChanged |= applyRosterEntry(backend, entry, changesKnownSince, now);
        }
        if (isComplete) {
            for (Backend backend : lookupTable.members()) {
                if (backend.visitMark != currentMark) {
                    isTableChanged |= applyRosterEntry(
                            backend,
                            new RosterEntry(backend.id, Stage.GONE, 0, backend.cell, backend.weight, backend.zone, 0),
                            changesKnownSince,
                            now);
                }
            }
        }
        if (isTableChanged) {
            rebuildLookupTable();
        }
        recomputeTotals(now);
    }

    /** Collects the members of the lookup table from all known backends and refills the table. */
    private void rebuildLookupTable() {
        lookupTable.rebuild(backendsById.values().stream()
                .filter(backend -> backend.stage != Stage.GONE)
                .toList());
    }

    @Override
    public void requireRosterConfirmation(long now) {
        rosterLease.start(now);
    }

    @Override
    public void onRosterConfirmed() {
        rosterLease.onConfirmed();
    }

    @Override
    public void onRosterInterrupted(RosterInterruption cause, long elapsed, long now) {
        if (cause == RosterInterruption.SERVICE_CHANGED) {
            rosterCalls.onServiceChanged();
        }
        rosterLease.onInterrupted(cause, elapsed, now);
    }

    @Override
    public boolean isRosterUsable(long now) {
        return rosterLease.isValid(now);
    }

    @Override
    public void onRosterCallFailed(long now) {
        logRateLimited("roster call failed, asking again", now);
        rosterCalls.onCallFailed(random, now);
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
    public LearnedState takeLearnedStateChanges(int maxChanges, long now) {
        LearnedState.RelayStatistics relayStatistics = new LearnedState.RelayStatistics(
                decayCompletedConnections(now),
                Math.min(now - observedSince, COMPLETION_RATE_WINDOW),
                typicalSetUpTime,
                typicalLoad,
                loadReportCount,
                setUpInterval);
        return changeTracker.takeChanges(
                maxChanges,
                LookupTable.format(usesRosterWeights),
                relayStatistics,
                backendsById.values(),
                trackingTable.values());
    }

    @Override
    public void restoreLearnedState(LearnedState learnedState, boolean isRosterStale, long now) {
        completedConnections = learnedState.relayStatistics().completedConnections();
        completedConnectionsUpdatedAt = now;
        observedSince =
                Math.min(observedSince, now - learnedState.relayStatistics().observedFor());
        restoredCompletionRate =
                completedConnections / (learnedState.relayStatistics().observedFor() + SECOND);
        typicalSetUpTime = learnedState.relayStatistics().typicalSetUpTime();
        typicalLoad = learnedState.relayStatistics().typicalLoad();
        loadReportCount = learnedState.relayStatistics().loadReportCount();
        setUpInterval = Math.min(learnedState.relayStatistics().setUpInterval(), relayCount * SECOND / MIN_SET_UP_RATE);
        nextSetUpAt = setUpInterval > 0 ? now + random.nextLong(setUpInterval) : 0;
        for (LearnedState.BackendStatistics statistics : learnedState.backends()) {
            Backend backend = backendsById.get(statistics.backend());
            if (backend != null && backend.restore(statistics)) {
                slowBackends.add(backend);
                recentlyTriedBackends.add(backend);
            }
        }
        hasWidespreadSetUpFailures = detectWidespreadSetUpFailures(now);
        for (LearnedState.Pin pin : learnedState.pins()) {
            Backend backend = backendsById.get(pin.backend());
            // A pin to a backend that is no longer listed would take effect as soon as its id is listed again. Pins
            // from another table format are dropped, as the table assigns their keys to other backends.
            boolean isListed = backend != null && backend.stage != Stage.GONE;
            if (isListed
                    && learnedState.tableFormat() == LookupTable.format(usesRosterWeights)
                    && trackingTable.size() < MAX_TRACKING_ENTRIES) {
                TrackingEntry entry = trackingTable.computeIfAbsent(pin.key(), TrackingEntry::new);
                entry.pinnedBackend = backend;
                entry.unusedSince = pin.unusedSince();
            }
        }
        // With a stale roster, every backend is in slow start from now on.
        staleRosterSince = isRosterStale ? now : 0;
        slowStartsEndAt = isRosterStale
                ? Math.max(slowStartsEndAt, now + slowStartDuration + slowStartDuration / SLOW_START_MARGIN_DIVISOR)
                : slowStartsEndAt;
        recomputeTotals(now);
    }

    @Override
    public void onConnectionEstablished(Association association, int dispatch, long setUpTime, long now) {
        if (dispatch >= association.dispatchCount || association.established) {
            return;
        }
        Backend backend = backendsById.get(association.sentTo[dispatch]).decayEvidence(now, Backend.EVIDENCE_HALF_LIFE);
        backend.successes++;
        backend.setUpFailuresWhileMissing = 0;
        changeTracker.markChanged(backend);
        recentlyTriedBackends.add(backend);
        hasWidespreadSetUpFailures = hasWidespreadSetUpFailures && detectWidespreadSetUpFailures(now);
        // Each success halves the interval of paced set-ups; below the shortest one, pacing ends.
        setUpInterval = setUpInterval < relayCount * MIN_SET_UP_INTERVAL_MILLIS * MILLISECOND ? 0 : setUpInterval / 2;
        typicalSetUpTime += (setUpTime - typicalSetUpTime) / SET_UP_TIME_SMOOTHING;
        addConnection(association, backend);
    }

    @Override
    public void onLoadReport(Association association, double load, long now) {
        double increase = load - association.load;
        association.load = load;
        if (association.openConnectionIndex >= 0) {
            Backend backend = backendsById.get(association.sentTo[association.dispatchCount - 1]);
            addToTotals(backend, 0, increase);
            typicalLoad += (meanConnectionLoad() - typicalLoad) / Math.min(LOAD_AVERAGE_REPORTS, ++loadReportCount);
            if (increase > 0 && now - backend.lastOffloadAt > Backend.OFFLOAD_INTERVAL && isOverloaded(backend, now)) {
                backend.lastOffloadAt = now;
                requestMoves(backend, Math.max(1, backend.openConnections.size() / Backend.OFFLOAD_ONE_IN), now);
            }
        }
    }

    /**
     * True if the estimated load of the backend exceeds its share of half of the tenants' quota, while the load of the
     * whole fleet is below 70 percent of that half, so that other backends have room. Only used while delay is
     * unobserved: growing load would then slow all connections of the backend, and nothing would show it. Otherwise
     * always false.
     *
     * <p>Each other relay is assumed to put on the backend the mean of two loads: the load that this relay has put
     * there, and the backend's proportional share of this relay's total.
     */
    private boolean isOverloaded(Backend backend, long now) {
        double fleetShare = backend.weight * slowStartFactor(backend, now) / Math.max(rosterWeightSum, MIN_DIVISOR);
        double loadQuota = SUSTAINABLE_QUOTA_SHARE * totalConnectionQuota * typicalLoad;
        return isDelayUnobserved
                && loadReportCount > MIN_LOAD_REPORTS
                && totalLoad * relayCount < MAX_FLEET_LOAD_SHARE * loadQuota
                && backend.load * (relayCount + 1) / 2 + totalLoad * fleetShare * (relayCount - 1) / 2
                        > loadQuota * fleetShare;
    }

    @Override
    public void onDelayReport(long backendId, long delay, long now) {
        Backend backend = backendsById.computeIfAbsent(backendId, Backend::new);
        boolean isRising =
                delay >= backend.reportedDelay || now - backend.delayReportedAt > Backend.DELAY_REPORT_SECONDS * SECOND;
        if (delay * Backend.GOAL_TO_SLOW_DELAY_RATIO > shortestMessageGoal) {
            double currentLoad = backend.effectiveLoad(meanConnectionLoad());
            // When the backend turns slow again, the capacity becomes the mean of the old value and the current load.
            // While it stays slow, the capacity is the lowest load seen.
            backend.observedCapacity = !isSlow(backend, now) && backend.observedCapacity > 0
                    ? (backend.observedCapacity + currentLoad) / 2
                    : backend.observedCapacity == 0 ? currentLoad : Math.min(backend.observedCapacity, currentLoad);
            backend.lastSlowAt = now;
            slowBackends.add(backend);
        }
        backend.reportedDelay = delay * Backend.GOAL_TO_SLOW_DELAY_RATIO > shortestMessageGoal ? delay : 0;
        backend.delayReportedAt = now;
        changeTracker.markChanged(backend);
        if (isRising && delay > shortestMessageGoal) {
            // A hung backend keeps its connections open. If the delay exceeds the time that any client waits, all of
            // them must move. Otherwise a share of them moves, rounded at random to a whole number.
            boolean isHung = delay > (isDelayUnobserved ? HUNG_DELAY_IF_UNOBSERVED : longestCutOff);
            requestMoves(
                    backend,
                    isHung
                            ? backend.openConnections.size()
                            : (int) (backend.openConnections.size() / (double) Backend.OFFLOAD_ONE_IN
                                    + random.nextDouble()),
                    now);
        }
    }

    /**
     * Asks the {@code count} heaviest connections of the backend to move, leaving out those that were already asked.
     * Overload makes all connections of a backend slow, so some of them have to leave.
     */
    private void requestMoves(Backend backend, int count, long now) {
        backend.openConnections.stream()
                .filter(association -> !association.moveRequested)
                .sorted(Comparator.comparing(association -> -association.load))
                .limit(count)
                .forEach(association -> {
                    association.moveRequested = true;
                    pendingActions.connectionsToMove.add(association);
                    logRateLimited("a backend is late, connections leave it", now);
                });
    }

    @Override
    public void onClientDisconnected(Association association, long now) {
        association.closed = true;
        dispatchHistory.record(association, useCases[association.useCase], now);
        if (association.hasDispatchInFlight()) {
            removeConnection(association, backendsById.get(association.sentTo[association.dispatchCount - 1]), now);
        }
    }

    // ---- backend selection

    /**
     * Returns the backend for the next dispatch: the pinned backend if it is eligible and not over capacity, else the
     * first eligible one in the key's preference order that is not over capacity, else the first eligible one. Null if
     * no backend is eligible.
     *
     * <p>A group's connections are limited to a number of backends that follows from the group's size. While more than
     * a quarter of the backends are slow, a group's connection only goes to the first ready backends in the order or,
     * if this relay has enough connections to recognize one, to an idle backend.
     *
     * <p>The first dispatch of a mid-flow association goes to its pinned backend, or else to the first one in its
     * order, whatever the load there, if {@link #mayDispatch} allows it.
     */
    private Backend findEligibleBackend(Association association, long now) {
        // Slow start factors change with time, and so do the sums over them.
        if (now < slowStartsEndAt && now - totalsUpdatedAt > slowStartDuration / RECOMPUTATIONS_PER_SLOW_START) {
            recomputeTotals(now);
        }
        // The share of slow backends is their number divided by the number of backends that are occupied or slow, plus
        // two. Backends without connections are left out. New ones in a growing fleet carry nothing yet and would look
        // like spare capacity, and in a large fleet most backends send this relay no reports, so that it can't know
        // whether they are slow.
        slowBackends.removeIf(b -> b.stage == Stage.GONE || !isSlow(b, now));
        long slowWithoutConnections =
                slowBackends.stream().filter(b -> b.openConnections.isEmpty()).count();
        double slowShare = slowBackends.size()
                / Math.max(
                        Math.min(
                                effectiveBackendCount,
                                occupiedBackends + slowWithoutConnections + SLOW_SHARE_EXTRA_BACKENDS),
                        1);
        TrackingEntry entry = trackingTable.get(association.placementKey());
        // Each backend that holds any connection of a group has a cost for that group, so that a large group on all
        // backends would overload all of them. The limit is the number of backends that the group fills plus two; while
        // more than a third of the backends are slow, it is that number, rounded down, plus one.
        double subsetSize = association.groupKey == 0 ? lookupTable.members().length : subsetSize(entry, slowShare);
        int backendLimit = slowShare * MANY_SLOW_ONE_IN > 1 ? 1 + (int) subsetSize : 2 + (int) Math.round(subsetSize);
        int holderCount = 0;
        int holderMark = ++currentMark;
        for (Association other : entry == null ? List.<Association>of() : entry.openConnections) {
            Backend backend = backendsById.get(other.sentTo[other.dispatchCount - 1]);
            holderCount += backend.holdsKeyMark != holderMark && backend.stage != Stage.GONE ? 1 : 0;
            backend.holdsKeyMark = holderMark;
        }
        startPreferenceOrder(association);
        int subsetLength =
                association.groupKey == 0 || !isSampleTooSmall() ? 1 : assignSubsetIndex(association, subsetSize, now);
        TrackingEntry pin = trackingTable.get(association.pinKey());
        Backend pinned = association.placementKey() == 0 || pin == null ? null : pin.pinnedBackend;
        // A connection that is already open at a backend is reset if it is sent elsewhere. Load limits and outlier
        // detection therefore don't apply to the pinned backend of a mid-flow association, nor to the first one in its
        // order, where it is probably open if it has no pin.
        boolean isAlreadyOpen = association.isMidFlow && association.dispatchCount == 0;
        if (pinned != null
                && pinned.stage == Stage.READY
                && !association.hasTried(pinned.id)
                && mayDispatch(pinned, association, true, now)
                && (isAlreadyOpen || passesOutlierDetection(pinned, now) && !isOverCapacity(pinned, slowShare, now))) {
            return pinned;
        }
        Backend fallback = null;
        // While some backends are slow, backends after the first ready ones only come into question if they are idle.
        boolean searchesAllBackends = slowShare * SOME_SLOW_ONE_IN <= 1
                || totalConnections > MANY_CONNECTIONS_PER_BACKEND * effectiveBackendCount
                || totalConnections * IDLE_SAMPLE_SIZE_DIVISOR > relayCount * effectiveBackendCount;
        for (int i = 0, readySeen = 0;
                i < lookupTable.members().length && (searchesAllBackends || readySeen <= backendLimit);
                i++) {
            // Starts at the client's assigned backend, goes round the subset, and then on along the preference order.
            Backend backend =
                    lookupTable.preferred(i < subsetLength ? (association.subsetIndex + i) % subsetLength : i);
            boolean isLikelyHolder = isAlreadyOpen && i == 0;
            readySeen += backend != null && backend.stage == Stage.READY ? 1 : 0;
            // A backend whose delay exceeds the goal is not eligible, not even as a fallback. If the whole fleet is
            // slow, more work would keep it slow, so the association then waits or is shed.
            if (backend == null
                    || !isLikelyHolder
                            && (backend.stage != Stage.READY
                                    || association.hasTried(backend.id)
                                    || isSlow(backend, now) && backend.reportedDelay > shortestMessageGoal
                                    || now < backend.overCapacityUntil
                                    || backend.effectiveLoad(meanConnectionLoad()) >= loadLimit(backend, now)
                                    || holderCount >= backendLimit && backend.holdsKeyMark != holderMark
                                    || slowShare * SOME_SLOW_ONE_IN > 1
                                            && readySeen > backendLimit
                                            && !isIdle(backend, now)
                                    || !passesOutlierDetection(backend, now))
                    || !mayDispatch(backend, association, i == 0, now)) {
                continue;
            }
            if (isLikelyHolder || !isOverCapacity(backend, slowShare, now)) {
                return backend;
            }
            fallback = fallback == null ? backend : fallback;
        }
        return fallback;
    }

    /**
     * True if this relay holds too few connections per backend to see from them that a group overloads one. The limit
     * is half a connection per backend for each relay of the deployment.
     */
    private boolean isSampleTooSmall() {
        return totalConnections * SAMPLE_SIZE_DIVISOR <= relayCount * effectiveBackendCount;
    }

    /**
     * Returns the number of backends, not rounded, that the group fills: the group's share of this relay's connections,
     * times the number of backends. If the sample is too small, each group is assumed to have one connection more than
     * this relay sees.
     *
     * @param entry tracking entry of the group; null if it has none
     * @param slowShare share of the backends that are slow, 0 to 1
     */
    private double subsetSize(TrackingEntry entry, double slowShare) {
        int groupConnections = entry == null ? 0 : entry.openConnections.size();
        // One of hundreds of relays holds few connections and may see no two of the same group. It would take every
        // group for a small one, and all relays together would put each group on a single backend. Some unseen pairs
        // are therefore assumed. They are not assumed while more than a third of the backends are slow or delay is
        // unobserved, because each further backend that holds a group adds cost.
        double assumedShare = isDelayUnobserved || slowShare * MANY_SLOW_ONE_IN > 1 ? 0 : unobservedShare;
        double allPairs =
                totalConnections * (totalConnections + 1.0) / 2 + effectiveBackendCount * (PRIOR_PAIRS + assumedShare);
        // If connections are spread evenly over G groups, one in G pairs has the same key. The number of groups is
        // therefore estimated as all pairs divided by the pairs with the same key. Both counts start above 0. Without
        // assumed pairs, the estimate before the first connection is as many groups as backends.
        double groupCount = allPairs / (sameKeyPairs + PRIOR_PAIRS + UNOBSERVED_PAIRS * assumedShare);
        return isSampleTooSmall()
                ? effectiveBackendCount * (1 + groupConnections) / (totalConnections + groupCount)
                : effectiveBackendCount * groupConnections / totalConnections;
    }

    /** Starts the preference order of the association's key, or of its id if it has no key. */
    private void startPreferenceOrder(Association association) {
        lookupTable.startWalk(association.placementKey() != 0 ? association.placementKey() : association.id);
    }

    /**
     * Sets the client's index in its group's subset, and returns the number of ranks of the preference order that the
     * subset spans, at least 1. The subset is the start of the order up to the capacity that the group needs. Weighted
     * rendezvous hashing picks the client's backend in it, alike at all relays.
     *
     * <p>A reconnecting client gets a random backend of the subset, since it may have left its own because that was
     * slow. Where delay is unobserved nobody knows whether it was, and the client returns to its own backend.
     */
    private int assignSubsetIndex(Association association, double subsetSize, long now) {
        double lowestScore = Double.MAX_VALUE;
        double warmBackends = 0;
        int rank = 0;
        long clientHash = association.isReconnect && !association.isMidFlow && !isDelayUnobserved
                ? random.nextLong()
                : association.clientKey;
        // The slow start factors in the subset add up to at least one warm backend. The clients of a group may arrive
        // all at once and would overload a subset of few cold backends.
        for (double remainingCapacity = subsetSize;
                (remainingCapacity > SUBSET_TOLERANCE || warmBackends < 1) && lookupTable.preferred(rank) != null;
                rank++) {
            Backend backend = lookupTable.preferred(rank);
            // Draining backends don't count. Their clients would otherwise be spread over the next backends in the
            // order, without regard to which of these are cold.
            if (backend.stage == Stage.READY || association.isMidFlow) {
                double score = rendezvousScore(clientHash, backend, now);
                remainingCapacity -= relativeCapacity(backend, now);
                warmBackends += slowStartFactor(backend, now);
                association.subsetIndex = score < lowestScore ? rank : association.subsetIndex;
                lowestScore = Math.min(lowestScore, score);
            }
        }
        return Math.max(1, rank);
    }

    /**
     * Returns the score of weighted rendezvous hashing. The backend with the lowest score is selected; each has a
     * probability proportional to its capacity. StrictMath gives the same score at every relay.
     */
    private double rendezvousScore(long clientHash, Backend backend, long now) {
        return -StrictMath.log((Backend.mix64(clientHash ^ backend.hash) >>> 11) * 0x1p-53)
                / relativeCapacity(backend, now);
    }

    /**
     * Returns the backend's capacity relative to the mean of the ready backends. A cold backend counts for 1.25 times
     * its slow start factor, but at most as a warm one, since that factor is the least capacity that the settings
     * promise.
     */
    private double relativeCapacity(Backend backend, long now) {
        return backend.weight
                * Math.min(1, COLD_CAPACITY_MULTIPLE * slowStartFactor(backend, now))
                * effectiveBackendCount
                / effectiveWeightSum;
    }

    /**
     * Asks some connections to move whose assigned backend has changed. Connections that were placed while new backends
     * were cold would otherwise stay on the few backends that took them, and nothing would show that they are slow
     * there, because delay is unobserved. A pass examines a part of the backends; the next one, a second later, goes on
     * from there.
     */
    private void rebalance(DueActions due, long now) {
        nextRebalanceAt = now + SECOND;
        recomputeTotals(now);
        for (int i = 0, examined = 0; i < lookupTable.members().length && examined < MAX_REBALANCE_CANDIDATES; i++) {
            Backend backend = lookupTable.members()[rebalanceIndex % lookupTable.members().length];
            rebalanceIndex = (rebalanceIndex + 1) % lookupTable.members().length;
            examined += backend.openConnections.size();
            for (Association association :
                    backend.stage == Stage.READY ? backend.openConnections : List.<Association>of()) {
                if (association.groupKey != 0
                        && !association.moveRequested
                        && random.nextInt(REBALANCE_ONE_IN) == 0
                        && isMisplaced(association, backend, now)) {
                    association.moveRequested = true;
                    due.connectionsToMove.add(association);
                }
            }
        }
    }

    /** True if the client's assigned backend is ready and has a lower, hence better, score than its current one. */
    private boolean isMisplaced(Association association, Backend backend, long now) {
        startPreferenceOrder(association);
        int previousIndex = association.subsetIndex;
        assignSubsetIndex(association, subsetSize(trackingTable.get(association.placementKey()), 0), now);
        Backend assigned = lookupTable.preferred(association.subsetIndex);
        association.subsetIndex = previousIndex;
        return assigned != null
                && assigned.stage == Stage.READY
                && rendezvousScore(association.clientKey, assigned, now)
                        < rendezvousScore(association.clientKey, backend, now);
    }

    /**
     * True if the backend should get no connection while others are eligible: it recently refused a dispatch, is slow,
     * was just offloaded, is at its load limit, or holds clearly more than its fair share.
     *
     * <p>A backend holds clearly more than its fair share if its load is above twice that share, and above it by at
     * least two connections of mean load. As more backends are slow, both numbers fall from 2 to 1.25.
     */
    private boolean isOverCapacity(Backend backend, double slowShare, long now) {
        double connectionLoad = meanConnectionLoad() == 0 ? 1 : meanConnectionLoad();
        double fairLoad = totalConnections
                * connectionLoad
                * backend.weight
                * slowStartFactor(backend, now)
                / Math.max(effectiveWeightSum, MIN_DIVISOR);
        double maxMultiple =
                Math.max(MIN_FAIR_SHARE_MULTIPLE, MAX_FAIR_SHARE_MULTIPLE - MAX_FAIR_SHARE_MULTIPLE * slowShare);
        double currentLoad = backend.effectiveLoad(meanConnectionLoad());
        return now < backend.overCapacityUntil
                || isSlow(backend, now)
                || now - backend.lastOffloadAt < Backend.OFFLOAD_RECOVERY
                || currentLoad >= loadLimit(backend, now)
                || currentLoad > maxMultiple * fairLoad && currentLoad >= fairLoad + maxMultiple * connectionLoad;
    }

    /**
     * Returns the load above which the backend is expected to turn slow: the load at which it did so before, raised
     * with the time since it was last slow; a very large value if it never was. A burst overloads a backend before the
     * first delay report arrives, so the load is limited in advance.
     */
    private double loadLimit(Backend backend, long now) {
        double periods = (double) (now - backend.lastSlowAt) / Backend.LOAD_LIMIT_RELAXATION;
        return backend.observedCapacity == 0
                ? Double.MAX_VALUE
                : backend.observedCapacity * (1 + periods / 2 + periods * periods);
    }

    /** Returns the mean load of one connection in nanoseconds of work per second, or 0 if no load is reported. */
    private double meanConnectionLoad() {
        return totalLoad > 0 && totalConnections > 0 ? totalLoad / totalConnections : 0;
    }

    /** Recomputes the sums over the ready backends. In between, {@link #addToTotals} updates loads and connections. */
    private void recomputeTotals(long now) {
        effectiveWeightSum = rosterWeightSum = effectiveBackendCount = totalLoad = totalConnections = readyBackends = 0;
        totalsUpdatedAt = now;
        for (Backend backend : lookupTable.members()) {
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

    /** Adds to the backend's load, and to the total connections and load if the backend is ready. */
    private void addToTotals(Backend backend, int connectionChange, double loadChange) {
        backend.load += loadChange;
        if (backend.stage == Stage.READY) {
            totalConnections += connectionChange;
            totalLoad += loadChange;
        }
    }

    /**
     * True if more than half of the recently tried backends, and at least three, fail set-ups. Drops backends whose
     * evidence has decayed.
     */
    private boolean detectWidespreadSetUpFailures(long now) {
        long failingBackends = recentlyTriedBackends.stream()
                .filter(b ->
                        b.decayEvidence(now, Backend.EVIDENCE_HALF_LIFE).sharedCauseFailures >= Backend.MIN_EVIDENCE)
                .count();
        recentlyTriedBackends.removeIf(
                b -> b.sharedCauseFailures + b.successes < Backend.MIN_EVIDENCE || b.stage == Stage.GONE);
        return failingBackends * 2 > recentlyTriedBackends.size() && failingBackends > 2;
    }

    /**
     * True if the last delay report showed the backend to be slow and is still valid. Without open connections there,
     * no further report can follow, so the last one stays valid for longer: 6 s times the number of ready backends per
     * connection of this relay, but at least 3 s and at most 30 s.
     */
    private boolean isSlow(Backend backend, long now) {
        double retentionSeconds = backend.openConnections.isEmpty()
                ? Math.max(
                        Backend.DELAY_REPORT_SECONDS,
                        Math.min(
                                Backend.MAX_DELAY_REPORT_SECONDS,
                                SPARSE_DELAY_REPORT_SECONDS * effectiveBackendCount / Math.max(totalConnections, 1)))
                : Backend.DELAY_REPORT_SECONDS;
        return backend.reportedDelay > 0 && now - backend.delayReportedAt < retentionSeconds * SECOND;
    }

    /**
     * True if the backend has no connection of this relay although the relay has many (over 3 per ready backend), or
     * has had none for 5 s although the relay has some (over a quarter per ready backend for each relay of the
     * deployment).
     */
    private boolean isIdle(Backend backend, long now) {
        return backend.connectionCount() == 0
                && (totalConnections > MANY_CONNECTIONS_PER_BACKEND * effectiveBackendCount
                        || totalConnections * IDLE_SAMPLE_SIZE_DIVISOR > relayCount * effectiveBackendCount
                                && now - backend.lastActiveAt > Backend.IDLE_AFTER);
    }

    /**
     * Returns the factor on a backend's weight: it rises linearly with the backend's age, from the initial one to 1.
     */
    private double slowStartFactor(Backend backend, long now) {
        long beganAt = slowStartBeganAt(backend);
        return beganAt == 0 || now - beganAt >= slowStartDuration
                ? 1
                : slowStartInitialFactor
                        + (1 - slowStartInitialFactor) * Math.max(0, now - beganAt) / slowStartDuration;
    }

    /**
     * Returns when the backend's slow start began; 0 if it started long ago or its age is unknown. With a stale roster,
     * every backend counts as cold since this relay's start, because it may have just started itself, and relays that
     * all start with stale rosters would overload it.
     */
    private long slowStartBeganAt(Backend backend) {
        return Math.max(backend.startedAt, staleRosterSince);
    }

    /**
     * Draws the backend's chance of a successful set-up from its posterior distribution (beta distribution with one
     * success added, in normal approximation). True if the drawn chance is at least one half, or if the backend has
     * next to no failures. A backend with failures thus still gets some dispatches, which show whether it has
     * recovered.
     */
    private boolean passesOutlierDetection(Backend backend, long now) {
        // A slow store that all backends share fails set-ups at all of them. Counting these failures against each
        // backend would exclude all backends.
        double failures = backend.decayEvidence(now, Backend.EVIDENCE_HALF_LIFE).failures
                - (hasWidespreadSetUpFailures ? backend.sharedCauseFailures : 0);
        double successes = 1 + backend.successes;
        double trials = successes + failures;
        double deviation = Math.sqrt(successes * failures / (trials * trials * (trials + 1)));
        return failures < Backend.MIN_EVIDENCE
                || successes / trials + deviation * random.nextGaussian() >= MIN_SUCCESS_CHANCE;
    }

    /** Updates the backend's evidence, and the set-up pacing, after a dispatch has ended. */
    private void recordOutcome(Backend backend, DispatchOutcome outcome, boolean wasEstablished, long now) {
        backend.decayEvidence(now, Backend.EVIDENCE_HALF_LIFE);
        // Removes a backend that is missing from the roster once set-ups fail there too. If it is really gone, it would
        // otherwise fail dispatches again and again. Timeouts don't count during widespread set-up failures, because a
        // slow shared store would then remove all missing backends.
        boolean setUpFailed = outcome == DispatchOutcome.NOT_CONNECTED
                || outcome == DispatchOutcome.TIMED_OUT && !hasWidespreadSetUpFailures;
        if (backend.missingFromRoster
                && setUpFailed
                && !wasEstablished
                && ++backend.setUpFailuresWhileMissing >= Backend.MAX_FAILURES_WHILE_MISSING) {
            applyRosterEntry(
                    backend,
                    new RosterEntry(backend.id, Stage.GONE, 0, backend.cell, backend.weight, backend.zone, 0),
                    now,
                    now);
            rebuildLookupTable();
            recomputeTotals(now);
        }
        switch (outcome) {
            case FULL -> backend.overCapacityUntil = now + Backend.OVER_CAPACITY_DURATION;
            case NOT_CONNECTED -> backend.failures++;
            case RESET -> {
                backend.failures += wasEstablished ? Backend.ESTABLISHED_RESET_FAILURES : 1;
                long sinceLastReset = now - backend.lastResetAt;
                backend.lastResetAt = wasEstablished ? now : backend.lastResetAt;
                // With delay unobserved, clients would return again and again to a backend that resets them. Two resets
                // in short succession therefore count as a report of delay.
                if (isDelayUnobserved
                        && wasEstablished
                        && sinceLastReset > Backend.MIN_RESET_GAP
                        && sinceLastReset < Backend.MAX_RESET_GAP) {
                    onDelayReport(backend.id, shortestMessageGoal, now);
                }
            }
            case ERROR, TIMED_OUT -> {
                backend.failures++;
                backend.sharedCauseFailures++;
                recentlyTriedBackends.add(backend);
                hasWidespreadSetUpFailures = detectWidespreadSetUpFailures(now);
                // The retries of all relays would keep an overloaded shared store overloaded. Set-ups are therefore
                // spaced until some succeed, and the interval doubles with each failure, up to a limit.
                if (hasWidespreadSetUpFailures) {
                    logRateLimited("set-ups fail all over, spacing them", now);
                    setUpInterval = Math.min(
                            relayCount * SECOND / MIN_SET_UP_RATE,
                            Math.max(2 * setUpInterval, relayCount * MIN_SET_UP_INTERVAL_MILLIS * MILLISECOND));
                    nextSetUpAt = Math.max(nextSetUpAt, now + setUpInterval / 2 + random.nextLong(setUpInterval));
                }
            }
            case DONE -> completedConnections = decayCompletedConnections(now) + 1;
            default -> {}
        }
    }

    // ---- dispatches: when they are allowed, sending them, and giving up

    /**
     * Rule 2, no effect twice: true if the association's earlier dispatches allow another one at the backend.
     *
     * @param backend backend of the next dispatch; null to leave out the deduplication scope, so that the result tells
     *     whether some backend may qualify
     */
    private boolean isSafeToRepeat(Association association, Backend backend, long now) {
        UseCase useCase = useCases[association.useCase];
        for (int dispatch = 0; dispatch < association.dispatchCount; dispatch++) {
            Backend earlier = backendsById.get(association.sentTo[dispatch]);
            boolean isOutsideScope = backend != null
                    && (useCase.scope() == UseCase.DeduplicationScope.ZONE && earlier.zone != backend.zone
                            || useCase.scope() == UseCase.DeduplicationScope.CELL && earlier.cell != backend.cell);
            boolean isDuplicateUndetected =
                    isOutsideScope || now - association.sentAt[dispatch] >= useCase.deduplicationWindow();
            if (association.dispatchStates[dispatch] != Association.DispatchState.NEVER_RAN
                    && (useCase.effect() == UseCase.Effect.BINDING
                            || useCase.effect() == UseCase.Effect.FINGERPRINTED && isDuplicateUndetected)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Checks rules 2 (no effect twice), 3 (drain grace period) and 4 (slow start). No dispatch is made without this
     * check. Refills the slow start budget of a cold backend, but takes nothing from it.
     *
     * @param isAssigned true if the backend is the client's pinned or assigned one, which may exceed the budget
     */
    private boolean mayDispatch(Backend backend, Association association, boolean isAssigned, long now) {
        if (association.closed
                || association.hasDispatchInFlight() && !allowsConcurrentDispatches
                || !isSafeToRepeat(association, backend, now)) {
            return false;
        }
        // Rule 3: no new dispatch after the grace period.
        if (backend.stage != Stage.READY && now - backend.drainNoticedAt >= dispatchGrace) {
            return false;
        }
        // Rule 4: cold backends are not overloaded.
        if (slowStartFactor(backend, now) < 1) {
            double rate = slowStartRate(backend, now);
            if (backend.slowStartBudgetUpdatedAt < slowStartBeganAt(backend)) {
                // A random initial budget. Relays that start together would otherwise all send their first dispatch at
                // the same time.
                double maxInitialBudget = staleRosterSince > 0 ? 1 : isSampleTooSmall() ? unobservedShare : 0;
                backend.slowStartBudget = maxInitialBudget > 0 ? random.nextDouble() * maxInitialBudget : 0;
                backend.slowStartBudgetUpdatedAt = Math.max(slowStartBeganAt(backend), now - slowStartBudgetWindow);
            }
            // The budget is limited to what accumulates in one window, or to one dispatch if that is more.
            backend.slowStartBudget = Math.min(
                    Math.max(1, rate * slowStartBudgetWindow),
                    backend.slowStartBudget + rate * (now - backend.slowStartBudgetUpdatedAt));
            backend.slowStartBudgetUpdatedAt = now;
            // With a hundred relays, no single one earns the budget of a whole dispatch in time, and new backends would
            // get nothing. While this relay's connections are too small a sample, a client's assigned backend may
            // therefore exceed its budget by up to one dispatch. A cold backend is assigned fewer clients according to
            // its slow start factor, so the sum over all relays stays in proportion. While the mean slow start factor
            // of the ready backends is below one half, the excess is smaller, in proportion to the square of that mean.
            // A mid-flow association may exceed the budget by one dispatch more, since its connection is probably open
            // there already.
            double maxOverdraft = unobservedShare
                    * Math.min(
                            1,
                            4
                                    * effectiveBackendCount
                                    * effectiveBackendCount
                                    / Math.max(readyBackends * readyBackends, 1));
            int requiredBudget = association.isMidFlow && association.dispatchCount == 0 ? 0 : 1;
            return backend.slowStartBudget >= 1
                    || isAssigned && isSampleTooSmall() && backend.slowStartBudget > requiredBudget - maxOverdraft;
        }
        return true;
    }

    /**
     * Returns the rate at which the slow start budget grows: this relay's share, in dispatches per nanosecond, of what
     * a backend of this weight and age may get.
     */
    private double slowStartRate(Backend backend, long now) {
        decayCompletedConnections(now);
        // The rate is based on completed connections, not on dispatches: in a wave of connection resets, dispatches are
        // repeated many times and would inflate the budget. The added second keeps the rate low while only a short time
        // was observed.
        double observedTime = Math.min(now - observedSince, COMPLETION_RATE_WINDOW) + SECOND;
        // While delay is reported and few backends are slow, a warm backend can sustain a multiple of the rate that is
        // observed.
        int headroom = !isDelayReported || slowBackends.size() * HEADROOM_SLOW_ONE_IN > lookupTable.members().length
                ? 1
                : WARM_HEADROOM;
        // With a stale roster all backends count as cold. Dividing by the sum of effective weights would then cancel
        // the slow start factor.
        double rate = slowStartBudgetMultiple
                * slowStartFactor(backend, now)
                * headroom
                * (staleRosterSince > 0
                        ? Math.max(restoredCompletionRate, completedConnections / observedTime)
                        : completedConnections / observedTime)
                * backend.weight
                / Math.max(staleRosterSince > 0 ? rosterWeightSum : effectiveWeightSum, MIN_DIVISOR);
        // Without learned state the rate would be 0 and the relay would stay idle. A warm backend is taken to sustain
        // at least one set-up per budget window, which allows the multiple of that, divided among all relays.
        return staleRosterSince > 0
                ? Math.max(rate, slowStartBudgetMultiple / relayCount / slowStartBudgetWindow)
                : rate;
    }

    /** Decays the count of completed connections up to now and returns it. */
    private double decayCompletedConnections(long now) {
        completedConnections *=
                StrictMath.exp(-(double) (now - completedConnectionsUpdatedAt) / COMPLETION_RATE_WINDOW);
        completedConnectionsUpdatedAt = now;
        return completedConnections;
    }

    /** Records a dispatch to the backend and returns the decision to send it. */
    private Decision dispatchTo(Association association, Backend backend, long now) {
        backend.slowStartBudget -= slowStartFactor(backend, now) < 1 ? 1 : 0;
        association.recordDispatch(backend.id, now);
        backend.lastActiveAt = now;
        backend.pendingDispatches++;
        addToTotals(backend, 1, 0);
        return new Decision(Decision.Kind.SEND, backend.id, dispatchTimeout(association, now));
    }

    /**
     * Returns the timeout of the dispatch just recorded, in nanoseconds. It leaves time for another dispatch before the
     * goal time, but is at least four times the typical set-up time. The last dispatch, and each one while set-ups are
     * paced, gets the time until the cut-off.
     */
    private long dispatchTimeout(Association association, long now) {
        long typicalTimeout = Math.max(
                useCases[association.useCase].goalTime() / 2, (long) (TIMEOUT_TO_SET_UP_TIME_RATIO * typicalSetUpTime));
        boolean isLast =
                association.dispatchCount - association.uncountedDispatches >= maxDispatches || setUpInterval > 0;
        return isLast ? association.cutOffAt - now : Math.min(association.cutOffAt - now, typicalTimeout);
    }

    /** Lets the association wait for the roster for as long as a dispatch can still be answered; then gives it up. */
    private Decision awaitRoster(Association association, long now) {
        long latestDispatchAt = association.cutOffAt - Math.max(MIN_SET_UP_RESERVE, (long) typicalSetUpTime);
        return now < latestDispatchAt
                ? new Decision(Decision.Kind.AWAIT_ROSTER, 0, latestDispatchAt)
                : shedOrForfeit(association, now);
    }

    /** Waits with exponential backoff (50 ms to 1.6 s) if the wait ends before the goal time; otherwise gives up. */
    private Decision waitOrGiveUp(Association association, long now) {
        long retryAt = now + (MIN_WAIT << Math.min(association.waitCount++, MAX_WAIT_DOUBLINGS));
        UseCase useCase = useCases[association.useCase];
        return retryAt < association.cutOffAt - useCase.cutOff() + useCase.goalTime()
                ? new Decision(Decision.Kind.WAIT, 0, retryAt)
                : shedOrForfeit(association, now);
    }

    /**
     * Rule 1, one final answer: closes the association. It is shed if the client may safely repeat it, because no
     * dispatch ran or repeats have no further effect; otherwise it is forfeited.
     */
    private Decision shedOrForfeit(Association association, long now) {
        UseCase useCase = useCases[association.useCase];
        association.closed = true;
        dispatchHistory.record(association, useCase, now);
        boolean mayShed = useCase.effect() == UseCase.Effect.RETRIABLE
                || useCase.scope() == UseCase.DeduplicationScope.ALL
                || association.noDispatchRan();
        return mayShed ? new Decision(Decision.Kind.SHED, 0, shedRetryAfter) : Decision.FORFEIT;
    }

    /** Queues a log message for the next poll; drops it if the last one was less than {@link #LOG_INTERVAL} ago. */
    private void logRateLimited(String message, long now) {
        if (now - lastLoggedAt >= LOG_INTERVAL && pendingActions.logMessages.add(message)) {
            lastLoggedAt = now;
        }
    }

    /**
     * Records that the association's pending dispatch is established: updates the totals and pins the key to the
     * backend. A client with a subset index above 0 pins the key of that index instead. A full tracking table evicts
     * its least recently used entry.
     */
    private void addConnection(Association association, Backend backend) {
        association.established = true;
        backend.pendingDispatches--;
        backend.addConnection(association);
        occupiedBackends += backend.openConnections.size() == 1 ? 1 : 0;
        addToTotals(backend, 0, association.load);
        if (association.placementKey() != 0) {
            TrackingEntry entry = trackingTable.computeIfAbsent(association.placementKey(), TrackingEntry::new);
            sameKeyPairs += entry.openConnections.size();
            entry.addConnection(association);
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

    /** Removes the association's connection or pending dispatch from the backend, the totals and the tracking entry. */
    private void removeConnection(Association association, Backend backend, long now) {
        backend.lastActiveAt = now;
        if (!association.established) {
            backend.pendingDispatches--;
            addToTotals(backend, -1, 0);
        }
        if (backend.removeConnection(association)) {
            // With the last connection the whole load goes, so that no rounding error remains.
            addToTotals(backend, -1, backend.openConnections.isEmpty() ? -backend.load : -association.load);
            occupiedBackends -= backend.openConnections.isEmpty() ? 1 : 0;
        }
        TrackingEntry entry = trackingTable.get(association.placementKey());
        if (entry != null && entry.removeConnection(association)) {
            sameKeyPairs -= entry.openConnections.size();
            entry.unusedSince = now;
            changeTracker.markChanged(entry);
        }
    }

    /**
     * Applies one roster entry. Returns true if the lookup table must be rebuilt.
     *
     * @param knownSince time since when the entry counts as known, at most {@code now}
     */
    private boolean applyRosterEntry(Backend backend, RosterEntry entry, long knownSince, long now) {
        // A faulty roster may call running backends gone. If that alone counted, few or no backends would be left, so
        // removal may also need failed set-ups.
        boolean isRemoved = backend.stage == Stage.READY && entry.stage() == Stage.GONE;
        if (removalNeedsConfirmation
                && isRemoved
                && backend.setUpFailuresWhileMissing < Backend.MAX_FAILURES_WHILE_MISSING) {
            backend.missingFromRoster = true;
            return false;
        }
        backend.missingFromRoster = false;
        backend.setUpFailuresWhileMissing = 0;
        double weight = usesRosterWeights && entry.weight() > 0 ? entry.weight() : 1;
        boolean isTableChanged =
                backend.weight != weight || (backend.stage == Stage.GONE) != (entry.stage() == Stage.GONE);
        if (entry.stage() != Stage.READY && (backend.stage == Stage.READY || backend.drainNoticedAt == 0)) {
            backend.drainNoticedAt = knownSince;
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
                        : backend.startedAt + slowStartDuration + slowStartDuration / SLOW_START_MARGIN_DIVISOR);
        return isTableChanged;
    }
}
