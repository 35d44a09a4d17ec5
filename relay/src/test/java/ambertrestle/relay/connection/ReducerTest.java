package ambertrestle.relay.connection;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.BalancerFixture;
import ambertrestle.decide.LearnedState;
import ambertrestle.decide.RosterInterruption;
import ambertrestle.relay.persistence.Recovery;
import ambertrestle.relay.wire.Address;
import ambertrestle.relay.wire.BackendMessage;
import ambertrestle.relay.wire.ClientMessage;
import ambertrestle.relay.wire.NetworkEvent;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The life of connections and of the roster watch, as traces of the reducer's effects. */
class ReducerTest extends ReducerFixture {
    /**
     * The persisted roster is an hour old: it lists a backend that is gone and one that drains, and the roster service
     * is down for two seconds. The relay must serve meanwhile and correct its roster from the first answer.
     */
    @Test
    void servesFromStaleRosterUntilRosterServiceAnswers() throws Exception {
        LearnedState learnedState = new LearnedState(
                0,
                new LearnedState.RelayStatistics(300, 10_000 * BalancerFixture.MILLISECOND, 0, 0, 0, 0),
                List.of(),
                List.of(),
                false);
        startReducerWithInitialState(new Recovery.InitialState(
                Recovery.RosterSource.KEPT,
                roster(3, true, "s-1", "s-2", "s-3", "s-4"),
                fixture.now - 3_600_000 * BalancerFixture.MILLISECOND,
                true,
                true,
                learnedState,
                List.of()));
        applyNetworkEvent(
                "roster service refuses",
                new NetworkEvent.RosterWatchFailed("not connected", RosterInterruption.CALL_FAILED, 0));
        fixture.atMillis(300);
        acceptAndOpen(1, "c=pay,d=2000,g=a1");
        applyNetworkEvent("no connection", new NetworkEvent.SocketClosed(-1, true));
        answerUp(-2);
        fixture.atMillis(2000);
        applyNetworkEvent(
                "roster: 1 gone, 2 drains",
                new NetworkEvent.RosterReceived(roster(9, false, "s-1=GONE", "s-2=DRAINING", "s-3")));
        apply("keep", new Event.LearnedStateRequested());
        acceptAndOpen(2, "c=pay,d=2000,g=a1");
        fireTimerAt(5_001);
        fixture.assertTraceMatches("oldlist");
    }

