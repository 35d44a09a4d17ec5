package ambertrestle;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.Answer;
import ambertrestle.decide.Answer.Kind;
import ambertrestle.decide.Kept;
import ambertrestle.decide.Kept.Judged;
import ambertrestle.decide.Kept.Pin;
import ambertrestle.decide.Kept.Whole;
import ambertrestle.decide.Outcome;
import ambertrestle.recover.Aging;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What outlives a process: what the module gives away, what it takes back, and what age makes of it. */
class KeptTest {
    private static final long SECOND = 1_000 * Scene.MS;
    private final Scene s = new Scene();
    private final Scene later = new Scene();

    /** The later process: the same list, what was kept, so many ms after; `unseen` as told. */
    private void restart(long ms, String roster, boolean unseen) {
        Kept kept = s.balancer().changes(1 << 20, s.now);
        long keptAt = s.now;
        later.at(ms).roster(roster);
        later.balancer().remember(Aging.weighed(kept, keptAt, later.now), unseen, later.now);
    }

    @Test
    void whatAJudgmentWeighsAfterAMinuteAnHourAndADay() throws Exception {
        long now = 200_000 * SECOND;
        s.trace.append(String.format(
                "%-10s %9s %9s %9s %9s %9s %9s %9s%n",
                "age", "doubt", "lateness", "carried", "pin", "failed 8", "ended 50", "pins 2"));
        for (long age : new long[] {0, 1, 4, 20, 60, 300, 3_600, 86_400, -5}) {
            long at = now - age * SECOND;
            Kept kept = Aging.weighed(
                    new Kept(
                            1,
                            new Whole(50, 10 * SECOND, 9 * Scene.MS, 3, 64, 0),
                            List.of(new Judged(5, 0, at, 2, 8, 4, 40 * Scene.MS, at, 0)),
                            List.of(new Pin(7, 5, Pin.OPEN), new Pin(8, 5, at)),
                            false),
                    at,
                    now);
            s.trace.append(String.format(
                    "%7d s  %9.4f %9.4f %9.4f %9.4f %9.4f %9.4f %9d%n",
                    age,
                    Aging.doubt(age * SECOND),
                    Aging.lateness(age * SECOND),
                    Aging.carried(age * SECOND),
                    Aging.pin(age * SECOND),
                    kept.backends().isEmpty() ? 0 : kept.backends().get(0).bad(),
                    kept.whole().ended(),
                    kept.pins().size()));
        }
        s.matches("aging");
    }

    @Test
    void aRelayThatIsBackGoesOnDoubtingABackendThatTakesAllAndAnswersNone() {
        s.roster("1 2 3 4");
        long silent = s.ask("a", 77).backend;
        s.after("a", Outcome.TIMED_OUT, false);
        for (int i = 0; i < 20; i++) {
            s.held.get("a").dispatches = 0;
            s.held.get("a").sent(silent, s.now);
            s.balancer().after(s.held.get("a"), 0, Outcome.TIMED_OUT, true, s.now);
        }
        restart(2000, "1 2 3 4", false);
        for (int i = 0; i < 10; i++) {
            assertThat(later.ask("x" + i, 77).backend).isNotEqualTo(silent);
        }
        Scene blank = new Scene();
        blank.at(2000).roster("1 2 3 4");
        assertThat(blank.ask("x", 77).backend).as("without what was kept").isEqualTo(silent);
    }

    @Test
    void aKeyGoesWhereItWasPinnedThoughTheTableSaysOtherwise() {
        s.roster("1 2 3 4");
        long first = s.ask("a", 77).backend;
        long pinned = s.after("a", Outcome.FULL, false).backend;
        s.stands("a");
        restart(3000, "1 2 3 4", false);
        assertThat(pinned).isNotEqualTo(first);
        assertThat(later.ask("b", 77).backend).isEqualTo(pinned);
    }

    @Test
    void aPinToABackendThatIsNoLongerListedIsDroppedAndNotFollowedWhenThatIdIsBack() {
        s.roster("1 2 3 4");
        long first = s.ask("a", 77).backend;
        long pinned = s.after("a", Outcome.FULL, false).backend;
        s.stands("a");
        restart(3000, "1 2 3 4".replace(Long.toString(pinned), pinned + "=gone"), false);
        later.roster("1 2 3 4");
        assertThat(later.ask("b", 77).backend).isEqualTo(first);
    }

