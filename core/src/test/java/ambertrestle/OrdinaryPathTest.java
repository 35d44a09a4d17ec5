package ambertrestle;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.Outcome;
import org.junit.jupiter.api.Test;

class OrdinaryPathTest {
    private final Scene s = new Scene();

    @Test
    void missThenHitThenPassOver() throws Exception {
        s.roster("1 2 3 4 5 6");
        s.open("first", 77);
        s.open("sameGroup", 77);
        s.open("otherGroup", 78);
        long home = s.held.get("first").sentTo[0];
        s.at(100).roster("1 2 3 4 5 6".replace("" + home, home + "=draining"));
        s.ask("whileDraining", 77);
        s.ask("midFlowUnknown", 90, 0, true);
        s.at(200).roster("1 2 3 4 5 6");
        for (int i = 0; i < 6; i++) {
            s.open("crowd" + i, 79);
        }
        s.matches("path");
    }

    @Test
    void midFlowGoesToTheFirstServerWhileItDrains() throws Exception {
        s.roster("1 2 3 4 5 6");
        long first = s.ask("new", 90).backend;
        s.roster("1 2 3 4 5 6".replace("" + first, first + "=draining"));
        assertThat(s.ask("midFlow", 90, 0, true).backend).isEqualTo(first);
        assertThat(s.at(1100).ask("midFlowPastGrace", 90, 0, true).backend).isNotEqualTo(first);
        s.matches("midflow");
    }

    @Test
    void twoBalancersChooseAlikeWhateverTheOrderOfTheList() throws Exception {
        Scene other = new Scene();
        s.roster("1 2 3*2 4 5 6");
        other.roster("6 3*2 1 5 2 4");
        int onThree = 0;
        for (int key = 1; key <= 700; key++) {
            long chosen = s.ask("k" + key, key).backend;
            s.after("k" + key, Outcome.DONE, true);
            assertThat(other.ask("k" + key, key).backend).isEqualTo(chosen);
            other.after("k" + key, Outcome.DONE, true);
            onThree += chosen == 3 ? 1 : 0;
        }
        assertThat(onThree).as("of 700 keys, two turns in seven").isBetween(160, 240);
    }

    @Test
    void withoutKeysAndWithoutBackends() throws Exception {
        s.ask("nobody", 5);
        for (int ms = 50; ms <= 150; ms += 50) {
            s.at(ms).ask("nobody");
        }
        s.roster("1=draining 2=draining");
        s.ask("allDrain", 5);
        s.roster("1 2");
        s.ask("noKey", 0);
        s.matches("nobody");
    }
}
