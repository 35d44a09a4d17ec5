package ambertrestle.decide;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.Decision.Kind;
import org.junit.jupiter.api.Test;

/** The rules that hold for every dispatch: one final answer, no effect twice, drain grace period, slow start budget. */
class DispatchRulesTest {
    private final BalancerFixture fixture = new BalancerFixture();

    /** A second dispatch after one that may have run would break the at-most-once guarantee. */
    @Test
    void bindingAssociationIsRedispatchedOnlyIfItNeverRan() throws Exception {
        fixture.updateRoster("1 2 3 4");
        fixture.selectBackend("full", 5, 2, false);
        fixture.finishDispatch("full", DispatchOutcome.FULL, false);
        fixture.selectBackend("lost", 6, 2, false);
        fixture.finishDispatch("lost", DispatchOutcome.TIMED_OUT, false);
        fixture.finishDispatch("full", DispatchOutcome.ERROR, false);
        fixture.assertTraceMatches("binding");
    }

    /** Outside the deduplication scope and window, a repeat is not recognized and would take effect twice. */
    @Test
    void fingerprintedAssociationIsRedispatchedOnlyWithinItsZoneAndWindow() throws Exception {
        fixture.updateRoster("1 2 3 4 5 6");
        fixture.selectBackend("inWindow", 5, 1, false);
        fixture.atMillis(200).finishDispatch("inWindow", DispatchOutcome.TIMED_OUT, false);
        assertThat(fixture.associations.get("inWindow").sentTo[1] % 2)
                .isEqualTo(fixture.associations.get("inWindow").sentTo[0] % 2);
        fixture.atMillis(800).finishDispatch("inWindow", DispatchOutcome.TIMED_OUT, false);
        fixture.assertTraceMatches("fingerprinted");
    }

    /** Late outcomes and repeated calls after the final decision must not give a client a second answer. */
    @Test
    void finalDecisionIsMadeOnlyOnce() throws Exception {
        fixture.updateRoster("1 2 3 4 5 6 7 8 9 10 11 12");
        for (int i = 0; i < 8; i++) {
            fixture.openConnection("well" + i, 100 + i);
        }
        fixture.selectBackend("tried", 5);
        for (int i = 0; i < 4; i++) {
            fixture.finishDispatch("tried", DispatchOutcome.ERROR, false);
        }
        assertThat(fixture.selectBackend("tried").kind).isEqualTo(Kind.NOTHING);
        assertThat(fixture.finishDispatch("tried", DispatchOutcome.ERROR, false).kind)
                .isEqualTo(Kind.NOTHING);
        fixture.assertTraceMatches("final");
    }

    /**
     * In a wave of connection resets, each client is dispatched many times. When those dispatches counted towards the
     * slow start budget, they inflated it and the new backend got too many of them.
     */
    @Test
    void slowStartBudgetLimitsDispatchesToANewBackend() throws Exception {
        fixture.updateRoster("1 2");
        for (int i = 0; i < 40; i++) {
            fixture.atMillis(i * 250).openConnection("warm" + i, 1000 + i);
            fixture.balancer()
                    .onDispatchFinished(
                            fixture.associations.get("warm" + i), 0, DispatchOutcome.DONE, true, fixture.now);
        }
        fixture.trace.setLength(0);
        fixture.atMillis(10_000).updateRoster("1 2 3@10000");
        int[] dispatchesByBackend = new int[4];
        for (int i = 0; i < 3000; i++) {
            String name = "storm" + i;
            int backend = (int) fixture.atMillis(10_000 + i).selectBackend(name, 5000 + i).backend;
            dispatchesByBackend[backend]++;
            fixture.balancer()
                    .onDispatchFinished(fixture.associations.get(name), 0, DispatchOutcome.RESET, true, fixture.now);
        }
        fixture.trace.setLength(0);
        fixture.appendToTrace("in 3 s of storm: cold " + dispatchesByBackend[3] + ", warm "
                + (dispatchesByBackend[1] + dispatchesByBackend[2]));
        fixture.assertTraceMatches("cold");
    }

