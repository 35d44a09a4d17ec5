package ambertrestle.lab.simulation;

import ambertrestle.lab.simulation.MetricsRecorder.Series;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/**
 * One connection of a client to a relay, with its one association. Sends the OPEN line and, once it is established, a
 * line at each interval of the use case. Reports what it observes to the invariant checker, the metrics and its
 * session.
 */
public final class ClientConnection extends ClientEndpoint {
    private enum Stage {
        /** No final answer yet; also while it is being connected. */
        WAITING,
        /** The client has received UP. */
        ESTABLISHED,
        /** Refused, answered with BUSY or ERR, closed, or given up by the client. */
        CLOSED
    }

    /** The line that every established client sends; {@link SimulatedRelay} recognizes it by this array's identity. */
    static final byte[] LINE_MESSAGE = "L\r\n".getBytes(StandardCharsets.UTF_8);

    /** Length of {@code "BUSY "}. In a BUSY line, the milliseconds until the client may retry can follow. */
    private static final int BUSY_PREFIX_LENGTH = 5;

    /** One millisecond in nanoseconds. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    final ClientSession session;
    final InvariantChecker.ObservedAssociation association;
    private final Testbed testbed;

    /** The client was connected before and reconnects: {@code again=1} in the OPEN line. */
    private final boolean returning;

    /** An earlier attempt since the session's last UP was shed or failed: {@code r=1} in the OPEN line. */
    private final boolean retry;

    /** Null before {@link #connect}, and if no relay was available. */
    private RelayInstance relay;

    /** The connection between relay and backend that serves this one; null until the backend has sent UP. */
    BackendConnection backendConnection;

    private Stage stage = Stage.WAITING;
    private boolean byeReceived;
    private boolean moveReceived;

    /**
     * When the lines that have no reply yet were due, in nanoseconds from the start of the run, oldest first; null
     * before the first line.
     */
    private ArrayDeque<Long> unansweredLineDueTimes;

    ClientConnection(ClientSession session, boolean returning, boolean retry) {
        this.session = session;
        this.testbed = session.testbed;
        this.returning = returning;
        this.retry = retry;
        association = new InvariantChecker.ObservedAssociation(testbed.nextAssociationId(), session.useCase);
    }

    /** Connects to a relay that the front-end load balancer selects. */
    void connect() {
        testbed.registerConnection(this);
        testbed.adjustWaitingClients(1);
        relay = testbed.selectRelay();
        if (relay == null) {
            onRefused();
            return;
        }
        relay.connect(this);
    }

    @Override
    long latencyKey() {
        return session.clientId;
    }

    @Override
    public void onRefused() {
        transitionTo(Stage.CLOSED);
        session.onRefused();
    }

    @Override
    public void onAccepted() {
        String line = "OPEN " + Long.toHexString(association.id) + " " + Long.toHexString(session.clientId) + " c="
                + session.useCase.name()
                + ",t=t,d=" + session.useCase.cutOff() / NANOS_PER_MILLI
                + (session.group != 0 ? ",g=" + Long.toHexString(session.group) : "")
                + (retry ? ",r=1" : "") + (returning ? ",again=1" : "") + "\r\n";
        relay.send(this, line.getBytes(StandardCharsets.UTF_8));
        testbed.scheduler.scheduleAfter(session.useCase.cutOff(), this::onCutOff);
    }

    /** Called when the use case's cut-off has passed. A client that still waits for its answer gives up. */
    private void onCutOff() {
        if (stage == Stage.WAITING) {
            testbed.metrics.add(Series.UNANSWERED, 1, testbed.now());
            testbed.invariantChecker.onEndWithoutAnswer(association, "nothing within its time", testbed.now());
            markClosed();
            relay.disconnect(this);
            session.onFailed();
        }
    }

    boolean isWaiting() {
        return stage == Stage.WAITING;
    }

    boolean isEstablished() {
        return stage == Stage.ESTABLISHED;
    }

    private void transitionTo(Stage newStage) {
        testbed.adjustWaitingClients(stage == Stage.WAITING ? -1 : 0);
        stage = newStage;
    }

    private void markClosed() {
        transitionTo(Stage.CLOSED);
    }

    // ---- called by the relay

