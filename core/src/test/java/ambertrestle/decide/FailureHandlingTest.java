package ambertrestle.decide;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.Decision.Kind;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Slow, failing, hung and overloaded backends, and failures of the roster service. */
class FailureHandlingTest {
    private final BalancerFixture fixture = new BalancerFixture();

    /** Connections that pile up on a slow backend slow down every connection there. */
    @Test
    void slowBackendIsSkippedAndSomeConnectionsMoveAway() throws Exception {
        fixture.updateRoster("1 2 3 4");
        for (int i = 0; i < 12; i++) {
            fixture.openConnection("c" + i, 77 + i);
        }
        long pinnedBackend = fixture.associations.get("c0").sentTo[0];
        fixture.atMillis(1000).appendToTrace("messages on " + pinnedBackend + " take 150 ms");
        fixture.balancer().onDelayReport(pinnedBackend, 150 * BalancerFixture.MILLISECOND, fixture.now);
        fixture.pollDueActions();
        fixture.selectBackend("whileLate", 77);
        fixture.atMillis(2000).appendToTrace("messages on " + pinnedBackend + " take 20 ms");
        fixture.balancer().onDelayReport(pinnedBackend, 20 * BalancerFixture.MILLISECOND, fixture.now);
        fixture.pollDueActions();
        fixture.selectBackend("again", 77);
        // A delay beyond the longest cut-off means that the backend hangs. All its connections must move, because they
        // would otherwise stay there until they break.
        fixture.atMillis(3000).appendToTrace("messages on " + pinnedBackend + " take 30 s");
        fixture.balancer().onDelayReport(pinnedBackend, 30_000 * BalancerFixture.MILLISECOND, fixture.now);
        fixture.appendToTrace("connections that leave: "
                + fixture.balancer()
                        .pollDueActions(fixture.now)
                        .connectionsToMove
                        .size());
        fixture.assertTraceMatches("late");
    }

    /**
     * When all backends were slow, each connection of a group was sent to yet another backend, until the group was
     * spread over the whole fleet and kept all of it slow. Connections must wait or be shed instead.
     */
    @Test
    void groupIsNotDistributedOverAllBackendsOfASlowFleet() throws Exception {
        fixture.updateRoster("1 2 3 4 5 6");
        for (long backend = 1; backend <= 6; backend++) {
            fixture.balancer().onDelayReport(backend, 150 * BalancerFixture.MILLISECOND, fixture.now);
        }
        fixture.appendToTrace("messages take 150 ms everywhere");
        fixture.selectBackend("noPlace", 77);
        for (int millis = 50; millis <= 400 && !fixture.associations.get("noPlace").closed; millis += 50) {
            fixture.atMillis(millis).selectBackend("noPlace");
        }
        fixture.assertTraceMatches("strewn");
    }

    /**
     * Repeated set-ups of 24 relays kept an overloaded shared store overloaded, so set-ups are spaced. Detection must
     * work with the few set-ups that a single relay sees; otherwise the failure stays unnoticed.
     */
    @Test
    void setUpsArePacedDuringWidespreadSetUpFailures() throws Exception {
        fixture.settings.put("relays", "24");
        fixture.updateRoster("1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20");
        for (int i = 0; i < 5; i++) {
            if (fixture.selectBackend("f" + i, 100 + i).kind == Kind.SEND) {
                fixture.finishDispatch("f" + i, DispatchOutcome.ERROR, false);
            }
        }
        fixture.assertTraceMatches("jam");
    }

    /**
     * Backends outside the subset of every group stayed idle while groups whose own backends were slow were shed. An
     * idle backend must be selected even outside the group's subset.
     */
    @Test
    void idleBackendIsSelectedBeyondTheGroupSubset() throws Exception {
        fixture.updateRoster("1 2 3 4 5 6");
        for (int i = 0; i < 24; i++) {
            fixture.openConnection("c" + i, 71 + i % 3);
        }
        fixture.trace.setLength(0);
        for (long backend = 1; backend <= 6; backend++) {
            if (fixture.associations.values().stream()
                    .map(a -> a.sentTo[0])
                    .anyMatch(java.util.List.of(backend)::contains)) {
                fixture.balancer().onDelayReport(backend, 150 * BalancerFixture.MILLISECOND, fixture.now);
                fixture.appendToTrace("late and held: " + backend);
            }
        }
        fixture.selectBackend("other", 78);
        fixture.assertTraceMatches("empty");
    }

