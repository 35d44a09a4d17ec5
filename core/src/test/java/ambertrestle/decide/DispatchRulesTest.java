package ambertrestle.decide;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.Decision.Kind;
import org.junit.jupiter.api.Test;

class DispatchRulesTest {
    private final BalancerFixture s = new BalancerFixture();

    @Test
    void bindingAssociationIsRedispatchedOnlyIfItNeverRan() throws Exception {
        s.updateRoster("1 2 3 4");
        s.selectBackend("full", 5, 2, false);
        s.finishDispatch("full", DispatchOutcome.FULL, false);
        s.selectBackend("lost", 6, 2, false);
        s.finishDispatch("lost", DispatchOutcome.TIMED_OUT, false);
        s.finishDispatch("full", DispatchOutcome.ERROR, false);
        s.assertTraceMatches("binding");
    }

    @Test
    void fingerprintedAssociationIsRedispatchedOnlyWithinItsZoneAndWindow() throws Exception {
        s.updateRoster("1 2 3 4 5 6");
        s.selectBackend("inWindow", 5, 1, false);
        s.atMillis(200).finishDispatch("inWindow", DispatchOutcome.TIMED_OUT, false);
        assertThat(s.associations.get("inWindow").sentTo[1] % 2)
                .isEqualTo(s.associations.get("inWindow").sentTo[0] % 2);
        s.atMillis(800).finishDispatch("inWindow", DispatchOutcome.TIMED_OUT, false);
        s.assertTraceMatches("fingerprinted");
    }

    @Test
    void finalDecisionIsMadeOnlyOnce() throws Exception {
        s.updateRoster("1 2 3 4 5 6 7 8 9 10 11 12");
        for (int i = 0; i < 8; i++) {
            s.openConnection("well" + i, 100 + i);
        }
        s.selectBackend("tried", 5);
        for (int i = 0; i < 4; i++) {
            s.finishDispatch("tried", DispatchOutcome.ERROR, false);
        }
        assertThat(s.selectBackend("tried").kind).isEqualTo(Kind.NOTHING);
        assertThat(s.finishDispatch("tried", DispatchOutcome.ERROR, false).kind).isEqualTo(Kind.NOTHING);
        s.assertTraceMatches("final");
    }

    /** Found on the first incident: dispatches that came back from a storm of resets inflated the budget. */
    @Test
    void slowStartBudgetLimitsDispatchesToANewBackend() throws Exception {
        s.updateRoster("1 2");
        for (int i = 0; i < 40; i++) {
            s.atMillis(i * 250).openConnection("warm" + i, 1000 + i);
            s.balancer().onDispatchFinished(s.associations.get("warm" + i), 0, DispatchOutcome.DONE, true, s.now);
        }
        s.trace.setLength(0);
        s.atMillis(10_000).updateRoster("1 2 3@10000");
        int[] storm = new int[4];
        for (int i = 0; i < 3000; i++) {
            String name = "storm" + i;
            int on = (int) s.atMillis(10_000 + i).selectBackend(name, 5000 + i).backend;
            storm[on]++;
            s.balancer().onDispatchFinished(s.associations.get(name), 0, DispatchOutcome.RESET, true, s.now);
        }
        s.trace.setLength(0);
        s.appendToTrace("in 3 s of storm: cold " + storm[3] + ", warm " + (storm[1] + storm[2]));
        s.assertTraceMatches("cold");
    }

    /** Found on kingston-captions: a list that called running backends gone emptied the fleet. */
    @Test
    void unconfirmedRemovalsDoNotEmptyTheFleet() throws Exception {
        s.settings.put("rules.onlyDrainingBinds", "true");
        s.updateRoster("1 2 3");
        s.atMillis(1000).updateRoster("1=gone 2=gone 3=gone");
        assertThat(s.atMillis(9000).selectBackend("kept", 5).kind).isEqualTo(Kind.SEND);
        long first = s.associations.get("kept").sentTo[0];
        s.finishDispatch("kept", DispatchOutcome.NOT_CONNECTED, false);
        s.selectBackend("again", 5);
        s.balancer().onDispatchFinished(s.associations.get("again"), 0, DispatchOutcome.FULL, true, s.now);
        for (int i = 0; i < 40; i++) {
            // A second failed set-up shows that the list was right about it; its doubt has faded by then.
            s.atMillis(30_000 + i).selectBackend("later" + i, 5);
            s.finishDispatch(
                    "later" + i,
                    s.associations.get("later" + i).sentTo[0] == first
                            ? DispatchOutcome.NOT_CONNECTED
                            : DispatchOutcome.DONE,
                    true);
        }
        assertThat(s.associations.entrySet().stream()
                        .filter(e -> e.getKey().startsWith("later") && e.getValue().sentTo[0] == first)
                        .count())
                .isEqualTo(1);
        assertThat(s.atMillis(31_000).updateRoster("1 2 3").selectBackend("listed again", 5).kind)
                .isEqualTo(Kind.SEND);
    }

    /** A store that slows times set-ups out everywhere while the list calls all gone: none may be given up for it. */
    @Test
    void widespreadTimeoutsDoNotConfirmRemovals() {
        s.settings.put("rules.onlyDrainingBinds", "true");
        s.updateRoster("1 2 3 4 5 6");
        s.updateRoster("1=gone 2=gone 3=gone 4=gone 5=gone 6=gone");
        for (int i = 0; i < 200; i++) {
            if (s.atMillis(i * 500).selectBackend("slow" + i, 100 + i).kind == Kind.SEND) {
                s.finishDispatch("slow" + i, DispatchOutcome.TIMED_OUT, true);
            }
        }
        assertThat(s.atMillis(160_000).selectBackend("later", 5).kind).isEqualTo(Kind.SEND);
    }

    @Test
    void drainGracePeriodEndsEvenIfTheBackendIsRemovedWithoutConfirmation() {
        s.settings.put("rules.onlyDrainingBinds", "true");
        s.settings.put("rules.drainGrace", "50000000");
        s.updateRoster("1");
        s.atMillis(1000).updateRoster("1=draining");
        s.atMillis(1010).updateRoster("1=gone");
        assertThat(s.atMillis(1060).selectBackend("late", 5).kind).isNotEqualTo(Kind.SEND);
    }

    @Test
    void invalidBooleanSettingIsReportedByName() {
        s.settings.put("rules.onlyDrainingBinds", "perhaps");
        org.assertj.core.api.Assertions.assertThatThrownBy(s::balancer)
                .hasMessage("job ticket: rules.onlyDrainingBinds is not known: perhaps");
    }
}
