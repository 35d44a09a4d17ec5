package ambertrestle.decide;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.Decision.Kind;
import ambertrestle.decide.LearnedState.BackendStatistics;
import ambertrestle.decide.LearnedState.Pin;
import ambertrestle.decide.LearnedState.RelayStatistics;
import ambertrestle.restore.LearnedStateDecay;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What outlives a process: what the module gives away, what it takes back, and what age makes of it. */
class LearnedStateTest {
    private static final long SECOND = 1_000 * BalancerFixture.MILLISECOND;
    private final BalancerFixture s = new BalancerFixture();
    private final BalancerFixture restarted = new BalancerFixture();

    /** The later process: the same list, what was kept, so many ms after; `unseen` as told. */
    private void restart(long ms, String roster, boolean unseen) {
        LearnedState kept = s.balancer().takeLearnedStateChanges(1 << 20, s.now);
        long keptAt = s.now;
        restarted.atMillis(ms).updateRoster(roster);
        restarted
                .balancer()
                .restoreLearnedState(LearnedStateDecay.decay(kept, keptAt, restarted.now), unseen, restarted.now);
    }

    @Test
    void learnedStateDecaysWithItsAge() throws Exception {
        long now = 200_000 * SECOND;
        s.trace.append(String.format(
                "%-10s %9s %9s %9s %9s %9s %9s %9s%n",
                "age", "doubt", "lateness", "carried", "pin", "failed 8", "ended 50", "pins 2"));
        for (long age : new long[] {0, 1, 4, 20, 60, 300, 3_600, 86_400, -5}) {
            long at = now - age * SECOND;
            LearnedState kept = LearnedStateDecay.decay(
                    new LearnedState(
                            1,
                            new RelayStatistics(50, 10 * SECOND, 9 * BalancerFixture.MILLISECOND, 3, 64, 0),
                            List.of(new BackendStatistics(5, 0, at, 2, 8, 4, 40 * BalancerFixture.MILLISECOND, at, 0)),
                            List.of(new Pin(7, 5, Pin.IN_USE), new Pin(8, 5, at)),
                            false),
                    at,
                    now);
            s.trace.append(String.format(
                    "%7d s  %9.4f %9.4f %9.4f %9.4f %9.4f %9.4f %9d%n",
                    age,
                    LearnedStateDecay.failureEvidenceWeight(age * SECOND),
                    LearnedStateDecay.delayWeight(age * SECOND),
                    LearnedStateDecay.trafficStatisticsWeight(age * SECOND),
                    LearnedStateDecay.pinWeight(age * SECOND),
                    kept.backends().isEmpty() ? 0 : kept.backends().get(0).failures(),
                    kept.relayStatistics().completedConnections(),
                    kept.pins().size()));
        }
        s.assertTraceMatches("aging");
    }

    @Test
    void failureEvidenceSurvivesRestart() {
        s.updateRoster("1 2 3 4");
        long silent = s.selectBackend("a", 77).backend;
        s.finishDispatch("a", DispatchOutcome.TIMED_OUT, false);
        for (int i = 0; i < 20; i++) {
            s.associations.get("a").dispatchCount = 0;
            s.associations.get("a").recordDispatch(silent, s.now);
            s.balancer().onDispatchFinished(s.associations.get("a"), 0, DispatchOutcome.TIMED_OUT, true, s.now);
        }
        restart(2000, "1 2 3 4", false);
        for (int i = 0; i < 10; i++) {
            assertThat(restarted.selectBackend("x" + i, 77).backend).isNotEqualTo(silent);
        }
        BalancerFixture blank = new BalancerFixture();
        blank.atMillis(2000).updateRoster("1 2 3 4");
        assertThat(blank.selectBackend("x", 77).backend)
                .as("without what was kept")
                .isEqualTo(silent);
    }

    @Test
    void restoredPinTakesPrecedenceOverLookupTable() {
        s.updateRoster("1 2 3 4");
        long first = s.selectBackend("a", 77).backend;
        long pinned = s.finishDispatch("a", DispatchOutcome.FULL, false).backend;
        s.establish("a");
        restart(3000, "1 2 3 4", false);
        assertThat(pinned).isNotEqualTo(first);
        assertThat(restarted.selectBackend("b", 77).backend).isEqualTo(pinned);
    }

    @Test
    void pinToRemovedBackendIsDroppedAndStaysDroppedWhenTheIdReturns() {
        s.updateRoster("1 2 3 4");
        long first = s.selectBackend("a", 77).backend;
        long pinned = s.finishDispatch("a", DispatchOutcome.FULL, false).backend;
        s.establish("a");
        restart(3000, "1 2 3 4".replace(Long.toString(pinned), pinned + "=gone"), false);
        restarted.updateRoster("1 2 3 4");
        assertThat(restarted.selectBackend("b", 77).backend).isEqualTo(first);
    }

