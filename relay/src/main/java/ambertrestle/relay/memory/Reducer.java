package ambertrestle.relay.memory;

import ambertrestle.decide.Answer;
import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.Chores;
import ambertrestle.decide.Decisions;
import ambertrestle.decide.Outcome;
import ambertrestle.relay.durable.Recovery.Beginning;
import ambertrestle.relay.durable.Said;
import ambertrestle.relay.durable.Start;
import ambertrestle.relay.memory.Connection.Stage;
import ambertrestle.relay.wire.Address;
import ambertrestle.relay.wire.Ask;
import ambertrestle.relay.wire.FromBackend;
import ambertrestle.relay.wire.FromClient;
import ambertrestle.relay.wire.Heard;
import ambertrestle.relay.wire.Misuse;
import ambertrestle.relay.wire.RosterMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The one place where a relay's state changes: an event and the time go in, effects come out. It asks the module as the
 * simulator's host does and decides no placement itself. No socket, no clock, no thread.
 */
public final class Reducer {
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    /** Kept of the client's time for the way back of the answer. */
    private static final long WAY_BACK = 20 * MS;
    /** How long a connection may take over its first line, and how long it may stay on once it was told PONG. */
    private static final long SILENCE = 2 * SECOND, STAY = SECOND / 2;
    /** How long one half of a connection may outlive the other, and what was written last its taker. */
    private static final long HALF = 10 * SECOND, LINGER = 3 * SECOND;
    /** A standing connection is tried again this often. */
    private static final long STANDING_AGAIN = SECOND / 4, STANDING_FOR = 40 * SECOND;
    /** New connections still come this long after the last one, once this relay is told to stop. */
    private static final long LAST_CALL = SECOND / 2;
    /** The platform kills no sooner than this after it told a relay to stop, less the time to hand all over. */
    private static final long HOLD = 3_200 * MS;

    private static final int MOST_EARLY = 16;
    private static final long HELD_UP = SECOND / 5;
    /** A client's line that brought nothing back for so long has met a connection that is dead. */
    private static final long SILENT_LINE = 5 * SECOND;
    /** The part of the sockets that those may hold who have opened nothing yet. */
    private static final int SILENT_PART = 6;
    /** Danger: taking all that is learned at once would hold up the loop; so much takes well under a millisecond. */
    private static final int PART_KEPT = 1024;

    private static final byte[] PONG = line("PONG"), ERR = line("ERR"), BUSY = line("BUSY"), MOVE = line("MOVE");

    private final Decisions balancer;
    private final RunValues values;
    private final Roster roster;
    private final Delays delays;
    private final Dues dues = new Dues();
    private final TreeMap<Long, Connection> bySocket = new TreeMap<>();
    private final Map<Association, Connection> byAssociation = new java.util.IdentityHashMap<>();
    /** Those that have opened nothing yet, oldest first, and whose id is held here. */
    private final TreeMap<Long, Connection> silent = new TreeMap<>();

    private final Map<Long, Connection> byId = new HashMap<>();
    private final TurnedAway turnedAway = new TurnedAway();
    private List<Effect> effects = new ArrayList<>();
    private long dialled;
    /** Sockets that are held: accepted, dialled or up. */
    private int sockets;

    private long tellAt;
    private long armed = Long.MAX_VALUE;
    /** Where the roster service is, and whether it is watched: a watch that broke is asked for again in time. */
    private Address rosterAt;

    private boolean watching;
    private boolean watched;
    private int mostSockets;
    private final Returns returns = new Returns();
    /** How far its start has come; null where nothing is kept. */
    private final Beginning beginning;

    private final Start start;
    private long toldToStopAt, stopAt = Long.MAX_VALUE;
    private boolean stopped;

    public Reducer(RunValues values, RosterMessage known, long now) {
        this(values, known, Balancer::new, now);
    }

    /** With others in the module's place, to compare it with them. */
    public Reducer(RunValues values, RosterMessage known, Decisions.Maker decisions, long now) {
        this(values, Beginning.known(known), false, decisions, now);
    }

