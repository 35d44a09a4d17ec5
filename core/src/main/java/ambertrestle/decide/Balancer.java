package ambertrestle.decide;

import ambertrestle.decide.Answer.Kind;
import ambertrestle.decide.Association.Fate;
import ambertrestle.decide.Listed.Stage;
import ambertrestle.decide.UseCase.Effect;
import ambertrestle.decide.UseCase.Scope;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Every decision of one relay. Ask {@link #where} for an association that arrived or has waited, {@link #after} when a
 * dispatch ended, {@link #howLong} after each batch; tell it the rest. The plain values of this interface stand beside
 * it in this package. One instance a relay, one thread, the batch's clock.
 *
 * <p>The ordinary path is docs/design.md's: own tracking table, else the Maglev table in the key's order. Mechanisms
 * beside it, as numbered there: 1. size: a backend takes turns in the Maglev table in proportion to its listed weight;
 * 2. crowding: overfull and late backends are passed over on a hit too, a group lies on its part of them; 3. moves:
 * connections leave a late backend, the heaviest first; 4. warm-up: a fresh backend counts by its age, with a hard
 * budget in the gate; 5. doubt: a backend with failures gets work by a draw from the posterior of its chance of
 * success; 6. pacing: time-outs with further dispatches, and set-ups spaced while they fail all over.
 */
public final class Balancer implements Decisions {
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    /** Prime; turns keep it even to one slot: four times as many changed nothing at 138 backends. */
    private static final int TABLE = 4093;

    private static final int MOST_ENTRIES = 1 << 16;
    /** A silent watch counts as told after 6 s, and 3.2 s are over when it is found silent. */
    private static final long HEAR_AGAIN = 2_300 * MS;
    /** Set-ups in a row that an unlisted backend may fail before it counts as gone. */
    private static final int MOST_MISSED = 2;
    /** A relay sees one pair in as many as the square of the number of relays; of a few it misses little. */
    private static final int SIGHTED = 16 * 16;
    /** Pairs of one group that a relay takes for granted where others hold nearly all connections. */
    private static final int UNSEEN_PAIRS = 4;
    /** One in so many that are not in their own place leave in a second; about so many are looked at then. */
    private static final int HOME_IN = 8, MOST_LOOKED = 256;

    private static final long HOME_AFTER = 5 * SECOND;
    private static final long ENTRY_AGE = 60 * SECOND;
    /** Evidence about a backend halves in this time. */
    private static final long HALF_LIFE = 4 * SECOND;

    private final SplittableRandom chance;
    private final HashMap<Long, Backend> backends = new HashMap<>();
    /** Listed ready or draining, by id: the members of the Maglev table. */
    private Backend[] members = new Backend[0];

    private Backend[] table = new Backend[0];
    /** The key's order as far as it was walked: distinct backends met from the key's slot on. */
    private Backend[] order = new Backend[0];

    private int met, walked;
    private final LinkedHashMap<Long, Entry> tracking = new LinkedHashMap<>(256, 0.75f, true);
    private long purgeAt;
    private int mark;
    /** Gathers what is due until it is next asked for. */
    private Chores chores = new Chores();

    private long notedAt = Long.MIN_VALUE / 2;

    private final UseCase[] useCases;
    private final int mostDispatches, relays;
    private final boolean secondCopies, weighted, tellsDelay, unseen, onlyDrainingBinds, pushed;
    private final long drainGrace, askWithin, coldFor, fallFor, comeBack;
    private final double coldFrom, fallMultiple, quota;
    /** The shortest time in which a message is wanted, and the longest that a client waits. */
    private long shortestGoal = Long.MAX_VALUE / 4, patience;
    /** The usual load of one connection, and how many notes of load that rests on. */
    private double usual;

    private int notes;

    private long watchAt;
    private int watchFailures;
    private long homeAt;
    private int homed;
    /** Connections that lived to their end here, decaying: what warm backends surely carry. */
    private double ended;

    private long endedAt;
    private long bornAt;
    private double setUp;
    /** The time between two set-ups while set-ups fail all over, and the next that is free. */
    private long pace, nextSlot;
    /** Sums over the ready backends: weight and count by warmth, load, connections; pairs of one group. */
    private double weights, sizes, warm, load;

    private int held, occupied, ready;
    private long pairs, summedAt, coldUntil = Long.MIN_VALUE;
    /** Backends told to be late, and those with fresh evidence; looked through instead of all. */
    private final LinkedHashSet<Backend> lates = new LinkedHashSet<>();

    private final LinkedHashSet<Backend> tried = new LinkedHashSet<>();
    /** What changed since it was last asked what to keep. */
    private final Ledger ledger = new Ledger();
    /** When it began with a list so old that any backend may have started since; 0 once one is heard. */
    private long unseenAt;
    /** Connections a nanosecond that lived to their end in the process before: its own take their time. */
    private double keptRate;
    /** Over half of the backends tried lately fail set-ups: what they share is to blame. */
    private boolean jammed;

    public Balancer(Map<String, String> jobTicket, long seed, long now) {
        chance = new SplittableRandom(seed);
        useCases = new UseCase[(int) JobTicket.number(jobTicket, "useCases.count")];
        for (int u = 0; u < useCases.length; u++) {
            useCases[u] = UseCase.read(jobTicket, "useCases." + u + ".");
            patience = Math.max(patience, useCases[u].cutOff());
        }
        mostDispatches = (int) JobTicket.number(jobTicket, "limits.dispatches");
        secondCopies = Boolean.parseBoolean(jobTicket.get("limits.secondCopies"));
        tellsDelay = "true".equals(jobTicket.get("familyInfo.tellsDelay"));
        // Where the relay's wire shows no delay; that a backend breaks connections then stands for it.
        unseen = "unseen".equals(jobTicket.get("familyInfo.tellsDelay"));
        drainGrace = (long) JobTicket.number(jobTicket, "rules.drainGrace");
        onlyDrainingBinds = JobTicket.flag(jobTicket, "rules.onlyDrainingBinds");
        coldFrom = JobTicket.number(jobTicket, "rules.coldFrom");
        coldFor = (long) JobTicket.number(jobTicket, "rules.cold");
        fallMultiple = JobTicket.number(jobTicket, "rules.fallMultiple");
        fallFor = (long) JobTicket.number(jobTicket, "rules.fall");
        weighted = List.of("nominal", "rough")
                .contains(JobTicket.word(jobTicket, "weights", "nominal", "rough", "none", "live"));
        pushed = JobTicket.word(jobTicket, "discovery", "pushed", "on_request").equals("pushed");
        askWithin = (long) JobTicket.numberOr(jobTicket, "rules.askWithin", 16.0 * SECOND);
        boolean tells = Boolean.parseBoolean(jobTicket.get("limits.retryAfter"));
        comeBack = tells ? (long) JobTicket.number(jobTicket, "limits.maxRetryAfter") : 0;
        for (double goal : JobTicket.numbers(jobTicket, "familyInfo.messageAim")) {
            shortestGoal = Math.min(shortestGoal, (long) goal);
        }
        quota = Arrays.stream(JobTicket.numbers(jobTicket, "familyInfo.tenantQuotaConnections"))
                .sum();
        relays = (int) JobTicket.number(jobTicket, "relays");
        bornAt = now;
        endedAt = now;
        purgeAt = now + ENTRY_AGE;
        // Danger: relays that start together ask together, and the service fails calls that waited too long.
        watchAt = pushed ? Long.MAX_VALUE : now + new SplittableRandom(seed + 1).nextLong(turn(0));
    }

    // ---- the three questions

    /** Where to send this association, which has arrived or has waited as told. */
    @Override
    public Answer where(Association a, long now) {
        if (a.closed || a.out()) {
            return Answer.NOTHING;
        }
        // Danger: what can never be sent again would sit out its time; it is given up at once.
        if (now >= a.cutOff || a.dispatches - a.excused >= mostDispatches || !repeatable(a, null, now)) {
            return giveUp(a);
        }
        if (pace > 0 && now < nextSlot && a.slot == 0 && !a.midFlow) {
            if (nextSlot >= a.cutOff - useCases[a.useCase].cutOff() / 4) {
                return giveUp(a);
            }
            a.slot = nextSlot;
            nextSlot += pace;
            return new Answer(Kind.WAIT, 0, a.slot);
        }
        a.slot = 0;
        nextSlot = Math.max(nextSlot, now + pace);
        Backend b = choose(a, now);
        return b != null ? send(a, b, now) : waitOrGiveUp(a, now);
    }

    /** What to do after this outcome of a dispatch; `finished`: the association is over. */
    @Override
    public Answer after(Association a, int dispatch, Outcome outcome, boolean finished, long now) {
        if (dispatch < 0 || dispatch >= a.dispatches || a.fate[dispatch] != Fate.OUT) {
            return Answer.NOTHING;
        }
        Backend b = backends.get(a.sentTo[dispatch]);
        a.fate[dispatch] = outcome.neverRan ? Fate.NEVER_RAN : Fate.MAY_HAVE_RUN;
        unhold(a, b, now);
        judge(b, outcome, a.established, now);
        ledger.changed(b);
        // Danger: an old list names backends that are gone; finding that out must not use up all dispatches.
        a.excused += unseenAt > 0 && outcome == Outcome.NOT_CONNECTED ? 1 : 0;
        // Danger: where all set-ups turn slow, a short time-out sends each of them several times over.
        setUp = outcome == Outcome.TIMED_OUT ? Math.max(setUp, (now - a.sentAt[dispatch]) / 2.0) : setUp;
        if (finished || a.closed) {
            a.closed = true;
            return Answer.NOTHING;
        }
        return where(a, now);
    }

    /** How long to wait before asking again, and the chores now due. */
    @Override
    public Chores howLong(long now) {
        Chores due = chores;
        chores = new Chores();
        if (now >= watchAt) {
            watchAt = Long.MAX_VALUE;
            due.rosterCall = Chores.RosterCall.WATCH;
        }
        if (now >= purgeAt) {
            tracking.values().removeIf(e -> e.open.isEmpty() && now - e.endedAt >= ENTRY_AGE && ledger.gone(e));
            purgeAt = now + ENTRY_AGE / 4;
        }
        due.wakeAt = Math.min(purgeAt, watchAt);
        if (unseen && now < coldUntil + HOME_AFTER && blind()) {
            if (now >= homeAt) {
                home(due, now);
            }
            due.wakeAt = Math.min(due.wakeAt, homeAt);
        }
        return due;
    }

    // ---- what it is told

    /** The roster, whole or changes only; `cached`: as this relay last had it, perhaps stale. */
    @Override
    public void roster(List<Listed> lines, boolean whole, boolean cached, long now) {
        watchFailures = 0;
        mark++;
        unseenAt = cached ? unseenAt : 0;
        boolean changed = false;
        for (Listed line : lines) {
            Backend b = backends.computeIfAbsent(line.backend(), Backend::new);
            b.mark = mark;
            changed |= list(b, line, now);
        }
        if (whole) {
            for (Backend b : members) {
                if (b.mark != mark) {
                    changed |= list(b, new Listed(b.id, Stage.GONE, 0, b.cell, b.weight, b.zone, 0), now);
                }
            }
        }
        if (changed) {
            gather();
        }
        sum(now);
    }

    private void gather() {
        members = backends.values().stream().filter(b -> b.stage != Stage.GONE).toArray(Backend[]::new);
        Arrays.sort(members, (x, y) -> Long.compareUnsigned(x.id, y.id));
        fillTable();
    }

    @Override
    public void rosterFailed(long now) {
        note("roster call failed, asking again", now);
        // Danger: relays that ask again in step keep the roster service full and all of them fail again.
        long base = turn(Math.min(watchFailures, 4));
        // Danger: what a watch fallen silent misses counts as told while the relay still waits its turn.
        watchAt = now
                + (watchFailures++ == 0
                        ? chance.nextLong(Math.min(base, HEAR_AGAIN))
                        : base / 2 + chance.nextLong(base));
    }

    /** Calls of all relays spread over this, half at most of the time after which silence counts as told. */
    private long turn(int doubled) {
        // Danger: where lists are pushed, all that the agent has counts as told whether or not it is watched.
        long most = Math.min(pushed ? SECOND / 4 : 8 * SECOND, askWithin / 2);
        return Math.max(1, Math.min(most, relays * 50 * MS << doubled));
    }

    /** An open connection that was passing through when this relay started. */
    @Override
    public void takenOver(Association a, long backend, long now) {
        a.sent(backend, now);
        Backend b = backends.computeIfAbsent(backend, Backend::new);
        b.pending++;
        tally(b, 1, 0);
        hold(a, b);
    }

    /** What it would keep beyond this process: at most so many values, those changed since last asked. */
    @Override
    public Kept changes(int most, long now) {
        Kept.Whole whole =
                new Kept.Whole(ageEnded(now), Math.min(now - bornAt, 10 * SECOND), setUp, usual, notes, pace);
        return ledger.take(most, made(), whole, backends.values(), tracking.values());
    }

    /** What an earlier process kept, weighed by its age; `unseen`: ages in the list mean nothing. */
    @Override
    public void remember(Kept kept, boolean unseen, long now) {
        ended = kept.whole().ended();
        endedAt = now;
        bornAt = Math.min(bornAt, now - kept.whole().lived());
        keptRate = ended / (kept.whole().lived() + SECOND);
        setUp = kept.whole().setUp();
        usual = kept.whole().usual();
        notes = kept.whole().notes();
        pace = Math.min(kept.whole().pace(), relays * SECOND / 8);
        nextSlot = pace > 0 ? now + chance.nextLong(pace) : 0;
        for (Kept.Judged j : kept.backends()) {
            Backend b = backends.get(j.backend());
            if (b != null && b.remember(j)) {
                lates.add(b);
                tried.add(b);
            }
        }
        jammed = jammed(now);
        for (Kept.Pin p : kept.pins()) {
            Backend b = backends.get(p.backend());
            // Danger: a pin to what is no longer listed would be followed the moment that id is listed again.
            boolean listed = b != null && b.stage != Stage.GONE;
            if (listed && kept.table() == made() && tracking.size() < MOST_ENTRIES) {
                Entry entry = tracking.computeIfAbsent(p.key(), Entry::new);
                entry.backend = b;
                entry.endedAt = p.endedAt();
            }
        }
        unseenAt = unseen ? now : 0;
        coldUntil = unseen ? Math.max(coldUntil, now + coldFor + coldFor / 64) : coldUntil;
        sum(now);
    }

    private long made() {
        return Backend.mix(TABLE * 2 + (weighted ? 1 : 0));
    }

    @Override
    public void established(Association a, int dispatch, long took, long now) {
        if (dispatch >= a.dispatches || a.established) {
            return;
        }
        Backend b = backends.get(a.sentTo[dispatch]).age(now, HALF_LIFE);
        b.good++;
        b.missed = 0;
        ledger.changed(b);
        tried.add(b);
        jammed = jammed && jammed(now);
        pace = pace < relays * 12 * MS ? 0 : pace / 2;
        setUp += (took - setUp) / 8;
        hold(a, b);
    }

    @Override
    public void loadNote(Association a, double load, long now) {
        double grown = load - a.load;
        a.load = load;
        if (a.place >= 0) {
            Backend b = backends.get(a.sentTo[a.dispatches - 1]);
            tally(b, 0, grown);
            usual += (one() - usual) / Math.min(64, ++notes);
            if (grown > 0 && now - b.lightenedAt > SECOND && laden(b, now)) {
                b.lightenedAt = now;
                moveOff(b, Math.max(1, b.open.size() / 6), now);
            }
        }
    }

    /**
     * Danger: unseen, what grows on a backend makes all there late. Too much is where its load and what others likely
     * hold there pass half of its part of the tenants' quota, with room elsewhere.
     */
    private boolean laden(Backend b, long now) {
        double size = b.weight * warmth(b, now) / Math.max(sizes, 1e-9), room = 0.5 * quota * usual;
        return unseen
                && notes > 32
                && load * relays < 0.7 * room
                && b.load * (relays + 1) / 2 + load * size * (relays - 1) / 2 > room * size;
    }

    @Override
    public void delayNote(long backend, long delay, long now) {
        Backend b = backends.computeIfAbsent(backend, Backend::new);
        boolean rising = delay >= b.delay || now - b.delayAt > 3 * SECOND;
        if (delay * 3 > shortestGoal) {
            double crowd = b.crowd(one());
            b.carries = !late(b, now) && b.carries > 0
                    ? (b.carries + crowd) / 2
                    : b.carries == 0 ? crowd : Math.min(b.carries, crowd);
            b.lateAt = now;
            lates.add(b);
        }
        b.delay = delay * 3 > shortestGoal ? delay : 0;
        b.delayAt = now;
        ledger.changed(b);
        if (rising && delay > shortestGoal) {
            // Danger: a hung backend keeps its connections; with more piled up than anyone waits, all leave.
            boolean hangs = delay > (unseen ? SECOND : patience);
            moveOff(b, hangs ? b.open.size() : (int) (b.open.size() / 6.0 + chance.nextDouble()), now);
        }
    }

    /** Danger: what piles up on an overloaded backend makes every connection there late; some must leave. */
    private void moveOff(Backend b, int some, long now) {
        b.open.stream()
                .filter(a -> !a.moved)
                .sorted(Comparator.comparing(a -> -a.load))
                .limit(some)
                .forEach(a -> {
                    a.moved = true;
                    chores.moves.add(a);
                    note("a backend is late, connections leave it", now);
                });
    }

    @Override
    public void clientLeft(Association a, long now) {
        a.closed = true;
        if (a.out()) {
            unhold(a, backends.get(a.sentTo[a.dispatches - 1]), now);
        }
    }

    // ---- the ordinary path

    private Backend choose(Association a, long now) {
        if (now < coldUntil && now - summedAt > coldFor / 256) {
            sum(now);
        }
        // Danger: fresh backends that carry nothing yet must not look like room in a fleet that grows.
        lates.removeIf(b -> b.stage == Stage.GONE || !late(b, now));
        // Danger: in a large fleet most backends tell this relay nothing; they do not pass for in time.
        long untold = lates.stream().filter(b -> b.open.isEmpty()).count();
        double lateShare = lates.size() / Math.max(Math.min(warm, occupied + untold + 2), 1);
        Entry entry = tracking.get(a.key());
        // Danger: every backend that holds any of a group pays for it; one strewn over all sinks them all.
        double part = a.group == 0 ? members.length : part(entry, lateShare);
        int depth = lateShare * 3 > 1 ? 1 + (int) part : 2 + (int) Math.round(part);
        int holding = 0;
        int holds = ++mark;
        for (Association other : entry == null ? List.<Association>of() : entry.open) {
            Backend b = backends.get(other.sentTo[other.dispatches - 1]);
            holding += b.holds != holds && b.stage != Stage.GONE ? 1 : 0;
            b.holds = holds;
        }
        startOrder(a);
        int parts = a.group == 0 || !blind() ? 1 : parts(a, part, now);
        Entry pin = tracking.get(a.pin());
        Backend known = a.key() == 0 || pin == null ? null : pin.backend;
        // Danger: an open connection sent elsewhere is reset, so a mid-flow hit is not passed over.
        boolean open = a.midFlow && a.dispatches == 0;
        if (known != null
                && known.stage == Stage.READY
                && !a.tried(known.id)
                && mayReach(known, a, true, now)
                && (open || sound(known, now) && !overfull(known, lateShare, now))) {
            return known;
        }
        Backend spare = null;
        boolean far = lateShare * 4 <= 1 || held > 3 * warm || held * 4 > relays * warm;
        for (int i = 0, ready = 0; i < members.length && (far || ready <= depth); i++) {
            Backend b = inOrder(i < parts ? (a.part + i) % parts : i);
            boolean first = open && i == 0;
            ready += b != null && b.stage == Stage.READY ? 1 : 0;
            // Danger: work sent to a fleet that is late all over keeps it late; it waits or is shed.
            if (b == null
                    || !first
                            && (b.stage != Stage.READY
                                    || a.tried(b.id)
                                    || late(b, now) && b.delay > shortestGoal
                                    || now < b.fullUntil
                                    || b.crowd(one()) >= limit(b, now)
                                    || holding >= depth && b.holds != holds
                                    || lateShare * 4 > 1 && ready > depth && !empty(b, now)
                                    || !sound(b, now))
                    || !mayReach(b, a, i == 0, now)) {
                continue;
            }
            if (first || !overfull(b, lateShare, now)) {
                return b;
            }
            spare = spare == null ? b : spare;
        }
        return spare;
    }

    /** It holds so few a backend that twice its part cannot show that a group crowds one. */
    private boolean blind() {
        return held * 2 <= relays * warm;
    }

    /** Backends that the group would fill; if blind, one more is seen a group, which pairs of one count. */
    private double part(Entry entry, double lateShare) {
        int seen = entry == null ? 0 : entry.open.size();
        // Danger: one of hundreds of relays holds a few, has seen no pair, and would take each group for a
        // small one; all would pile it on one backend. What it cannot see counts as some pairs, unless
        // many are late or nothing tells that they are: each further backend that holds a group costs.
        double apart = unseen || lateShare * 3 > 1 ? 0 : apart();
        double all = held * (held + 1.0) / 2 + warm * (0.25 + apart);
        double groups = all / (pairs + 0.25 + UNSEEN_PAIRS * apart);
        return blind() ? warm * (1 + seen) / (held + groups) : warm * seen / held;
    }

    /** How little of each other relays see: next to nothing where they are few, next to one at a hundred. */
    private double apart() {
        return (double) relays * relays / (relays * relays + SIGHTED);
    }

    private void startOrder(Association a) {
        walked = (int) Long.remainderUnsigned(Backend.mix(a.key() != 0 ? a.key() : a.id), TABLE);
        met = 0;
        mark++;
    }

    private Backend inOrder(int i) {
        for (int end = walked + TABLE; met <= i && walked < end && table.length > 0; walked++) {
            Backend b = table[walked % TABLE];
            if (b.mark != mark) {
                b.mark = mark;
                order[met++] = b;
            }
        }
        return i < met ? order[i] : null;
    }

    /**
     * Its group lies on the first in its order whose weights make up the group's part; the client's among them is drawn
     * by weight, alike at every relay, but anew for one that comes back from where it was late; where no delay is seen
     * nobody knows that it was, and it goes to its own place.
     */
    private int parts(Association a, double part, long now) {
        double least = Double.MAX_VALUE, warmed = 0;
        int n = 0;
        long who = a.returning && !a.midFlow && !unseen ? chance.nextLong() : a.client;
        // Danger: a group that lay on cold backends alone would push them over with all its clients at once.
        for (double left = part; (left > 0.5 || warmed < 1) && inOrder(n) != null; n++) {
            Backend b = inOrder(n);
            // Danger: those on a draining one would be strewn over what comes next, past all that are cold.
            if (b.stage == Stage.READY || a.midFlow) {
                double draw = draw(who, b, now);
                left -= size(b, now);
                warmed += warmth(b, now);
                a.part = draw < least ? n : a.part;
                least = Math.min(least, draw);
            }
        }
        return Math.max(1, n);
    }

    /** The least draw is a client's place: each backend has the chance of its size (rendezvous hashing). */
    private double draw(long who, Backend b, long now) {
        return -StrictMath.log((Backend.mix(who ^ b.hash) >>> 11) * 0x1p-53) / size(b, now);
    }

    /** A fresh one counts a quarter more than its warmth, which is the least that the settings promise. */
    private double size(Backend b, long now) {
        return b.weight * Math.min(1, 1.25 * warmth(b, now)) * warm / weights;
    }

    /**
     * Danger: what was placed while fresh backends were cold stays where it piled up, and nothing tells that it is late
     * there. While any warms up, a few a second whose own place is elsewhere by now are moved.
     */
    private void home(Chores due, long now) {
        homeAt = now + SECOND;
        sum(now);
        for (int i = 0, looked = 0; i < members.length && looked < MOST_LOOKED; i++) {
            Backend b = members[homed % members.length];
            homed = (homed + 1) % members.length;
            looked += b.open.size();
            for (Association a : b.stage == Stage.READY ? b.open : List.<Association>of()) {
                if (a.group != 0 && !a.moved && chance.nextInt(HOME_IN) == 0 && strays(a, b, now)) {
                    a.moved = true;
                    due.moves.add(a);
                }
            }
        }
    }

    private boolean strays(Association a, Backend b, long now) {
        startOrder(a);
        int was = a.part;
        parts(a, part(tracking.get(a.key()), 0), now);
        Backend own = inOrder(a.part);
        a.part = was;
        return own != null && own.stage == Stage.READY && draw(a.client, own, now) < draw(a.client, b, now);
    }

    /** Holds twice its part and two more, or what it carries, said so, or is late. */
    private boolean overfull(Backend b, double lateShare, long now) {
        double unit = one() == 0 ? 1 : one();
        double fair = held * unit * b.weight * warmth(b, now) / Math.max(weights, 1e-9);
        double bound = Math.max(1.25, 2 - 2 * lateShare);
        double has = b.crowd(one());
        return now < b.fullUntil
                || late(b, now)
                || now - b.lightenedAt < 5 * SECOND
                || has >= limit(b, now)
                || has > bound * fair && has >= fair + bound * unit;
    }

    /** Danger: a burst fills a backend before its messages are told to be late; what it carried bounds it. */
    private double limit(Backend b, long now) {
        double since = (double) (now - b.lateAt) / (10 * SECOND);
        return b.carries == 0 ? Double.MAX_VALUE : b.carries * (1 + since / 2 + since * since);
    }

    /** The usual load of one connection, 0 where none is told. */
    private double one() {
        return load > 0 && held > 0 ? load / held : 0;
    }

    /** Makes the sums over the ready backends anew; between, tally keeps those of load and connections. */
    private void sum(long now) {
        weights = sizes = warm = load = held = ready = 0;
        summedAt = now;
        for (Backend b : members) {
            if (b.stage == Stage.READY) {
                ready++;
                weights += b.weight * warmth(b, now);
                sizes += b.weight;
                warm += warmth(b, now);
                load += b.load;
                held += b.held();
            }
        }
    }

    private void tally(Backend b, int connections, double work) {
        b.load += work;
        if (b.stage == Stage.READY) {
            held += connections;
            load += work;
        }
    }

    /** Over half of the backends tried lately fail set-ups. */
    private boolean jammed(long now) {
        long doubtful =
                tried.stream().filter(b -> b.age(now, HALF_LIFE).slow >= 0.25).count();
        tried.removeIf(b -> b.slow + b.good < 0.25 || b.stage == Stage.GONE);
        return doubtful * 2 > tried.size() && doubtful > 2;
    }

    /** Its messages are told to take long; with none left here to tell, that is kept the longer. */
    private boolean late(Backend b, long now) {
        double kept = b.open.isEmpty() ? Math.max(3, Math.min(30, 6 * warm / Math.max(held, 1))) : 3;
        return b.delay > 0 && now - b.delayAt < kept * SECOND;
    }

    /** Plainly empty: nothing here though this relay holds much, or for long though it holds some. */
    private boolean empty(Backend b, long now) {
        return b.held() == 0 && (held > 3 * warm || held * 4 > relays * warm && now - b.usedAt > 5 * SECOND);
    }

    /** What a fresh backend counts for, by its age. */
    private double warmth(Backend b, long now) {
        long start = startOf(b);
        return start == 0 || now - start >= coldFor
                ? 1
                : coldFrom + (1 - coldFrom) * Math.max(0, now - start) / coldFor;
    }

    /** Danger: relays that begin with old lists would flood what may have just started: it is cold. */
    private long startOf(Backend b) {
        return Math.max(b.startedAt, unseenAt);
    }

    /** Draws whether a doubtful backend gets work. */
    private boolean sound(Backend b, long now) {
        // Danger: a shared store that slows fails set-ups everywhere; blaming each backend would leave none.
        double no = b.age(now, HALF_LIFE).bad - (jammed ? b.slow : 0);
        double yes = 1 + b.good;
        double sum = yes + no;
        double spread = Math.sqrt(yes * no / (sum * sum * (sum + 1)));
        return no < 0.25 || yes / sum + spread * chance.nextGaussian() >= 0.5;
    }

    private void judge(Backend b, Outcome outcome, boolean wasEstablished, long now) {
        b.age(now, HALF_LIFE);
        // Danger: what is unlisted and really gone would fail a dispatch again and again; but a shared store
        // that slows times set-ups out on all that are unlisted, and none would be left.
        boolean fails = outcome == Outcome.NOT_CONNECTED || outcome == Outcome.TIMED_OUT && !jammed;
        if (b.unlisted && fails && !wasEstablished && ++b.missed >= MOST_MISSED) {
            list(b, new Listed(b.id, Stage.GONE, 0, b.cell, b.weight, b.zone, 0), now);
            gather();
            sum(now);
        }
        switch (outcome) {
            case FULL -> b.fullUntil = now + SECOND / 2;
            case NOT_CONNECTED -> b.bad++;
            case RESET -> {
                b.bad += wasEstablished ? 0.5 : 1;
                long since = now - b.brokenAt;
                b.brokenAt = wasEstablished ? now : b.brokenAt;
                // Danger: with no delay seen, connections come back to one that breaks them over and over.
                if (unseen && wasEstablished && since > SECOND / 10 && since < 2 * SECOND) {
                    delayNote(b.id, shortestGoal, now);
                }
            }
            case ERROR, TIMED_OUT -> {
                b.bad++;
                b.slow++;
                tried.add(b);
                jammed = jammed(now);
                // Danger: repeats of all relays keep a jammed store jammed; set-ups wait until some stand.
                if (jammed) {
                    note("set-ups fail all over, spacing them", now);
                    pace = Math.min(relays * SECOND / 8, Math.max(2 * pace, relays * 12 * MS));
                    nextSlot = Math.max(nextSlot, now + pace / 2 + chance.nextLong(pace));
                }
            }
            case DONE -> ended = ageEnded(now) + 1;
            default -> {}
        }
    }

    // ---- the one send, its gate and the giving up

    /** Rule 2, no effect twice: whether it may be sent again, to b or, with null, to any backend at all. */
    private boolean repeatable(Association a, Backend b, long now) {
        UseCase u = useCases[a.useCase];
        for (int d = 0; d < a.dispatches; d++) {
            Backend before = backends.get(a.sentTo[d]);
            boolean apart = b != null
                    && (u.scope() == Scope.ZONE && before.zone != b.zone
                            || u.scope() == Scope.CELL && before.cell != b.cell);
            boolean over = apart || now - a.sentAt[d] >= u.window();
            if (a.fate[d] != Fate.NEVER_RAN
                    && (u.effect() == Effect.BINDING || u.effect() == Effect.FINGERPRINTED && over)) {
                return false;
            }
        }
        return true;
    }

    /** The one place that every send passes: rules 2, 3 and 4 are kept here. */
    private boolean mayReach(Backend b, Association a, boolean own, long now) {
        if (a.closed || a.out() && !secondCopies || !repeatable(a, b, now)) {
            return false;
        }
        // Rule 3: nothing new past the grace.
        if (b.stage != Stage.READY && now - b.heardAt >= drainGrace / 2) {
            return false;
        }
        // Rule 4: no cold backend pushed over.
        if (warmth(b, now) < 1) {
            double rate = coldRate(b, now);
            if (b.allowanceAt < startOf(b)) {
                // Danger: relays that begin at one moment would all send the first at one moment too.
                double most = unseenAt > 0 ? 1 : blind() ? apart() : 0;
                b.allowance = most > 0 ? chance.nextDouble() * most : 0;
                b.allowanceAt = Math.max(startOf(b), now - fallFor);
            }
            b.allowance = Math.min(Math.max(1, rate * fallFor), b.allowance + rate * (now - b.allowanceAt));
            b.allowanceAt = now;
            // Danger: of a hundred relays none earns a whole dispatch in time, and fresh ones get nothing.
            // Where it is the client's own place, drawn by warmth, the sum is in proportion: one goes ahead.
            // The less of the fleet is warm, the fewer go ahead; an open connection likely is there already.
            double ahead = apart() * Math.min(1, 4 * warm * warm / Math.max(ready * ready, 1));
            int first = a.midFlow && a.dispatches == 0 ? 0 : 1;
            return b.allowance >= 1 || own && blind() && b.allowance > first - ahead;
        }
        return true;
    }

    /** This relay's part, in dispatches a nanosecond, of what a backend of that size and age may be sent. */
    private double coldRate(Backend b, long now) {
        ageEnded(now);
        // Danger: dispatches of a storm of resets come back many times over and would inflate the budget.
        double span = Math.min(now - bornAt, 10 * SECOND) + SECOND;
        // Where few are late, a warm backend could do some times what it is seen to do.
        int room = !tellsDelay || lates.size() * 8 > members.length ? 1 : 4;
        // Danger: with all of them counted as cold, parts of the cold weights would cancel what cold means.
        double rate = fallMultiple
                * warmth(b, now)
                * room
                * (unseenAt > 0 ? Math.max(keptRate, ended / span) : ended / span)
                * b.weight
                / Math.max(unseenAt > 0 ? sizes : weights, 1e-9);
        // Danger: a relay that learned nothing must not sit idle; any backend sets up one connection a fall.
        return unseenAt > 0 ? Math.max(rate, fallMultiple / relays / fallFor) : rate;
    }

    private double ageEnded(long now) {
        ended *= StrictMath.exp(-(double) (now - endedAt) / (10 * SECOND));
        endedAt = now;
        return ended;
    }

    private Answer send(Association a, Backend b, long now) {
        b.allowance -= warmth(b, now) < 1 ? 1 : 0;
        a.sent(b.id, now);
        b.usedAt = now;
        b.pending++;
        tally(b, 1, 0);
        return new Answer(Kind.SEND, b.id, timeOut(a, now));
    }

    /** Leaves room for a further dispatch before the goal time. */
    private long timeOut(Association a, long now) {
        long usual = Math.max(useCases[a.useCase].goal() / 2, (long) (4 * setUp));
        boolean last = a.dispatches - a.excused >= mostDispatches || pace > 0;
        return last ? a.cutOff - now : Math.min(a.cutOff - now, usual);
    }

    private Answer waitOrGiveUp(Association a, long now) {
        long until = now + (50 * MS << Math.min(a.waits++, 5));
        UseCase u = useCases[a.useCase];
        return until < a.cutOff - u.cutOff() + u.goal() ? new Answer(Kind.WAIT, 0, until) : giveUp(a);
    }

    /** Rule 1: the one place a final answer is given, at once. */
    private Answer giveUp(Association a) {
        a.closed = true;
        UseCase u = useCases[a.useCase];
        boolean harmless = u.effect() == Effect.RETRIABLE || u.scope() == Scope.ALL || a.neverRan();
        return harmless ? new Answer(Kind.SHED, 0, comeBack) : Answer.FORFEIT;
    }

    /** Few lines: one in five seconds at the most. */
    private void note(String line, long now) {
        if (now - notedAt >= 5 * SECOND && chores.log.add(line)) {
            notedAt = now;
        }
    }

    private void hold(Association a, Backend b) {
        a.established = true;
        b.pending--;
        b.add(a);
        occupied += b.open.size() == 1 ? 1 : 0;
        tally(b, 0, a.load);
        if (a.key() != 0) {
            Entry entry = tracking.computeIfAbsent(a.key(), Entry::new);
            pairs += entry.open.size();
            entry.open.add(a);
            Entry pin = a.part <= 0 ? entry : tracking.computeIfAbsent(a.pin(), Entry::new);
            pin.backend = b;
            ledger.changed(entry);
            ledger.changed(pin);
            if (tracking.size() > MOST_ENTRIES) {
                ledger.gone(tracking.remove(tracking.keySet().iterator().next()));
            }
        }
    }

    private void unhold(Association a, Backend b, long now) {
        b.usedAt = now;
        if (!a.established) {
            b.pending--;
            tally(b, -1, 0);
        }
        if (b.remove(a)) {
            tally(b, -1, b.open.isEmpty() ? -b.load : -a.load);
            occupied -= b.open.isEmpty() ? 1 : 0;
        }
        Entry entry = tracking.get(a.key());
        if (entry != null && entry.open.remove(a)) {
            pairs -= entry.open.size();
            entry.endedAt = now;
            ledger.changed(entry);
        }
    }

    private boolean list(Backend b, Listed line, long now) {
        // Danger: a list that calls running backends gone would leave few or none; it alone does not count.
        boolean calledGone = b.stage == Stage.READY && line.stage() == Stage.GONE;
        if (onlyDrainingBinds && calledGone && b.missed < MOST_MISSED) {
            b.unlisted = true;
            return false;
        }
        b.unlisted = false;
        b.missed = 0;
        double weight = weighted && line.weight() > 0 ? line.weight() : 1;
        boolean changed = b.weight != weight || (b.stage == Stage.GONE) != (line.stage() == Stage.GONE);
        if (line.stage() != Stage.READY && (b.stage == Stage.READY || b.heardAt == 0)) {
            b.heardAt = now;
            ledger.changed(b);
        }
        if (line.stage() == Stage.READY && line.startedAt() != b.startedAt) {
            b.good = 0;
            b.bad = 0;
            b.fullUntil = 0;
        }
        b.usedAt = b.usedAt == 0 ? now : b.usedAt;
        b.stage = line.stage();
        b.startedAt = line.stage() == Stage.GONE ? b.startedAt : line.startedAt();
        b.weight = weight;
        b.cell = line.cell();
        b.zone = line.zone();
        coldUntil = Math.max(coldUntil, b.startedAt == 0 ? coldUntil : b.startedAt + coldFor + coldFor / 64);
        return changed;
    }

    /** Maglev: the listed backends, sorted by id, take slots in turn, each by its own offset and skip. */
    private void fillTable() {
        order = new Backend[members.length];
        table = new Backend[members.length == 0 ? 0 : TABLE];
        int n = members.length;
        int[] next = new int[n];
        double[] turns = new double[n];
        double heaviest =
                Arrays.stream(members).mapToDouble(b -> b.weight).max().orElse(0);
        for (int i = 0; i < n; i++) {
            next[i] = (int) Long.remainderUnsigned(members[i].hash, TABLE);
        }
        for (int filled = 0, i = 0; n > 0 && filled < TABLE; i = (i + 1) % n) {
            turns[i] += members[i].weight / heaviest;
            if (turns[i] < 1) {
                continue;
            }
            turns[i]--;
            int skip = (int) Long.remainderUnsigned(Backend.mix(members[i].hash), TABLE - 1) + 1;
            while (table[next[i]] != null) {
                next[i] = (next[i] + skip) % TABLE;
            }
            table[next[i]] = members[i];
            filled++;
        }
    }
}