    @Test
    void pinsOfAnotherTableFormatAndExpiredPinsAreNotRestored() {
        s.updateRoster("1 2 3 4");
        long first = s.selectBackend("a", 77).backend;
        s.finishDispatch("a", DispatchOutcome.FULL, false);
        s.establish("a");
        LearnedState kept = s.balancer().takeLearnedStateChanges(100, s.now);
        restarted.atMillis(1000).updateRoster("1 2 3 4");
        restarted
                .balancer()
                .restoreLearnedState(
                        new LearnedState(
                                kept.tableFormat() + 1, kept.relayStatistics(), kept.backends(), kept.pins(), false),
                        false,
                        restarted.now);
        assertThat(restarted.selectBackend("b", 77).backend).isEqualTo(first);
        BalancerFixture old = new BalancerFixture();
        old.atMillis(61_000).updateRoster("1 2 3 4");
        old.balancer().restoreLearnedState(LearnedStateDecay.decay(kept, s.now, old.now), false, old.now);
        assertThat(old.selectBackend("b", 77).backend).isEqualTo(first);
    }

    /** Danger: what comes from a clock that went back would never fade. */
    @Test
    void stateWithATimestampInTheFutureIsDiscarded() {
        LearnedState kept = new LearnedState(
                1,
                RelayStatistics.EMPTY,
                List.of(new BackendStatistics(1, 0, 5, 0, 9, 0, 0, 0, 0)),
                List.of(new Pin(1, 1, 4)),
                false);
        assertThat(LearnedStateDecay.decay(kept, 10, 9)).isEqualTo(LearnedState.EMPTY);
    }

    @Test
    void drainGracePeriodContinuesAcrossRestart() {
        s.updateRoster("1 2 3 4");
        long home = s.selectBackend("a", 77).backend;
        String drains = "1 2 3 4".replace(Long.toString(home), home + "=draining");
        s.atMillis(500).updateRoster(drains);
        restart(2000, drains, false);
        // Mid-flow goes to its key's first backend, draining or not, but only within the grace.
        assertThat(restarted.selectBackend("m", 77, 0, true).backend).isNotEqualTo(home);
        BalancerFixture fresh = new BalancerFixture();
        fresh.atMillis(2000).updateRoster(drains);
        assertThat(fresh.selectBackend("m", 77, 0, true).backend)
                .as("heard only now")
                .isEqualTo(home);
    }

    @Test
    void drainAfterAStaleRosterTakesEffectWhenReceived() {
        s.updateRoster("1 2 3 4");
        restart(60_000, "1 2 3 4", true);
        restarted.updateRoster("1=draining 2=draining 3=draining 4");
        for (int i = 0; i < 50; i++) {
            Decision answer = restarted.atMillis(60_600 + i).selectBackend("k" + i, 70 + i);
            assertThat(answer.kind != Kind.SEND || answer.backend == 4).isTrue();
        }
    }

    /**
     * Many relays with equally old lists: together no more than the rule lets reach a backend that has just started.
     */
    @Test
    void relaysStartingWithAStaleRosterDoNotOverloadNewBackends() {
        s.settings.put("relays", "20");
        s.updateRoster("1 2 3 4");
        int sent = 0;
        for (int relay = 0; relay < 20; relay++) {
            BalancerFixture r = new BalancerFixture();
            r.settings.put("relays", "20");
            r.atMillis(3_600_000).updateRoster("1 2 3 4");
            // It carried 2 a second, so each of the four backends half a one, and 20 relays 10 a second.
            r.balancer()
                    .restoreLearnedState(
                            new LearnedState(
                                    0, new RelayStatistics(22, 10 * SECOND, 0, 0, 0, 0), List.of(), List.of(), false),
                            true,
                            r.now);
            for (int ms = 0; ms < 3000; ms += 10) {
                r.atMillis(3_600_000 + ms);
                String name = "c" + ms;
                if (r.selectBackend(name, 1000 + ms).kind == Kind.SEND) {
                    sent++;
                    r.finishDispatch(name, DispatchOutcome.DONE, true);
                }
            }
        }
        // Cold from 0.2, three times that, over a fall of 3 s, warming to 0.44 meanwhile; DONE at once raises what
        // counts as carried.
        assertThat(sent).isGreaterThan(4 * 5).isLessThan(20 * 2 * 3 * 3);
    }

    @Test
    void relayWithoutLearnedStateStillDispatchesOnAStaleRoster() {
        restarted.atMillis(0).updateRoster("1 2 3 4 5 6 7 8");
        restarted.balancer().restoreLearnedState(LearnedState.EMPTY, true, restarted.now);
        int sent = 0;
        for (int ms = 0; ms < 3100; ms += 100) {
            sent += restarted.atMillis(ms).selectBackend("c" + ms, 1000 + ms).kind == Kind.SEND ? 1 : 0;
        }
        assertThat(sent).isBetween(8, 31);
    }

