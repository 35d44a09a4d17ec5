package ambertrestle.relay.connection;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.RosterInterruption;
import ambertrestle.relay.wire.Address;
import ambertrestle.relay.wire.NetworkEvent;
import org.junit.jupiter.api.Test;

/**
 * A pushed roster that the roster service doesn't confirm. Changes count as known when the service has them, so that no
 * dispatch may follow the old roster for longer than half of the drain grace period (500 ms in these tests).
 */
class RosterWaitTest extends ReducerFixture {
    private void receiveRoster(String label, String... names) {
        applyNetworkEvent(label, new NetworkEvent.RosterReceived(roster(4, false, names)));
    }

    private void failWatch(RosterInterruption cause, long elapsedMillis) {
        applyNetworkEvent("watch: " + cause, watchFailed(cause, elapsedMillis));
    }

    /** Guards against new work at a backend that began to drain while this relay was away. */
    @Test
    void startMakesNoDispatchBeforeTheRosterServiceIsHeard() throws Exception {
        startUnconfirmedReducer("s-1", "s-2", "s-3=DRAINING");
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(9)), fixture.now);
        receiveFromClient(9, "PING");
        for (int client = 1; client <= 4; client++) {
            acceptAndOpen(client, "c=read,d=2000" + (client == 3 ? ",mid=1" : client == 4 ? ",at=s-2" : ""));
        }
        fixture.atMillis(300);
        receiveRoster("s-1 drains", "s-1=DRAINING");
        acceptAndOpen(5, "c=read,d=2000,mid=1");
        fixture.assertTraceMatches("await-roster");
    }

    /** A client that opens a connection right behind its PING gets both answers in order. */
    @Test
    void pingIsAnsweredBeforeTheOpenLineThatFollowsIt() {
        startUnconfirmedReducer("s-1");
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(1)), fixture.now);
        receiveFromClient(1, "PING");
        receiveFromClient(1, "OPEN 1f 0 t=x,c=read,d=2000");
        receiveRoster("roster 4");
        answerUp(-1);
        assertThat(fixture.trace.toString()).containsSubsequence("write 1 PONG", "dial -1", "write 1 UP");
        assertThat(fixture.trace.toString().split("PONG", -1)).hasSize(2);
    }

    /** Guards against work done for clients that left while they waited for the roster. */
    @Test
    void clientThatLeavesWhileItWaitsIsNotDispatched() {
        startUnconfirmedReducer("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        closeSocket(1, true);
        receiveRoster("roster 4");
        assertThat(fixture.trace.toString()).doesNotContain("dial");
    }

    /** Guards against clients that get nothing because the roster service is down: it has nothing to tell. */
    @Test
    void refusedCallLetsTheRelayServeAtOnce() throws Exception {
        startUnconfirmedReducer("s-1");
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(9)), fixture.now);
        receiveFromClient(9, "PING");
        acceptAndOpen(1, "c=read,d=2000");
        fixture.atMillis(5);
        failWatch(RosterInterruption.CALL_FAILED, 5);
        answerUp(-1);
        fixture.atMillis(504);
        acceptAndOpen(2, "c=read,d=2000");
        answerUp(-2);
        fixture.atMillis(506);
        acceptAndOpen(3, "c=read,d=2000");
        fixture.atMillis(600);
        failWatch(RosterInterruption.CALL_FAILED, 5);
        fixture.assertTraceMatches("roster-refused");
    }

    /** Guards against a relay that serves nobody while the roster service hangs, and against answers that come late. */
    @Test
    void unansweredCallHoldsUpClientsUntilItFails() throws Exception {
        startUnconfirmedReducer("s-1");
        acceptAndOpen(1, "c=pay,d=2000");
        fixture.atMillis(1_500);
        acceptAndOpen(2, "c=pay,d=2000");
        acceptAndOpen(3, "c=pay,d=60");
        fireTimerAt(1_930);
        fireTimerAt(2_999);
        fixture.atMillis(3_000);
        failWatch(RosterInterruption.CALL_FAILED, 3_000);
        answerUp(-1);
        fixture.atMillis(9_000);
        acceptAndOpen(4, "c=pay,d=2000");
        fixture.assertTraceMatches("roster-hangs");
    }

    /** Guards against new work at a backend that began to drain while the watch was broken. */
    @Test
    void brokenWatchLetsDispatchesWaitOnceTheGraceIsOver() throws Exception {
        startReducer("s-1", "s-2");
        failWatch(RosterInterruption.WATCH_ENDED, 0);
        fixture.atMillis(499);
        acceptAndOpen(1, "c=read,d=2000");
        fixture.atMillis(501);
        acceptAndOpen(2, "c=read,d=2000");
        closeSocket(-1, true);
        fixture.atMillis(1_000);
        receiveRoster("s-2 drains", "s-2=DRAINING");
        fixture.assertTraceMatches("watch-broken");
    }

    /** A silent watch and a moved roster service leave more time: 6 s from the last message, 4 s from the reload. */
    @Test
    void silenceAndReloadLeaveTheTimeThatTheyAllow() {
        startReducer("s-1");
        fixture.atMillis(3_200);
        failWatch(RosterInterruption.WATCH_SILENT, 3_200);
        assertThat(isDispatchedAt(1, 6_499)).isTrue();
        assertThat(isDispatchedAt(2, 6_501)).isFalse();
        receiveRoster("roster 4");
        apply("moved", new Event.ConfigurationReloaded(new Address("q", 2), 100));
        assertThat(isDispatchedAt(3, 11_000)).isTrue();
        assertThat(isDispatchedAt(4, 11_002)).isFalse();
    }

    /** A second reload doesn't prolong the time: what counted as known by the first one still does. */
    @Test
    void laterInterruptionDoesNotProlongTheLease() {
        startReducer("s-1");
        failWatch(RosterInterruption.WATCH_ENDED, 0);
        fixture.atMillis(400);
        apply("moved", new Event.ConfigurationReloaded(new Address("q", 2), 100));
        assertThat(isDispatchedAt(1, 501)).isFalse();
    }

    /** Guards against a relay that runs out of sockets when all clients that waited are dispatched at once. */
    @Test
    void eachWaitingClientHasASocketToABackendReserved() {
        maxSockets = 10;
        startUnconfirmedReducer("s-1");
        for (int client = 1; client <= 6; client++) {
            applyNetworkEvent("client " + client + " connects", new NetworkEvent.ClientAccepted(client));
            receiveFromClient(client, "OPEN " + client + "f 0 t=x,c=read,d=2000");
        }
        assertThat(fixture.trace.toString()).contains("write 6 BUSY").doesNotContain("write 5 BUSY");
        closeSocket(6, false);
        receiveRoster("roster 4");
        assertThat(fixture.trace.toString()).contains("dial -5 ").doesNotContain("dial -6 ");
    }

    /** Guards against an event loop that is held up by hundreds of connects at once, so that the first time out. */
    @Test
    void waitingClientsAreDispatchedInBatches() {
        maxSockets = 1_000;
        startUnconfirmedReducer("s-1");
        for (int client = 1; client <= 40; client++) {
            acceptAndOpen(client, "c=read,d=2000");
        }
        int traceLength = fixture.trace.length();
        receiveRoster("roster 4");
        assertThat(fixture.trace.substring(traceLength)).contains("dial -16 ").doesNotContain("dial -17 ");
        fireTimerAt(1);
        fireTimerAt(2);
        assertThat(fixture.trace.toString()).contains("dial -40 ");
    }

    /** Lets a client come and go at this time; returns whether it was dispatched before it went. */
    private boolean isDispatchedAt(long client, long millis) {
        int traceLength = fixture.trace.length();
        fixture.atMillis(millis);
        acceptAndOpen(client, "c=read,d=2000");
        boolean isDispatched = fixture.trace.indexOf("dial", traceLength) >= 0;
        closeSocket(client, false);
        return isDispatched;
    }
}