    /**
     * A roster that listed running backends as gone left no backend at all. With onlyDrainingBinds, such a backend
     * stays in use until set-ups fail there twice in a row.
     */
    @Test
    void unconfirmedRemovalsDoNotEmptyTheFleet() throws Exception {
        fixture.settings.put("rules.onlyDrainingBinds", "true");
        fixture.updateRoster("1 2 3");
        fixture.atMillis(1000).updateRoster("1=gone 2=gone 3=gone");
        assertThat(fixture.atMillis(9000).selectBackend("unconfirmed", 5).kind).isEqualTo(Kind.SEND);
        long firstBackend = fixture.associations.get("unconfirmed").sentTo[0];
        fixture.finishDispatch("unconfirmed", DispatchOutcome.NOT_CONNECTED, false);
        fixture.selectBackend("again", 5);
        fixture.balancer()
                .onDispatchFinished(fixture.associations.get("again"), 0, DispatchOutcome.FULL, true, fixture.now);
        for (int i = 0; i < 40; i++) {
            // The second failed set-up confirms that the backend is gone. The failure evidence of the first has decayed
            // by now, so the backend is selected once more.
            fixture.atMillis(30_000 + i).selectBackend("later" + i, 5);
            fixture.finishDispatch(
                    "later" + i,
                    fixture.associations.get("later" + i).sentTo[0] == firstBackend
                            ? DispatchOutcome.NOT_CONNECTED
                            : DispatchOutcome.DONE,
                    true);
        }
        assertThat(fixture.associations.entrySet().stream()
                        .filter(e -> e.getKey().startsWith("later") && e.getValue().sentTo[0] == firstBackend)
                        .count())
                .isEqualTo(1);
        assertThat(fixture.atMillis(31_000).updateRoster("1 2 3").selectBackend("listed again", 5).kind)
                .isEqualTo(Kind.SEND);
    }

    /**
     * A slow shared store makes set-ups time out on all backends. If the roster lists them all as gone at the same
     * time, the timeouts must not confirm it, or no backend would be left.
     */
    @Test
    void widespreadTimeoutsDoNotConfirmRemovals() {
        fixture.settings.put("rules.onlyDrainingBinds", "true");
        fixture.updateRoster("1 2 3 4 5 6");
        fixture.updateRoster("1=gone 2=gone 3=gone 4=gone 5=gone 6=gone");
        for (int i = 0; i < 200; i++) {
            if (fixture.atMillis(i * 500).selectBackend("slow" + i, 100 + i).kind == Kind.SEND) {
                fixture.finishDispatch("slow" + i, DispatchOutcome.TIMED_OUT, true);
            }
        }
        assertThat(fixture.atMillis(160_000).selectBackend("later", 5).kind).isEqualTo(Kind.SEND);
    }

    /** A draining backend that is then missing from the roster must not get connections after its grace period. */
    @Test
    void drainGracePeriodEndsEvenIfTheBackendIsRemovedWithoutConfirmation() {
        fixture.settings.put("rules.onlyDrainingBinds", "true");
        fixture.settings.put("rules.drainGrace", "50000000");
        fixture.updateRoster("1");
        fixture.atMillis(1000).updateRoster("1=draining");
        fixture.atMillis(1010).updateRoster("1=gone");
        assertThat(fixture.atMillis(1060).selectBackend("late", 5).kind).isNotEqualTo(Kind.SEND);
    }

    /** A misspelt boolean must not count as false without notice. */
    @Test
    void invalidBooleanSettingIsReportedByName() {
        fixture.settings.put("rules.onlyDrainingBinds", "perhaps");
        org.assertj.core.api.Assertions.assertThatThrownBy(fixture::balancer)
                .hasMessage("settings: rules.onlyDrainingBinds is not known: perhaps");
    }
}
