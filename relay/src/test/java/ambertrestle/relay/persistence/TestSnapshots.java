package ambertrestle.relay.persistence;

import ambertrestle.decide.LearnedState;
import ambertrestle.decide.LearnedState.BackendStatistics;
import ambertrestle.decide.LearnedState.Pin;
import ambertrestle.decide.LearnedState.RelayStatistics;
import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.List;

/** Small pictures for tests. */
final class TestSnapshots {
    static final long SECOND = 1_000_000_000L, NOW = 1_700_000_000L * SECOND;

    private TestSnapshots() {}

    static RosterMessage roster(long index, boolean whole, String... names) {
        List<RosterMessage.Entry> lines = new ArrayList<>();
        for (String name : names) {
            String[] parts = name.split("=");
            lines.add(new RosterMessage.Entry(
                    parts[0],
                    parts[0] + ":80",
                    parts.length < 2 ? Stage.READY : Stage.valueOf(parts[1]),
                    "west",
                    "m2",
                    0,
                    1,
                    0));
        }
        return new RosterMessage(index, whole, lines);
    }

    static BackendStatistics backendState(String backend, long at) {
        return new BackendStatistics(RosterMessage.backendId(backend), 0, at, 1, 8, 4, 40_000_000, at, 0);
    }

    /** Of relay r, kept and heard at that time; `mark` tells one from another. */
    static StateSnapshot takenAt(long keptAt, int mark) {
        return new StateSnapshot(
                "r",
                "d:1",
                keptAt,
                keptAt,
                roster(40 + mark, true, "a", "b", "c=DRAINING"),
                new LearnedState(
                        9,
                        new RelayStatistics(mark, 10 * SECOND, 5, 2.5, 7, 0),
                        List.of(backendState("a", keptAt), backendState("b", keptAt)),
                        List.of(
                                new Pin(-7, RosterMessage.backendId("a"), Pin.IN_USE),
                                new Pin(8, RosterMessage.backendId("b"), keptAt - SECOND)),
                        false));
    }
}