    @Test
    void pinsOfAnotherTableAndWhatIsOlderThanAPinLivesAreNotTaken() {
        s.roster("1 2 3 4");
        long first = s.ask("a", 77).backend;
        s.after("a", Outcome.FULL, false);
        s.stands("a");
        Kept kept = s.balancer().changes(100, s.now);
        later.at(1000).roster("1 2 3 4");
        later.balancer()
                .remember(
                        new Kept(kept.table() + 1, kept.whole(), kept.backends(), kept.pins(), false),
                        false,
                        later.now);
        assertThat(later.ask("b", 77).backend).isEqualTo(first);
        Scene old = new Scene();
        old.at(61_000).roster("1 2 3 4");
        old.balancer().remember(Aging.weighed(kept, s.now, old.now), false, old.now);
        assertThat(old.ask("b", 77).backend).isEqualTo(first);
    }

    /** Danger: what comes from a clock that went back would never fade. */
    @Test
    void nothingIsTakenFromTheFuture() {
        Kept kept = new Kept(
                1, Whole.NOTHING, List.of(new Judged(1, 0, 5, 0, 9, 0, 0, 0, 0)), List.of(new Pin(1, 1, 4)), false);
        assertThat(Aging.weighed(kept, 10, 9)).isEqualTo(Kept.NOTHING);
    }

    @Test
    void theGraceOfADrainDoesNotBeginAnewWithTheProcess() {
        s.roster("1 2 3 4");
        long home = s.ask("a", 77).backend;
        String drains = "1 2 3 4".replace(Long.toString(home), home + "=draining");
        s.at(500).roster(drains);
        restart(2000, drains, false);
        // Mid-flow goes to its key's first backend, draining or not, but only within the grace.
        assertThat(later.ask("m", 77, 0, true).backend).isNotEqualTo(home);
        Scene fresh = new Scene();
        fresh.at(2000).roster(drains);
        assertThat(fresh.ask("m", 77, 0, true).backend).as("heard only now").isEqualTo(home);
    }

    @Test
    void onceHeardADrainAfterAnOldListHoldsFromThatMoment() {
        s.roster("1 2 3 4");
        restart(60_000, "1 2 3 4", true);
        later.roster("1=draining 2=draining 3=draining 4");
        for (int i = 0; i < 50; i++) {
            Answer answer = later.at(60_600 + i).ask("k" + i, 70 + i);
            assertThat(answer.kind != Kind.SEND || answer.backend == 4).isTrue();
        }
    }

    /**
     * Many relays with equally old lists: together no more than the rule lets reach a backend that has just started.
     */
    @Test
    void relaysThatBeginWithAnOldListDoNotFloodWhatMayHaveJustStarted() {
        s.ticket.put("relays", "20");
        s.roster("1 2 3 4");
        int sent = 0;
        for (int relay = 0; relay < 20; relay++) {
            Scene r = new Scene();
            r.ticket.put("relays", "20");
            r.at(3_600_000).roster("1 2 3 4");
            // It carried 2 a second, so each of the four backends half a one, and 20 relays 10 a second.
            r.balancer()
                    .remember(
                            new Kept(0, new Whole(22, 10 * SECOND, 0, 0, 0, 0), List.of(), List.of(), false),
                            true,
                            r.now);
            for (int ms = 0; ms < 3000; ms += 10) {
                r.at(3_600_000 + ms);
                String name = "c" + ms;
                if (r.ask(name, 1000 + ms).kind == Kind.SEND) {
                    sent++;
                    r.after(name, Outcome.DONE, true);
                }
            }
        }
        // Cold from 0.2, three times that, over a fall of 3 s, warming to 0.44 meanwhile; DONE at once raises what
        // counts as carried.
        assertThat(sent).isGreaterThan(4 * 5).isLessThan(20 * 2 * 3 * 3);
    }

    @Test
    void aRelayThatLearnedNothingYetDoesNotSitIdleOnAnOldList() {
        later.at(0).roster("1 2 3 4 5 6 7 8");
        later.balancer().remember(Kept.NOTHING, true, later.now);
        int sent = 0;
        for (int ms = 0; ms < 3100; ms += 100) {
            sent += later.at(ms).ask("c" + ms, 1000 + ms).kind == Kind.SEND ? 1 : 0;
        }
        assertThat(sent).isBetween(8, 31);
    }

