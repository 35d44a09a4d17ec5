package ambertrestle.relay.durable;

import ambertrestle.decide.Kept;
import ambertrestle.decide.Kept.Judged;
import ambertrestle.decide.Kept.Pin;
import ambertrestle.decide.Kept.Whole;
import ambertrestle.decide.Listed.Stage;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.List;

/** Small pictures for tests. */
final class Pictures {
    static final long SECOND = 1_000_000_000L, NOW = 1_700_000_000L * SECOND;

    private Pictures() {}

    static RosterMessage list(long index, boolean whole, String... names) {
        List<RosterMessage.Line> lines = new ArrayList<>();
        for (String name : names) {
            String[] parts = name.split("=");
            lines.add(new RosterMessage.Line(
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

    static Judged judged(String backend, long at) {
        return new Judged(RosterMessage.id(backend), 0, at, 1, 8, 4, 40_000_000, at, 0);
    }

    /** Of relay r, kept and heard at that time; `mark` tells one from another. */
    static Picture at(long keptAt, int mark) {
        return new Picture(
                "r",
                "d:1",
                keptAt,
                keptAt,
                list(40 + mark, true, "a", "b", "c=DRAINING"),
                new Kept(
                        9,
                        new Whole(mark, 10 * SECOND, 5, 2.5, 7, 0),
                        List.of(judged("a", keptAt), judged("b", keptAt)),
                        List.of(
                                new Pin(-7, RosterMessage.id("a"), Pin.OPEN),
                                new Pin(8, RosterMessage.id("b"), keptAt - SECOND)),
                        false));
    }
}