    /**
     * A burst overloads a backend long before slow messages are reported. The load at which it was last slow therefore
     * limits what it gets.
     */
    @Test
    void loadIsLimitedToTheLoadObservedWhenSlow() throws Exception {
        fixture.updateRoster("1 2");
        for (int i = 0; i < 12; i++) {
            fixture.openConnection("c" + i, 77 + i);
        }
        long pinnedBackend = fixture.associations.get("c0").sentTo[0];
        fixture.balancer().onDelayReport(pinnedBackend, 50 * BalancerFixture.MILLISECOND, fixture.now);
        fixture.atMillis(500).appendToTrace("late with what it holds, then in time again");
        fixture.balancer().onDelayReport(pinnedBackend, 10 * BalancerFixture.MILLISECOND, fixture.now);
        for (int i = 0; i < 2; i++) {
            fixture.openConnection("at500ms" + i, 77);
        }
        fixture.assertTraceMatches("bound");
    }

    /**
     * Each of many relays saw one or two connections of a large group, took it for a small one and sent it to a single
     * backend. All relays must spread the group over the same backends.
     */
    @Test
    void largeGroupIsPlacedOnTheSameBackendsByEveryRelay() throws Exception {
        BalancerFixture otherRelay = new BalancerFixture();
        for (BalancerFixture relay : new BalancerFixture[] {fixture, otherRelay}) {
            relay.settings.put("relays", "40");
            relay.updateRoster("1 2 3 4*2 5 6 7*2 8 9 10 11 12");
            int[] groups = relay == fixture ? new int[] {70, 71, 70, 72, 73, 74} : new int[] {75, 74, 70, 73, 76, 70};
            for (int i = 0; i < 60; i++) {
                relay.openConnection("c" + i, groups[i % 6]);
            }
            relay.trace.setLength(0);
        }
        for (BalancerFixture relay : new BalancerFixture[] {fixture, otherRelay}) {
            fixture.appendToTrace("group 70 lies on "
                    + relay.associations.values().stream()
                            .filter(a -> a.groupKey == 70)
                            .map(a -> a.sentTo[0])
                            .sorted()
                            .toList());
        }
        fixture.assertTraceMatches("split");
    }

    /**
     * A relay gets no delay reports from backends where it has no connections. When these counted as healthy, a relay
     * did not recognize that the whole fleet was slow.
     */
    @Test
    void unobservedBackendsDoNotCountAsHealthy() throws Exception {
        fixture.settings.put("relays", "40");
        fixture.updateRoster("1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22 23 24 25 26 27 28 29 30");
        for (int i = 0; i < 12; i++) {
            fixture.openConnection("c" + i, 100 + i);
        }
        fixture.trace.setLength(0);
        fixture.associations.values().forEach(a -> fixture.balancer()
                .onDelayReport(a.sentTo[0], 150 * BalancerFixture.MILLISECOND, fixture.now));
        fixture.appendToTrace("all that hold anything are late");
        for (int i = 0; i < 4; i++) {
            fixture.selectBackend("more" + i, 100 + i);
        }
        fixture.assertTraceMatches("told");
    }

    /**
     * A client that was moved off a slow backend reconnected and was sent there again: with no connection left to
     * report the delay, the backend no longer counted as slow.
     */
    @Test
    void slowBackendIsRememberedWithoutOpenConnections() throws Exception {
        fixture.settings.put("relays", "40");
        fixture.updateRoster("1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20");
        fixture.openConnection("left", 77);
        fixture.balancer()
                .onDelayReport(
                        fixture.associations.get("left").sentTo[0], 150 * BalancerFixture.MILLISECOND, fixture.now);
        fixture.atMillis(500).finishDispatch("left", DispatchOutcome.CANCELLED, true);
        for (int millis : new int[] {1000, 8000, 31000}) {
            fixture.atMillis(millis).selectBackend("at" + millis, 77);
            fixture.finishDispatch("at" + millis, DispatchOutcome.NOT_SENT, true);
        }
        fixture.assertTraceMatches("kept");
    }

    /** A hung backend must cost only a few timeouts, and must get work again once it has recovered. */
    @Test
    void hungBackendIsDetectedAndRetriedAfterRecovery() throws Exception {
        fixture.updateRoster("1 2 3 4 5 6 7 8");
        int[] dispatchesWhileHung = new int[2];
        int[] dispatchesAfterRecovery = new int[2];
        long hungBackend = 0;
        for (int i = 0; i < 400; i++) {
            fixture.atMillis(i * 50);
            long backend = fixture.selectBackend("h" + i, i + 1).backend;
            hungBackend = hungBackend == 0 ? backend : hungBackend;
            boolean fails = backend == hungBackend && i < 200;
            (i < 200 ? dispatchesWhileHung : dispatchesAfterRecovery)[backend == hungBackend ? 1 : 0]++;
            if (fails) {
                fixture.finishDispatch("h" + i, DispatchOutcome.TIMED_OUT, true);
            } else {
                fixture.establish("h" + i);
                fixture.finishDispatch("h" + i, DispatchOutcome.DONE, true);
            }
        }
        fixture.trace.setLength(0);
        fixture.appendToTrace(
                "while hung: " + dispatchesWhileHung[1] + " to it, " + dispatchesWhileHung[0] + " elsewhere");
        fixture.appendToTrace(
                "afterwards: " + dispatchesAfterRecovery[1] + " to it, " + dispatchesAfterRecovery[0] + " elsewhere");
        assertThat(dispatchesWhileHung[1]).isLessThan(20);
        assertThat(dispatchesAfterRecovery[1]).isGreaterThan(10);
        fixture.assertTraceMatches("hung");
    }

