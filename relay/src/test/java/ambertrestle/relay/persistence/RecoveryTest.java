package ambertrestle.relay.persistence;

import static ambertrestle.relay.persistence.TestSnapshots.NOW;
import static ambertrestle.relay.persistence.TestSnapshots.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.LearnedState;
import ambertrestle.relay.persistence.Recovery.InitialState;
import ambertrestle.relay.persistence.Recovery.RosterSource;
import ambertrestle.relay.wire.RosterMessage;
import org.junit.jupiter.api.Test;

/** Which roster and learned state a relay starts with, and when its start-up has converged. */
class RecoveryTest {
    /** In nanoseconds. */
    private static final long MAX_FRESH_ROSTER_AGE = 2 * SECOND;

    private static final RosterMessage EMPTY_ROSTER = TestSnapshots.roster(0, true);

    private static InitialState recover(RosterMessage configuredRoster, StateSnapshot snapshot) {
        return Recovery.recover(configuredRoster, snapshot, "d:1", MAX_FRESH_ROSTER_AGE, NOW);
    }

    /** Without a snapshot, the configured roster must count as current, as it does without persistence. */
    @Test
    void usesConfiguredRosterWithoutSnapshot() {
        InitialState initialState = recover(TestSnapshots.roster(3, true, "a"), null);
        assertThat(initialState).isEqualTo(InitialState.fromConfiguration(TestSnapshots.roster(3, true, "a")));
        assertThat(initialState.isRosterStale()).isFalse();
        assertThat(recover(EMPTY_ROSTER, null).rosterSource()).isEqualTo(RosterSource.NOTHING);
    }

    /** Backends of a stale roster may have been restarted unnoticed; they would get too much load if taken for warm. */
    @Test
    void treatsRecentRosterAsFreshAndOlderOneAsStale() {
        assertThat(recover(EMPTY_ROSTER, TestSnapshots.takenAt(NOW - SECOND, 1)).isRosterStale())
                .isFalse();
        assertThat(recover(EMPTY_ROSTER, TestSnapshots.takenAt(NOW - 3 * SECOND, 1))
                        .isRosterStale())
                .isTrue();
        assertThat(recover(EMPTY_ROSTER, TestSnapshots.takenAt(NOW - 3 * SECOND, 1))
                        .rosterSource())
                .isEqualTo(RosterSource.KEPT);
    }

    /** An old snapshot must not replace a newer configured roster, whose age is unknown. */
    @Test
    void prefersHigherVersionAndTreatsUnknownAgeAsStale() {
        InitialState withNewerConfiguration =
                recover(TestSnapshots.roster(50, true, "x"), TestSnapshots.takenAt(NOW - SECOND, 1));
        assertThat(withNewerConfiguration.rosterSource()).isEqualTo(RosterSource.KNOWN);
        assertThat(withNewerConfiguration.isRosterStale()).isTrue();
        assertThat(withNewerConfiguration.learnedState().backends())
                .as("the learned state is restored all the same")
                .hasSize(2);
        assertThat(recover(TestSnapshots.roster(41, true, "x"), TestSnapshots.takenAt(NOW - SECOND, 1))
                        .rosterSource())
                .isEqualTo(RosterSource.KEPT);
    }

    /** Learned state that is dated in the future would never decay, so it must not be restored. */
    @Test
    void keepsOnlyRosterWithUnknownAgeAfterClockWentBack() {
        InitialState initialState = recover(EMPTY_ROSTER, TestSnapshots.takenAt(NOW + 5 * SECOND, 1));
        assertThat(initialState.rosterSource()).isEqualTo(RosterSource.KEPT);
        assertThat(initialState.isRosterStale()).isTrue();
        assertThat(initialState.rosterConfirmedAt()).isZero();
        assertThat(initialState.learnedState()).isEqualTo(LearnedState.EMPTY);
        assertThat(initialState.logMessages()).extracting(LogMessage::event).containsExactly("state-weighed");
    }

    /** If versions of two roster services were compared, the relay would request updates that fit no known version. */
    @Test
    void doesNotCompareVersionsOfDifferentRosterServices() {
        InitialState initialState = Recovery.recover(
                EMPTY_ROSTER, TestSnapshots.takenAt(NOW - SECOND, 1), "elsewhere:2", MAX_FRESH_ROSTER_AGE, NOW);
        assertThat(initialState.hasComparableVersions()).isFalse();
        assertThat(initialState.logMessages()).singleElement().satisfies(message -> assertThat(message.fields())
                .containsEntry("reason", "other-roster"));
        assertThat(recover(EMPTY_ROSTER, TestSnapshots.takenAt(NOW - SECOND, 1)).hasComparableVersions())
                .isTrue();
    }

    /** An update names only the changed backends; the others must stay in the roster. */
    @Test
    void appliesRosterChangesToOldRoster() {
        RosterMessage updated = TestSnapshots.roster(40, true, "a", "b", "c")
                .withUpdate(TestSnapshots.roster(44, false, "b=GONE", "c=DRAINING", "d"));
        assertThat(updated).isEqualTo(TestSnapshots.roster(44, true, "a", "c=DRAINING", "d"));
    }

    /** A roster service that fails after one message must not count as recovered: the stable time starts anew. */
    @Test
    void doesNotConvergeWhenWatchEndsAfterOneMessage() {
        StartupProgress progress =
                new StartupProgress(recover(EMPTY_ROSTER, TestSnapshots.takenAt(NOW - 60 * SECOND, 1)), NOW);
        assertThat(progress.onTimer(NOW).text())
                .isEqualTo("starts with the persisted roster of 3 backends, confirmed 60.0 s ago; "
                        + "all backends count as cold until the roster service answers");
        progress.onWatchEnded();
        assertThat(progress.onTimer(NOW + SECOND)).isNull();
        LogMessage message =
                progress.onRosterMessage(TestSnapshots.roster(44, true, "a", "b=DRAINING", "e"), NOW + 2 * SECOND);
        assertThat(message.text())
                .isEqualTo("the roster service answered after 2.0 s; changes since the initial roster: 1 gone, 1 new, "
                        + "0 restarted, 1 draining");
        progress.onWatchEnded();
        assertThat(progress.onTimer(NOW + 9 * SECOND)).isNull();
        assertThat(progress.phase()).isEqualTo(StartupProgress.Phase.CONVERGING);
        progress.onRosterMessage(TestSnapshots.roster(44, false), NOW + 10 * SECOND);
        assertThat(progress.wakeAt()).isEqualTo(NOW + 13 * SECOND);
        assertThat(progress.onTimer(NOW + 12 * SECOND)).isNull();
        assertThat(progress.onTimer(NOW + 13 * SECOND).fields()).containsEntry("broken", "2");
        assertThat(progress.phase()).isEqualTo(StartupProgress.Phase.CONVERGED);
        assertThat(progress.onTimer(NOW + 14 * SECOND)).isNull();
    }
}
