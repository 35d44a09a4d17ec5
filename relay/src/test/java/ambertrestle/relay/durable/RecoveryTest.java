package ambertrestle.relay.durable;

import static ambertrestle.relay.durable.Pictures.NOW;
import static ambertrestle.relay.durable.Pictures.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.Kept;
import ambertrestle.relay.durable.Recovery.Beginning;
import ambertrestle.relay.durable.Recovery.From;
import ambertrestle.relay.wire.RosterMessage;
import org.junit.jupiter.api.Test;

class RecoveryTest {
    private static final long SURE = 2 * SECOND;
    private static final RosterMessage NONE = Pictures.list(0, true);

    private static Beginning begin(RosterMessage known, Picture kept) {
        return Recovery.begin(known, kept, "d:1", SURE, NOW);
    }

    @Test
    void withNothingKeptTheConfigurationsListStandsAsItAlwaysDid() {
        Beginning b = begin(Pictures.list(3, true, "a"), null);
        assertThat(b).isEqualTo(Beginning.known(Pictures.list(3, true, "a")));
        assertThat(b.unseen()).isFalse();
        assertThat(begin(NONE, null).from()).isEqualTo(From.NOTHING);
    }

    @Test
    void aListHeardAMomentAgoStandsAndAnOlderOneMayNameWhatHasJustStarted() {
        assertThat(begin(NONE, Pictures.at(NOW - SECOND, 1)).unseen()).isFalse();
        assertThat(begin(NONE, Pictures.at(NOW - 3 * SECOND, 1)).unseen()).isTrue();
        assertThat(begin(NONE, Pictures.at(NOW - 3 * SECOND, 1)).from()).isEqualTo(From.KEPT);
    }

    @Test
    void theListWithTheHigherVersionWinsAndOneOfUnknownAgeCountsAsUnseen() {
        Beginning newer = begin(Pictures.list(50, true, "x"), Pictures.at(NOW - SECOND, 1));
        assertThat(newer.from()).isEqualTo(From.KNOWN);
        assertThat(newer.unseen()).isTrue();
        assertThat(newer.kept().backends())
                .as("judgments are taken all the same")
                .hasSize(2);
        assertThat(begin(Pictures.list(41, true, "x"), Pictures.at(NOW - SECOND, 1))
                        .from())
                .isEqualTo(From.KEPT);
    }

    @Test
    void aClockThatWentBackLeavesTheListWithNoAgeAndNothingElse() {
        Beginning b = begin(NONE, Pictures.at(NOW + 5 * SECOND, 1));
        assertThat(b.from()).isEqualTo(From.KEPT);
        assertThat(b.unseen()).isTrue();
        assertThat(b.heardAt()).isZero();
        assertThat(b.kept()).isEqualTo(Kept.NOTHING);
        assertThat(b.said()).extracting(Said::event).containsExactly("state-weighed");
    }

    @Test
    void versionsOfAnotherRosterServiceMeanNothingHere() {
        Beginning b = Recovery.begin(NONE, Pictures.at(NOW - SECOND, 1), "elsewhere:2", SURE, NOW);
        assertThat(b.comparable()).isFalse();
        assertThat(b.said()).singleElement().satisfies(s -> assertThat(s.fields())
                .containsEntry("reason", "other-roster"));
        assertThat(begin(NONE, Pictures.at(NOW - SECOND, 1)).comparable()).isTrue();
    }

    @Test
    void changesAfterAnOldListGiveTheWholeListAsItNowIs() {
        RosterMessage now =
                Pictures.list(40, true, "a", "b", "c").after(Pictures.list(44, false, "b=GONE", "c=DRAINING", "d"));
        assertThat(now).isEqualTo(Pictures.list(44, true, "a", "c=DRAINING", "d"));
    }

    @Test
    void aRosterServiceThatAnswersOneLineAndDiesAgainIsNotTakenForOneThatIsBack() {
        Start start = new Start(begin(NONE, Pictures.at(NOW - 60 * SECOND, 1)), NOW);
        assertThat(start.woke(NOW).line())
                .isEqualTo(
                        "begins with the kept list of 3 backends, heard 60.0 s ago; until the roster service is heard "
                                + "all count as cold");
        start.broke();
        assertThat(start.woke(NOW + SECOND)).isNull();
        Said said = start.heard(Pictures.list(44, true, "a", "b=DRAINING", "e"), NOW + 2 * SECOND);
        assertThat(said.line())
                .isEqualTo(
                        "the roster service is heard after 2.0 s: since the list it began with 1 are gone, 1 new, 0 restarted, 1 drain");
        start.broke();
        assertThat(start.woke(NOW + 9 * SECOND)).isNull();
        assertThat(start.at()).isEqualTo(Start.At.CONVERGING);
        start.heard(Pictures.list(44, false), NOW + 10 * SECOND);
        assertThat(start.wakeAt()).isEqualTo(NOW + 13 * SECOND);
        assertThat(start.woke(NOW + 12 * SECOND)).isNull();
        assertThat(start.woke(NOW + 13 * SECOND).fields()).containsEntry("broken", "2");
        assertThat(start.at()).isEqualTo(Start.At.CONVERGED);
        assertThat(start.woke(NOW + 14 * SECOND)).isNull();
    }
}
