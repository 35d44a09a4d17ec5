package ambertrestle;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.Answer.Kind;
import ambertrestle.decide.Outcome;
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
            s.after(
                    "later" + i,
                    s.held.get("later" + i).sentTo[0] == first ? Outcome.NOT_CONNECTED : Outcome.DONE,
                    true);
        }
        assertThat(s.held.entrySet().stream()
                        .filter(e -> e.getKey().startsWith("later") && e.getValue().sentTo[0] == first)
                        .count())
                .isEqualTo(1);
        assertThat(s.at(31_000).roster("1 2 3").ask("listed again", 5).kind).isEqualTo(Kind.SEND);
    }

    /** A store that slows times set-ups out everywhere while the list calls all gone: none may be given up for it. */
    @Test
    void timeOutsAllOverDoNotProveAListThatCallsAllGone() {
        s.ticket.put("rules.onlyDrainingBinds", "true");
        s.roster("1 2 3 4 5 6");
        s.roster("1=gone 2=gone 3=gone 4=gone 5=gone 6=gone");
        for (int i = 0; i < 200; i++) {
            if (s.at(i * 500).ask("slow" + i, 100 + i).kind == Kind.SEND) {
                s.after("slow" + i, Outcome.TIMED_OUT, true);
            }
        }
        assertThat(s.at(160_000).ask("later", 5).kind).isEqualTo(Kind.SEND);
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
}