    /** Handles UP, BUSY or ERR as the final answer, and passes lines after UP to {@link #onEstablishedLine}. */
    @Override
    public void onLine(byte[] raw) {
        if (stage == Stage.CLOSED) {
            if (association.finalAnswerCount > 0 && !moveReceived && !byeReceived) {
                testbed.invariantChecker.onLineAfterFinalAnswer(association, testbed.now());
            }
            return;
        }
        char first = (char) raw[0];
        if (stage == Stage.ESTABLISHED) {
            onEstablishedLine(raw, first);
            return;
        }
        boolean shed = first == 'B';
        testbed.invariantChecker.onFinalAnswer(association, shed, testbed.now());
        if (first == 'U') {
            transitionTo(Stage.ESTABLISHED);
            session.onEstablished();
            relay.onClientEstablished();
            scheduleNextLine(testbed.now() + session.useCase.lineInterval());
        } else if (shed) {
            testbed.metrics.add(Series.SHED, 1, testbed.now());
            markClosed();
            String text = new String(raw, StandardCharsets.US_ASCII).strip();
            session.onShed(
                    text.length() > BUSY_PREFIX_LENGTH
                            ? Long.parseLong(text.substring(BUSY_PREFIX_LENGTH)) * NANOS_PER_MILLI
                            : 0);
        } else {
            testbed.metrics.add(Series.FORFEITED, 1, testbed.now());
            markClosed();
            session.onFailed();
        }
    }

    /**
     * Handles a line of an established connection: a backend's reply, MOVE or BYE. Replies come in the order of the
     * client's lines. A reply without an outstanding line counts as being on time.
     */
    private void onEstablishedLine(byte[] raw, char first) {
        if (first == 'R') {
            long due = unansweredLineDueTimes == null || unansweredLineDueTimes.isEmpty()
                    ? testbed.now()
                    : unansweredLineDueTimes.poll();
            long latency = testbed.now() - due;
            testbed.metrics.recordLatency(testbed.metrics.lineLatency, latency, testbed.now());
            testbed.metrics.add(Series.LINES, 1, testbed.now());
            if (latency <= session.useCase.lineGoalTime()) {
                testbed.metrics.add(Series.BENEFIT, session.useCase.lineBenefit(), testbed.now());
            } else {
                testbed.metrics.add(Series.LATE_LINES, 1, testbed.now());
            }
        } else if (first == 'M') {
            moveReceived = true;
        } else if (first == 'B' && raw[1] == 'Y') {
            byeReceived = true;
        }
    }

    /**
     * Sends a line at {@code due} and another one after each interval, for as long as the connection is established.
     * The client doesn't wait for replies, so a slow backend gets no fewer lines than a fast one.
     */
    private void scheduleNextLine(long due) {
        testbed.scheduler.scheduleAt(due, () -> {
            if (stage == Stage.ESTABLISHED) {
                if (unansweredLineDueTimes == null) {
                    unansweredLineDueTimes = new ArrayDeque<>(2);
                }
                unansweredLineDueTimes.add(due);
                relay.send(this, LINE_MESSAGE);
                scheduleNextLine(due + session.useCase.lineInterval());
            }
        });
    }

    /**
     * Reports a violation if the connection had no answer yet, or if it was established and ended without BYE or MOVE
     * while its backend still responds, because then the relay has closed it.
     */
    @Override
    public void onClosed(boolean reset) {
        if (stage == Stage.CLOSED) {
            return;
        }
        boolean wasEstablished = stage == Stage.ESTABLISHED;
        markClosed();
        if (!reset) {
            relay.disconnect(this);
        }
        if (!wasEstablished) {
            testbed.invariantChecker.onEndWithoutAnswer(association, "closed with no answer", testbed.now());
            testbed.metrics.add(Series.UNANSWERED, 1, testbed.now());
            session.onFailed();
        } else if (byeReceived) {
            testbed.metrics.add(Series.DONE, 1, testbed.now());
        } else {
            if (!moveReceived && backendConnection != null && backendConnection.isResponsive()) {
                testbed.invariantChecker.onUnexpectedClose(association, testbed.now());
            }
            testbed.metrics.add(moveReceived ? Series.MOVED : Series.BROKEN, 1, testbed.now());
            session.onDisconnected();
        }
    }

    /** Reports no violation: a killed relay can neither answer nor keep its connections open. */
    @Override
    public void onRelayKilled() {
        if (stage != Stage.CLOSED) {
            boolean wasEstablished = stage == Stage.ESTABLISHED;
            markClosed();
            testbed.metrics.add(wasEstablished ? Series.BROKEN : Series.UNANSWERED, 1, testbed.now());
            if (wasEstablished) {
                session.onDisconnected();
            } else {
                session.onFailed();
            }
        }
    }

    /**
     * Reports a violation: before a planned restart, a relay must answer its waiting clients and end the established
     * connections with MOVE.
     */
    @Override
    public void onRelayShutdown() {
        if (stage == Stage.ESTABLISHED) {
            testbed.invariantChecker.onUnexpectedClose(association, testbed.now());
        } else if (stage == Stage.WAITING) {
            testbed.invariantChecker.onEndWithoutAnswer(
                    association, "held at the end of its relay's process", testbed.now());
        }
    }
}