    /** Relays that retry without backoff and jitter keep the roster service overloaded, and all calls fail again. */
    @Test
    void failedRosterCallsBackOff() throws Exception {
        fixture.settings.put("discovery", "on_request");
        fixture.settings.put("relays", "40");
        long previousWait = 0;
        for (int i = 0; i < 5; i++) {
            fixture.pollDueActions();
            fixture.balancer().onRosterCallFailed(fixture.now);
            long wait = fixture.pollDueActions().wakeAt - fixture.now;
            assertThat(wait).isGreaterThan(Math.min(4_000 * BalancerFixture.MILLISECOND, previousWait / 2) - 1);
            previousWait = wait;
            fixture.now += wait;
        }
        fixture.assertTraceMatches("roster");
    }

    /**
     * When 93 relays started together, 58 first calls at the same moment waited too long in the roster service and
     * failed together.
     */
    @Test
    void firstRosterCallsOfRelaysStartedTogetherAreJittered() {
        fixture.settings.put("discovery", "on_request");
        fixture.settings.put("relays", "100");
        int[] callsBySecond = new int[10];
        for (int seed = 0; seed < 100; seed++) {
            Balancer relay = new Balancer(fixture.settings, seed, fixture.now);
            callsBySecond[
                    (int) ((relay.pollDueActions(fixture.now).wakeAt - fixture.now)
                            / (1000 * BalancerFixture.MILLISECOND))]++;
        }
        assertThat(java.util.Arrays.stream(callsBySecond).max().getAsInt()).isLessThan(35);
        assertThat(java.util.Arrays.stream(callsBySecond).limit(5).sum())
                .as("calls within the first 5 s")
                .isEqualTo(100);
    }

    /**
     * A silent watch is detected after 3.2 s, and the relay is expected to know of a missed change after 6 s. The first
     * retry must therefore follow within 2.5 s.
     */
    @Test
    void firstRosterRetryAfterASilentWatchMeetsTheNotificationDeadline() {
        fixture.settings.put("discovery", "on_request");
        fixture.settings.put("relays", "120");
        for (int seed = 0; seed < 50; seed++) {
            Balancer relay = new Balancer(fixture.settings, seed, fixture.now);
            relay.onRosterUpdate(List.of(), true, false, fixture.now);
            relay.onRosterCallFailed(fixture.now);
            assertThat(relay.pollDueActions(fixture.now).wakeAt - fixture.now)
                    .isLessThan(2_500 * BalancerFixture.MILLISECOND);
            relay.onRosterCallFailed(fixture.now);
            assertThat(relay.pollDueActions(fixture.now).wakeAt - fixture.now)
                    .as("wait before a later retry, which is spread wider")
                    .isGreaterThan(2_500 * BalancerFixture.MILLISECOND);
        }
    }

    /**
     * With a pushed roster, the relay is expected to know all that the local agent has, even while its watch is broken.
     * The watch must therefore be reopened within 400 ms.
     */
    @Test
    void brokenPushWatchIsReopenedPromptly() {
        fixture.settings.put("relays", "120");
        Balancer relay = new Balancer(fixture.settings, 7, fixture.now);
        for (int failures = 0; failures < 6; failures++) {
            relay.onRosterCallFailed(fixture.now);
            assertThat(relay.pollDueActions(fixture.now).wakeAt - fixture.now)
                    .isLessThan(400 * BalancerFixture.MILLISECOND);
        }
    }

    /** With 200 relays, the jitter and backoff of roster calls would exceed a deadline of 5 s (rules.askWithin). */
    @Test
    void rosterCallsMeetTheConfiguredDeadline() {
        fixture.settings.put("discovery", "on_request");
        fixture.settings.put("relays", "200");
        fixture.settings.put("rules.askWithin", "5000000000");
        for (int seed = 0; seed < 50; seed++) {
            Balancer relay = new Balancer(fixture.settings, seed, fixture.now);
            for (int failures = 0; failures < 6; failures++) {
                assertThat(relay.pollDueActions(fixture.now).wakeAt - fixture.now)
                        .isLessThan(5_000 * BalancerFixture.MILLISECOND);
                relay.onRosterCallFailed(fixture.now);
            }
        }
    }