    @Test
    void backendsThatAreGoneTeachAndDoNotUseUpAnAssociationsDispatches() {
        later.at(0).roster("1 2 3 4 5 6 7 8");
        later.balancer()
                .remember(
                        new Kept(0, new Whole(5000, 10 * SECOND, 0, 0, 0, 0), List.of(), List.of(), false),
                        true,
                        later.now);
        later.at(100);
        int tried = 1;
        Answer answer = later.ask("a", 77);
        while (answer.kind == Kind.SEND && tried < 8) {
            answer = later.after("a", Outcome.NOT_CONNECTED, false);
            tried += answer.kind == Kind.SEND ? 1 : 0;
        }
        assertThat(tried).as("the limit is four").isGreaterThan(4);
        Scene sure = new Scene();
        sure.roster("1 2 3 4 5 6 7 8");
        Answer then = sure.ask("a", 77);
        for (tried = 1; then.kind == Kind.SEND; tried++) {
            then = sure.after("a", Outcome.NOT_CONNECTED, false);
        }
        assertThat(tried - 1).as("with a list that is sure").isEqualTo(4);
    }

    @Test
    void hearingTheRosterEndsTheColdAndMovesNoKeyThatNeedNotMove() {
        s.roster("1 2 3 4 5 6");
        for (int i = 0; i < 200; i++) {
            s.open("c" + i, 500 + i);
            s.after("c" + i, Outcome.DONE, true);
        }
        restart(4000, "1 2 3 4 5 6", true);
        later.at(6000).roster("1 2 3 4 5 6=draining");
        int moved = 0;
        for (int i = 0; i < 200; i++) {
            Answer answer = later.ask("d" + i, 500 + i);
            later.after("d" + i, Outcome.DONE, true);
            long before = s.held.get("c" + i).sentTo[0];
            moved += before != 6 && answer.backend != before ? 1 : 0;
            assertThat(answer.backend).isNotEqualTo(6);
        }
        assertThat(moved).isZero();
    }

    @Test
    void onlyWhatChangedIsGivenInPartsOfAnySizeAndEachOnce() {
        s.roster("1 2 3 4");
        s.balancer().changes(100, s.now);
        for (int i = 0; i < 30; i++) {
            s.open("c" + i, 500 + i);
            s.open("d" + i, 500 + i);
        }
        int pins = 0;
        Kept part;
        do {
            part = s.balancer().changes(7, s.now);
            assertThat(part.backends().size() + part.pins().size()).isLessThanOrEqualTo(7);
            pins += part.pins().size();
        } while (part.more());
        assertThat(pins).isEqualTo(30);
        assertThat(s.balancer().changes(7, s.now).pins()).isEmpty();
        s.after("c3", Outcome.DONE, true);
        s.at(80_000).after("d3", Outcome.DONE, true);
        assertThat(s.balancer().changes(100, s.now).pins())
                .containsExactly(new Pin(503, s.held.get("d3").sentTo[0], s.now));
        s.at(200_000).chores();
        assertThat(s.balancer().changes(100, s.now).pins()).containsExactly(new Pin(503, 0, Pin.GONE));
    }

    /**
     * Danger: a picture taken at once would hold up the loop. A part takes what a part takes, whatever there is in all.
     */
    @Test
    void aLargeStateIsTakenInPartsThatAreNoLargerForIt() {
        StringBuilder list = new StringBuilder("1");
        for (int b = 2; b <= 2000; b++) {
            list.append(' ').append(b);
        }
        s.roster(list.toString());
        Kept all = new Kept(
                s.balancer().changes(1, s.now).table(),
                Whole.NOTHING,
                List.of(),
                java.util.stream.LongStream.rangeClosed(1, 60_000)
                        .mapToObj(k -> new Pin(k, 1 + k % 2000, s.now))
                        .toList(),
                false);
        Scene fresh = new Scene();
        fresh.roster(list.toString());
        fresh.balancer().remember(all, false, fresh.now);
        int parts = 0;
        for (boolean more = true; more; parts++) {
            Kept part = fresh.balancer().changes(4096, fresh.now);
            assertThat(part.backends().size() + part.pins().size()).isLessThanOrEqualTo(4096);
            more = part.more();
        }
        assertThat(parts).isEqualTo((62_000 + 4095) / 4096);
    }
}