    /** `keeps`: what it learns is asked for by {@link Event.Keep}, and its start is told. */
    public Reducer(RunValues values, Beginning beginning, boolean keeps, Decisions.Maker decisions, long now) {
        this.values = values;
        this.beginning = beginning;
        start = keeps ? new Start(beginning, now) : null;
        rosterAt = values.rosterAt();
        mostSockets = values.mostSockets();
        roster = new Roster(values.zones(), values.types());
        balancer = decisions.make(values.jobTicket(), values.seed(), now);
        delays = new Delays(values.messageGoal() / 3);
        tellAt = now + Delays.TOLD_EVERY;
        balancer.roster(roster.take(beginning.list()), true, true, now);
        if (keeps) {
            balancer.remember(beginning.kept(), beginning.unseen(), now);
            // Danger: versions of another roster service mean nothing to this one; the whole list is asked for.
            roster.index = beginning.comparable() ? roster.index : -1;
        }
    }

    /** The one way in. */
    public List<Effect> apply(Event event, long now) {
        effects = new ArrayList<>();
        if (event instanceof Event.OnWire wire) {
            heard(wire.heard(), now);
        } else if (event instanceof Event.Reread reread) {
            reread(reread, now);
        } else if (event instanceof Event.Keep) {
            effects.add(new Effect.Keep(balancer.changes(PART_KEPT, now)));
        } else if (event instanceof Event.ToldToStop) {
            note("told-to-stop", "told to stop: settling " + byAssociation.size() + " associations");
            toldToStopAt = stopAt == Long.MAX_VALUE ? now : toldToStopAt;
            stopAt = Math.min(stopAt, now + LAST_CALL);
        }
        settle(now);
        return effects;
    }

    private void heard(Heard heard, long now) {
        if (heard instanceof Heard.Accepted e) {
            accepted(e.socket(), now);
        } else if (heard instanceof Heard.Roster e) {
            e.faulty()
                    .forEach((name, why) -> note("roster-entry-faulty", "an entry of the roster is left out: " + why));
            roster(roster.withKnown(e.message(), e.faulty().keySet()), now);
        } else if (heard instanceof Heard.RosterBroke e) {
            note("roster-watch-broke", "roster watch broke: " + e.why());
            watching = false;
            if (start != null) {
                start.broke();
            }
            balancer.rosterFailed(now);
        } else if (heard instanceof Heard.ClientSaid e) {
            Connection c = bySocket.get(e.socket());
            if (c != null) {
                clientSaid(c, e.line(), now);
            }
        } else if (heard instanceof Heard.BackendSaid e) {
            Connection c = current(e.socket());
            if (c != null) {
                backendSaid(c, e.line(), now);
            }
        } else if (heard instanceof Heard.Connected e) {
            Connection c = current(e.socket());
            if (c != null) {
                c.handed = true;
                // Danger: with part of a core and a burst to serve, this relay's own delay would pass for its
                // backend's.
                await(c, c.patience, now);
            }
        } else if (heard instanceof Heard.Written e) {
            Connection c = current(e.socket());
            if (c != null) {
                c.written = true;
            }
        } else if (heard instanceof Heard.Garbled e) {
            garbled(e.socket(), now);
        } else if (heard instanceof Heard.Ended e) {
            ended(e.socket(), now);
        } else if (heard instanceof Heard.Gone e) {
            gone(e.socket(), e.reset(), now);
        }
    }

    /** The connection whose dispatch that is out has this socket; null for one given up. */
    private Connection current(long socket) {
        Connection c = bySocket.get(socket);
        return c != null && c.backendSocket == socket ? c : null;
    }

    /** All whose client's socket is held, oldest first; accepted sockets have the numbers above 0. */
    private List<Connection> clients() {
        return new ArrayList<>(bySocket.tailMap(0L).values());
    }

    // ---- clients

    private void accepted(long socket, long now) {
        Connection c = new Connection(socket);
        bySocket.put(socket, c);
        sockets++;
        silent.put(socket, c);
        dues.set(c, now + SILENCE);
        if (silent.size() > Math.max(8, mostSockets / SILENT_PART) || sockets > mostSockets) {
            makeRoom(now);
        }
    }

    /** Danger: clients that connect and say nothing would use up the descriptors; the oldest of them goes. */
    private boolean makeRoom(long now) {
        if (silent.isEmpty()) {
            return false;
        }
        turnAway(silent.firstEntry().getValue(), "saying nothing while others come", BUSY, now);
        return true;
    }

    private void turnAway(Connection c, Object why, byte[] last, long now) {
        turnedAway.count(why);
        answer(c, last, now);
    }

