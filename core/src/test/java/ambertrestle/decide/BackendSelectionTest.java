package ambertrestle.decide;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The ordinary path: tracking table, preference order of the lookup table, and waiting. */
class BackendSelectionTest {
    private final BalancerFixture fixture = new BalancerFixture();

    /**
     * Traces the ordinary selection: tracking table misses and hits, a pinned backend that is skipped because it
     * drains, a mid-flow association of an unknown group, and a group that outgrows its backend.
     */
    @Test
    void trackingTableMissHitAndSkippedBackend() throws Exception {
        fixture.updateRoster("1 2 3 4 5 6");
        fixture.openConnection("first", 77);
        fixture.openConnection("sameGroup", 77);
        fixture.openConnection("otherGroup", 78);
        long pinnedBackend = fixture.associations.get("first").sentTo[0];
        fixture.atMillis(100).updateRoster("1 2 3 4 5 6".replace("" + pinnedBackend, pinnedBackend + "=draining"));
        fixture.selectBackend("whileDraining", 77);
        fixture.selectBackend("midFlowUnknown", 90, 0, true);
        fixture.atMillis(200).updateRoster("1 2 3 4 5 6");
        for (int i = 0; i < 6; i++) {
            fixture.openConnection("crowd" + i, 79);
        }
        fixture.assertTraceMatches("path");
    }

    /** Packets of an open connection that reach another backend reset the connection. */
    @Test
    void midFlowAssociationStaysOnItsDrainingBackendWithinTheGracePeriod() throws Exception {
        fixture.updateRoster("1 2 3 4 5 6");
        long firstBackend = fixture.selectBackend("new", 90).backend;
        fixture.updateRoster("1 2 3 4 5 6".replace("" + firstBackend, firstBackend + "=draining"));
        assertThat(fixture.selectBackend("midFlow", 90, 0, true).backend).isEqualTo(firstBackend);
        assertThat(fixture.atMillis(1100).selectBackend("midFlowPastGrace", 90, 0, true).backend)
                .isNotEqualTo(firstBackend);
        fixture.assertTraceMatches("midflow");
    }

    /** Relays that list the backends in different orders would otherwise place the same key differently. */
    @Test
    void selectionDoesNotDependOnRosterOrder() throws Exception {
        BalancerFixture otherFixture = new BalancerFixture();
        fixture.updateRoster("1 2 3*2 4 5 6");
        otherFixture.updateRoster("6 3*2 1 5 2 4");
        int keysOnBackend3 = 0;
        for (int key = 1; key <= 700; key++) {
            long selectedBackend = fixture.selectBackend("k" + key, key).backend;
            fixture.finishDispatch("k" + key, DispatchOutcome.DONE, true);
            assertThat(otherFixture.selectBackend("k" + key, key).backend).isEqualTo(selectedBackend);
            otherFixture.finishDispatch("k" + key, DispatchOutcome.DONE, true);
            keysOnBackend3 += selectedBackend == 3 ? 1 : 0;
        }
        assertThat(keysOnBackend3)
                .as("keys of 700 on backend 3, which has 2 of 7 weight units")
                .isBetween(160, 240);
    }

    /** Without an eligible backend, an association waits with growing backoff and is shed in time. */
    @Test
    void selectionWithoutKeysOrWithoutBackends() throws Exception {
        fixture.selectBackend("nobody", 5);
        for (int millis = 50; millis <= 150; millis += 50) {
            fixture.atMillis(millis).selectBackend("nobody");
        }
        fixture.updateRoster("1=draining 2=draining");
        fixture.selectBackend("allDrain", 5);
        fixture.updateRoster("1 2");
        fixture.selectBackend("noKey", 0);
        fixture.assertTraceMatches("nobody");
    }
}
