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
 * What all policies that the module is compared with share: the list, the rules of effects and drains, time-outs and
 * final answers as the module gives them. They differ in {@link #pick} alone; none moves connections, and none keeps a
 * cold budget, so breaches of that rule are counted for them too.
 */
abstract class BaselinePolicy implements BalancingPolicy {
    private static final long MS = 1_000_000L;

    /** What a relay knows of a backend without any mechanism. */
    static final class KnownBackend {
        final long id;
        Stage stage = Stage.GONE;
        long drainNoticedAt;
        double weight = 1;
        int zone;
        int activeConnections;

        KnownBackend(long id) {
            this.id = id;
        }
    }

    final SplittableRandom random;
    private final TreeMap<Long, KnownBackend> backends = new TreeMap<>(Long::compareUnsigned);
    private final List<UseCase> useCases = new ArrayList<>();
    private final int maxDispatches;
    private final long drainGrace, retryAfter;
    private long watchAt;
    private boolean watchRequested;

    BaselinePolicy(Map<String, String> ticket, long seed, long now) {
        random = new SplittableRandom(seed);
        int count = (int) Double.parseDouble(ticket.get("useCases.count"));
        for (int u = 0; u < count; u++) {
            useCases.add(UseCase.fromSettings(ticket, "useCases." + u + "."));
        }
        maxDispatches = (int) Double.parseDouble(ticket.get("limits.dispatches"));
        drainGrace = (long) Double.parseDouble(ticket.get("rules.drainGrace"));
        retryAfter = "true".equals(ticket.get("limits.retryAfter"))
                ? (long) Double.parseDouble(ticket.get("limits.maxRetryAfter"))
                : 0;
        watchAt = now;
    }

    /** One of those; `fit` is never empty, sorted by id, and none of them was tried for this association. */
    abstract KnownBackend pick(Association a, List<KnownBackend> fit);

    /** How long a dispatch that is not the last may take. */
    long dispatchTimeout(Association a, long goal, long now) {
        return Math.min(a.cutOffAt - now, goal / 2);
    }

    /** The list changed. */
    void onRosterChanged(List<KnownBackend> members) {}

    @Override
    public Decision selectBackend(Association a, long now) {
        if (a.closed || a.hasDispatchInFlight()) {
            return Decision.NOTHING;
        }
        UseCase u = useCases.get(a.useCase);
        if (now < a.cutOffAt && a.dispatchCount < maxDispatches) {
            List<KnownBackend> fit = backends.values().stream()
                    .filter(s -> s.stage == Stage.READY && !a.hasTried(s.id) && mayDispatchTo(a, u, s, now))
                    .toList();
            if (!fit.isEmpty()) {
                KnownBackend s = pick(a, fit);
                a.recordDispatch(s.id, now);
                s.activeConnections++;
                return new Decision(
                        Kind.SEND,
                        s.id,
                        a.dispatchCount >= maxDispatches ? a.cutOffAt - now : dispatchTimeout(a, u.goalTime(), now));
            }
        }
        a.closed = true;
        return u.effect() == Effect.RETRIABLE || u.scope() == UseCase.DeduplicationScope.ALL || a.noDispatchRan()
                ? new Decision(Kind.SHED, 0, retryAfter)
                : Decision.FORFEIT;
    }

    private boolean mayDispatchTo(Association a, UseCase u, KnownBackend to, long now) {
        for (int d = 0; d < a.dispatchCount; d++) {
            boolean apart = u.scope() == UseCase.DeduplicationScope.ZONE && backends.get(a.sentTo[d]).zone != to.zone;
            if (a.dispatchStates[d] != DispatchState.NEVER_RAN
                    && (u.effect() == Effect.BINDING
                            || u.effect() == Effect.FINGERPRINTED
                                    && (apart || now - a.sentAt[d] >= u.deduplicationWindow()))) {
                return false;
            }
        }
        return true;
    }

    @Override
    public Decision onDispatchFinished(
            Association a, int dispatch, DispatchOutcome outcome, boolean finished, long now) {
        if (dispatch < 0 || dispatch >= a.dispatchCount || a.dispatchStates[dispatch] != DispatchState.IN_FLIGHT) {
            return Decision.NOTHING;
        }
        a.dispatchStates[dispatch] = outcome.neverRan ? DispatchState.NEVER_RAN : DispatchState.MAY_HAVE_RUN;
        backends.get(a.sentTo[dispatch]).activeConnections--;
        if (finished || a.closed) {
            a.closed = true;
            return Decision.NOTHING;
        }
        return selectBackend(a, now);
    }

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

    @Override
    public void onRosterUpdate(List<RosterEntry> lines, boolean whole, boolean cached, long now) {
        if (whole) {
            backends.values().forEach(s -> s.stage = Stage.GONE);
        }
        for (RosterEntry line : lines) {
            KnownBackend s = backends.computeIfAbsent(line.backend(), KnownBackend::new);
            if (line.stage() != Stage.READY && s.stage == Stage.READY) {
                s.drainNoticedAt = now;
            }
            s.stage = line.stage();
            s.weight = line.weight();
            s.zone = line.zone();
        }
        onRosterChanged(
                backends.values().stream().filter(s -> s.stage != Stage.GONE).toList());
    }

    @Override
    public void onRosterCallFailed(long now) {
        watchRequested = false;
        watchAt = now + 250 * MS + random.nextLong(500 * MS);
    }

    @Override
    public void onConnectionAdopted(Association a, long backend, long now) {
        a.recordDispatch(backend, now);
        backends.computeIfAbsent(backend, KnownBackend::new).activeConnections++;
        a.established = true;
    }

    @Override
    public void onConnectionEstablished(Association a, int dispatch, long took, long now) {
        a.established = true;
    }

    @Override
    public void onLoadReport(Association a, double load, long now) {}

    @Override
    public void onDelayReport(long backend, long delay, long now) {}

    @Override
    public void onClientDisconnected(Association a, long now) {
        a.closed = true;
        if (a.hasDispatchInFlight()) {
            a.dispatchStates[a.dispatchCount - 1] = DispatchState.MAY_HAVE_RUN;
            backends.get(a.sentTo[a.dispatchCount - 1]).activeConnections--;
        }
    }
}
