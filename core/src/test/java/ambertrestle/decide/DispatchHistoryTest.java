package ambertrestle.decide;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DispatchHistoryTest {
    private static final long BACKEND = 7;
    private static final UseCase BINDING =
            new UseCase(1, 1, UseCase.Effect.BINDING, UseCase.DeduplicationScope.NONE, 0);
    private static final UseCase RETRIABLE =
            new UseCase(1, 1, UseCase.Effect.RETRIABLE, UseCase.DeduplicationScope.NONE, 0);
    private final DispatchHistory history = new DispatchHistory();

    private static Association association(long id) {
        return new Association(id, 0, 0, 1, 0, 0, 0, false, false);
    }

    private void recordEnded(UseCase useCase, long id, Association.DispatchState state, long now) {
        Association association = association(id);
        association.recordDispatch(BACKEND, now);
        association.dispatchStates[0] = state;
        history.record(association, useCase, now);
    }

    private boolean isRemembered(long id, long now) {
        Association association = association(id);
        history.restoreInto(association, now);
        return association.dispatchCount == 1
                && association.sentTo[0] == BACKEND
                && association.dispatchStates[0] == Association.DispatchState.MAY_HAVE_RUN
                && association.uncountedDispatches == 1;
    }

    @Test
    void remembersWhatMayHaveRunForItsTime() {
        recordEnded(BINDING, 1, Association.DispatchState.IN_FLIGHT, 0);
        recordEnded(BINDING, 2, Association.DispatchState.MAY_HAVE_RUN, 0);
        recordEnded(BINDING, 3, Association.DispatchState.NEVER_RAN, 0);
        recordEnded(RETRIABLE, 4, Association.DispatchState.MAY_HAVE_RUN, 0);
        assertThat(isRemembered(4, 0)).isFalse();
        assertThat(isRemembered(1, DispatchHistory.RETENTION - 1)).isTrue();
        assertThat(isRemembered(2, DispatchHistory.RETENTION - 1)).isTrue();
        assertThat(isRemembered(3, 0)).isFalse();
        assertThat(isRemembered(1, DispatchHistory.RETENTION)).isFalse();
    }

    /** Clients with ever new ids must not fill the heap. */
    @Test
    void forgetsTheOldestBeyondItsLimit() {
        for (long id = 0; id <= DispatchHistory.MAX_ENTRIES; id++) {
            recordEnded(BINDING, id, Association.DispatchState.MAY_HAVE_RUN, id);
        }
        assertThat(history.size()).isEqualTo(DispatchHistory.MAX_ENTRIES);
        assertThat(isRemembered(0, DispatchHistory.MAX_ENTRIES)).isFalse();
        assertThat(isRemembered(1, DispatchHistory.MAX_ENTRIES)).isTrue();
    }
}
