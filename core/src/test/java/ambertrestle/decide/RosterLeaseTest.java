package ambertrestle.decide;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** For how long a roster may be used that the roster service doesn't confirm. Times are in milliseconds. */
class RosterLeaseTest {
    private static final long MILLISECOND = 1_000_000L;
    private static final long GRACE = 125;
    private static final long MAX_REFUSAL_TIME = 1_500;

    private final RosterLease lease = new RosterLease(GRACE * MILLISECOND, MAX_REFUSAL_TIME * MILLISECOND);

    private void interrupt(RosterInterruption cause, long elapsed, long at) {
        lease.onInterrupted(cause, elapsed * MILLISECOND, at * MILLISECOND);
    }

    private boolean isValid(long at) {
        return lease.isValid(at * MILLISECOND);
    }

    private void assertExpiresAt(long millis) {
        assertThat(isValid(millis - 1)).as("valid just before %d ms", millis).isTrue();
        assertThat(isValid(millis)).as("valid at %d ms", millis).isFalse();
    }

    /** The simulator delivers each change when it counts as known; there the roster must always be usable. */
    @Test
    void hostThatAsksForNoConfirmationIsNeverHeldUp() {
        for (RosterInterruption cause : RosterInterruption.values()) {
            interrupt(cause, 0, 0);
        }
        assertThat(isValid(1_000)).isTrue();
        assertThat(lease.changesKnownSince(7)).isEqualTo(7);
    }

    @Test
    void rosterIsUnusableFromTheStartUntilItIsConfirmed() {
        lease.start(0);
        assertThat(isValid(0)).isFalse();
        assertThat(lease.changesKnownSince(300 * MILLISECOND)).isEqualTo(-GRACE * MILLISECOND);
        lease.onConfirmed();
        assertThat(isValid(1_000_000)).isTrue();
    }

    /** While the service is down it tells nothing, so that each refusal shows that nothing was missed up to it. */
    @Test
    void refusedCallRenewsTheLease() {
        lease.start(0);
        for (long at = 10; at < 20_000; at += 400) {
            interrupt(RosterInterruption.CALL_FAILED, 10, at);
            assertExpiresAt(at + GRACE);
        }
    }

    /** Guards against a relay that serves nobody while the service hangs or is overloaded. */
    @Test
    void callThatFailsTooLateEndsTheWaitUntilTheServiceIsHeardAgain() {
        lease.start(0);
        interrupt(RosterInterruption.CALL_FAILED, MAX_REFUSAL_TIME + 1, 1_600);
        assertThat(isValid(1_600)).isTrue();
        assertThat(isValid(60_000)).isTrue();
        lease.onConfirmed();
        interrupt(RosterInterruption.WATCH_ENDED, 0, 70_000);
        assertExpiresAt(70_000 + GRACE);
    }

    /** Guards against a service that accepts calls and never completes an answer. */
    @Test
    void waitHasALimitEvenIfNoCallFails() {
        lease.start(0);
        assertThat(isValid(4_999)).isFalse();
        assertThat(lease.validAgainAt(0)).isEqualTo(5_000 * MILLISECOND);
        assertThat(isValid(5_000)).isTrue();
    }

    @Test
    void silenceCountsFromTheLastMessageAndAMovedServiceFromTheReload() {
        lease.start(0);
        lease.onConfirmed();
        interrupt(RosterInterruption.WATCH_SILENT, 3_200, 13_200);
        assertExpiresAt(16_000 + GRACE);
        lease.onConfirmed();
        interrupt(RosterInterruption.SERVICE_CHANGED, 0, 20_000);
        assertExpiresAt(24_000 + GRACE);
        interrupt(RosterInterruption.SERVICE_CHANGED, 0, 22_000);
        assertExpiresAt(24_000 + GRACE);
    }
}
