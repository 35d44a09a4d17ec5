package ambertrestle.decide;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** When the roster service is called after failures; times are in milliseconds. */
class RosterCallScheduleTest {
    private static final long MILLISECOND = 1_000_000L;
    private static final long CALL_DEADLINE = 16_000 * MILLISECOND;
    /** A change counts as known this long after the service had it and could be reached. */
    private static final long KNOWN_AFTER = 6_000;
    /** Time that the call itself may take. */
    private static final long CALL_TIME = 1_000;

    private static final int[] RELAY_COUNTS = {1, 6, 30, 120};
    private static final int MAX_FAILURES = 8;
    private static final int SEEDS = 400;

    /** Returns the sorted delays of the next call after so many failures, one for each seed. */
    private static long[] delays(int relayCount, int failures) {
        long[] delays = new long[SEEDS];
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RosterCallSchedule schedule = new RosterCallSchedule(relayCount, false, CALL_DEADLINE);
            for (int failure = 0; failure < failures; failure++) {
                schedule.onCallFailed(random, 0);
            }
            delays[seed] = schedule.nextCallAt() / MILLISECOND;
        }
        Arrays.sort(delays);
        return delays;
    }

    /** Guards against new work at a backend that began to drain just after an outage of the roster service. */
    @Test
    void listIsHeardInTimeAfterAnyNumberOfFailures() {
        for (int relayCount : RELAY_COUNTS) {
            for (int failures = 1; failures <= MAX_FAILURES; failures++) {
                assertThat(delays(relayCount, failures)[SEEDS - 1])
                        .as("latest call of one of %d relays after %d failures", relayCount, failures)
                        .isLessThanOrEqualTo(KNOWN_AFTER - CALL_TIME);
            }
        }
    }

    /** Guards against relays that call in step: no tenth of a second may get more than a tenth of all calls. */
    @Test
    void callsOfManyRelaysStaySpread() {
        for (int failures = 1; failures <= MAX_FAILURES; failures++) {
            int[] callsByTenth = new int[(int) KNOWN_AFTER / 100];
            for (long delay : delays(120, failures)) {
                callsByTenth[(int) delay / 100]++;
            }
            assertThat(Arrays.stream(callsByTenth).max().getAsInt()).isLessThan(SEEDS / 10);
        }
    }

    /** Guards against a moved service that is called late because the one before was down. */
    @Test
    void backoffStartsAnewAtAnotherAddress() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RosterCallSchedule schedule = new RosterCallSchedule(120, false, CALL_DEADLINE);
            for (int failure = 0; failure < MAX_FAILURES; failure++) {
                schedule.onCallFailed(random, 0);
            }
            schedule.onServiceChanged();
            schedule.onCallFailed(random, 0);
            assertThat(schedule.nextCallAt() / MILLISECOND).isLessThan(2_500);
        }
    }
}