    private void clientSaid(Connection c, FromClient line, long now) {
        switch (c.stage) {
            case SILENT -> {
                if (line instanceof FromClient.Ping && !c.asked) {
                    // Danger: those that ask once and stay would hold all descriptors.
                    c.asked = true;
                    write(c.client, PONG);
                    dues.set(c, Math.min(c.due.time(), now + STAY));
                } else if (line instanceof FromClient.Opening opening) {
                    opening(c, opening, now);
                } else {
                    turnAway(c, line instanceof FromClient.Malformed m ? m.why() : Misuse.NO_OPENING, ERR, now);
                }
            }
            case PLACING -> {
                // Danger: a client that sends on and on before it is up would fill the memory.
                if (line instanceof FromClient.Text && c.early.size() < MOST_EARLY) {
                    c.early.add(line.raw());
                } else {
                    misused(c, Misuse.IN_A_HURRY, now);
                }
            }
            case OPEN -> passOn(c, line.raw(), now);
            case OVER -> {}
        }
    }

    /** A client that asked for something sound showed that it is none of ours before it was answered. */
    private void misused(Connection c, Misuse why, long now) {
        balancer.clientLeft(c.association, now);
        turnAway(c, why, ERR, now);
    }

    private void opening(Connection c, FromClient.Opening opening, long now) {
        Connection holder = byId.get(opening.id());
        // Danger: backends refuse an id that is open, one after the other, and all of them would look ill.
        if (holder != null && !(opening.midFlow() && holder.opening.flow() == opening.flow())) {
            turnAway(c, Misuse.ID_TAKEN, ERR, now);
            return;
        }
        long wait =
                opening.millis() >= 0 ? opening.millis() * MS : values.cutOffs().get(opening.useCase());
        Association a = new Association(
                opening.id(),
                opening.useCase(),
                opening.tenant(),
                opening.flow(),
                opening.group(),
                now + wait - WAY_BACK,
                opening.guess() * 1000,
                opening.midFlow(),
                opening.returning());
        if (stopAt != Long.MAX_VALUE) {
            stopAt = Math.max(stopAt, now + LAST_CALL);
        }
        if (opening.returning() || opening.midFlow()) {
            returns.cameBack(opening.flow(), now);
        }
        c.association = a;
        c.opening = opening;
        c.stage = Stage.PLACING;
        byAssociation.put(a, c);
        byId.put(opening.id(), c);
        silent.remove(c.client);
        dues.cancel(c);
        if (opening.at() != null) {
            c.standing = true;
            c.sentAt = now;
            c.backend = Roster.id(opening.at());
            standing(c, now);
        } else if (sockets + 1 > mostSockets && !makeRoom(now)) {
            // Danger: past the limit of sockets a dispatch fails after it was counted; nothing has run yet.
            balancer.clientLeft(a, now);
            turnAway(c, "want of sockets", BUSY, now);
        } else {
            carryOut(c, balancer.where(a, now), now);
        }
    }

    private void standing(Connection c, long now) {
        String address = roster.address(c.backend);
        if (address == null || now - c.sentAt > STANDING_FOR) {
            note("standing-lost", "a standing connection did not find its backend", c);
            answer(c, ERR, now);
            return;
        }
        dial(c, address, c.opening.raw());
    }

    private void passOn(Connection c, byte[] raw, long now) {
        write(c.backendSocket, raw);
        if (c.unanswered.size() < 64) {
            c.unanswered.add(now);
        }
    }

    /** The client is gone or counts as gone: nothing more is owed. */
    private void clientLeft(Connection c, long now) {
        if (c.stage == Stage.PLACING || c.stage == Stage.OPEN) {
            forget(c);
            balancer.clientLeft(c.association, now);
        }
        over(c, now);
    }

    // ---- answers of the module

    private void carryOut(Connection c, Answer answer, long now) {
        switch (answer.kind) {
            case SEND -> {
                c.backend = answer.backend;
                c.dispatch = c.association.dispatches - 1;
                c.sentAt = now;
                c.patience = answer.time;
                dial(c, roster.address(answer.backend), c.opening.onwards(Math.max(1, answer.time / MS)));
                await(c, Math.min(answer.time, values.connectTime()), now);
            }
            case WAIT -> dues.set(c, answer.time);
            case SHED -> answer(c, answer.time > 0 ? line("BUSY " + answer.time / MS) : BUSY, now);
            case FORFEIT -> answer(c, ERR, now);
            case NOTHING -> {}
        }
    }

