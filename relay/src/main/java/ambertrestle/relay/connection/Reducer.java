package ambertrestle.relay.connection;

import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.BalancingPolicy;
import ambertrestle.decide.Decision;
import ambertrestle.decide.DispatchOutcome;
import ambertrestle.decide.DueActions;
import ambertrestle.decide.RosterInterruption;
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
 * The state machine of a relay. {@link #apply} takes an event and the current time, changes the state and returns the
 * effects to execute: commands to sockets, log lines, the next timer. All connection state of a relay changes here and
 * nowhere else. The class uses no socket, clock or thread. The balancing policy makes all placement decisions.
 *
 * <p>The life of a connection (see {@link Connection.State}):
 *
 * <ol>
 *   <li>AWAITING_OPEN: the client's socket was accepted. The client has two seconds to send its OPEN line; a PING is
 *       answered once, and not before the relay may be given clients. Invalid lines are answered ERR. If sockets run
 *       short, the oldest connection in this state is rejected with BUSY.
 *   <li>DISPATCHING: a valid OPEN line created an association and the balancing policy was asked for a backend. Its
 *       decision is a dispatch to a backend, a wait, or a final answer: BUSY if the association is shed, ERR if it is
 *       forfeited. While the roster may not be used for dispatches, the association waits for the roster. A dispatch
 *       connects to the backend and writes the OPEN line. If the dispatch fails or times out, its outcome goes to the
 *       policy, which decides what follows. At most one dispatch is in flight. An OPEN line that names its current
 *       backend (`at`) is a resumption: the relay reconnects to that backend without asking the policy, and retries for
 *       40 seconds. Lines that the client sends meanwhile are buffered.
 *   <li>OPEN: the backend answered UP. UP and then the buffered lines are passed on, and from now on lines pass in both
 *       directions under linked flow control. The backend's LOAD lines and the time that it takes to answer lines go to
 *       the policy. A move (requested by the policy, because a line was unanswered for too long, or at shutdown) sends
 *       MOVE to the client, which reconnects, and closes both sockets.
 *   <li>CLOSING: the final answer was sent or one side closed. Pending output is flushed, then the sockets close; a
 *       socket whose peer doesn't take its output in time is reset.
 * </ol>
 *
 * <p>Accepted sockets have numbers from 1 upwards, sockets to backends from -1 downwards. All times are in nanoseconds
 * on the caller's clock, which never goes back and reads like Unix time.
 */
public final class Reducer {
    private static final int NANOS_PER_MICRO = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

    /** Part of the client's time limit that is reserved for the answer's way back to the client. */
    private static final long ANSWER_RETURN_RESERVE_NANOS = 20 * NANOS_PER_MILLI;
    /** Time limit for a client's OPEN line, counted from the accept. */
    private static final long OPEN_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND;
    /** How long a client may stay connected after PONG without sending OPEN. */
    private static final long PING_LINGER_NANOS = NANOS_PER_SECOND / 2;
    /**
     * How long a half-closed connection may last, counted from the end of one side's output or the client's last line
     * after it.
     */
    private static final long HALF_CLOSED_TIMEOUT_NANOS = 10 * NANOS_PER_SECOND;
    /** How long a peer may take to receive the last output and close, before its socket is reset. */
    private static final long CLOSE_TIMEOUT_NANOS = 3 * NANOS_PER_SECOND;
    /** Time between a failed attempt to resume a connection at its backend and the next. */
    private static final long RESUMPTION_RETRY_NANOS = NANOS_PER_SECOND / 4;
    /** How long attempts to resume a connection go on, counted from its OPEN line. */
    private static final long RESUMPTION_TIMEOUT_NANOS = 40 * NANOS_PER_SECOND;
    /** Each batch of the hand-over moves the open connections divided by this number. */
    private static final int HAND_OVER_BATCH_DIVISOR = 4;
    /** Minimum number of connections in a batch of the hand-over; fewer only if fewer are open. */
    private static final int MIN_HAND_OVER_BATCH = 4;
    /** Limit on the unanswered lines whose times are recorded per connection. */
    private static final int MAX_TRACKED_LINES = 64;
    /** Extension of an expired dispatch timeout, in which the event loop can read an answer that has arrived. */
    private static final long TIMEOUT_EXTENSION_NANOS = NANOS_PER_MILLI;
    /** A backend is reported as slow above the shortest goal time of a message divided by this number. */
    private static final int LATENCY_REPORT_DIVISOR = 3;
    /** A connection whose oldest unanswered line is older than this is taken for dead and moved. */
    private static final long UNANSWERED_LINE_TIMEOUT_NANOS = 5 * NANOS_PER_SECOND;
    /** Clients that haven't sent OPEN may hold at most the limit on sockets divided by this number. */
    private static final int AWAITING_OPEN_DIVISOR = 6;
    /** Lower bound of the limit on clients that haven't sent OPEN. */
    private static final int MIN_AWAITING_OPEN_LIMIT = 8;
    /**
     * Limit on the values of learned state that are taken at a time. This takes well under a millisecond; taking all
     * values at once would block the event loop.
     */
    private static final int LEARNED_STATE_PART_SIZE = 1024;

    /**
     * Limit on the associations that ask for a backend at a time after they waited for the roster. Hundreds of connects
     * at once would hold up the event loop, and the first ones would time out.
     */
    private static final int MAX_DISPATCHES_AFTER_WAIT = 16;

    private static final byte[] PONG = encodeLine("PONG");
    private static final byte[] ERR = encodeLine("ERR");
    private static final byte[] BUSY = encodeLine("BUSY");
    private static final byte[] MOVE = encodeLine("MOVE");

    private final BalancingPolicy balancer;
    private final ReducerConfiguration configuration;
    private final BackendDirectory backendDirectory;
    private final BackendLatencyTracker latencies;
    private final ConnectionTimers timers = new ConnectionTimers();
    /** Connections by the numbers of their sockets, both the client's and the backends'. */
    private final TreeMap<Long, Connection> bySocket = new TreeMap<>();
    /** Connections in state DISPATCHING or OPEN. */
    private final Map<Association, Connection> byAssociation = new java.util.IdentityHashMap<>();
    /** Connections in state AWAITING_OPEN by the client's socket, oldest first. */
    private final TreeMap<Long, Connection> awaitingOpen = new TreeMap<>();
    /** Connections in state DISPATCHING or OPEN by the id of their OPEN line; of several mid-flow ones the latest. */
    private final Map<Long, Connection> byAssociationId = new HashMap<>();

    private final RejectionCounter rejections = new RejectionCounter();
    /** The effects of the current event, in order; a new list for each event. */
    private List<Effect> effects = new ArrayList<>();
    /** Number of the latest socket to a backend; counts down from 0. */
    private long lastBackendSocket;
    /** Number of sockets in use, accepted ones and those to backends, including connects in progress. */
    private int socketCount;
    /** When {@link #runPeriodicChecks} is due next. */
    private long nextPeriodicRunAt;
    /** Time of the latest {@link Effect.ScheduleTimer}; Long.MAX_VALUE before the first. */
    private long scheduledWakeAt = Long.MAX_VALUE;

    private Address rosterAddress;
    /** A roster watch was requested and hasn't failed since. */
    private boolean isWatchActive;
    /** A roster watch was requested at least once. */
    private boolean hasWatched;
    /** Limit on {@link #socketCount}. */
    private int maxSockets;

    private final ReconnectionTracker reconnections = new ReconnectionTracker();
    private final RosterWaitList rosterWaits;
    /** The roster service has confirmed the roster, and its watch hasn't ended since. */
    private boolean isRosterConfirmed;

    private final InitialState initialState;
    /** Progress of the start until the roster service's list is confirmed; null if persistence is off. */
    private final StartupProgress startupProgress;

    private final ShutdownSchedule shutdown;

    /** Creates a reducer with the relay configuration's roster, which may be empty, and without persistence. */
    public Reducer(ReducerConfiguration configuration, RosterMessage knownRoster, long now) {
        this(configuration, knownRoster, Balancer::new, now);
    }

    /** Creates a reducer with another balancing policy, for comparisons, without persistence. */
    public Reducer(
            ReducerConfiguration configuration,
            RosterMessage knownRoster,
            BalancingPolicy.Factory policyFactory,
            long now) {
        this(configuration, InitialState.fromConfiguration(knownRoster), false, policyFactory, now);
    }

    /**
     * Creates a reducer that starts from recovered state.
     *
     * @param isPersistenceEnabled restores the learned state of `initialState`, emits roster messages for persistence
     *     and logs the progress of the start; {@link Event.LearnedStateRequested} then asks for the learned state
     */
    public Reducer(
            ReducerConfiguration configuration,
            InitialState initialState,
            boolean isPersistenceEnabled,
            BalancingPolicy.Factory policyFactory,
            long now) {
        this.configuration = configuration;
        this.initialState = initialState;
        startupProgress = isPersistenceEnabled ? new StartupProgress(initialState, now) : null;
        rosterAddress = configuration.rosterAddress();
        maxSockets = configuration.maxSockets();
        shutdown = new ShutdownSchedule(configuration.cutOffs());
        backendDirectory = new BackendDirectory(configuration.zones(), configuration.machineTypes());
        balancer = policyFactory.create(configuration.settings(), configuration.seed(), now);
        latencies = new BackendLatencyTracker(configuration.messageGoalTime() / LATENCY_REPORT_DIVISOR);
        nextPeriodicRunAt = now + BackendLatencyTracker.REPORT_INTERVAL_NANOS;
        rosterWaits = new RosterWaitList(!configuration.isRosterPushed(), now);
        if (configuration.isRosterPushed()) {
            // What the roster service has counts as known from the first moment of the process.
            balancer.requireRosterConfirmation(now);
        }
        balancer.onRosterUpdate(backendDirectory.update(initialState.roster()), true, true, now);
        if (isPersistenceEnabled) {
            balancer.restoreLearnedState(initialState.learnedState(), initialState.isRosterStale(), now);
            // A version from another roster service means nothing to the current one, so -1 requests the complete
            // roster.
            backendDirectory.rosterVersion = initialState.hasComparableVersions() ? backendDirectory.rosterVersion : -1;
        }
    }

    /** Applies an event, then runs everything that is due. Returns the effects to execute, in order. */
    public List<Effect> apply(Event event, long now) {
        effects = new ArrayList<>();
        if (event instanceof Event.NetworkEventReceived received) {
            onNetworkEvent(received.networkEvent(), now);
        } else if (event instanceof Event.ConfigurationReloaded reloaded) {
            onConfigurationReloaded(reloaded, now);
        } else if (event instanceof Event.LearnedStateRequested) {
            effects.add(new Effect.PersistLearnedState(balancer.takeLearnedStateChanges(LEARNED_STATE_PART_SIZE, now)));
        } else if (event instanceof Event.ShutdownRequested) {
            log("told-to-stop", "shutdown requested: waiting for " + byAssociation.size() + " associations to end");
            shutdown.onRequested(now);
        }
        processDueActions(now);
        return effects;
    }

    /** Passes a network event to its handler. Events of sockets that belong to no connection any more are ignored. */
    private void onNetworkEvent(NetworkEvent networkEvent, long now) {
        if (networkEvent instanceof NetworkEvent.ClientAccepted event) {
            onClientAccepted(event.socket(), now);
        } else if (networkEvent instanceof NetworkEvent.RosterReceived event) {
            event.faultyEntries()
                    .forEach((name, reason) -> log("roster-entry-faulty", "faulty roster entry ignored: " + reason));
            onRosterMessage(
                    backendDirectory.withLastKnownEntries(
                            event.message(), event.faultyEntries().keySet()),
                    now);
        } else if (networkEvent instanceof NetworkEvent.RosterWatchFailed event) {
            onRosterWatchFailed(event, now);
        } else if (networkEvent instanceof NetworkEvent.RosterConfirmed) {
            isRosterConfirmed = true;
            balancer.onRosterConfirmed();
        } else if (networkEvent instanceof NetworkEvent.ClientMessageReceived event) {
            Connection connection = bySocket.get(event.socket());
            if (connection != null) {
                onClientMessage(connection, event.message(), now);
            }
        } else if (networkEvent instanceof NetworkEvent.BackendMessageReceived event) {
            Connection connection = findByBackendSocket(event.socket());
            if (connection != null) {
                onBackendMessage(connection, event.message(), now);
            }
        } else if (networkEvent instanceof NetworkEvent.BackendConnected event) {
            Connection connection = findByBackendSocket(event.socket());
            if (connection != null) {
                connection.isFirstLineQueued = true;
                // The backend's time starts only now. On a fraction of a core and under a burst, this relay's own delay
                // before this point would otherwise be counted as the backend's latency.
                scheduleDispatchTimeout(connection, connection.responseTimeout, now);
            }
        } else if (networkEvent instanceof NetworkEvent.FirstLineWritten event) {
            Connection connection = findByBackendSocket(event.socket());
            if (connection != null) {
                connection.isFirstLineWritten = true;
            }
        } else if (networkEvent instanceof NetworkEvent.FramingError event) {
            onFramingError(event.socket(), now);
        } else if (networkEvent instanceof NetworkEvent.InputShutdown event) {
            onInputShutdown(event.socket(), now);
        } else if (networkEvent instanceof NetworkEvent.SocketClosed event) {
            onSocketClosed(event.socket(), event.isReset(), now);
        }
    }

    /** Returns the connection whose current backend socket this is; null if the socket was given up or closed. */
    private Connection findByBackendSocket(long socket) {
        Connection connection = bySocket.get(socket);
        return connection != null && connection.backendSocket == socket ? connection : null;
    }

    /** Returns all connections whose client's socket isn't closed yet, oldest first. */
    private List<Connection> clientConnections() {
        return new ArrayList<>(bySocket.tailMap(0L).values());
    }

    // ---- Clients

    /** Registers a connection in state AWAITING_OPEN; rejects the oldest such one if sockets run short. */
    private void onClientAccepted(long socket, long now) {
        Connection connection = new Connection(socket);
        bySocket.put(socket, connection);
        socketCount++;
        awaitingOpen.put(socket, connection);
        if (shutdown.isFinished()) {
            // The process ends in a moment, and what a client sent then would get no answer.
            reject(connection, RejectionReason.SHUTDOWN, BUSY, now);
            return;
        }
        timers.schedule(connection, now + OPEN_TIMEOUT_NANOS);
        if (awaitingOpen.size() > Math.max(MIN_AWAITING_OPEN_LIMIT, maxSockets / AWAITING_OPEN_DIVISOR)
                || reservedSockets() > maxSockets) {
            rejectOldestAwaitingOpen(now);
        }
    }

    /** Returns the number of sockets in use, and one for each association that waits for the roster. */
    private int reservedSockets() {
        return socketCount + rosterWaits.associationCount();
    }

    /**
     * Rejects the oldest connection in state AWAITING_OPEN with BUSY; returns false if there is none. Without this,
     * clients that connect and send nothing would use up all file descriptors.
     */
    private boolean rejectOldestAwaitingOpen(long now) {
        if (awaitingOpen.isEmpty()) {
            return false;
        }
        reject(awaitingOpen.firstEntry().getValue(), RejectionReason.NO_OPEN_LINE_WHILE_SOCKETS_SHORT, BUSY, now);
        return true;
    }

    /**
     * Counts a rejection, answers the client and closes the connection.
     *
     * @param reason a {@link RejectionReason} or a {@link ProtocolViolation}
     */
    private void reject(Connection connection, Enum<?> reason, byte[] finalLine, long now) {
        rejections.count(reason);
        sendFinalAnswer(connection, finalLine, now);
    }

    /** Handles a line from a client according to the state of its connection. */
    private void onClientMessage(Connection connection, ClientMessage message, long now) {
        switch (connection.state) {
            case AWAITING_OPEN -> {
                if (message instanceof ClientMessage.Ping && !connection.hasPinged) {
                    // Clients that stay connected after their PING would use up all file descriptors, so the timer is
                    // shortened.
                    connection.hasPinged = true;
                    if (rosterWaits.isReady()) {
                        answerPing(connection, now);
                    } else {
                        rosterWaits.addPing(connection);
                    }
                } else if (message instanceof ClientMessage.OpenRequest openRequest) {
                    onOpenRequest(connection, openRequest, now);
                } else {
                    reject(
                            connection,
                            message instanceof ClientMessage.MalformedOpenRequest malformed
                                    ? malformed.violation()
                                    : ProtocolViolation.OPEN_EXPECTED,
                            ERR,
                            now);
                }
            }
            case DISPATCHING -> {
                boolean isBuffered =
                        message instanceof ClientMessage.Payload && connection.bufferedLines.add(message.raw());
                if (!isBuffered) {
                    onProtocolViolation(connection, ProtocolViolation.COMMAND_BEFORE_ANSWER, now);
                }
            }
            case OPEN -> forwardToBackend(connection, message.raw(), now);
            case CLOSING -> {
                // A client that still sends has not read up to the end of its connection yet.
                if (!connection.isCloseRequested) {
                    timers.schedule(connection, now + HALF_CLOSED_TIMEOUT_NANOS);
                }
            }
        }
    }

    /** Tells a client in state AWAITING_OPEN that the relay may be given clients. */
    private void answerPing(Connection connection, long now) {
        write(connection.clientSocket, PONG);
        timers.schedule(connection, Math.min(connection.timer.expiresAt(), now + PING_LINGER_NANOS));
    }

    /** Rejects a client that sent a valid OPEN line but violated the protocol before it was answered. */
    private void onProtocolViolation(Connection connection, ProtocolViolation violation, long now) {
        abandonAssociation(connection, now);
        reject(connection, violation, ERR, now);
    }

    /**
     * Handles a valid OPEN line: registers the association, moves the connection to DISPATCHING, and resumes it at its
     * current backend or asks the balancing policy for a decision. A line whose id is in use is answered ERR, unless it
     * is a mid-flow request of the same client. If no socket is free, the client is answered BUSY.
     */
    private void onOpenRequest(Connection connection, ClientMessage.OpenRequest openRequest, long now) {
        Connection existing = byAssociationId.get(openRequest.id());
        // Backends refuse an id that is already open. Without this check each dispatch would be refused by one backend
        // after the other, and outlier detection would take all of them for faulty.
        if (existing != null
                && !(openRequest.isMidFlow() && existing.association.clientKey == openRequest.clientKey())) {
            reject(connection, ProtocolViolation.DUPLICATE_ID, ERR, now);
            return;
        }
        long timeoutNanos = openRequest.timeoutMillis() >= 0
                ? openRequest.timeoutMillis() * NANOS_PER_MILLI
                : configuration.cutOffs().get(openRequest.useCase());
        Association association = new Association(
                openRequest.id(),
                openRequest.useCase(),
                openRequest.tenant(),
                openRequest.clientKey(),
                openRequest.groupKey(),
                Math.min(now + timeoutNanos - ANSWER_RETURN_RESERVE_NANOS, shutdown.answerDeadline()),
                openRequest.loadEstimate() * NANOS_PER_MICRO,
                openRequest.isMidFlow(),
                openRequest.isReconnect());
        shutdown.onOpenRequest(now);
        if (openRequest.isReconnect() || openRequest.isMidFlow()) {
            reconnections.onClientReturned(openRequest.clientKey(), now);
        }
        connection.association = association;
        connection.openRequest = openRequest;
        connection.useCaseName = openRequest.useCaseName();
        connection.state = State.DISPATCHING;
        byAssociation.put(association, connection);
        byAssociationId.put(openRequest.id(), connection);
        awaitingOpen.remove(connection.clientSocket);
        timers.cancel(connection);
        if (rosterWaits.removePing(connection)) {
            // The client did not wait for the answer. After this line others may follow it.
            write(connection.clientSocket, PONG);
        }
        if (openRequest.currentBackend() != null) {
            connection.isResumption = true;
            connection.resumedBackend = openRequest.currentBackend();
            connection.dispatchedAt = now;
            connection.backendId = BackendDirectory.backendId(openRequest.currentBackend());
            resume(connection, now);
        } else {
            selectBackend(connection, now);
        }
    }

    /**
     * Asks the policy for a backend and executes its decision. If no socket is free, a client for which nothing has run
     * yet gets BUSY.
     */
    private void selectBackend(Connection connection, long now) {
        if (reservedSockets() + 1 > maxSockets
                && connection.association.noDispatchRan()
                && !rejectOldestAwaitingOpen(now)) {
            // A dispatch beyond the limit on sockets would fail after the policy had counted it.
            balancer.onClientDisconnected(connection.association, now);
            reject(connection, RejectionReason.NO_FREE_SOCKET, BUSY, now);
        } else {
            execute(connection, balancer.selectBackend(connection.association, now), now);
        }
    }

    /**
     * Reconnects a resumption to its backend with the client's OPEN line as received. If the backend's address is
     * unknown or the resumption timeout is over, the client is answered ERR.
     */
    private void resume(Connection connection, long now) {
        String address = backendDirectory.addressOf(connection.backendId);
        if (address == null || now - connection.dispatchedAt > RESUMPTION_TIMEOUT_NANOS) {
            log(
                    "standing-lost",
                    "connection not resumed: its backend is unknown or did not accept it within 40 s",
                    connection);
            sendFinalAnswer(connection, ERR, now);
            return;
        }
        connectToBackend(connection, address, connection.openRequest.raw());
    }

    /** Forwards a line to the backend and records its time until a line comes back. */
    private void forwardToBackend(Connection connection, byte[] line, long now) {
        write(connection.backendSocket, line);
        if (connection.unansweredSentAt.size() < MAX_TRACKED_LINES) {
            connection.unansweredSentAt.add(now);
        }
    }

    /** Ends a connection whose client is gone or is treated as gone: it gets no answer, and its sockets are closed. */
    private void onClientLeft(Connection connection, long now) {
        deregister(connection);
        if (connection.state == State.DISPATCHING || connection.state == State.OPEN) {
            abandonAssociation(connection, now);
        }
        closeSockets(connection, now);
    }

    /**
     * Tells the policy that the client no longer waits for the association. A dispatch whose OPEN line was not passed
     * to a socket yet certainly had no effect.
     */
    private void abandonAssociation(Connection connection, long now) {
        boolean isDispatchUnsent = connection.state == State.DISPATCHING
                && !connection.isResumption
                && connection.backendSocket != 0
                && !connection.isFirstLineQueued;
        if (isDispatchUnsent) {
            balancer.onDispatchFinished(
                    connection.association, connection.dispatchIndex, DispatchOutcome.NOT_SENT, true, now);
        }
        balancer.onClientDisconnected(connection.association, now);
    }

    // ---- Decisions of the balancing policy

    /**
     * Executes a decision: SEND starts a dispatch, WAIT sets a timer to ask the policy again, AWAIT_ROSTER lets the
     * association wait for the roster as well, SHED answers BUSY (with the milliseconds after which to retry, if the
     * decision has a time), FORFEIT answers ERR, NOTHING does nothing.
     */
    private void execute(Connection connection, Decision decision, long now) {
        boolean hasAwaitedRoster = rosterWaits.removeAssociation(connection);
        switch (decision.kind) {
            case SEND -> {
                connection.backendId = decision.backend;
                connection.dispatchIndex = connection.association.dispatchCount - 1;
                connection.dispatchedAt = now;
                connection.responseTimeout = decision.time;
                connectToBackend(
                        connection,
                        backendDirectory.addressOf(decision.backend),
                        connection.openRequest.encodeForBackend(Math.max(1, decision.time / NANOS_PER_MILLI)));
                scheduleDispatchTimeout(connection, Math.min(decision.time, configuration.connectTimeout()), now);
            }
            case WAIT -> timers.schedule(connection, decision.time);
            case AWAIT_ROSTER -> {
                rosterWaits.addAssociation(connection, now);
                timers.schedule(connection, decision.time);
            }
            case SHED -> reject(
                    connection,
                    hasAwaitedRoster ? RejectionReason.NO_ROSTER : RejectionReason.SHED,
                    decision.time > 0 ? encodeLine("BUSY " + decision.time / NANOS_PER_MILLI) : BUSY,
                    now);
            case FORFEIT -> reject(connection, RejectionReason.FORFEITED, ERR, now);
            case NOTHING -> {}
        }
    }

    /**
     * Sets the timeout of the current dispatch, at most up to the association's cut-off. Does nothing for a resumption
     * or if the connection isn't in state DISPATCHING.
     */
    private void scheduleDispatchTimeout(Connection connection, long timeoutNanos, long now) {
        if (connection.state == State.DISPATCHING && !connection.isResumption) {
            connection.hasTimedOutOnce = false;
            timers.schedule(connection, Math.min(now + timeoutNanos, connection.association.cutOffAt));
        }
    }

    /** Connects to the backend with a new socket number; once connected, the first line is written. */
    private void connectToBackend(Connection connection, String address, byte[] firstLine) {
        connection.backendSocket = --lastBackendSocket;
        connection.isFirstLineQueued = false;
        connection.isFirstLineWritten = false;
        bySocket.put(connection.backendSocket, connection);
        socketCount++;
        emitCommand(new NetworkCommand.Connect(connection.backendSocket, address, firstLine));
    }

    /**
     * Sends the client its final answer and closes the connection. Every final answer is sent here, and a connection
     * leaves DISPATCHING or AWAITING_OPEN with it, so a client never gets two.
     */
    private void sendFinalAnswer(Connection connection, byte[] finalLine, long now) {
        deregister(connection);
        write(connection.clientSocket, finalLine);
        closeSockets(connection, now);
    }

    /**
     * Removes the connection from {@link #awaitingOpen}, {@link #byAssociation}, {@link #byAssociationId} and
     * {@link #rosterWaits}; its sockets stay in {@link #bySocket}.
     */
    private void deregister(Connection connection) {
        awaitingOpen.remove(connection.clientSocket);
        rosterWaits.removePing(connection);
        rosterWaits.removeAssociation(connection);
        if (connection.association != null) {
            byAssociation.remove(connection.association);
            byAssociationId.remove(connection.association.id, connection);
        }
    }

    /** Moves the connection to CLOSING, starts the close timeout and closes the sockets after pending output. */
    private void closeSockets(Connection connection, long now) {
        connection.state = State.CLOSING;
        connection.isCloseRequested = true;
        timers.schedule(connection, now + CLOSE_TIMEOUT_NANOS);
        connection.openRequest = null;
        connection.bufferedLines.clear();
        connection.unansweredSentAt.clear();
        if (connection.backendSocket != 0) {
            // Close would still write the rest of the OPEN line, for a client that got its answer or is gone.
            emitCommand(
                    connection.isFirstLineQueued && !connection.isFirstLineWritten
                            ? new NetworkCommand.Reset(connection.backendSocket)
                            : new NetworkCommand.Close(connection.backendSocket));
        }
        if (!connection.isClientClosed) {
            emitCommand(new NetworkCommand.Close(connection.clientSocket));
        }
    }

    /** Resets the sockets that are left: output that a peer never receives would keep its socket open forever. */
    private void resetSockets(Connection connection) {
        if (connection.backendSocket != 0) {
            emitCommand(new NetworkCommand.Reset(connection.backendSocket));
        }
        if (!connection.isClientClosed) {
            emitCommand(new NetworkCommand.Reset(connection.clientSocket));
        }
    }

    // ---- Backends

    /**
     * Handles a line of the backend. In state DISPATCHING, UP opens the connection and any other line ends the
     * dispatch. In state OPEN the line is passed to the client; LOAD is also reported to the policy, BYE and MOVE are
     * recorded for the outcome, and any other line counts as the answer to the oldest unanswered line. In state CLOSING
     * lines are ignored.
     */
    private void onBackendMessage(Connection connection, BackendMessage message, long now) {
        if (connection.state == State.DISPATCHING) {
            if (message instanceof BackendMessage.Up) {
                onBackendUp(connection, message.raw(), now);
            } else {
                onDispatchFailed(
                        connection,
                        message instanceof BackendMessage.Busy
                                ? DispatchOutcome.FULL
                                : message instanceof BackendMessage.Move
                                        ? DispatchOutcome.CANCELLED
                                        : message instanceof BackendMessage.Bye
                                                ? DispatchOutcome.DONE
                                                : DispatchOutcome.ERROR,
                        now);
            }
        } else if (connection.state == State.OPEN) {
            if (message instanceof BackendMessage.Load load) {
                balancer.onLoadReport(connection.association, load.microsPerSecond() * NANOS_PER_MICRO, now);
            } else if (message instanceof BackendMessage.Bye) {
                connection.hasReceivedBye = true;
            } else if (message instanceof BackendMessage.Move) {
                connection.hasReceivedMove = true;
            } else if (!connection.unansweredSentAt.isEmpty()) {
                latencies.recordLatency(connection.backendId, now - connection.unansweredSentAt.poll());
            }
            write(connection.clientSocket, message.raw());
        }
    }

    /** Opens the connection: reports it to the policy, links flow control, forwards UP and the buffered lines. */
    private void onBackendUp(Connection connection, byte[] upLine, long now) {
        connection.state = State.OPEN;
        // The line is sent to no further backend. Kept for the life of each connection, long lines would fill the heap.
        connection.openRequest = null;
        timers.cancel(connection);
        if (connection.isResumption) {
            balancer.onConnectionAdopted(connection.association, connection.backendId, now);
        } else {
            balancer.onConnectionEstablished(
                    connection.association, connection.dispatchIndex, now - connection.dispatchedAt, now);
        }
        emitCommand(new NetworkCommand.LinkFlowControl(connection.clientSocket, connection.backendSocket));
        write(connection.clientSocket, upLine);
        for (byte[] line = connection.bufferedLines.poll(); line != null; line = connection.bufferedLines.poll()) {
            forwardToBackend(connection, line, now);
        }
    }

    /**
     * Ends the current dispatch, which failed before the connection was open. Its socket is closed before a further
     * dispatch connects. A resumption is retried later; otherwise the policy decides what follows.
     */
    private void onDispatchFailed(Connection connection, DispatchOutcome outcome, long now) {
        if (connection.backendSocket != 0) {
            // After a timeout the OPEN line may still be queued. Close would deliver it while the next dispatch is in
            // flight; Reset discards it.
            emitCommand(
                    outcome == DispatchOutcome.TIMED_OUT
                            ? new NetworkCommand.Reset(connection.backendSocket)
                            : new NetworkCommand.Close(connection.backendSocket));
            connection.backendSocket = 0;
        }
        if (connection.isResumption) {
            timers.schedule(connection, now + RESUMPTION_RETRY_NANOS);
            return;
        }
        timers.cancel(connection);
        execute(
                connection,
                balancer.onDispatchFinished(connection.association, connection.dispatchIndex, outcome, false, now),
                now);
    }

    /**
     * Returns the outcome of a dispatch whose socket closed or whose backend ended its output. Unless the first line
     * was written completely, nothing can have run at the backend.
     */
    private static DispatchOutcome brokenSocketOutcome(Connection connection) {
        return connection.isFirstLineWritten ? DispatchOutcome.RESET : DispatchOutcome.NOT_CONNECTED;
    }

    /**
     * Ends an open connection whose backend ended it and reports the outcome to the policy: DONE after BYE, CANCELLED
     * after MOVE, else RESET. A backend that ends its output because the client has ended its own isn't at fault; the
     * policy is told that the client left.
     *
     * @param isBroken true after a reset and after input that is not a line
     */
    private void onBackendEnded(Connection connection, boolean isBroken, long now) {
        deregister(connection);
        if (connection.isClientInputEnded && !isBroken && !connection.isEndAnnounced()) {
            balancer.onClientDisconnected(connection.association, now);
            return;
        }
        reconnections.onConnectionEnded(connection.association.clientKey, now);
        DispatchOutcome outcome = connection.hasReceivedBye
                ? DispatchOutcome.DONE
                : connection.hasReceivedMove ? DispatchOutcome.CANCELLED : DispatchOutcome.RESET;
        balancer.onDispatchFinished(
                connection.association, connection.association.dispatchCount - 1, outcome, true, now);
    }

    // ---- Closed and half-closed sockets

    /**
     * Handles a peer that ended its output. In state OPEN the other side's output is ended too, and the connection may
     * stay half-closed until a timeout; once both sides have ended theirs, the sockets close. In any other state, a
     * client that ended its output is treated as gone. In state DISPATCHING, a backend that ended its output fails the
     * dispatch. The socket of an earlier dispatch is closed.
     */
    private void onInputShutdown(long socket, long now) {
        Connection connection = bySocket.get(socket);
        if (connection == null) {
            return;
        }
        if (socket == connection.clientSocket) {
            connection.isClientInputEnded = true;
            if (connection.state == State.OPEN) {
                emitCommand(new NetworkCommand.ShutdownOutput(connection.backendSocket));
                timers.schedule(connection, now + HALF_CLOSED_TIMEOUT_NANOS);
            } else {
                onClientLeft(connection, now);
            }
        } else if (socket == connection.backendSocket) {
            if (connection.state == State.DISPATCHING) {
                onDispatchFailed(connection, brokenSocketOutcome(connection), now);
            } else if (connection.state == State.OPEN) {
                onBackendEnded(connection, false, now);
                if (connection.isClientInputEnded) {
                    // Nothing can follow in either direction, so the sockets close as soon as the client has the rest.
                    // Half-closed until the timeout, the sockets of short connections would use up all descriptors.
                    closeSockets(connection, now);
                } else {
                    emitCommand(new NetworkCommand.ShutdownOutput(connection.clientSocket));
                    connection.state = State.CLOSING;
                }
                timers.schedule(connection, now + HALF_CLOSED_TIMEOUT_NANOS);
            }
        } else {
            emitCommand(new NetworkCommand.Close(socket));
        }
    }

    /**
     * Handles input that can't be split into lines. The socket of an earlier dispatch is closing already, and its input
     * has no effect.
     */
    private void onFramingError(long socket, long now) {
        if (socket < 0) {
            Connection connection = findByBackendSocket(socket);
            if (connection != null) {
                onBackendFramingError(connection, now);
            }
        } else if (bySocket.containsKey(socket)) {
            onClientFramingError(bySocket.get(socket), now);
        }
    }

    /** A client that waits for an answer gets ERR; its open connection is closed. */
    private void onClientFramingError(Connection connection, long now) {
        rejections.count(ProtocolViolation.FRAMING_ERROR);
        switch (connection.state) {
            case AWAITING_OPEN -> sendFinalAnswer(connection, ERR, now);
            case DISPATCHING -> {
                abandonAssociation(connection, now);
                sendFinalAnswer(connection, ERR, now);
            }
            case OPEN -> onClientLeft(connection, now);
            case CLOSING -> {}
        }
    }

    /**
     * A dispatch fails. An open connection ends, and its client, which has done nothing wrong, is asked to reconnect
     * unless the backend has told it the end already.
     */
    private void onBackendFramingError(Connection connection, long now) {
        log("backend-garbled", "a backend sent data that is not a valid line", connection);
        if (connection.state == State.DISPATCHING) {
            onDispatchFailed(connection, DispatchOutcome.ERROR, now);
        } else if (connection.state == State.OPEN) {
            onBackendEnded(connection, true, now);
            if (!connection.isEndAnnounced()) {
                write(connection.clientSocket, MOVE);
            }
            closeSockets(connection, now);
        }
    }

    /**
     * Handles a closed socket: removes it from the socket table and ends what depended on it. A client's close ends the
     * connection; a backend's close fails the dispatch or ends the open connection. In state OPEN a reset of one side
     * is passed on to the other, unless the backend has announced the end before.
     */
    private void onSocketClosed(long socket, boolean isReset, long now) {
        Connection connection = bySocket.remove(socket);
        if (connection == null) {
            return;
        }
        socketCount--;
        if (socket == connection.clientSocket) {
            connection.isClientClosed = true;
            boolean wasOpen = connection.state == State.OPEN;
            if (wasOpen && isReset) {
                emitCommand(new NetworkCommand.Reset(connection.backendSocket));
            }
            onClientLeft(connection, now);
        } else if (socket == connection.backendSocket) {
            if (connection.state == State.DISPATCHING) {
                connection.backendSocket = 0;
                onDispatchFailed(connection, brokenSocketOutcome(connection), now);
                return;
            }
            connection.backendSocket = 0;
            if (connection.state == State.OPEN) {
                onBackendEnded(connection, isReset, now);
                // After BYE or MOVE, a reset would discard these lines and what comes before them.
                if (isReset && !connection.isEndAnnounced()) {
                    emitCommand(new NetworkCommand.Reset(connection.clientSocket));
                }
            }
            closeSockets(connection, now);
        }
        if (connection.isClientClosed && connection.backendSocket == 0) {
            timers.cancel(connection);
        }
    }

    // ---- Roster, timers and shutdown

    /** Passes a roster message to the policy; an update with an older version requests the complete roster instead. */
    private void onRosterMessage(RosterMessage message, long now) {
        if (!message.isComplete() && message.version() < backendDirectory.rosterVersion) {
            log(
                    "roster-went-back",
                    "roster version went back from " + backendDirectory.rosterVersion + " to " + message.version()
                            + ", requesting the complete roster");
            backendDirectory.rosterVersion = -1;
            interruptRoster(RosterInterruption.WATCH_ENDED, 0, now);
            watchRoster();
            return;
        }
        RosterMessage roster = message;
        if (startupProgress != null) {
            effects.add(new Effect.PersistRoster(message));
            // The first message after a start may list changes only. It is merged with the initial roster, because the
            // ages of the unchanged backends would otherwise stay unknown.
            roster = startupProgress.phase() == StartupProgress.Phase.AWAITING_ROSTER
                    ? initialState.roster().withUpdate(message)
                    : message;
            emitLogMessage(startupProgress.onRosterMessage(roster, now));
        }
        isRosterConfirmed = true;
        balancer.onRosterUpdate(backendDirectory.update(roster), roster.isComplete(), false, now);
    }

    private void onRosterWatchFailed(NetworkEvent.RosterWatchFailed event, long now) {
        log("roster-watch-broke", "roster watch failed: " + event.reason());
        isWatchActive = false;
        if (startupProgress != null) {
            startupProgress.onWatchEnded();
        }
        interruptRoster(event.cause(), event.elapsedNanos(), now);
        balancer.onRosterCallFailed(now);
    }

    /** Tells the policy that the roster is no longer confirmed. */
    private void interruptRoster(RosterInterruption cause, long elapsedNanos, long now) {
        isRosterConfirmed = false;
        balancer.onRosterInterrupted(cause, elapsedNanos, now);
    }

    /**
     * Ends the wait for the roster, once it is usable: answers the clients that sent PING, then asks the policy again
     * for the first associations that waited, oldest client first. Called again for the others.
     */
    private void endWaitForRoster(long now) {
        String endText = rosterWaits.end(isRosterConfirmed, now);
        if (endText != null) {
            log("roster-usable", endText);
        }
        rosterWaits.takePings().forEach(connection -> answerPing(connection, now));
        rosterWaits.takeAssociations(MAX_DISPATCHES_AFTER_WAIT).forEach(connection -> selectBackend(connection, now));
    }

    /** Requests a roster watch from the current version on; it replaces the previous watch. */
    private void watchRoster() {
        hasWatched = true;
        isWatchActive = true;
        emitCommand(new NetworkCommand.WatchRoster(rosterAddress, backendDirectory.rosterVersion));
    }

    /** Applies the new limit on sockets and, if the address of the roster service changed, moves the watch there. */
    private void onConfigurationReloaded(Event.ConfigurationReloaded reloaded, long now) {
        maxSockets = reloaded.maxSockets();
        if (!reloaded.rosterAddress().equals(rosterAddress)) {
            log("roster-moved", "roster service address changed to " + reloaded.rosterAddress());
            rosterAddress = reloaded.rosterAddress();
            // The old roster service may send data that is older than the new one's, so its watch is replaced at once.
            interruptRoster(RosterInterruption.SERVICE_CHANGED, 0, now);
            watchRoster();
        }
    }

    /**
     * Runs after each event: ends the wait for the roster, handles expired timers, periodic checks and the due actions
     * of the policy, continues the hand-over at shutdown, and schedules the next timer if its time changed.
     */
    private void processDueActions(long now) {
        if (rosterWaits.isWaiting() && balancer.isRosterUsable(now)) {
            endWaitForRoster(now);
        }
        for (Connection connection = timers.pollExpired(now);
                connection != null;
                connection = timers.pollExpired(now)) {
            onTimerExpired(connection, now);
        }
        if (now >= nextPeriodicRunAt) {
            runPeriodicChecks(now);
        }
        if (startupProgress != null) {
            emitLogMessage(startupProgress.onTimer(now));
        }
        DueActions dueActions = balancer.pollDueActions(now);
        // If the settings say that changes are pushed, the policy never requests a watch, but over sockets no change
        // arrives without one; so the first watch is requested here. While a watch is active, requests are ignored:
        // a retry that was due after a failed watch would otherwise replace the new watch after a change of address.
        if (!isWatchActive
                && (dueActions.rosterCall != DueActions.RosterCall.NONE
                        || !hasWatched && configuration.isRosterPushed())) {
            watchRoster();
        }
        for (Association association : dueActions.connectionsToMove) {
            move(byAssociation.get(association), now);
        }
        dueActions.logMessages.forEach(text -> log("decisions", text));
        if (now >= shutdown.nextHandOverAt()) {
            handOverConnections(now);
        }
        long startupWakeAt = startupProgress == null ? Long.MAX_VALUE : startupProgress.wakeAt();
        boolean isWaitEnding = rosterWaits.isWaiting() && balancer.isRosterUsable(now);
        long wakeAt = Math.min(
                isWaitEnding ? now : startupWakeAt,
                Math.min(
                        Math.min(dueActions.wakeAt, timers.nextExpiry()),
                        Math.min(nextPeriodicRunAt, shutdown.nextHandOverAt())));
        if (wakeAt != scheduledWakeAt) {
            scheduledWakeAt = wakeAt;
            effects.add(new Effect.ScheduleTimer(wakeAt));
        }
    }

    /** Runs twice a second: logs rejections, reports latencies to the policy and moves dead connections. */
    private void runPeriodicChecks(long now) {
        String rejectionText = rejections.pollLogText(now);
        if (rejectionText != null) {
            log("turned-away", rejectionText);
        }
        latencies.report(clientConnections(), balancer, now);
        moveUnansweredConnections(now);
        nextPeriodicRunAt = now + BackendLatencyTracker.REPORT_INTERVAL_NANOS;
    }

    /**
     * Handles the expired timer of a connection. AWAITING_OPEN: the client is rejected, or closed silently after a
     * PING. DISPATCHING: a resumption is retried, a dispatch times out, or a wait is over. OPEN: the half-closed
     * connection is closed. CLOSING: the half-closed connection is closed, then the sockets that are left are reset.
     */
    private void onTimerExpired(Connection connection, long now) {
        switch (connection.state) {
            case AWAITING_OPEN -> {
                if (connection.hasPinged) {
                    deregister(connection);
                    closeSockets(connection, now);
                } else {
                    reject(connection, RejectionReason.NO_OPEN_LINE, ERR, now);
                }
            }
            case CLOSING -> {
                if (connection.isCloseRequested) {
                    resetSockets(connection);
                } else {
                    closeSockets(connection, now);
                }
            }
            case OPEN -> onClientLeft(connection, now);
            case DISPATCHING -> {
                if (connection.isResumption) {
                    resume(connection, now);
                } else if (connection.backendSocket != 0
                        && !connection.hasTimedOutOnce
                        && now < connection.association.cutOffAt) {
                    // If this relay was delayed, the answer may have arrived without having been read. The
                    // extension lets the event loop read the sockets first.
                    connection.hasTimedOutOnce = true;
                    timers.schedule(connection, now + TIMEOUT_EXTENSION_NANOS);
                } else if (connection.backendSocket != 0) {
                    // A queued line may have reached the backend before its last byte is reported as written, so the
                    // dispatch may have run.
                    onDispatchFailed(
                            connection,
                            connection.isFirstLineQueued ? DispatchOutcome.TIMED_OUT : DispatchOutcome.NOT_CONNECTED,
                            now);
                } else {
                    selectBackend(connection, now);
                }
            }
        }
    }

    /**
     * Moves open connections whose oldest unanswered line has timed out. Such a connection may be dead while its
     * backend answers others, which the backend's mean latency doesn't show, so the client has to reconnect.
     */
    private void moveUnansweredConnections(long now) {
        for (Connection connection : clientConnections()) {
            if (connection.state == State.OPEN
                    && !connection.unansweredSentAt.isEmpty()
                    && now - connection.unansweredSentAt.peek() > UNANSWERED_LINE_TIMEOUT_NANOS) {
                move(connection, now);
            }
        }
    }

    /**
     * Moves an open connection: tells the client by MOVE to reconnect, reports the end to the policy and closes both
     * sockets. Does nothing for null or in any other state.
     */
    private void move(Connection connection, long now) {
        if (connection == null || connection.state != State.OPEN) {
            return;
        }
        deregister(connection);
        reconnections.onConnectionEnded(connection.association.clientKey, now);
        balancer.onDispatchFinished(
                connection.association, connection.association.dispatchCount - 1, DispatchOutcome.CANCELLED, true, now);
        write(connection.clientSocket, MOVE);
        closeSockets(connection, now);
    }

    /**
     * Moves the next batch of open connections after a shutdown request, when no new connections arrive any more. Emits
     * {@link Effect.Stop} once every client that was accepted has its answer and no association is left: a client that
     * is still sending its OPEN line is waited for, since this relay has accepted its connection.
     */
    private void handOverConnections(long now) {
        boolean isAnswerDeadlineOver = now >= shutdown.answerDeadline();
        if (isAnswerDeadlineOver) {
            answerWaitingClients(now);
        }
        // While another relay is down too, moved clients might find no relay that accepts them. This relay still serves
        // them, so the hand-over waits.
        if (configuration.isPassThrough()
                && now < shutdown.latestHandOverAt()
                && reconnections.hasManyFromOtherRelays(byAssociation.size(), now)) {
            shutdown.postponeHandOver(now);
            return;
        }
        List<Connection> openConnections = clientConnections().stream()
                .filter(connection -> connection.state == State.OPEN)
                .toList();
        openConnections.stream()
                .limit(
                        isAnswerDeadlineOver
                                ? openConnections.size()
                                : Math.max(MIN_HAND_OVER_BATCH, openConnections.size() / HAND_OVER_BATCH_DIVISOR))
                .forEach(connection -> move(connection, now));
        if (!byAssociation.isEmpty() || !awaitingOpen.isEmpty()) {
            shutdown.scheduleNextBatch(now);
            return;
        }
        shutdown.finish();
        effects.add(new Effect.Stop());
    }

    /**
     * Gives every client that still waits its final answer, before the platform kills this relay: BUSY if nothing can
     * have run for it, else ERR.
     */
    private void answerWaitingClients(long now) {
        for (Connection connection : clientConnections()) {
            if (connection.state == State.AWAITING_OPEN) {
                reject(connection, RejectionReason.SHUTDOWN, BUSY, now);
            } else if (connection.state == State.DISPATCHING) {
                boolean isSafeToRetry = !connection.isResumption && connection.association.noDispatchRan();
                abandonAssociation(connection, now);
                reject(connection, RejectionReason.SHUTDOWN, isSafeToRetry ? BUSY : ERR, now);
            }
        }
    }

    private void write(long socket, byte[] line) {
        emitCommand(new NetworkCommand.Write(socket, line));
    }

    private void emitCommand(NetworkCommand command) {
        effects.add(new Effect.ExecuteCommand(command));
    }

    /** Emits a log line; null means that there is nothing to log. */
    private void emitLogMessage(LogMessage message) {
        if (message != null) {
            effects.add(new Effect.WriteLog(message.event(), message.text(), message.fields()));
        }
    }

    private void log(String event, String text) {
        effects.add(new Effect.WriteLog(event, text, Map.of()));
    }

    /** Logs with the fields of the connection's association; without fields before OPEN. */
    private void log(String event, String text, Connection connection) {
        Map<String, String> fields = new TreeMap<>();
        if (connection.association != null) {
            fields.put("association", Long.toHexString(connection.association.id));
            fields.put("useCase", connection.useCaseName);
            fields.put(
                    "backend",
                    connection.isResumption
                            ? connection.resumedBackend
                            : String.valueOf(backendDirectory.addressOf(connection.backendId)));
        }
        effects.add(new Effect.WriteLog(event, text, fields));
    }

    /** Returns the text as a line of the protocol, with its line end. */
    private static byte[] encodeLine(String text) {
        return (text + "\r\n").getBytes(StandardCharsets.UTF_8);
    }
}