    /**
     * With about three connections each, 94 relays took every group for a small one and sent all of it to one backend,
     * which was overloaded by the sum.
     */
    @Test
    void relaysWithFewConnectionsDoNotConcentrateAGroupOnOneBackend() {
        fixture.settings.put("relays", "94");
        List<RosterEntry> roster = new ArrayList<>();
        for (int id = 1; id <= 28; id++) {
            roster.add(new RosterEntry(id, RosterEntry.Stage.READY, 0, 0, 1, 0, 0));
        }
        Balancer[] relays = new Balancer[94];
        for (int relayIndex = 0; relayIndex < relays.length; relayIndex++) {
            relays[relayIndex] = new Balancer(fixture.settings, relayIndex, fixture.now);
            relays[relayIndex].onRosterUpdate(roster, true, false, fixture.now);
        }
        int[] connectionsByBackend = new int[29];
        Set<Long> groupAndBackendPairs = new HashSet<>();
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 1; i <= 420; i++) {
            // 28 groups; the largest has about forty connections.
            long group = 1 + (long) (28 * Math.pow(random.nextDouble(), 1.5));
            Balancer relay = relays[random.nextInt(94)];
            Association association = new Association(
                    i, 0, 0, 5000 + i, group, fixture.now + 2000 * BalancerFixture.MILLISECOND, 0, false, false);
            int backend = (int) relay.selectBackend(association, fixture.now).backend;
            relay.onConnectionEstablished(association, 0, 10 * BalancerFixture.MILLISECOND, fixture.now);
            connectionsByBackend[backend]++;
            groupAndBackendPairs.add(group * 100 + backend);
        }
        assertThat(java.util.Arrays.stream(connectionsByBackend).max().getAsInt())
                .as("connections of the busiest backend, where the mean is 15")
                .isLessThan(38);
        assertThat(groupAndBackendPairs.size())
                .as("backends that a group uses, summed over 28 groups")
                .isLessThan(28 * 7);
    }

    /**
     * Where message delays are not observed, a backend that resets connections repeatedly must count as slow, or
     * clients keep returning to it. Several resets at the same moment don't count as repeated.
     */
    @Test
    void backendThatRepeatedlyResetsConnectionsCountsAsSlow() throws Exception {
        fixture.settings.put("familyInfo.tellsDelay", "unseen");
        fixture.updateRoster("1 2 3");
        fixture.openConnection("a", 9);
        fixture.openConnection("b", 9);
        fixture.finishDispatch("a", DispatchOutcome.RESET, true);
        fixture.openConnection("a again", 9);
        fixture.atMillis(250).finishDispatch("b", DispatchOutcome.RESET, true);
        fixture.openConnection("b again", 9);
        fixture.atMillis(3300).finishDispatch("b again", DispatchOutcome.DONE, true);
        fixture.openConnection("c", 9);
        fixture.assertTraceMatches("shedding");
    }

    /**
     * Where message delays are not observed, a connection whose load grows slows down all others on its backend
     * unnoticed. The heaviest connection must leave once the load limit is exceeded.
     */
    @Test
    void heaviestConnectionMovesOffAnOverloadedBackendWhenDelayIsUnobserved() throws Exception {
        fixture.settings.put("familyInfo.tellsDelay", "unseen");
        fixture.settings.put("familyInfo.tenantQuotaConnections", "50.0,10.0");
        fixture.updateRoster("1 2 3");
        for (int i = 0; i < 12; i++) {
            fixture.openConnection("c" + i, 0);
            for (int report = 1; report < 5; report++) {
                fixture.balancer().onLoadReport(fixture.associations.get("c" + i), 10 + report / 4.0, fixture.now);
            }
        }
        fixture.atMillis(2000).pollDueActions();
        Association heaviest = fixture.associations.get("c5");
        fixture.appendToTrace("c5 on " + heaviest.sentTo[0] + " grows to nine times the usual load");
        fixture.balancer().onLoadReport(heaviest, 90, fixture.now);
        fixture.balancer().onLoadReport(heaviest, 91, fixture.now);
        fixture.pollDueActions();
        fixture.finishDispatch("c5", DispatchOutcome.CANCELLED, true);
        for (int i = 20; i < 26; i++) {
            fixture.openConnection("c" + i, 0);
        }
        fixture.assertTraceMatches("laden");
    }
}