    private void await(Connection c, long time, long now) {
        if (c.stage == Stage.PLACING && !c.standing) {
            c.over = false;
            dues.set(c, Math.min(now + time, c.association.cutOff));
        }
    }

    private void dial(Connection c, String address, byte[] first) {
        c.backendSocket = --dialled;
        c.handed = false;
        c.written = false;
        bySocket.put(c.backendSocket, c);
        sockets++;
        effect(new Ask.Dial(c.backendSocket, address, first));
    }

    /** Rule 1: the one place that answers a client for good. */
    private void answer(Connection c, byte[] last, long now) {
        forget(c);
        write(c.client, last);
        over(c, now);
    }

    private void forget(Connection c) {
        silent.remove(c.client);
        if (c.association != null) {
            byAssociation.remove(c.association);
            byId.remove(c.opening.id(), c);
        }
    }

    /** Gives back what sockets are left, each after what was written to it. */
    private void over(Connection c, long now) {
        c.stage = Stage.OVER;
        dues.set(c, now + LINGER);
        c.early.clear();
        c.unanswered.clear();
        if (c.backendSocket != 0) {
            effect(new Ask.Close(c.backendSocket));
        }
        if (!c.clientGone) {
            effect(new Ask.Close(c.client));
        }
    }

    // ---- backends

    private void backendSaid(Connection c, FromBackend line, long now) {
        if (c.stage == Stage.PLACING) {
            if (line instanceof FromBackend.Up) {
                up(c, line.raw(), now);
            } else {
                settled(
                        c,
                        line instanceof FromBackend.Busy
                                ? Outcome.FULL
                                : line instanceof FromBackend.Move
                                        ? Outcome.CANCELLED
                                        : line instanceof FromBackend.Bye ? Outcome.DONE : Outcome.ERROR,
                        now);
            }
        } else if (c.stage == Stage.OPEN) {
            if (line instanceof FromBackend.Load load) {
                balancer.loadNote(c.association, load.micros() * 1000, now);
            } else if (line instanceof FromBackend.Bye) {
                c.saidBye = true;
            } else if (line instanceof FromBackend.Move) {
                c.saidMove = true;
            } else if (!c.unanswered.isEmpty()) {
                delays.answered(c.backend, now - c.unanswered.poll());
            }
            write(c.client, line.raw());
        }
    }

    private void up(Connection c, byte[] receipt, long now) {
        c.stage = Stage.OPEN;
        dues.cancel(c);
        if (c.standing) {
            balancer.takenOver(c.association, c.backend, now);
        } else {
            balancer.established(c.association, c.dispatch, now - c.sentAt, now);
        }
        effect(new Ask.Couple(c.client, c.backendSocket));
        write(c.client, receipt);
        while (!c.early.isEmpty()) {
            passOn(c, c.early.poll(), now);
        }
    }

    /** The dispatch that is out ended before it was up. Its socket goes back before any other is dialled. */
    private void settled(Connection c, Outcome outcome, long now) {
        if (c.backendSocket != 0) {
            // Danger: what is still queued for a dispatch given up would reach its backend beside the next one.
            effect(outcome == Outcome.TIMED_OUT ? new Ask.Reset(c.backendSocket) : new Ask.Close(c.backendSocket));
            c.backendSocket = 0;
        }
        if (c.standing) {
            dues.set(c, now + STANDING_AGAIN);
            return;
        }
        dues.cancel(c);
        carryOut(c, balancer.after(c.association, c.dispatch, outcome, false, now), now);
    }

    /** What it means that the dispatch's socket broke or ended. */
    private static Outcome broke(Connection c) {
        return c.written ? Outcome.RESET : Outcome.NOT_CONNECTED;
    }

    /** An open connection is over, by its backend. */
    private void backendEnded(Connection c, long now) {
        forget(c);
        returns.endedHere(c.opening.flow(), now);
        Outcome outcome = c.saidBye ? Outcome.DONE : c.saidMove ? Outcome.CANCELLED : Outcome.RESET;
        balancer.after(c.association, c.association.dispatches - 1, outcome, true, now);
    }

    // ---- ends of sockets

