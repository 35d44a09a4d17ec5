package ambertrestle;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.Answer.Kind;
import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.Listed;
import ambertrestle.decide.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RulesTest {
    private final Scene s = new Scene();

    @Test
    void bindingIsDispatchedAgainOnlyWhenItNeverRan() throws Exception {
        s.roster("1 2 3 4");
        s.ask("full", 5, 2, false);
        s.after("full", Outcome.FULL, false);
        s.ask("lost", 6, 2, false);
        s.after("lost", Outcome.TIMED_OUT, false);
        s.after("full", Outcome.ERROR, false);
        s.matches("binding");
    }

    @Test
    void fingerprintedStaysInItsZoneAndWindow() throws Exception {
        s.roster("1 2 3 4 5 6");
        s.ask("inWindow", 5, 1, false);
        s.at(200).after("inWindow", Outcome.TIMED_OUT, false);
        assertThat(s.held.get("inWindow").sentTo[1] % 2).isEqualTo(s.held.get("inWindow").sentTo[0] % 2);
        s.at(800).after("inWindow", Outcome.TIMED_OUT, false);
        s.matches("fingerprinted");
    }

    @Test
    void oneFinalAnswerAndNothingAfterIt() throws Exception {
        s.roster("1 2 3 4 5 6 7 8 9 10 11 12");
        for (int i = 0; i < 8; i++) {
            s.open("well" + i, 100 + i);
        }
        s.ask("tried", 5);
        for (int i = 0; i < 4; i++) {
            s.after("tried", Outcome.ERROR, false);
        }
        assertThat(s.ask("tried").kind).isEqualTo(Kind.NOTHING);
        assertThat(s.after("tried", Outcome.ERROR, false).kind).isEqualTo(Kind.NOTHING);
        s.matches("final");
    }

    /** Found on the first incident: dispatches that came back from a storm of resets inflated the budget. */
    @Test
    void coldBackendGetsItsPartOnly() throws Exception {
        s.roster("1 2");
        for (int i = 0; i < 40; i++) {
            s.at(i * 250).open("warm" + i, 1000 + i);
            s.balancer().after(s.held.get("warm" + i), 0, Outcome.DONE, true, s.now);
        }
        s.trace.setLength(0);
        s.at(10_000).roster("1 2 3@10000");
        int[] storm = new int[4];
        for (int i = 0; i < 3000; i++) {
            String name = "storm" + i;
            int on = (int) s.at(10_000 + i).ask(name, 5000 + i).backend;
            storm[on]++;
            s.balancer().after(s.held.get(name), 0, Outcome.RESET, true, s.now);
        }
        s.trace.setLength(0);
        s.say("in 3 s of storm: cold " + storm[3] + ", warm " + (storm[1] + storm[2]));
        s.matches("cold");
    }

    /** Found on kingston-captions: a list that called running backends gone emptied the fleet. */
    @Test
    void whereOnlyDrainingBindsAListThatCallsRunningBackendsGoneEmptiesNoFleet() throws Exception {
        s.ticket.put("rules.onlyDrainingBinds", "true");
        s.roster("1 2 3");
        s.at(1000).roster("1=gone 2=gone 3=gone");
        assertThat(s.at(9000).ask("kept", 5).kind).isEqualTo(Kind.SEND);
        long first = s.held.get("kept").sentTo[0];
        s.after("kept", Outcome.NOT_CONNECTED, false);
        s.ask("again", 5);
        s.balancer().after(s.held.get("again"), 0, Outcome.FULL, true, s.now);
        for (int i = 0; i < 40; i++) {
            // A second failed set-up shows that the list was right about it; its doubt has faded by then.
            s.at(30_000 + i).ask("later" + i, 5);
            s.after("later" + i, s.held.get("later" + i).sentTo[0] == first ? Outcome.NOT_CONNECTED : Outcome.DONE, true);
        }
        assertThat(s.held.entrySet().stream().filter(e -> e.getKey().startsWith("later")
                && e.getValue().sentTo[0] == first).count()).isEqualTo(1);
        assertThat(s.at(31_000).roster("1 2 3").ask("listed again", 5).kind).isEqualTo(Kind.SEND);
    }

    @Test
    void whereOnlyDrainingBindsADrainStillEndsWithTheGraceThoughItIsLeftOutLater() {
        s.ticket.put("rules.onlyDrainingBinds", "true");
        s.ticket.put("rules.drainGrace", "50000000");
        s.roster("1");
        s.at(1000).roster("1=draining");
        s.at(1010).roster("1=gone");
        assertThat(s.at(1060).ask("late", 5).kind).isNotEqualTo(Kind.SEND);
    }

    @Test
    void aFlagThatIsNeitherTrueNorFalseIsNamed() {
        s.ticket.put("rules.onlyDrainingBinds", "perhaps");
        org.assertj.core.api.Assertions.assertThatThrownBy(s::balancer)
                .hasMessage("job ticket: rules.onlyDrainingBinds is not known: perhaps");
    }

    /** Found on the fleet's join day: each relay's part of a cold backend's budget never came to one dispatch. */
    @Test
    void freshBackendsGetTheSumOfManySmallPartsAndNoMore() {
        s.ticket.put("relays", "94");
        Balancer[] relays = new Balancer[94];
        int[] sent = new int[21];
        long ids = 0;
        for (int r = 0; r < relays.length; r++) {
            relays[r] = new Balancer(s.ticket, r, s.now);
            relays[r].roster(fleet(0), true, false, s.now);
            Association ended = new Association(++ids, 0, 0, ids, 0, s.now + 2000 * Scene.MS, 0, false, false);
            relays[r].where(ended, s.now);
            relays[r].established(ended, 0, 10 * Scene.MS, s.now);
            relays[r].after(ended, 0, Outcome.DONE, true, s.at(5000).now);
            relays[r].roster(fleet(s.now), true, false, s.now);
            s.at(0);
        }
        for (int ms = 5000; ms < 15_000; ms += 500) {
            for (Balancer relay : relays) {
                Association a = new Association(++ids, 0, 0, ids, 0, s.at(ms).now + 2000 * Scene.MS, 0, false, false);
                sent[(int) relay.where(a, s.now).backend]++;
                relay.after(a, 0, Outcome.FULL, true, s.now);
            }
        }
        int fresh = java.util.stream.IntStream.range(11, 21).map(i -> sent[i]).sum();
        // Of the fleet's 94 ended connections in some 6 s, a twentieth each, three times, by 0.2 to 1 of warmth, for 10 s.
        assertThat(fresh).as("to the ten fresh ones, while cold").isBetween(20, 180);
    }

    /** Twenty backends, the second half started at that time. */
    private static List<Listed> fleet(long start) {
        List<Listed> list = new ArrayList<>();
        for (int id = 1; id <= 20; id++) {
            list.add(new Listed(id, Listed.Stage.READY, id > 10 ? start : 0, 0, 1, 0, 0));
        }
        return list;
    }
}
