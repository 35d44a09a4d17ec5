package ambertrestle.relay.connection;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReconnectionTrackerTest {
    private static final long SECOND = 1_000_000_000L;
    private final ReconnectionTracker tracker = new ReconnectionTracker();

    /**
     * Guards against a heap filled by clients that come again: each left an entry until the shutdown, or for six
     * seconds together with a search through all others.
     */
    @Test
    void memoryIsBoundedWhileClientsWithEverNewKeysComeAndGo() {
        for (long client = 0; client < 100_000; client++) {
            tracker.onConnectionEnded(client, SECOND + client);
        }
        assertThat(tracker.trackedEnds()).isEqualTo(ReconnectionTracker.MAX_TRACKED_ENDS);
        tracker.onConnectionEnded(1, 60 * SECOND);
        assertThat(tracker.trackedEnds()).isEqualTo(1);
    }

    /** Clients that return after six seconds have passed say nothing about a relay that is down now. */
    @Test
    void arrivalsCountForSixSeconds() {
        for (long client = 0; client < 10; client++) {
            tracker.onClientReturned(client, (10 + client / 5) * SECOND);
        }
        assertThat(tracker.hasManyFromOtherRelays(29, 15 * SECOND)).isTrue();
        assertThat(tracker.hasManyFromOtherRelays(30, 15 * SECOND)).isFalse();
        assertThat(tracker.hasManyFromOtherRelays(14, 16 * SECOND + SECOND / 2)).isTrue();
        assertThat(tracker.hasManyFromOtherRelays(15, 16 * SECOND + SECOND / 2)).isFalse();
        assertThat(tracker.hasManyFromOtherRelays(0, 18 * SECOND)).isFalse();
    }

    /** A client whose connection ended here comes from no other relay. */
    @Test
    void clientThatLeftThisRelayIsNotCounted() {
        tracker.onConnectionEnded(7, SECOND);
        tracker.onClientReturned(7, 2 * SECOND);
        assertThat(tracker.hasManyFromOtherRelays(0, 2 * SECOND)).isFalse();
    }
}