    /**
     * One connection from PING and OPEN to the close of both sockets. Lines must be forwarded in order, the one that
     * the client sent too early included, and a backend that ends its output must not cut off the client.
     */
    @Test
    void forwardsLinesUntilBothSidesClose() throws Exception {
        startReducer("s-1");
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(1)), fixture.now);
        receiveFromClient(1, "PING");
        acceptAndOpen(2, "c=read,d=2000,g=5c,z=9");
        receiveFromClient(2, "M 1 early");
        answerUp(-1);
        receiveFromClient(2, "M 2");
        receiveFromBackend(-1, "LOAD 1200.5");
        receiveFromBackend(-1, "M 2 back");
        receiveFromBackend(-1, "BYE");
        applyNetworkEvent("socket -1 ends its sending", new NetworkEvent.InputShutdown(-1));
        closeSocket(2, false);
        closeSocket(-1, false);
        fixture.assertTraceMatches("life");
    }

    /**
     * A binding association may be dispatched again only while no dispatch may have run: after a failed connect and
     * BUSY, not after a reset. A retriable one is dispatched again after a timeout, and a late UP of the first backend
     * is ignored.
     */
    @Test
    void dispatchesAgainOnlyWhereUseCaseAllows() throws Exception {
        startReducer("s-1", "s-2", "s-3");
        acceptAndOpen(1, "c=pay,d=2000");
        closeSocket(-1, true);
        connectAndWriteFirstLine(-2);
        receiveFromBackend(-2, "BUSY");
        connectAndWriteFirstLine(-3);
        closeSocket(-3, true);
        acceptAndOpen(2, "c=read,d=2000");
        connectAndWriteFirstLine(-4);
        fireTimerAt(201);
        fireTimerAt(202);
        receiveFromBackend(-4, "UP late");
        answerUp(-5);
        fixture.assertTraceMatches("outcomes");
    }

    /**
     * A client that reads slowly may still be receiving the last lines when the timeout of the half-closed connection
     * is over. A reset would discard them, so the sockets must be closed first, and not while the client still sends.
     */
    @Test
    void halfClosedConnectionIsClosedBeforeItIsReset() throws Exception {
        startReducer("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        answerUp(-1);
        receiveFromBackend(-1, "MOVE");
        applyNetworkEvent("socket -1 ends its sending", new NetworkEvent.InputShutdown(-1));
        fixture.atMillis(4_000);
        receiveFromClient(1, "M 1");
        fireTimerAt(10_001);
        fireTimerAt(14_001);
        closeSocket(-1, false);
        fireTimerAt(17_002);
        fixture.assertTraceMatches("halfclosed");
    }

    /**
     * A backend that closes over an unread line of the client resets its connection. If it has sent MOVE before, a
     * reset of the client would discard the MOVE on its way; without MOVE or BYE, the reset must be passed on.
     */
    @Test
    void resetAfterAnnouncedEndIsNotPassedOn() throws Exception {
        startReducer("s-1", "s-2");
        acceptAndOpen(1, "c=read,d=2000");
        answerUp(-1);
        receiveFromBackend(-1, "MOVE");
        closeSocket(-1, true);
        acceptAndOpen(2, "c=read,d=2000");
        answerUp(-2);
        closeSocket(-2, true);
        fixture.assertTraceMatches("announced");
    }

    /**
     * A timeout, a broken backend socket and a leaving client may coincide. Each handler could answer the client again
     * or close a socket twice.
     */
    @Test
    void sendsOneFinalAnswerOnConcurrentFailures() throws Exception {
        startReducer("s-1");
        acceptAndOpen(1, "c=pay,d=120");
        connectAndWriteFirstLine(-1);
        fireTimerAt(101);
        fireTimerAt(102);
        closeSocket(-1, true);
        closeSocket(1, false);
        acceptAndOpen(2, "c=read,d=2000");
        closeSocket(2, true);
        receiveFromBackend(-2, "UP late");
        closeSocket(-2, false);
        fixture.assertTraceMatches("once");
    }

    /**
     * Bytes that follow the answer which ended a dispatch may not form lines. Taken for a fault of the client's
     * connection, they would close it without a final answer while another backend is being asked.
     */
    @Test
    void framingErrorOfEarlierDispatchLeavesLaterOneInFlight() throws Exception {
        startReducer("s-1", "s-2");
        acceptAndOpen(1, "c=read,d=2000");
        connectAndWriteFirstLine(-1);
        receiveFromBackend(-1, "ERR");
        applyNetworkEvent("socket -1 sends no line", new NetworkEvent.FramingError(-1));
        answerUp(-2);
        applyNetworkEvent("socket -1 sends no line", new NetworkEvent.FramingError(-1));
        receiveFromClient(1, "M 1");
        closeSocket(-1, false);
        fixture.assertTraceMatches("spoilt");
    }

    /**
     * A backend that sends an endless line on an open connection can't be served any further, but its client must not
     * be cut off without MOVE. After BYE the client has been told the end, so it gets nothing more.
     */
    @Test
    void movesClientWhoseBackendSendsEndlessLine() throws Exception {
        startReducer("s-1", "s-2");
        acceptAndOpen(1, "c=read,d=2000");
        answerUp(-1);
        applyNetworkEvent("socket -1 sends no line", new NetworkEvent.FramingError(-1));
        acceptAndOpen(2, "c=read,d=2000");
        answerUp(-2);
        receiveFromBackend(-2, "BYE");
        applyNetworkEvent("socket -2 sends no line", new NetworkEvent.FramingError(-2));
        fixture.assertTraceMatches("endless");
    }

    /**
     * A malformed first line must be answered ERR and must not reach a backend. A client that sends nothing is rejected
     * after two seconds, and rejections are logged once in five seconds however many there are.
     */
    @Test
    void rejectsMalformedOpenRequestsWithoutDispatch() throws Exception {
        startReducer("s-1");
        String[] malformedLines = {
            "HELLO",
            "OPEN",
            "OPEN 1",
            "OPEN x 1 c=read",
            "OPEN 1 1 t=x,c=read,d=-5",
            "OPEN 1 1 c=read,t=y",
            "OPEN 1 1 t=x,c=other,d=9",
            "OPEN 1 1 =read",
            "OPEN 1 1 c=read,c=read",
            "OPEN 1 1 c=read,h=x",
            "OPEN 1 1 c=\ufffd",
            "OPEN 1 1 c=read,t=x,d=",
            "OPEN 1 1 c=read,t=x,d=99999999999"
        };
        for (int i = 0; i < malformedLines.length; i++) {
            reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(i + 1)), fixture.now);
            receiveFromClient(i + 1, malformedLines[i]);
        }
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(20)), fixture.now);
        applyNetworkEvent("socket 20 sends no line", new NetworkEvent.FramingError(20));
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(21)), fixture.now);
        fireTimerAt(1000);
        fireTimerAt(2000);
        fireTimerAt(6000);
        fixture.assertTraceMatches("garbage");
    }

    /**
     * Backends refuse an id that is already open, so dispatching a duplicate would make them all look faulty. The id
     * must be free again once its connection has ended.
     */
    @Test
    void rejectsDuplicateIdsAndCommandsBeforeAnswer() throws Exception {
        startReducer("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(2)), fixture.now);
        receiveFromClient(2, "OPEN 1f 77 c=read,t=x,d=2000");
        answerUp(-1);
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(3)), fixture.now);
        receiveFromClient(3, "OPEN 1f 77 c=read,t=x,d=2000,mid=1");
        closeSocket(1, false);
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(4)), fixture.now);
        receiveFromClient(4, "OPEN 1f 77 c=read,t=x,d=2000");
        receiveFromClient(4, "OPEN 5f 77 c=read,t=x,d=2000");
        acceptAndOpen(5, "c=read,d=2000");
        applyNetworkEvent("socket 5 sends no line", new NetworkEvent.FramingError(5));
        fireTimerAt(1000);
        fixture.assertTraceMatches("misuse");
    }

    /**
     * Clients that only send PING or nothing would hold all sockets, so the oldest is rejected when sockets run short
     * and the others are closed soon. Closed sockets must be counted as free again.
     */
    @Test
    void evictsClientsThatOnlyPingOrSendNothing() throws Exception {
        maxSockets = 3;
        startReducer("s-1");
        for (int i = 1; i < 5; i++) {
            applyNetworkEvent("accepted " + i, new NetworkEvent.ClientAccepted(i));
            receiveFromClient(i, "PING");
        }
        receiveFromClient(2, "PING");
        fireTimerAt(600);
        for (int i = 1; i < 5; i++) {
            reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.SocketClosed(i, false)), fixture.now);
        }
        acceptAndOpen(5, "c=read,d=2000");
        answerUp(-1);
        closeSocket(-1, false);
        fireTimerAt(3600);
        fixture.assertTraceMatches("silence");
    }

    /**
     * A dispatch without a free socket would fail after the policy had counted it. The client must be answered BUSY
     * before that, and so must each later one as long as no socket is free.
     */
    @Test
    void shedsWhenSocketLimitIsReached() throws Exception {
        maxSockets = 3;
        startReducer("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        acceptAndOpen(2, "c=pay,d=2000");
        closeSocket(2, false);
        acceptAndOpen(3, "c=read,d=2000");
        fixture.assertTraceMatches("sockets");
    }

    /**
     * On a busy machine the relay may be late to connect and to read answers. The backend's time must start with the
     * first line, and an expired timeout must leave a millisecond to read an answer that has already arrived.
     */
    @Test
    void relayDelayDoesNotCountAsBackendLatency() throws Exception {
        startReducer("s-1", "s-2");
        acceptAndOpen(1, "c=read,d=2000");
        fixture.atMillis(140);
        connectAndWriteFirstLine(-1);
        fireTimerAt(300);
        fireTimerAt(345);
        receiveFromBackend(-1, "UP r1");
        acceptAndOpen(2, "c=read,d=2000");
        fireTimerAt(496);
        fireTimerAt(497);
        fixture.assertTraceMatches("delayed");
    }

    /**
     * A client that names its current backend must return to that backend, also after a failed attempt. It must be
     * answered ERR if the backend is unknown.
     */
    @Test
    void resumesAtCurrentBackendAndDispatchesMidFlowConnections() throws Exception {
        startReducer("s-1", "s-2");
        acceptAndOpen(1, "c=read,d=3000,at=s-2");
        closeSocket(-1, true);
        fireTimerAt(250);
        answerUp(-2);
        acceptAndOpen(2, "c=read,d=2000,mid=1,g=5c");
        acceptAndOpen(3, "c=read,d=2000,at=s-9");
        fixture.assertTraceMatches("standing");
    }

    /**
     * A complete roster removes the backends that it doesn't list, so a faulty entry would remove a healthy backend.
     */
    @Test
    void keepsLastKnownEntryWhenNewOneIsFaulty() throws Exception {
        startReducer("s-1", "s-2");
        applyNetworkEvent(
                "whole list, s-2 faulty",
                new NetworkEvent.RosterReceived(
                        roster(4, true, "s-1=DRAINING"),
                        new TreeMap<>(
                                Map.of("s-2", "status of s-2 is not known", "s-9", "address of s-9 is missing"))));
        for (int i = 1; i < 5; i++) {
            fixture.atMillis(1500);
            acceptAndOpen(i, "c=read,d=2000");
        }
        fixture.assertTraceMatches("faulty");
    }

    /**
     * After a restart the roster service may have lost versions: a version that goes back must lead to a request for
     * the complete roster, and a failed watch to a new one from the latest version.
     */
    @Test
    void restartsRosterWatchAfterFailureOrOlderVersion() throws Exception {
        fixture.settings.put("discovery", "pushed");
        startReducer("s-1");
        applyNetworkEvent("roster 4", new NetworkEvent.RosterReceived(roster(4, false, "s-2")));
        applyNetworkEvent("roster 2", new NetworkEvent.RosterReceived(roster(2, false, "s-1=GONE")));
        applyNetworkEvent("roster 2, whole", new NetworkEvent.RosterReceived(roster(2, true, "s-2")));
        applyNetworkEvent(
                "watch broke", new NetworkEvent.RosterWatchFailed("silent", RosterInterruption.WATCH_SILENT, 0));
        fireTimerAt(500);
        fixture.assertTraceMatches("watch");
    }

    /**
     * The retry of a failed watch was still due when a reload had moved the watch to a new address; it must not replace
     * the new watch. Open connections must survive the reload.
     */
    @Test
    void reloadMovesWatchOnceAndCancelsPendingRetry() throws Exception {
        startReducer("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        answerUp(-1);
        applyNetworkEvent(
                "watch broke", new NetworkEvent.RosterWatchFailed("cut off", RosterInterruption.WATCH_ENDED, 0));
        apply("read again", new Event.ConfigurationReloaded(new Address("q", 2), 100));
        fireTimerAt(500);
        apply("read again, unchanged", new Event.ConfigurationReloaded(new Address("q", 2), 100));
        applyNetworkEvent("roster 4", new NetworkEvent.RosterReceived(roster(4, false, "s-2")));
        applyNetworkEvent(
                "watch broke", new NetworkEvent.RosterWatchFailed("ended", RosterInterruption.WATCH_ENDED, 0));
        fireTimerAt(1000);
        receiveFromClient(1, "M 1");
        fixture.assertTraceMatches("reread");
    }

    /**
     * A hung backend answers nothing, so no latency is measured from answers. The wait of unanswered lines must show
     * it, and its connections must be moved.
     */
    @Test
    void movesConnectionsOffHungBackend() throws Exception {
        startReducer("s-1", "s-2");
        acceptAndOpen(1, "c=read,d=2000,g=1");
        answerUp(-1);
        acceptAndOpen(2, "c=read,d=2000,g=1");
        answerUp(-2);
        fixture.atMillis(100);
        receiveFromClient(1, "M 1");
        fixture.atMillis(400);
        receiveFromClient(2, "M 1");
        for (int millis = 500; millis <= 2000; millis += 500) {
            fireTimerAt(millis);
        }
        closeSocket(-1, false);
        fixture.assertTraceMatches("silent");
    }

    /**
     * One connection is dead while another one of the same backend answers. The backend's mean latency stays low, so
     * the dead connection must be found by the age of its unanswered line.
     */
    @Test
    void movesOneDeadConnectionAmongHealthyOnes() throws Exception {
        startReducer("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        answerUp(-1);
        acceptAndOpen(2, "c=read,d=2000");
        answerUp(-2);
        receiveFromClient(1, "M 1");
        ClientMessage clientLine = ClientMessage.decode(encodeLine("M"), NAMES);
        BackendMessage backendLine = BackendMessage.decode(encodeLine("M"));
        for (int millis = 10; millis < 5500; millis += 10) {
            fixture.atMillis(millis);
            reducer.apply(
                    new Event.NetworkEventReceived(new NetworkEvent.ClientMessageReceived(2, clientLine)), fixture.now);
            reducer.apply(
                    new Event.NetworkEventReceived(new NetworkEvent.BackendMessageReceived(-2, backendLine)),
                    fixture.now);
        }
        fireTimerAt(5500);
        fixture.assertTraceMatches("dead");
    }

    /**
     * A client that opens a connection during shutdown must still be served. Its OPEN line prolongs the grace time, and
     * only then are the open connections moved.
     */
    @Test
    void shutdownFinishesAcceptedAssociations() throws Exception {
        isPassThrough = false;
        startReducer("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        answerUp(-1);
        apply("told to stop", new Event.ShutdownRequested());
        fixture.atMillis(305);
        acceptAndOpen(2, "c=read,d=2000");
        fireTimerAt(501);
        answerUp(-2);
        fireTimerAt(806);
        fixture.assertTraceMatches("stop");
    }

    /**
     * At shutdown the connections are moved in batches. While another relay is down as well, which returning clients
     * show, the moved clients would find no relay, so the hand-over must wait until just before the platform kills this
     * one.
     */
    @Test
    void shutdownHandsOverConnectionsUnlessAnotherRelayIsDown() throws Exception {
        startReducer("s-1");
        for (int i = 1; i < 7; i++) {
            acceptAndOpen(i, "c=read,d=2000");
            answerUp(-i);
        }
        apply("told to stop", new Event.ShutdownRequested());
        fireTimerAt(501);
        fireTimerAt(564);
        fireTimerAt(627);
        startReducer("s-1");
        fixture.atMillis(10_000);
        acceptAndOpen(1, "c=read,d=2000,again=1");
        answerUp(-1);
        apply("told to stop", new Event.ShutdownRequested());
        fireTimerAt(10_501);
        receiveFromClient(1, "M 1");
        receiveFromBackend(-1, "M 1");
        fireTimerAt(13_200);
        fireTimerAt(13_300);
        fixture.assertTraceMatches("passing");
    }

    /**
     * Guards against requests that are lost because the relay stops while a client is still sending its OPEN line: it
     * must wait for the line, and no client may be left without an answer when the platform kills the relay.
     */
    @Test
    void shutdownAnswersEveryAcceptedClientBeforeItStops() throws Exception {
        isPassThrough = false;
        startReducer("s-1");
        apply("told to stop", new Event.ShutdownRequested());
        fixture.atMillis(360);
        applyNetworkEvent("client 1 connects", new NetworkEvent.ClientAccepted(1));
        applyNetworkEvent("client 2 connects", new NetworkEvent.ClientAccepted(2));
        fireTimerAt(501);
        fixture.atMillis(650);
        receiveFromClient(1, "OPEN 1f 0 t=x,c=pay,d=2000");
        answerUp(-1);
        fireTimerAt(1_200);
        applyNetworkEvent("client 3 connects", new NetworkEvent.ClientAccepted(3));
        receiveFromClient(3, "OPEN 3f 0 t=x,c=pay,d=2000");
        connectAndWriteFirstLine(-2);
        for (long millis : new long[] {2_360, 2_400, 2_401, 2_463}) {
            fireTimerAt(millis);
        }
        applyNetworkEvent("client 4 connects", new NetworkEvent.ClientAccepted(4));
        fixture.assertTraceMatches("stop-waiting");
    }

    /** Guards against a relay that ends 30 s late because it waits for clients that left without an OPEN line. */
    @Test
    void shutdownDoesNotWaitForClientsThatLeftBeforeOpen() {
        startReducer("s-1");
        applyNetworkEvent("client 1 connects", new NetworkEvent.ClientAccepted(1));
        receiveFromClient(1, "PING");
        applyNetworkEvent("client 1 ends its output", new NetworkEvent.InputShutdown(1));
        closeSocket(1, false);
        applyNetworkEvent("client 2 connects", new NetworkEvent.ClientAccepted(2));
        closeSocket(2, true);
        apply("told to stop", new Event.ShutdownRequested());
        fireTimerAt(501);
        assertThat(fixture.trace.toString()).endsWith("             stop" + System.lineSeparator());
    }

    /**
     * Guards against short connections that use up all descriptors: the client ends its output, the backend follows,
     * and both sockets stayed open for ten seconds more.
     */
    @Test
    void socketsCloseOnceBothSidesEndedTheirOutput() throws Exception {
        startReducer("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        answerUp(-1);
        applyNetworkEvent("client ends its output", new NetworkEvent.InputShutdown(1));
        receiveFromBackend(-1, "M last");
        applyNetworkEvent("backend ends its output", new NetworkEvent.InputShutdown(-1));
        closeSocket(-1, false);
        closeSocket(1, false);
        fixture.assertTraceMatches("both-ended");
    }

    /**
     * Guards against sound backends that are avoided: where delay is unobserved, resets count as a sign of overload,
     * and a backend that followed the end of its clients' output was taken for one that resets them.
     */
    @Test
    void backendThatFollowsItsClientsEndIsNotBlamed() {
        startReducer("s-1");
        for (int i = 1; i <= 40; i++) {
            fixture.atMillis(400 * i);
            acceptAndOpen(i, "c=read,d=2000");
            answerUp(-i);
            applyNetworkEvent("client ends its output", new NetworkEvent.InputShutdown(i));
            applyNetworkEvent("backend ends its output", new NetworkEvent.InputShutdown(-i));
            closeSocket(-i, false);
            closeSocket(i, false);
        }
        assertThat(fixture.trace.toString()).doesNotContain("BUSY").doesNotContain("MOVE");
        assertThat(fixture.trace.toString().split("write \\d+ UP", -1)).hasSize(41);
    }

    /**
     * Guards against requests that are sent on after their client is gone: a close of the backend's socket would still
     * write what is left of the OPEN line.
     */
    @Test
    void openLineThatIsPartlyWrittenIsDiscardedWhenItsClientLeaves() {
        startReducer("s-1");
        acceptAndOpen(1, "c=pay,d=2000");
        applyNetworkEvent("connected", new NetworkEvent.BackendConnected(-1));
        closeSocket(1, true);
        assertThat(fixture.trace.toString()).contains("reset -1").doesNotContain("close -1");
    }

    /**
     * Guards against an id that runs twice: its client leaves while the backend still works on it and comes again with
     * the same id. A request that was never sent may still run.
     */
    @Test
    void idOfClientThatLeftDoesNotRunAgain() throws Exception {
        startReducer("s-1", "s-2");
        acceptAndOpen(1, "c=pay,d=2000");
        closeSocket(1, false);
        closeSocket(-1, false);
        openAgain(2, "1f", "c=pay,d=2000");
        connectAndWriteFirstLine(-2);
        closeSocket(2, false);
        openAgain(3, "1f", "c=pay,d=2000");
        acceptAndOpen(4, "c=read,d=2000");
        connectAndWriteFirstLine(-3);
        closeSocket(4, false);
        openAgain(5, "4f", "c=read,d=2000");
        fixture.assertTraceMatches("same-id");
    }

    /** Accepts a client and sends an OPEN line with this id. */
    private void openAgain(long socket, String id, String parameters) {
        reducer.apply(new Event.NetworkEventReceived(new NetworkEvent.ClientAccepted(socket)), fixture.now);
        receiveFromClient(socket, "OPEN " + id + " 0 t=x," + parameters);
    }

    /** Guards against a heap filled by clients that send long lines before their request is answered. */
    @Test
    void clientThatSendsTooMuchBeforeItsAnswerIsRejected() {
        startReducer("s-1");
        acceptAndOpen(1, "c=read,d=2000");
        for (int line = 0; line < 4; line++) {
            receiveFromClient(1, "x".repeat(4_000));
        }
        assertThat(fixture.trace.toString()).doesNotContain("ERR");
        receiveFromClient(1, "x".repeat(4_000));
        assertThat(fixture.trace.toString()).contains("write 1 ERR");
    }
}
