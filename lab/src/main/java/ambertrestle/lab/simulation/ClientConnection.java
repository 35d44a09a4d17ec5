package ambertrestle.lab.simulation;

import ambertrestle.lab.simulation.MetricsRecorder.Series;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** One connection of a client to a relay, and its one association. */
public final class ClientConnection extends ClientEndpoint {
    private enum Stage {
        WAITING,
        ESTABLISHED,
        CLOSED
    }

    static final byte[] LINE_MESSAGE = "L\r\n".getBytes(StandardCharsets.UTF_8);

    final ClientSession session;
    final InvariantChecker.ObservedAssociation association;
    private final Testbed world;
    private final boolean returning;
    private final boolean retry;
    private RelayInstance relay;
    /** Where it is up. */
    BackendConnection backendConnection;

    private Stage stage = Stage.WAITING;
    private boolean saidBye;
    private boolean saidMove;
    /** When the lines were due that no answer came to yet. */
    private ArrayDeque<Long> unanswered;

    ClientConnection(ClientSession visit, boolean returning, boolean retry) {
        this.session = visit;
        this.world = visit.testbed;
        this.returning = returning;
        this.retry = retry;
        association = new InvariantChecker.ObservedAssociation(world.nextAssociationId(), visit.useCase);
    }

    void connect() {
        world.registerConnection(this);
        world.adjustWaitingClients(1);
        relay = world.selectRelay();
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
        enter(Stage.CLOSED);
        session.onRefused();
    }

    @Override
    public void onAccepted() {
        String line = "OPEN " + Long.toHexString(association.id) + " " + Long.toHexString(session.clientId) + " c="
                + session.useCase.name()
                + ",t=t,d=" + session.useCase.cutOff() / 1_000_000
                + (session.group != 0 ? ",g=" + Long.toHexString(session.group) : "")
                + (retry ? ",r=1" : "") + (returning ? ",again=1" : "") + "\r\n";
        relay.send(this, line.getBytes(StandardCharsets.UTF_8));
        world.scheduler.scheduleAfter(session.useCase.cutOff(), this::patienceUp);
    }

    /** The client's time is up: it leaves. */
    private void patienceUp() {
        if (stage == Stage.WAITING) {
            world.metrics.add(Series.UNANSWERED, 1, world.now());
            world.invariantChecker.onEndWithoutAnswer(association, "nothing within its time", world.now());
            over();
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

    private void enter(Stage next) {
        world.adjustWaitingClients(stage == Stage.WAITING ? -1 : 0);
        stage = next;
    }

    private void over() {
        enter(Stage.CLOSED);
    }

    // ---- from the relay

    @Override
    public void onLine(byte[] raw) {
        if (stage == Stage.CLOSED) {
            if (association.finalAnswerCount > 0 && !saidMove && !saidBye) {
                world.invariantChecker.onLineAfterFinalAnswer(association, world.now());
            }
            return;
        }
        char first = (char) raw[0];
        if (stage == Stage.ESTABLISHED) {
            up(raw, first);
            return;
        }
        boolean shed = first == 'B';
        world.invariantChecker.onFinalAnswer(association, shed, world.now());
        if (first == 'U') {
            enter(Stage.ESTABLISHED);
            session.onEstablished();
            relay.onClientEstablished();
            nextLine(world.now() + session.useCase.lineInterval());
        } else if (shed) {
            world.metrics.add(Series.SHED, 1, world.now());
            over();
            String text = new String(raw, StandardCharsets.US_ASCII).strip();
            session.onShed(text.length() > 5 ? Long.parseLong(text.substring(5)) * 1_000_000 : 0);
        } else {
            world.metrics.add(Series.FORFEITED, 1, world.now());
            over();
            session.onFailed();
        }
    }

    private void up(byte[] raw, char first) {
        if (first == 'R') {
            long due = unanswered == null || unanswered.isEmpty() ? world.now() : unanswered.poll();
            long took = world.now() - due;
            world.metrics.recordLatency(world.metrics.lineLatency, took, world.now());
            world.metrics.add(Series.LINES, 1, world.now());
            if (took <= session.useCase.lineGoalTime()) {
                world.metrics.add(Series.BENEFIT, session.useCase.lineBenefit(), world.now());
            } else {
                world.metrics.add(Series.LATE_LINES, 1, world.now());
            }
        } else if (first == 'M') {
            saidMove = true;
        } else if (first == 'B' && raw[1] == 'Y') {
            saidBye = true;
        }
    }

    private void nextLine(long due) {
        world.scheduler.scheduleAt(due, () -> {
            if (stage == Stage.ESTABLISHED) {
                if (unanswered == null) {
                    unanswered = new ArrayDeque<>(2);
                }
                unanswered.add(due);
                relay.send(this, LINE_MESSAGE);
                nextLine(due + session.useCase.lineInterval());
            }
        });
    }

    @Override
    public void onClosed(boolean reset) {
        if (stage == Stage.CLOSED) {
            return;
        }
        boolean wasUp = stage == Stage.ESTABLISHED;
        over();
        if (!reset) {
            relay.disconnect(this);
        }
        if (!wasUp) {
            world.invariantChecker.onEndWithoutAnswer(association, "closed with no answer", world.now());
            world.metrics.add(Series.UNANSWERED, 1, world.now());
            session.onFailed();
        } else if (saidBye) {
            world.metrics.add(Series.DONE, 1, world.now());
        } else {
            if (!saidMove && backendConnection != null && backendConnection.isResponsive()) {
                world.invariantChecker.onUnexpectedClose(association, world.now());
            }
            world.metrics.add(saidMove ? Series.MOVED : Series.BROKEN, 1, world.now());
            session.onDisconnected();
        }
    }

    /** Nobody owes anything. */
    @Override
    public void onRelayKilled() {
        if (stage != Stage.CLOSED) {
            boolean wasUp = stage == Stage.ESTABLISHED;
            over();
            world.metrics.add(wasUp ? Series.BROKEN : Series.UNANSWERED, 1, world.now());
            if (wasUp) {
                session.onDisconnected();
            } else {
                session.onFailed();
            }
        }
    }

    /** Lost. */
    @Override
    public void onRelayShutdown() {
        if (stage == Stage.ESTABLISHED) {
            world.invariantChecker.onUnexpectedClose(association, world.now());
        } else if (stage == Stage.WAITING) {
            world.invariantChecker.onEndWithoutAnswer(
                    association, "held at the end of its relay's process", world.now());
        }
    }
}
