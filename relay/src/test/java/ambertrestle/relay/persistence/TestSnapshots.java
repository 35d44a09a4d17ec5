package ambertrestle.relay.persistence;

import ambertrestle.decide.LearnedState;
import ambertrestle.decide.LearnedState.BackendStatistics;
import ambertrestle.decide.LearnedState.Pin;
import ambertrestle.decide.LearnedState.RelayStatistics;
import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.List;

/** Small state snapshots for tests. */
final class TestSnapshots {
    /** Nanoseconds in a second. */
    static final long SECOND = 1_000_000_000L;
    /** The tests' current Unix time in nanoseconds. */
    static final long NOW = 1_700_000_000L * SECOND;

    private TestSnapshots() {}

    /**
     * Returns a roster message with one entry for each argument.
     *
     * @param namesWithStage the backend's name, optionally followed by `=` and its stage; the stage is READY by default
     */
    static RosterMessage roster(long version, boolean isComplete, String... namesWithStage) {
        List<RosterMessage.Entry> entries = new ArrayList<>();
        for (String nameWithStage : namesWithStage) {
            String[] parts = nameWithStage.split("=");
            entries.add(new RosterMessage.Entry(
                    parts[0],
                    parts[0] + ":80",
                    parts.length < 2 ? Stage.READY : Stage.valueOf(parts[1]),
                    "west",
                    "m2",
                    0,
                    1,
                    0));
        }
        return new RosterMessage(version, isComplete, entries);
    }

    /** Returns statistics of a backend that has failed often, with a reported delay of 40 ms. */
    static BackendStatistics backendStatistics(String backend, long updatedAt) {
        return new BackendStatistics(RosterMessage.backendId(backend), 0, updatedAt, 1, 8, 4, 40_000_000, updatedAt, 0);
    }

    /**
     * Returns a snapshot of relay `r` that was taken, and whose roster was confirmed, at the given time.
     *
     * @param marker distinguishes snapshots; stored as the number of completed connections
     */
    static StateSnapshot takenAt(long takenAt, int marker) {
        return new StateSnapshot(
                "r",
                "d:1",
                takenAt,
                takenAt,
                roster(40 + marker, true, "a", "b", "c=DRAINING"),
                new LearnedState(
                        9,
                        new RelayStatistics(marker, 10 * SECOND, 5, 2.5, 7, 0),
                        List.of(backendStatistics("a", takenAt), backendStatistics("b", takenAt)),
                        List.of(
                                new Pin(-7, RosterMessage.backendId("a"), Pin.IN_USE),
                                new Pin(8, RosterMessage.backendId("b"), takenAt - SECOND)),
                        false));
    }
}
