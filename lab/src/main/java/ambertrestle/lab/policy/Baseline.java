package ambertrestle.lab.policy;

import ambertrestle.decide.Answer;
import ambertrestle.decide.Answer.Kind;
import ambertrestle.decide.Association;
import ambertrestle.decide.Association.Fate;
import ambertrestle.decide.Chores;
import ambertrestle.decide.Decisions;
import ambertrestle.decide.Listed;
import ambertrestle.decide.Listed.Stage;
import ambertrestle.decide.Outcome;
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
abstract class Baseline implements Decisions {
    private static final long MS = 1_000_000L;

    /** What a relay knows of a backend without any mechanism. */
    static final class Server {
        final long id;
        Stage stage = Stage.GONE;
        long heardAt;
        double weight = 1;
        int zone;
        int held;

        Server(long id) {
            this.id = id;
        }
    }

    final SplittableRandom chance;
    private final TreeMap<Long, Server> servers = new TreeMap<>(Long::compareUnsigned);
    private final List<UseCase> useCases = new ArrayList<>();
    private final int mostDispatches;
    private final long drainGrace, comeBack;
    private long watchAt;
    private boolean asked;

    Baseline(Map<String, String> ticket, long seed, long now) {
        chance = new SplittableRandom(seed);
        int count = (int) Double.parseDouble(ticket.get("useCases.count"));
        for (int u = 0; u < count; u++) {
            useCases.add(UseCase.read(ticket, "useCases." + u + "."));
        }
        mostDispatches = (int) Double.parseDouble(ticket.get("limits.dispatches"));
        drainGrace = (long) Double.parseDouble(ticket.get("rules.drainGrace"));
        comeBack = "true".equals(ticket.get("limits.retryAfter"))
                ? (long) Double.parseDouble(ticket.get("limits.maxRetryAfter"))
                : 0;
        watchAt = now;
    }

    /** One of those; `fit` is never empty, sorted by id, and none of them was tried for this association. */
    abstract Server pick(Association a, List<Server> fit);

    /** How long a dispatch that is not the last may take. */
    long time(Association a, long goal, long now) {
        return Math.min(a.cutOff - now, goal / 2);
    }

    /** The list changed. */
    void listed(List<Server> members) {}

    @Override
    public Answer where(Association a, long now) {
        if (a.closed || a.out()) {
            return Answer.NOTHING;
        }
        UseCase u = useCases.get(a.useCase);
        if (now < a.cutOff && a.dispatches < mostDispatches) {
            List<Server> fit = servers.values().stream()
                    .filter(s -> s.stage == Stage.READY && !a.tried(s.id) && repeatable(a, u, s, now))
                    .toList();
            if (!fit.isEmpty()) {
                Server s = pick(a, fit);
                a.sent(s.id, now);
                s.held++;
                return new Answer(
                        Kind.SEND, s.id, a.dispatches >= mostDispatches ? a.cutOff - now : time(a, u.goal(), now));
            }
        }
        a.closed = true;
        return u.effect() == Effect.RETRIABLE || u.scope() == UseCase.Scope.ALL || a.neverRan()
                ? new Answer(Kind.SHED, 0, comeBack)
                : Answer.FORFEIT;
    }

    private boolean repeatable(Association a, UseCase u, Server to, long now) {
        for (int d = 0; d < a.dispatches; d++) {
            boolean apart = u.scope() == UseCase.Scope.ZONE && servers.get(a.sentTo[d]).zone != to.zone;
            if (a.fate[d] != Fate.NEVER_RAN
                    && (u.effect() == Effect.BINDING
                            || u.effect() == Effect.FINGERPRINTED && (apart || now - a.sentAt[d] >= u.window()))) {
                return false;
            }
        }
        return true;
    }

    @Override
    public Answer after(Association a, int dispatch, Outcome outcome, boolean finished, long now) {
        if (dispatch < 0 || dispatch >= a.dispatches || a.fate[dispatch] != Fate.OUT) {
            return Answer.NOTHING;
        }
        a.fate[dispatch] = outcome.neverRan ? Fate.NEVER_RAN : Fate.MAY_HAVE_RUN;
        servers.get(a.sentTo[dispatch]).held--;
        if (finished || a.closed) {
            a.closed = true;
            return Answer.NOTHING;
        }
        return where(a, now);
    }

    @Override
    public Chores howLong(long now) {
        Chores due = new Chores();
        if (now >= watchAt && !asked) {
            asked = true;
            due.rosterCall = Chores.RosterCall.WATCH;
        }
        due.wakeAt = asked ? Long.MAX_VALUE : watchAt;
        return due;
    }

    @Override
    public void roster(List<Listed> lines, boolean whole, boolean cached, long now) {
        if (whole) {
            servers.values().forEach(s -> s.stage = Stage.GONE);
        }
        for (Listed line : lines) {
            Server s = servers.computeIfAbsent(line.backend(), Server::new);
            if (line.stage() != Stage.READY && s.stage == Stage.READY) {
                s.heardAt = now;
            }
            s.stage = line.stage();
            s.weight = line.weight();
            s.zone = line.zone();
        }
        listed(servers.values().stream().filter(s -> s.stage != Stage.GONE).toList());
    }

    @Override
    public void rosterFailed(long now) {
        asked = false;
        watchAt = now + 250 * MS + chance.nextLong(500 * MS);
    }

    @Override
    public void takenOver(Association a, long backend, long now) {
        a.sent(backend, now);
        servers.computeIfAbsent(backend, Server::new).held++;
        a.established = true;
    }

    @Override
    public void established(Association a, int dispatch, long took, long now) {
        a.established = true;
    }

    @Override
    public void loadNote(Association a, double load, long now) {}

    @Override
    public void delayNote(long backend, long delay, long now) {}

    @Override
    public void clientLeft(Association a, long now) {
        a.closed = true;
        if (a.out()) {
            a.fate[a.dispatches - 1] = Fate.MAY_HAVE_RUN;
            servers.get(a.sentTo[a.dispatches - 1]).held--;
        }
    }
}