    private void ended(long socket, long now) {
        Connection c = bySocket.get(socket);
        if (c == null) {
            return;
        }
        if (socket == c.client) {
            if (c.stage == Stage.OPEN) {
                effect(new Ask.Finish(c.backendSocket));
                dues.set(c, now + HALF);
            } else {
                clientLeft(c, now);
            }
        } else if (socket == c.backendSocket) {
            if (c.stage == Stage.PLACING) {
                settled(c, broke(c), now);
            } else if (c.stage == Stage.OPEN) {
                effect(new Ask.Finish(c.client));
                backendEnded(c, now);
                c.stage = Stage.OVER;
                dues.set(c, now + HALF);
            }
        } else {
            effect(new Ask.Close(socket));
        }
    }

    private void garbled(long socket, long now) {
        Connection c = bySocket.get(socket);
        if (c == null) {
            return;
        }
        if (socket < 0) {
            note("backend-garbled", "a backend sent what is no line", c);
        } else {
            turnedAway.count(Misuse.NO_LINE);
        }
        if (socket == c.client && c.stage == Stage.SILENT) {
            answer(c, ERR, now);
        } else if (socket == c.client && c.stage == Stage.PLACING) {
            balancer.clientLeft(c.association, now);
            answer(c, ERR, now);
        } else if (socket == c.backendSocket && c.stage == Stage.PLACING) {
            settled(c, Outcome.ERROR, now);
        } else if (c.stage != Stage.OVER) {
            clientLeft(c, now);
        }
    }

    private void gone(long socket, boolean reset, long now) {
        Connection c = bySocket.remove(socket);
        if (c == null) {
            return;
        }
        sockets--;
        if (socket == c.client) {
            c.clientGone = true;
            boolean open = c.stage == Stage.OPEN;
            if (open && reset) {
                effect(new Ask.Reset(c.backendSocket));
            }
            clientLeft(c, now);
        } else if (socket == c.backendSocket) {
            if (c.stage == Stage.PLACING) {
                c.backendSocket = 0;
                settled(c, broke(c), now);
                return;
            }
            c.backendSocket = 0;
            if (c.stage == Stage.OPEN) {
                backendEnded(c, now);
                if (reset) {
                    effect(new Ask.Reset(c.client));
                }
            }
            over(c, now);
        }
        if (c.clientGone && c.backendSocket == 0) {
            dues.cancel(c);
        }
    }

    // ---- the roster, time and the end

    private void roster(RosterMessage message, long now) {
        if (!message.whole() && message.index() < roster.index) {
            note("roster-went-back", "the roster went back from " + roster.index + " to " + message.index());
            roster.index = -1;
            watch();
            return;
        }
        RosterMessage list = message;
        if (start != null) {
            effects.add(new Effect.KeepRoster(message));
            // Danger: changes leave out what did not change, whose age would count as unknown for good.
            list = start.at() == Start.At.ON_OLD_LIST ? beginning.list().after(message) : message;
            say(start.heard(list, now));
        }
        balancer.roster(roster.take(list), list.whole(), false, now);
    }

    private void watch() {
        watched = true;
        watching = true;
        effect(new Ask.Watch(rosterAt, roster.index));
    }

    private void reread(Event.Reread reread, long now) {
        mostSockets = reread.mostSockets();
        if (!reread.rosterAt().equals(rosterAt)) {
            note("roster-moved", "the roster service is now at " + reread.rosterAt());
            rosterAt = reread.rosterAt();
            // Danger: what the old one still tells may be older than what the new one knows; it is left at once.
            watch();
        }
    }

    /** After each event: what is due, the module's chores, and the next time to wake. */
    private void settle(long now) {
        for (Connection c = dues.next(now); c != null; c = dues.next(now)) {
            due(c, now);
        }
        if (now >= tellAt) {
            tell(now);
        }
        if (start != null) {
            say(start.woke(now));
        }
        Chores chores = balancer.howLong(now);
        // Danger: where the settings say that changes come by themselves, the module never asks; on sockets none come.
        // Danger: a watch moved meanwhile must not be torn down by the retry that the one before had coming.
        if (!watching && (chores.rosterCall != Chores.RosterCall.NONE || !watched && values.changesCome())) {
            watch();
        }
        for (Association a : chores.moves) {
            move(byAssociation.get(a), now);
        }
        chores.log.forEach(line -> note("decisions", line));
        if (now >= stopAt && !stopped) {
            stop(now);
        }
        long converges = start == null ? Long.MAX_VALUE : start.wakeAt();
        long next = Math.min(
                converges,
                Math.min(Math.min(chores.wakeAt, dues.earliest()), Math.min(tellAt, stopped ? tellAt : stopAt)));
        if (next != armed) {
            armed = next;
            effects.add(new Effect.WakeAt(next));
        }
    }

