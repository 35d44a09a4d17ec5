package ambertrestle.relay.persistence;

import static ambertrestle.relay.persistence.TestSnapshots.NOW;
import static ambertrestle.relay.persistence.TestSnapshots.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.LearnedState;
import ambertrestle.relay.persistence.Recovery.InitialState;
import ambertrestle.relay.persistence.Recovery.RosterSource;
import ambertrestle.relay.wire.RosterMessage;
import org.junit.jupiter.api.Test;

class RecoveryTest {
    private static final long SURE = 2 * SECOND;
    private static final RosterMessage NONE = TestSnapshots.roster(0, true);

    private static InitialState begin(RosterMessage known, StateSnapshot kept) {
        return Recovery.recover(known, kept, "d:1", SURE, NOW);
    }

    @Test
    void usesConfiguredRosterWithoutSnapshot() {
        InitialState b = begin(TestSnapshots.roster(3, true, "a"), null);
        assertThat(b).isEqualTo(InitialState.fromConfiguration(TestSnapshots.roster(3, true, "a")));
        assertThat(b.isRosterStale()).isFalse();
        assertThat(begin(NONE, null).rosterSource()).isEqualTo(RosterSource.NOTHING);
    }

    @Test
    void treatsRecentRosterAsFreshAndOlderOneAsStale() {
        assertThat(begin(NONE, TestSnapshots.takenAt(NOW - SECOND, 1)).isRosterStale())
                .isFalse();
        assertThat(begin(NONE, TestSnapshots.takenAt(NOW - 3 * SECOND, 1)).isRosterStale())
                .isTrue();
        assertThat(begin(NONE, TestSnapshots.takenAt(NOW - 3 * SECOND, 1)).rosterSource())
                .isEqualTo(RosterSource.KEPT);
    }

    @Test
    void prefersHigherVersionAndTreatsUnknownAgeAsStale() {
        InitialState newer = begin(TestSnapshots.roster(50, true, "x"), TestSnapshots.takenAt(NOW - SECOND, 1));
        assertThat(newer.rosterSource()).isEqualTo(RosterSource.KNOWN);
        assertThat(newer.isRosterStale()).isTrue();
        assertThat(newer.learnedState().backends())
                .as("judgments are taken all the same")
                .hasSize(2);
        assertThat(begin(TestSnapshots.roster(41, true, "x"), TestSnapshots.takenAt(NOW - SECOND, 1))
                        .rosterSource())
                .isEqualTo(RosterSource.KEPT);
    }

    @Test
    void keepsOnlyRosterWithUnknownAgeAfterClockWentBack() {
        InitialState b = begin(NONE, TestSnapshots.takenAt(NOW + 5 * SECOND, 1));
        assertThat(b.rosterSource()).isEqualTo(RosterSource.KEPT);
        assertThat(b.isRosterStale()).isTrue();
        assertThat(b.rosterConfirmedAt()).isZero();
        assertThat(b.learnedState()).isEqualTo(LearnedState.EMPTY);
        assertThat(b.logMessages()).extracting(LogMessage::event).containsExactly("state-weighed");
    }

    @Test
    void doesNotCompareVersionsOfDifferentRosterServices() {
        InitialState b = Recovery.recover(NONE, TestSnapshots.takenAt(NOW - SECOND, 1), "elsewhere:2", SURE, NOW);
        assertThat(b.hasComparableVersions()).isFalse();
        assertThat(b.logMessages()).singleElement().satisfies(s -> assertThat(s.fields())
                .containsEntry("reason", "other-roster"));
        assertThat(begin(NONE, TestSnapshots.takenAt(NOW - SECOND, 1)).hasComparableVersions())
                .isTrue();
    }

    @Test
    void appliesRosterChangesToOldRoster() {
        RosterMessage now = TestSnapshots.roster(40, true, "a", "b", "c")
                .withUpdate(TestSnapshots.roster(44, false, "b=GONE", "c=DRAINING", "d"));
        assertThat(now).isEqualTo(TestSnapshots.roster(44, true, "a", "c=DRAINING", "d"));
    }

    @Test
    void doesNotConvergeWhenWatchEndsAfterOneMessage() {
        StartupProgress start = new StartupProgress(begin(NONE, TestSnapshots.takenAt(NOW - 60 * SECOND, 1)), NOW);
        assertThat(start.onTimer(NOW).text())
                .isEqualTo(
                        "begins with the kept list of 3 backends, heard 60.0 s ago; until the roster service is heard "
                                + "all count as cold");
        start.onWatchEnded();
        assertThat(start.onTimer(NOW + SECOND)).isNull();
        LogMessage said =
                start.onRosterMessage(TestSnapshots.roster(44, true, "a", "b=DRAINING", "e"), NOW + 2 * SECOND);
        assertThat(said.text())
                .isEqualTo(
                        "the roster service is heard after 2.0 s: since the list it began with 1 are gone, 1 new, 0 restarted, 1 drain");
        start.onWatchEnded();
        assertThat(start.onTimer(NOW + 9 * SECOND)).isNull();
        assertThat(start.phase()).isEqualTo(StartupProgress.Phase.CONVERGING);
        start.onRosterMessage(TestSnapshots.roster(44, false), NOW + 10 * SECOND);
        assertThat(start.wakeAt()).isEqualTo(NOW + 13 * SECOND);
        assertThat(start.onTimer(NOW + 12 * SECOND)).isNull();
        assertThat(start.onTimer(NOW + 13 * SECOND).fields()).containsEntry("broken", "2");
        assertThat(start.phase()).isEqualTo(StartupProgress.Phase.CONVERGED);
        assertThat(start.onTimer(NOW + 14 * SECOND)).isNull();
    }
}