    @Test
    void connectFailuresOnAStaleRosterDoNotUseUpTheDispatchLimit() {
        restarted.atMillis(0).updateRoster("1 2 3 4 5 6 7 8");
        restarted
                .balancer()
                .restoreLearnedState(
                        new LearnedState(
                                0, new RelayStatistics(5000, 10 * SECOND, 0, 0, 0, 0), List.of(), List.of(), false),
                        true,
                        restarted.now);
        restarted.atMillis(100);
        int tried = 1;
        Decision answer = restarted.selectBackend("a", 77);
        while (answer.kind == Kind.SEND && tried < 8) {
            answer = restarted.finishDispatch("a", DispatchOutcome.NOT_CONNECTED, false);
            tried += answer.kind == Kind.SEND ? 1 : 0;
        }
        assertThat(tried).as("the limit is four").isGreaterThan(4);
        BalancerFixture sure = new BalancerFixture();
        sure.updateRoster("1 2 3 4 5 6 7 8");
        Decision then = sure.selectBackend("a", 77);
        for (tried = 1; then.kind == Kind.SEND; tried++) {
            then = sure.finishDispatch("a", DispatchOutcome.NOT_CONNECTED, false);
        }
        assertThat(tried - 1).as("with a list that is sure").isEqualTo(4);
    }

    @Test
    void freshRosterEndsSlowStartAndKeepsPlacements() {
        s.updateRoster("1 2 3 4 5 6");
        for (int i = 0; i < 200; i++) {
            s.openConnection("c" + i, 500 + i);
            s.finishDispatch("c" + i, DispatchOutcome.DONE, true);
        }
        restart(4000, "1 2 3 4 5 6", true);
        restarted.atMillis(6000).updateRoster("1 2 3 4 5 6=draining");
        int moved = 0;
        for (int i = 0; i < 200; i++) {
            Decision answer = restarted.selectBackend("d" + i, 500 + i);
            restarted.finishDispatch("d" + i, DispatchOutcome.DONE, true);
            long before = s.associations.get("c" + i).sentTo[0];
            moved += before != 6 && answer.backend != before ? 1 : 0;
            assertThat(answer.backend).isNotEqualTo(6);
        }
        assertThat(moved).isZero();
    }

    @Test
    void eachChangeIsReportedOnceInBatchesOfLimitedSize() {
        s.updateRoster("1 2 3 4");
        s.balancer().takeLearnedStateChanges(100, s.now);
        for (int i = 0; i < 30; i++) {
            s.openConnection("c" + i, 500 + i);
            s.openConnection("d" + i, 500 + i);
        }
        int pins = 0;
        LearnedState part;
        do {
            part = s.balancer().takeLearnedStateChanges(7, s.now);
            assertThat(part.backends().size() + part.pins().size()).isLessThanOrEqualTo(7);
            pins += part.pins().size();
        } while (part.hasMore());
        assertThat(pins).isEqualTo(30);
        assertThat(s.balancer().takeLearnedStateChanges(7, s.now).pins()).isEmpty();
        s.finishDispatch("c3", DispatchOutcome.DONE, true);
        s.atMillis(80_000).finishDispatch("d3", DispatchOutcome.DONE, true);
        assertThat(s.balancer().takeLearnedStateChanges(100, s.now).pins())
                .containsExactly(new Pin(503, s.associations.get("d3").sentTo[0], s.now));
        s.atMillis(200_000).pollDueActions();
        assertThat(s.balancer().takeLearnedStateChanges(100, s.now).pins())
                .containsExactly(new Pin(503, 0, Pin.REMOVED));
    }

    /**
     * Danger: a picture taken at once would hold up the loop. A part takes what a part takes, whatever there is in all.
     */
    @Test
    void batchSizeDoesNotGrowWithTheState() {
        StringBuilder list = new StringBuilder("1");
        for (int b = 2; b <= 2000; b++) {
            list.append(' ').append(b);
        }
        s.updateRoster(list.toString());
        LearnedState all = new LearnedState(
                s.balancer().takeLearnedStateChanges(1, s.now).tableFormat(),
                RelayStatistics.EMPTY,
                List.of(),
                java.util.stream.LongStream.rangeClosed(1, 60_000)
                        .mapToObj(k -> new Pin(k, 1 + k % 2000, s.now))
                        .toList(),
                false);
        BalancerFixture fresh = new BalancerFixture();
        fresh.updateRoster(list.toString());
        fresh.balancer().restoreLearnedState(all, false, fresh.now);
        int parts = 0;
        for (boolean more = true; more; parts++) {
            LearnedState part = fresh.balancer().takeLearnedStateChanges(4096, fresh.now);
            assertThat(part.backends().size() + part.pins().size()).isLessThanOrEqualTo(4096);
            more = part.hasMore();
        }
        assertThat(parts).isEqualTo((62_000 + 4095) / 4096);
    }
}