    /** What is looked at twice a second. */
    private void tell(long now) {
        String turned = turnedAway.line(now);
        if (turned != null) {
            note("turned-away", turned);
        }
        if (now - tellAt > HELD_UP) {
            // Danger: after a stall of its own all lines seem to wait; what came meanwhile is read first.
            tellAt = now + HELD_UP / 2;
            return;
        }
        delays.tell(clients(), balancer, now);
        moveSilent(now);
        tellAt = now + Delays.TOLD_EVERY;
    }

    private void due(Connection c, long now) {
        switch (c.stage) {
            case SILENT -> {
                if (c.asked) {
                    forget(c);
                    over(c, now);
                } else {
                    turnAway(c, "saying nothing for two seconds", ERR, now);
                }
            }
            case OVER -> {
                // Danger: what a peer does not take in is never written, and its socket would never be given back.
                if (c.backendSocket != 0) {
                    effect(new Ask.Reset(c.backendSocket));
                }
                if (!c.clientGone) {
                    effect(new Ask.Reset(c.client));
                }
            }
            case OPEN -> clientLeft(c, now);
            case PLACING -> {
                if (c.standing) {
                    standing(c, now);
                } else if (c.backendSocket != 0 && !c.over && now < c.association.cutOff) {
                    // Danger: where this relay was held up, the answer may be here unread; the sockets come first.
                    c.over = true;
                    dues.set(c, now + MS);
                } else if (c.backendSocket != 0) {
                    // Danger: a line handed to a socket may be out before its last byte is reported.
                    settled(c, c.handed ? Outcome.TIMED_OUT : Outcome.NOT_CONNECTED, now);
                } else {
                    carryOut(c, balancer.where(c.association, now), now);
                }
            }
        }
    }

    /** Danger: one that brings nothing back while its backend serves others is no backend's delay; it must leave. */
    private void moveSilent(long now) {
        for (Connection c : clients()) {
            if (c.stage == Stage.OPEN && !c.unanswered.isEmpty() && now - c.unanswered.peek() > SILENT_LINE) {
                move(c, now);
            }
        }
    }

    private void move(Connection c, long now) {
        if (c == null || c.stage != Stage.OPEN) {
            return;
        }
        forget(c);
        returns.endedHere(c.opening.flow(), now);
        balancer.after(c.association, c.association.dispatches - 1, Outcome.CANCELLED, true, now);
        write(c.client, MOVE);
        over(c, now);
    }

    /** Hands all over by moves, a quarter at a time; new connections no longer come. */
    private void stop(long now) {
        // Danger: while another relay is away too, nobody could take moved clients in; here they are still served.
        if (values.packetsPass() && now < toldToStopAt + HOLD && returns.many(byAssociation.size(), now)) {
            stopAt = toldToStopAt + HOLD;
            return;
        }
        List<Connection> open =
                clients().stream().filter(c -> c.stage == Stage.OPEN).toList();
        open.stream().limit(Math.max(4, open.size() / 4)).forEach(c -> move(c, now));
        if (!byAssociation.isEmpty()) {
            stopAt = now + LAST_CALL / 8;
            return;
        }
        stopped = true;
        effects.add(new Effect.Stop());
    }

    private void write(long socket, byte[] line) {
        effect(new Ask.Write(socket, line));
    }

    private void effect(Ask ask) {
        effects.add(new Effect.OnWire(ask));
    }

    private void say(Said said) {
        if (said != null) {
            effects.add(new Effect.Note(said.event(), said.line(), said.fields()));
        }
    }

    private void note(String event, String line) {
        effects.add(new Effect.Note(event, line, Map.of()));
    }

    private void note(String event, String line, Connection c) {
        Map<String, String> fields = new TreeMap<>();
        if (c.opening != null) {
            fields.put("association", Long.toHexString(c.opening.id()));
            fields.put("useCase", c.opening.said().get("c"));
            fields.put("backend", c.standing ? c.opening.at() : String.valueOf(roster.address(c.backend)));
        }
        effects.add(new Effect.Note(event, line, fields));
    }

    private static byte[] line(String text) {
        return (text + "\r\n").getBytes(StandardCharsets.UTF_8);
    }
}
