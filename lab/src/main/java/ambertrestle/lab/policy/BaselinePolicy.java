package ambertrestle.lab.policy;

import ambertrestle.decide.Association;
import ambertrestle.decide.Association.DispatchState;
import ambertrestle.decide.BalancingPolicy;
import ambertrestle.decide.Decision;
import ambertrestle.decide.Decision.Kind;
import ambertrestle.decide.DispatchOutcome;
import ambertrestle.decide.DueActions;
import ambertrestle.decide.RosterEntry;
import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.decide.UseCase;
import ambertrestle.decide.UseCase.Effect;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Base of the policies that {@link ambertrestle.decide.Balancer} is compared with. It tracks the roster, sends nothing
 * to draining backends, and follows the same rules as the balancer on when an association may be dispatched again and
 * how it is answered in the end. Subclasses choose the backend in {@link #pick} and may change the timeout of a
 * dispatch.
 *
 * <p>None of them moves connections. None enforces a limit on the dispatches to a backend in slow start, so violations
 * of that limit are to be expected of them; they are counted as for the balancer. None of them has learned state to
 * persist.
 */
abstract class BaselinePolicy implements BalancingPolicy {
    /** One millisecond in nanoseconds. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Least delay before a failed roster call is repeated, in nanoseconds. */
    private static final long ROSTER_RETRY_DELAY = 250 * NANOS_PER_MILLI;

    /** Width of the jitter on top of {@link #ROSTER_RETRY_DELAY}, in nanoseconds. */
    private static final long ROSTER_RETRY_JITTER = 500 * NANOS_PER_MILLI;

    /** What a relay knows of a backend from the roster and its own dispatches. */
    static final class KnownBackend {
        /** The id by which decisions and dispatches name the backend. */
        final long id;

        /** {@link Stage#GONE} also before the first roster that lists the backend. */
        Stage stage = Stage.GONE;

        /** When the roster last changed the backend from ready to draining or gone; no policy reads it. */
        long drainNoticedAt;

        /** The roster's weight: a backend of weight 2 is meant to get twice as many connections as one of weight 1. */
        double weight = 1;

        /** Number of the zone that the backend belongs to. */
        int zone;

        /** This relay's dispatches to the backend that have not finished, open connections included. */
        int activeConnections;

        KnownBackend(long id) {
            this.id = id;
        }
    }

    /** Source of all random decisions of this policy. */
    final SplittableRandom random;

    /** All backends that were ever listed, by id; {@link Stage#GONE} if the roster no longer lists them. */
    private final TreeMap<Long, KnownBackend> backends = new TreeMap<>(Long::compareUnsigned);

    /** In the order of the settings; {@link Association#useCase} is an index into it. */
    private final List<UseCase> useCases = new ArrayList<>();

    /** Most dispatches per association. */
    private final int maxDispatches;

    /** Read from the settings but not applied: a draining backend gets nothing from the moment the roster says so. */
    private final long drainGrace;

    /** The retry-after time of every shed answer, in nanoseconds; 0 if the settings turn it off. */
    private final long retryAfter;

    /** Earliest time of the next roster watch, in nanoseconds. */
    private long watchAt;

    /** A watch was requested and has not failed since. */
    private boolean watchRequested;

    /**
     * @param settings the settings as the decisions read them; numbers are in decimal, times in nanoseconds
     * @param seed for every random choice of this policy
     * @param now time of the relay's start, in nanoseconds; the roster is watched from then on
     */
    BaselinePolicy(Map<String, String> settings, long seed, long now) {
        random = new SplittableRandom(seed);
        int count = (int) Double.parseDouble(settings.get("useCases.count"));
        for (int i = 0; i < count; i++) {
            useCases.add(UseCase.fromSettings(settings, "useCases." + i + "."));
        }
        maxDispatches = (int) Double.parseDouble(settings.get("limits.dispatches"));
        drainGrace = (long) Double.parseDouble(settings.get("rules.drainGrace"));
        retryAfter = "true".equals(settings.get("limits.retryAfter"))
                ? (long) Double.parseDouble(settings.get("limits.maxRetryAfter"))
                : 0;
        watchAt = now;
    }

    /**
     * Chooses one of the candidates for the association's next dispatch.
     *
     * @param candidates ready backends that this association has not tried yet, by id; never empty
     */
    abstract KnownBackend pick(Association association, List<KnownBackend> candidates);

    /**
     * How long a dispatch may take, in nanoseconds, unless it is the last one allowed, which has until the cut-off.
     * Half of the goal time leaves time for a second attempt within the goal.
     */
    long dispatchTimeout(Association association, long goalTime, long now) {
        return Math.min(association.cutOffAt - now, goalTime / 2);
    }

    /**
     * Called after each roster update, also if it changed nothing.
     *
     * @param members the listed backends, ready or draining, by id
     */
    void onRosterChanged(List<KnownBackend> members) {}

    /**
     * Sends the association to a backend that {@link #pick} chooses. If there is none left to try, or no time or
     * dispatch left, the association ends: it is shed if the client may safely retry, and forfeited otherwise, because
     * the effect could then run twice.
     */
    @Override
    public Decision selectBackend(Association association, long now) {
        if (association.closed || association.hasDispatchInFlight()) {
            return Decision.NOTHING;
        }
        UseCase useCase = useCases.get(association.useCase);
        if (now < association.cutOffAt && association.dispatchCount < maxDispatches) {
            List<KnownBackend> candidates = backends.values().stream()
                    .filter(backend -> backend.stage == Stage.READY
                            && !association.hasTried(backend.id)
                            && mayDispatchTo(association, useCase, backend, now))
                    .toList();
            if (!candidates.isEmpty()) {
                KnownBackend chosen = pick(association, candidates);
                association.recordDispatch(chosen.id, now);
                chosen.activeConnections++;
                return new Decision(
                        Kind.SEND,
                        chosen.id,
                        association.dispatchCount >= maxDispatches
                                ? association.cutOffAt - now
                                : dispatchTimeout(association, useCase.goalTime(), now));
            }
        }
        association.closed = true;
        return useCase.effect() == Effect.RETRIABLE
                        || useCase.scope() == UseCase.DeduplicationScope.ALL
                        || association.noDispatchRan()
                ? new Decision(Kind.SHED, 0, retryAfter)
                : Decision.FORFEIT;
    }

    /**
     * Whether a dispatch to the backend could not make the effect run twice. After a dispatch that may have run, a
     * binding association may not be dispatched again, and a fingerprinted one only to a backend that discards the
     * duplicate: within the deduplication window and, where the scope is a zone, in the same zone. The scope of a cell
     * needs no check, because all backends of a scenario are in one cell.
     */
    private boolean mayDispatchTo(Association association, UseCase useCase, KnownBackend target, long now) {
        for (int i = 0; i < association.dispatchCount; i++) {
            boolean outsideScope = useCase.scope() == UseCase.DeduplicationScope.ZONE
                    && backends.get(association.sentTo[i]).zone != target.zone;
            if (association.dispatchStates[i] != DispatchState.NEVER_RAN
                    && (useCase.effect() == Effect.BINDING
                            || useCase.effect() == Effect.FINGERPRINTED
                                    && (outsideScope
                                            || now - association.sentAt[i] >= useCase.deduplicationWindow()))) {
                return false;
            }
        }
        return true;
    }

    @Override
    public Decision onDispatchFinished(
            Association association, int dispatch, DispatchOutcome outcome, boolean finished, long now) {
        if (dispatch < 0
                || dispatch >= association.dispatchCount
                || association.dispatchStates[dispatch] != DispatchState.IN_FLIGHT) {
            return Decision.NOTHING;
        }
        association.dispatchStates[dispatch] = outcome.neverRan ? DispatchState.NEVER_RAN : DispatchState.MAY_HAVE_RUN;
        backends.get(association.sentTo[dispatch]).activeConnections--;
        if (finished || association.closed) {
            association.closed = true;
            return Decision.NOTHING;
        }
        return selectBackend(association, now);
    }

    /** The only due action is to watch the roster, at the start and after a failed call. */
    @Override
    public DueActions pollDueActions(long now) {
        DueActions due = new DueActions();
        if (now >= watchAt && !watchRequested) {
            watchRequested = true;
            due.rosterCall = DueActions.RosterCall.WATCH;
        }
        due.wakeAt = watchRequested ? Long.MAX_VALUE : watchAt;
        return due;
    }

    /** A cached roster is used like a fresh one. */
    @Override
    public void onRosterUpdate(List<RosterEntry> entries, boolean isComplete, boolean isCached, long now) {
        if (isComplete) {
            backends.values().forEach(backend -> backend.stage = Stage.GONE);
        }
        for (RosterEntry entry : entries) {
            KnownBackend backend = backends.computeIfAbsent(entry.backend(), KnownBackend::new);
            if (entry.stage() != Stage.READY && backend.stage == Stage.READY) {
                backend.drainNoticedAt = now;
            }
            backend.stage = entry.stage();
            backend.weight = entry.weight();
            backend.zone = entry.zone();
        }
        onRosterChanged(backends.values().stream()
                .filter(backend -> backend.stage != Stage.GONE)
                .toList());
    }

    @Override
    public void onRosterCallFailed(long now) {
        watchRequested = false;
        watchAt = now + ROSTER_RETRY_DELAY + random.nextLong(ROSTER_RETRY_JITTER);
    }

    @Override
    public void onConnectionAdopted(Association association, long backend, long now) {
        association.recordDispatch(backend, now);
        backends.computeIfAbsent(backend, KnownBackend::new).activeConnections++;
        association.established = true;
    }

    @Override
    public void onConnectionEstablished(Association association, int dispatch, long setUpTime, long now) {
        association.established = true;
    }

    /** Ignored: these policies know only their own connections. */
    @Override
    public void onLoadReport(Association association, double load, long now) {}

    /** Ignored: these policies know only their own connections. */
    @Override
    public void onDelayReport(long backend, long delay, long now) {}

    @Override
    public void onClientDisconnected(Association association, long now) {
        association.closed = true;
        if (association.hasDispatchInFlight()) {
            association.dispatchStates[association.dispatchCount - 1] = DispatchState.MAY_HAVE_RUN;
            backends.get(association.sentTo[association.dispatchCount - 1]).activeConnections--;
        }
    }
}
