package ambertrestle.decide;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class BackendSelectionTest {
    private final BalancerFixture s = new BalancerFixture();

    @Test
    void trackingTableMissHitAndSkippedBackend() throws Exception {
        s.updateRoster("1 2 3 4 5 6");
        s.openConnection("first", 77);
        s.openConnection("sameGroup", 77);
        s.openConnection("otherGroup", 78);
        long home = s.associations.get("first").sentTo[0];
        s.atMillis(100).updateRoster("1 2 3 4 5 6".replace("" + home, home + "=draining"));
        s.selectBackend("whileDraining", 77);
        s.selectBackend("midFlowUnknown", 90, 0, true);
        s.atMillis(200).updateRoster("1 2 3 4 5 6");
        for (int i = 0; i < 6; i++) {
            s.openConnection("crowd" + i, 79);
        }
        s.assertTraceMatches("path");
    }

    @Test
    void midFlowAssociationStaysOnItsDrainingBackendWithinTheGracePeriod() throws Exception {
        s.updateRoster("1 2 3 4 5 6");
        long first = s.selectBackend("new", 90).backend;
        s.updateRoster("1 2 3 4 5 6".replace("" + first, first + "=draining"));
        assertThat(s.selectBackend("midFlow", 90, 0, true).backend).isEqualTo(first);
        assertThat(s.atMillis(1100).selectBackend("midFlowPastGrace", 90, 0, true).backend)
                .isNotEqualTo(first);
        s.assertTraceMatches("midflow");
    }

    @Test
    void selectionDoesNotDependOnRosterOrder() throws Exception {
        BalancerFixture other = new BalancerFixture();
        s.updateRoster("1 2 3*2 4 5 6");
        other.updateRoster("6 3*2 1 5 2 4");
        int onThree = 0;
        for (int key = 1; key <= 700; key++) {
            long chosen = s.selectBackend("k" + key, key).backend;
            s.finishDispatch("k" + key, DispatchOutcome.DONE, true);
            assertThat(other.selectBackend("k" + key, key).backend).isEqualTo(chosen);
            other.finishDispatch("k" + key, DispatchOutcome.DONE, true);
            onThree += chosen == 3 ? 1 : 0;
        }
        assertThat(onThree).as("of 700 keys, two turns in seven").isBetween(160, 240);
    }

    @Test
    void selectionWithoutKeysOrWithoutBackends() throws Exception {
        s.selectBackend("nobody", 5);
        for (int ms = 50; ms <= 150; ms += 50) {
            s.atMillis(ms).selectBackend("nobody");
        }
        s.updateRoster("1=draining 2=draining");
        s.selectBackend("allDrain", 5);
        s.updateRoster("1 2");
        s.selectBackend("noKey", 0);
        s.assertTraceMatches("nobody");
    }
}
