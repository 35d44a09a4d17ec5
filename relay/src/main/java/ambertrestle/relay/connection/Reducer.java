package ambertrestle.relay.connection;

import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.BalancingPolicy;
import ambertrestle.decide.Decision;
import ambertrestle.decide.DispatchOutcome;
import ambertrestle.decide.DueActions;
import ambertrestle.relay.connection.Connection.State;
import ambertrestle.relay.persistence.LogMessage;
import ambertrestle.relay.persistence.Recovery.InitialState;
import ambertrestle.relay.persistence.StartupProgress;
import ambertrestle.relay.wire.Address;
import ambertrestle.relay.wire.BackendMessage;
import ambertrestle.relay.wire.ClientMessage;
import ambertrestle.relay.wire.NetworkCommand;
import ambertrestle.relay.wire.NetworkEvent;
import ambertrestle.relay.wire.ProtocolViolation;
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
    private static final long ANSWER_RETURN_NANOS = 20 * MS;
    /** How long a connection may take over its first line, and how long it may stay on once it was told PONG. */
    private static final long OPEN_TIMEOUT_NANOS = 2 * SECOND, PING_LINGER_NANOS = SECOND / 2;
    /** How long one half of a connection may outlive the other, and what was written last its taker. */
    private static final long HALF_CLOSED_TIMEOUT_NANOS = 10 * SECOND, CLOSE_TIMEOUT_NANOS = 3 * SECOND;
    /** A standing connection is tried again this often. */
    private static final long RESUMPTION_RETRY_NANOS = SECOND / 4, RESUMPTION_TIMEOUT_NANOS = 40 * SECOND;
    /** New connections still come this long after the last one, once this relay is told to stop. */
    private static final long SHUTDOWN_GRACE_NANOS = SECOND / 2;
    /** The platform kills no sooner than this after it told a relay to stop, less the time to hand all over. */
    private static final long MAX_SHUTDOWN_DELAY_NANOS = 3_200 * MS;

    private static final int MAX_BUFFERED_LINES = 16;
    private static final long STALL_THRESHOLD_NANOS = SECOND / 5;
    /** A client's line that brought nothing back for so long has met a connection that is dead. */
    private static final long UNANSWERED_LINE_TIMEOUT_NANOS = 5 * SECOND;
    /** The part of the sockets that those may hold who have opened nothing yet. */
    private static final int AWAITING_OPEN_DIVISOR = 6;
    /** Danger: taking all that is learned at once would hold up the loop; so much takes well under a millisecond. */
    private static final int LEARNED_STATE_PART_SIZE = 1024;

    private static final byte[] PONG = encodeLine("PONG"),
            ERR = encodeLine("ERR"),
            BUSY = encodeLine("BUSY"),
            MOVE = encodeLine("MOVE");

    private final BalancingPolicy balancer;
    private final ReducerConfiguration configuration;
    private final BackendDirectory backends;
    private final BackendLatencyTracker latencies;
    private final ConnectionTimers timers = new ConnectionTimers();
    private final TreeMap<Long, Connection> bySocket = new TreeMap<>();
    private final Map<Association, Connection> byAssociation = new java.util.IdentityHashMap<>();
    /** Those that have opened nothing yet, oldest first, and whose id is held here. */
    private final TreeMap<Long, Connection> awaitingOpen = new TreeMap<>();

    private final Map<Long, Connection> byAssociationId = new HashMap<>();
    private final RejectionCounter rejections = new RejectionCounter();
    private List<Effect> effects = new ArrayList<>();
    private long lastDialledSocket;
    /** Sockets that are held: accepted, dialled or up. */
    private int socketCount;

    private long nextPeriodicRunAt;
    private long timerAt = Long.MAX_VALUE;
    /** Where the roster service is, and whether it is watched: a watch that broke is asked for again in time. */
    private Address rosterAddress;

    private boolean isWatchActive;
    private boolean hasWatched;
    private int maxSockets;
    private final ReconnectionTracker reconnections = new ReconnectionTracker();
    /** How far its start has come; null where nothing is kept. */
    private final InitialState initialState;

    private final StartupProgress startupProgress;
    private long shutdownRequestedAt, nextHandOverAt = Long.MAX_VALUE;
    private boolean isStopped;

    public Reducer(ReducerConfiguration values, RosterMessage known, long now) {
        this(values, known, Balancer::new, now);
    }

    /** With others in the module's place, to compare it with them. */
    public Reducer(ReducerConfiguration values, RosterMessage known, BalancingPolicy.Factory decisions, long now) {
        this(values, InitialState.fromConfiguration(known), false, decisions, now);
    }

    /** `keeps`: what it learns is asked for by {@link Event.LearnedStateRequested}, and its start is told. */
    public Reducer(
            ReducerConfiguration values,
            InitialState beginning,
            boolean keeps,
            BalancingPolicy.Factory decisions,
            long now) {
        this.configuration = values;
        this.initialState = beginning;
        startupProgress = keeps ? new StartupProgress(beginning, now) : null;
        rosterAddress = values.rosterAddress();
        maxSockets = values.maxSockets();
        backends = new BackendDirectory(values.zones(), values.machineTypes());
        balancer = decisions.create(values.settings(), values.seed(), now);
        latencies = new BackendLatencyTracker(values.messageGoalTime() / 3);
        nextPeriodicRunAt = now + BackendLatencyTracker.REPORT_INTERVAL_NANOS;
        balancer.onRosterUpdate(backends.update(beginning.roster()), true, true, now);
        if (keeps) {
            balancer.restoreLearnedState(beginning.learnedState(), beginning.isRosterStale(), now);
            // Danger: versions of another roster service mean nothing to this one; the whole list is asked for.
            backends.rosterVersion = beginning.hasComparableVersions() ? backends.rosterVersion : -1;
        }
    }

    /** The one way in. */
    public List<Effect> apply(Event event, long now) {
        effects = new ArrayList<>();
        if (event instanceof Event.NetworkEventReceived wire) {
            onNetworkEvent(wire.networkEvent(), now);
        } else if (event instanceof Event.ConfigurationReloaded reread) {
            onConfigurationReloaded(reread, now);
        } else if (event instanceof Event.LearnedStateRequested) {
            effects.add(new Effect.PersistLearnedState(balancer.takeLearnedStateChanges(LEARNED_STATE_PART_SIZE, now)));
        } else if (event instanceof Event.ShutdownRequested) {
            log("told-to-stop", "told to stop: settling " + byAssociation.size() + " associations");
            shutdownRequestedAt = nextHandOverAt == Long.MAX_VALUE ? now : shutdownRequestedAt;
            nextHandOverAt = Math.min(nextHandOverAt, now + SHUTDOWN_GRACE_NANOS);
        }
        processDueActions(now);
        return effects;
    }

    private void onNetworkEvent(NetworkEvent heard, long now) {
        if (heard instanceof NetworkEvent.ClientAccepted e) {
            onClientAccepted(e.socket(), now);
        } else if (heard instanceof NetworkEvent.RosterReceived e) {
            e.faultyEntries()
                    .forEach((name, why) -> log("roster-entry-faulty", "an entry of the roster is left out: " + why));
            onRosterMessage(
                    backends.withLastKnownEntries(e.message(), e.faultyEntries().keySet()), now);
        } else if (heard instanceof NetworkEvent.RosterWatchFailed e) {
            log("roster-watch-broke", "roster watch broke: " + e.reason());
            isWatchActive = false;
            if (startupProgress != null) {
                startupProgress.onWatchEnded();
            }
            balancer.onRosterCallFailed(now);
        } else if (heard instanceof NetworkEvent.ClientMessageReceived e) {
            Connection c = bySocket.get(e.socket());
            if (c != null) {
                onClientMessage(c, e.message(), now);
            }
        } else if (heard instanceof NetworkEvent.BackendMessageReceived e) {
            Connection c = findByCurrentDispatch(e.socket());
            if (c != null) {
                onBackendMessage(c, e.message(), now);
            }
        } else if (heard instanceof NetworkEvent.BackendConnected e) {
            Connection c = findByCurrentDispatch(e.socket());
            if (c != null) {
                c.isFirstLineQueued = true;
                // Danger: with part of a core and a burst to serve, this relay's own delay would pass for its
                // backend's.
                scheduleDispatchTimeout(c, c.responseTimeout, now);
            }
        } else if (heard instanceof NetworkEvent.FirstLineWritten e) {
            Connection c = findByCurrentDispatch(e.socket());
            if (c != null) {
                c.isFirstLineWritten = true;
            }
        } else if (heard instanceof NetworkEvent.FramingError e) {
            onFramingError(e.socket(), now);
        } else if (heard instanceof NetworkEvent.InputShutdown e) {
            onInputShutdown(e.socket(), now);
        } else if (heard instanceof NetworkEvent.SocketClosed e) {
            onSocketClosed(e.socket(), e.isReset(), now);
        }
    }

    /** The connection whose dispatch that is out has this socket; null for one given up. */
    private Connection findByCurrentDispatch(long socket) {
        Connection c = bySocket.get(socket);
        return c != null && c.backendSocket == socket ? c : null;
    }

    /** All whose client's socket is held, oldest first; accepted sockets have the numbers above 0. */
    private List<Connection> clientConnections() {
        return new ArrayList<>(bySocket.tailMap(0L).values());
    }

    // ---- clients

    private void onClientAccepted(long socket, long now) {
        Connection c = new Connection(socket);
        bySocket.put(socket, c);
        socketCount++;
        awaitingOpen.put(socket, c);
        timers.schedule(c, now + OPEN_TIMEOUT_NANOS);
        if (awaitingOpen.size() > Math.max(8, maxSockets / AWAITING_OPEN_DIVISOR) || socketCount > maxSockets) {
            rejectOldestAwaitingOpen(now);
        }
    }

    /** Danger: clients that connect and say nothing would use up the descriptors; the oldest of them goes. */
    private boolean rejectOldestAwaitingOpen(long now) {
        if (awaitingOpen.isEmpty()) {
            return false;
        }
        reject(awaitingOpen.firstEntry().getValue(), "saying nothing while others come", BUSY, now);
        return true;
    }

    private void reject(Connection c, Object why, byte[] last, long now) {
        rejections.count(why);
        sendFinalAnswer(c, last, now);
    }

    private void onClientMessage(Connection c, ClientMessage line, long now) {
        switch (c.state) {
            case AWAITING_OPEN -> {
                if (line instanceof ClientMessage.Ping && !c.hasPinged) {
                    // Danger: those that ask once and stay would hold all descriptors.
                    c.hasPinged = true;
                    write(c.clientSocket, PONG);
                    timers.schedule(c, Math.min(c.timer.expiresAt(), now + PING_LINGER_NANOS));
                } else if (line instanceof ClientMessage.OpenRequest opening) {
                    onOpenRequest(c, opening, now);
                } else {
                    reject(
                            c,
                            line instanceof ClientMessage.MalformedOpenRequest m
                                    ? m.violation()
                                    : ProtocolViolation.OPEN_EXPECTED,
                            ERR,
                            now);
                }
            }
            case DISPATCHING -> {
                // Danger: a client that sends on and on before it is up would fill the memory.
                if (line instanceof ClientMessage.Payload && c.bufferedLines.size() < MAX_BUFFERED_LINES) {
                    c.bufferedLines.add(line.raw());
                } else {
                    onProtocolViolation(c, ProtocolViolation.COMMAND_BEFORE_ANSWER, now);
                }
            }
            case OPEN -> forwardToBackend(c, line.raw(), now);
            case CLOSING -> {}
        }
    }

    /** A client that asked for something sound showed that it is none of ours before it was answered. */
    private void onProtocolViolation(Connection c, ProtocolViolation why, long now) {
        balancer.onClientDisconnected(c.association, now);
        reject(c, why, ERR, now);
    }

    private void onOpenRequest(Connection c, ClientMessage.OpenRequest opening, long now) {
        Connection holder = byAssociationId.get(opening.id());
        // Danger: backends refuse an id that is open, one after the other, and all of them would look ill.
        if (holder != null && !(opening.isMidFlow() && holder.openRequest.clientKey() == opening.clientKey())) {
            reject(c, ProtocolViolation.DUPLICATE_ID, ERR, now);
            return;
        }
        long wait = opening.timeoutMillis() >= 0
                ? opening.timeoutMillis() * MS
                : configuration.cutOffs().get(opening.useCase());
        Association a = new Association(
                opening.id(),
                opening.useCase(),
                opening.tenant(),
                opening.clientKey(),
                opening.groupKey(),
                now + wait - ANSWER_RETURN_NANOS,
                opening.loadEstimate() * 1000,
                opening.isMidFlow(),
                opening.isReconnect());
        if (nextHandOverAt != Long.MAX_VALUE) {
            nextHandOverAt = Math.max(nextHandOverAt, now + SHUTDOWN_GRACE_NANOS);
        }
        if (opening.isReconnect() || opening.isMidFlow()) {
            reconnections.onClientReturned(opening.clientKey(), now);
        }
        c.association = a;
        c.openRequest = opening;
        c.state = State.DISPATCHING;
        byAssociation.put(a, c);
        byAssociationId.put(opening.id(), c);
        awaitingOpen.remove(c.clientSocket);
        timers.cancel(c);
        if (opening.currentBackend() != null) {
            c.isResumption = true;
            c.dispatchedAt = now;
            c.backendId = BackendDirectory.backendId(opening.currentBackend());
            resume(c, now);
        } else if (socketCount + 1 > maxSockets && !rejectOldestAwaitingOpen(now)) {
            // Danger: past the limit of sockets a dispatch fails after it was counted; nothing has run yet.
            balancer.onClientDisconnected(a, now);
            reject(c, "want of sockets", BUSY, now);
        } else {
            execute(c, balancer.selectBackend(a, now), now);
        }
    }

    private void resume(Connection c, long now) {
        String address = backends.addressOf(c.backendId);
        if (address == null || now - c.dispatchedAt > RESUMPTION_TIMEOUT_NANOS) {
            log("standing-lost", "a standing connection did not find its backend", c);
            sendFinalAnswer(c, ERR, now);
            return;
        }
        connectToBackend(c, address, c.openRequest.raw());
    }

    private void forwardToBackend(Connection c, byte[] raw, long now) {
        write(c.backendSocket, raw);
        if (c.unansweredSentAt.size() < 64) {
            c.unansweredSentAt.add(now);
        }
    }

    /** The client is gone or counts as gone: nothing more is owed. */
    private void onClientLeft(Connection c, long now) {
        if (c.state == State.DISPATCHING || c.state == State.OPEN) {
            deregister(c);
            balancer.onClientDisconnected(c.association, now);
        }
        closeSockets(c, now);
    }

    // ---- answers of the module

    private void execute(Connection c, Decision answer, long now) {
        switch (answer.kind) {
            case SEND -> {
                c.backendId = answer.backend;
                c.dispatchIndex = c.association.dispatchCount - 1;
                c.dispatchedAt = now;
                c.responseTimeout = answer.time;
                connectToBackend(
                        c,
                        backends.addressOf(answer.backend),
                        c.openRequest.encodeForBackend(Math.max(1, answer.time / MS)));
                scheduleDispatchTimeout(c, Math.min(answer.time, configuration.connectTimeout()), now);
            }
            case WAIT -> timers.schedule(c, answer.time);
            case SHED -> sendFinalAnswer(c, answer.time > 0 ? encodeLine("BUSY " + answer.time / MS) : BUSY, now);
            case FORFEIT -> sendFinalAnswer(c, ERR, now);
            case NOTHING -> {}
        }
    }

    private void scheduleDispatchTimeout(Connection c, long time, long now) {
        if (c.state == State.DISPATCHING && !c.isResumption) {
            c.hasTimedOutOnce = false;
            timers.schedule(c, Math.min(now + time, c.association.cutOffAt));
        }
    }

    private void connectToBackend(Connection c, String address, byte[] first) {
        c.backendSocket = --lastDialledSocket;
        c.isFirstLineQueued = false;
        c.isFirstLineWritten = false;
        bySocket.put(c.backendSocket, c);
        socketCount++;
        emitCommand(new NetworkCommand.Connect(c.backendSocket, address, first));
    }

    /** Rule 1: the one place that answers a client for good. */
    private void sendFinalAnswer(Connection c, byte[] last, long now) {
        deregister(c);
        write(c.clientSocket, last);
        closeSockets(c, now);
    }

    private void deregister(Connection c) {
        awaitingOpen.remove(c.clientSocket);
        if (c.association != null) {
            byAssociation.remove(c.association);
            byAssociationId.remove(c.openRequest.id(), c);
        }
    }

    /** Gives back what sockets are left, each after what was written to it. */
    private void closeSockets(Connection c, long now) {
        c.state = State.CLOSING;
        timers.schedule(c, now + CLOSE_TIMEOUT_NANOS);
        c.bufferedLines.clear();
        c.unansweredSentAt.clear();
        if (c.backendSocket != 0) {
            emitCommand(new NetworkCommand.Close(c.backendSocket));
        }
        if (!c.isClientClosed) {
            emitCommand(new NetworkCommand.Close(c.clientSocket));
        }
    }

    // ---- backends

    private void onBackendMessage(Connection c, BackendMessage line, long now) {
        if (c.state == State.DISPATCHING) {
            if (line instanceof BackendMessage.Up) {
                onBackendUp(c, line.raw(), now);
            } else {
                onDispatchFailed(
                        c,
                        line instanceof BackendMessage.Busy
                                ? DispatchOutcome.FULL
                                : line instanceof BackendMessage.Move
                                        ? DispatchOutcome.CANCELLED
                                        : line instanceof BackendMessage.Bye
                                                ? DispatchOutcome.DONE
                                                : DispatchOutcome.ERROR,
                        now);
            }
        } else if (c.state == State.OPEN) {
            if (line instanceof BackendMessage.Load load) {
                balancer.onLoadReport(c.association, load.microsPerSecond() * 1000, now);
            } else if (line instanceof BackendMessage.Bye) {
                c.hasReceivedBye = true;
            } else if (line instanceof BackendMessage.Move) {
                c.hasReceivedMove = true;
            } else if (!c.unansweredSentAt.isEmpty()) {
                latencies.recordLatency(c.backendId, now - c.unansweredSentAt.poll());
            }
            write(c.clientSocket, line.raw());
        }
    }

    private void onBackendUp(Connection c, byte[] receipt, long now) {
        c.state = State.OPEN;
        timers.cancel(c);
        if (c.isResumption) {
            balancer.onConnectionAdopted(c.association, c.backendId, now);
        } else {
            balancer.onConnectionEstablished(c.association, c.dispatchIndex, now - c.dispatchedAt, now);
        }
        emitCommand(new NetworkCommand.LinkFlowControl(c.clientSocket, c.backendSocket));
        write(c.clientSocket, receipt);
        while (!c.bufferedLines.isEmpty()) {
            forwardToBackend(c, c.bufferedLines.poll(), now);
        }
    }

    /** The dispatch that is out ended before it was up. Its socket goes back before any other is dialled. */
    private void onDispatchFailed(Connection c, DispatchOutcome outcome, long now) {
        if (c.backendSocket != 0) {
            // Danger: what is still queued for a dispatch given up would reach its backend beside the next one.
            emitCommand(
                    outcome == DispatchOutcome.TIMED_OUT
                            ? new NetworkCommand.Reset(c.backendSocket)
                            : new NetworkCommand.Close(c.backendSocket));
            c.backendSocket = 0;
        }
        if (c.isResumption) {
            timers.schedule(c, now + RESUMPTION_RETRY_NANOS);
            return;
        }
        timers.cancel(c);
        execute(c, balancer.onDispatchFinished(c.association, c.dispatchIndex, outcome, false, now), now);
    }

    /** What it means that the dispatch's socket broke or ended. */
    private static DispatchOutcome brokenSocketOutcome(Connection c) {
        return c.isFirstLineWritten ? DispatchOutcome.RESET : DispatchOutcome.NOT_CONNECTED;
    }

    /** An open connection is over, by its backend. */
    private void onBackendEnded(Connection c, long now) {
        deregister(c);
        reconnections.onConnectionEnded(c.openRequest.clientKey(), now);
        DispatchOutcome outcome = c.hasReceivedBye
                ? DispatchOutcome.DONE
                : c.hasReceivedMove ? DispatchOutcome.CANCELLED : DispatchOutcome.RESET;
        balancer.onDispatchFinished(c.association, c.association.dispatchCount - 1, outcome, true, now);
    }

    // ---- ends of sockets

    private void onInputShutdown(long socket, long now) {
        Connection c = bySocket.get(socket);
        if (c == null) {
            return;
        }
        if (socket == c.clientSocket) {
            if (c.state == State.OPEN) {
                emitCommand(new NetworkCommand.ShutdownOutput(c.backendSocket));
                timers.schedule(c, now + HALF_CLOSED_TIMEOUT_NANOS);
            } else {
                onClientLeft(c, now);
            }
        } else if (socket == c.backendSocket) {
            if (c.state == State.DISPATCHING) {
                onDispatchFailed(c, brokenSocketOutcome(c), now);
            } else if (c.state == State.OPEN) {
                emitCommand(new NetworkCommand.ShutdownOutput(c.clientSocket));
                onBackendEnded(c, now);
                c.state = State.CLOSING;
                timers.schedule(c, now + HALF_CLOSED_TIMEOUT_NANOS);
            }
        } else {
            emitCommand(new NetworkCommand.Close(socket));
        }
    }

    private void onFramingError(long socket, long now) {
        Connection c = bySocket.get(socket);
        if (c == null) {
            return;
        }
        if (socket < 0) {
            log("backend-garbled", "a backend sent what is no line", c);
        } else {
            rejections.count(ProtocolViolation.FRAMING_ERROR);
        }
        if (socket == c.clientSocket && c.state == State.AWAITING_OPEN) {
            sendFinalAnswer(c, ERR, now);
        } else if (socket == c.clientSocket && c.state == State.DISPATCHING) {
            balancer.onClientDisconnected(c.association, now);
            sendFinalAnswer(c, ERR, now);
        } else if (socket == c.backendSocket && c.state == State.DISPATCHING) {
            onDispatchFailed(c, DispatchOutcome.ERROR, now);
        } else if (c.state != State.CLOSING) {
            onClientLeft(c, now);
        }
    }

    private void onSocketClosed(long socket, boolean reset, long now) {
        Connection c = bySocket.remove(socket);
        if (c == null) {
            return;
        }
        socketCount--;
        if (socket == c.clientSocket) {
            c.isClientClosed = true;
            boolean open = c.state == State.OPEN;
            if (open && reset) {
                emitCommand(new NetworkCommand.Reset(c.backendSocket));
            }
            onClientLeft(c, now);
        } else if (socket == c.backendSocket) {
            if (c.state == State.DISPATCHING) {
                c.backendSocket = 0;
                onDispatchFailed(c, brokenSocketOutcome(c), now);
                return;
            }
            c.backendSocket = 0;
            if (c.state == State.OPEN) {
                onBackendEnded(c, now);
                if (reset) {
                    emitCommand(new NetworkCommand.Reset(c.clientSocket));
                }
            }
            closeSockets(c, now);
        }
        if (c.isClientClosed && c.backendSocket == 0) {
            timers.cancel(c);
        }
    }

    // ---- the roster, time and the end

    private void onRosterMessage(RosterMessage message, long now) {
        if (!message.isComplete() && message.version() < backends.rosterVersion) {
            log("roster-went-back", "the roster went back from " + backends.rosterVersion + " to " + message.version());
            backends.rosterVersion = -1;
            watchRoster();
            return;
        }
        RosterMessage list = message;
        if (startupProgress != null) {
            effects.add(new Effect.PersistRoster(message));
            // Danger: changes leave out what did not change, whose age would count as unknown for good.
            list = startupProgress.phase() == StartupProgress.Phase.AWAITING_ROSTER
                    ? initialState.roster().withUpdate(message)
                    : message;
            emitLogMessage(startupProgress.onRosterMessage(list, now));
        }
        balancer.onRosterUpdate(backends.update(list), list.isComplete(), false, now);
    }

    private void watchRoster() {
        hasWatched = true;
        isWatchActive = true;
        emitCommand(new NetworkCommand.WatchRoster(rosterAddress, backends.rosterVersion));
    }

    private void onConfigurationReloaded(Event.ConfigurationReloaded reread, long now) {
        maxSockets = reread.maxSockets();
        if (!reread.rosterAddress().equals(rosterAddress)) {
            log("roster-moved", "the roster service is now at " + reread.rosterAddress());
            rosterAddress = reread.rosterAddress();
            // Danger: what the old one still tells may be older than what the new one knows; it is left at once.
            watchRoster();
        }
    }

    /** After each event: what is due, the module's chores, and the next time to wake. */
    private void processDueActions(long now) {
        for (Connection c = timers.pollExpired(now); c != null; c = timers.pollExpired(now)) {
            onTimerExpired(c, now);
        }
        if (now >= nextPeriodicRunAt) {
            runPeriodicTasks(now);
        }
        if (startupProgress != null) {
            emitLogMessage(startupProgress.onTimer(now));
        }
        DueActions chores = balancer.pollDueActions(now);
        // Danger: where the settings say that changes come by themselves, the module never asks; on sockets none come.
        // Danger: a watch moved meanwhile must not be torn down by the retry that the one before had coming.
        if (!isWatchActive
                && (chores.rosterCall != DueActions.RosterCall.NONE || !hasWatched && configuration.isRosterPushed())) {
            watchRoster();
        }
        for (Association a : chores.connectionsToMove) {
            move(byAssociation.get(a), now);
        }
        chores.logMessages.forEach(line -> log("decisions", line));
        if (now >= nextHandOverAt && !isStopped) {
            handOverConnections(now);
        }
        long converges = startupProgress == null ? Long.MAX_VALUE : startupProgress.wakeAt();
        long next = Math.min(
                converges,
                Math.min(
                        Math.min(chores.wakeAt, timers.nextExpiry()),
                        Math.min(nextPeriodicRunAt, isStopped ? nextPeriodicRunAt : nextHandOverAt)));
        if (next != timerAt) {
            timerAt = next;
            effects.add(new Effect.ScheduleTimer(next));
        }
    }

    /** What is looked at twice a second. */
    private void runPeriodicTasks(long now) {
        String turned = rejections.pollLogText(now);
        if (turned != null) {
            log("turned-away", turned);
        }
        if (now - nextPeriodicRunAt > STALL_THRESHOLD_NANOS) {
            // Danger: after a stall of its own all lines seem to wait; what came meanwhile is read first.
            nextPeriodicRunAt = now + STALL_THRESHOLD_NANOS / 2;
            return;
        }
        latencies.report(clientConnections(), balancer, now);
        moveUnansweredConnections(now);
        nextPeriodicRunAt = now + BackendLatencyTracker.REPORT_INTERVAL_NANOS;
    }

    private void onTimerExpired(Connection c, long now) {
        switch (c.state) {
            case AWAITING_OPEN -> {
                if (c.hasPinged) {
                    deregister(c);
                    closeSockets(c, now);
                } else {
                    reject(c, "saying nothing for two seconds", ERR, now);
                }
            }
            case CLOSING -> {
                // Danger: what a peer does not take in is never written, and its socket would never be given back.
                if (c.backendSocket != 0) {
                    emitCommand(new NetworkCommand.Reset(c.backendSocket));
                }
                if (!c.isClientClosed) {
                    emitCommand(new NetworkCommand.Reset(c.clientSocket));
                }
            }
            case OPEN -> onClientLeft(c, now);
            case DISPATCHING -> {
                if (c.isResumption) {
                    resume(c, now);
                } else if (c.backendSocket != 0 && !c.hasTimedOutOnce && now < c.association.cutOffAt) {
                    // Danger: where this relay was held up, the answer may be here unread; the sockets come first.
                    c.hasTimedOutOnce = true;
                    timers.schedule(c, now + MS);
                } else if (c.backendSocket != 0) {
                    // Danger: a line handed to a socket may be out before its last byte is reported.
                    onDispatchFailed(
                            c, c.isFirstLineQueued ? DispatchOutcome.TIMED_OUT : DispatchOutcome.NOT_CONNECTED, now);
                } else {
                    execute(c, balancer.selectBackend(c.association, now), now);
                }
            }
        }
    }

    /** Danger: one that brings nothing back while its backend serves others is no backend's delay; it must leave. */
    private void moveUnansweredConnections(long now) {
        for (Connection c : clientConnections()) {
            if (c.state == State.OPEN
                    && !c.unansweredSentAt.isEmpty()
                    && now - c.unansweredSentAt.peek() > UNANSWERED_LINE_TIMEOUT_NANOS) {
                move(c, now);
            }
        }
    }

    private void move(Connection c, long now) {
        if (c == null || c.state != State.OPEN) {
            return;
        }
        deregister(c);
        reconnections.onConnectionEnded(c.openRequest.clientKey(), now);
        balancer.onDispatchFinished(
                c.association, c.association.dispatchCount - 1, DispatchOutcome.CANCELLED, true, now);
        write(c.clientSocket, MOVE);
        closeSockets(c, now);
    }

    /** Hands all over by moves, a quarter at a time; new connections no longer come. */
    private void handOverConnections(long now) {
        // Danger: while another relay is away too, nobody could take moved clients in; here they are still served.
        if (configuration.isPassThrough()
                && now < shutdownRequestedAt + MAX_SHUTDOWN_DELAY_NANOS
                && reconnections.hasManyFromOtherRelays(byAssociation.size(), now)) {
            nextHandOverAt = shutdownRequestedAt + MAX_SHUTDOWN_DELAY_NANOS;
            return;
        }
        List<Connection> open =
                clientConnections().stream().filter(c -> c.state == State.OPEN).toList();
        open.stream().limit(Math.max(4, open.size() / 4)).forEach(c -> move(c, now));
        if (!byAssociation.isEmpty()) {
            nextHandOverAt = now + SHUTDOWN_GRACE_NANOS / 8;
            return;
        }
        isStopped = true;
        effects.add(new Effect.Stop());
    }

    private void write(long socket, byte[] line) {
        emitCommand(new NetworkCommand.Write(socket, line));
    }

    private void emitCommand(NetworkCommand ask) {
        effects.add(new Effect.ExecuteCommand(ask));
    }

    private void emitLogMessage(LogMessage said) {
        if (said != null) {
            effects.add(new Effect.WriteLog(said.event(), said.text(), said.fields()));
        }
    }

    private void log(String event, String line) {
        effects.add(new Effect.WriteLog(event, line, Map.of()));
    }

    private void log(String event, String line, Connection c) {
        Map<String, String> fields = new TreeMap<>();
        if (c.openRequest != null) {
            fields.put("association", Long.toHexString(c.openRequest.id()));
            fields.put("useCase", c.openRequest.parameters().get("c"));
            fields.put(
                    "backend",
                    c.isResumption ? c.openRequest.currentBackend() : String.valueOf(backends.addressOf(c.backendId)));
        }
        effects.add(new Effect.WriteLog(event, line, fields));
    }

    private static byte[] encodeLine(String text) {
        return (text + "\r\n").getBytes(StandardCharsets.UTF_8);
    }
}
