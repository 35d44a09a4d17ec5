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
}
