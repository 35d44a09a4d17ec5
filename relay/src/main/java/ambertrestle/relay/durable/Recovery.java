package ambertrestle.relay.durable;

import ambertrestle.decide.Kept;
import ambertrestle.recover.Aging;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What a relay begins with, of what was kept and what its configuration says. Pure: values in, values out. */
public final class Recovery {
    /** Where the list comes from. */
    public enum From {
        NOTHING,
        KNOWN,
        KEPT
    }

    /**
     * `heardAt`: when the roster service last said that this list stands, 0 where that is not known. `unseen`: so long
     * ago that any backend of it may have started since. `comparable`: the roster service's versions go on from the
     * list's.
     */
    public record Beginning(
            From from,
            RosterMessage list,
            long heardAt,
            boolean unseen,
            boolean comparable,
            Kept kept,
            List<Said> said) {
        /** Nothing is kept: the configuration's list as it is. */
        public static Beginning known(RosterMessage known) {
            return new Beginning(
                    known.lines().isEmpty() ? From.NOTHING : From.KNOWN,
                    known,
                    0,
                    false,
                    true,
                    Kept.NOTHING,
                    List.of());
        }
    }

    private Recovery() {}

    /**
     * `kept`: the newest whole picture, or null. `sure`: a list heard no longer ago than this stands as it is. The list
     * with the higher version wins; of two alike, the kept one, whose age is known.
     */
    public static Beginning begin(RosterMessage known, Picture kept, String rosterAt, long sure, long now) {
        if (kept == null) {
            return Beginning.known(known);
        }
        List<Said> said = new ArrayList<>();
        boolean future = kept.keptAt() > now || kept.heardAt() > now;
        if (future) {
            said.add(new Said(
                    true,
                    "state-weighed",
                    "what was kept is from the future, a clock went back: its list counts as of unknown age, "
                            + "the rest is not taken",
                    Map.of("reason", "future")));
        }
        boolean sameService = kept.rosterAt().equals(rosterAt);
        if (!sameService && !kept.rosterAt().isEmpty()) {
            said.add(new Said(
                    false,
                    "state-weighed",
                    "the list was kept of another roster service, at " + kept.rosterAt()
                            + ": the whole list is asked for",
                    Map.of("reason", "other-roster")));
        }
        boolean keptList = !kept.roster().lines().isEmpty()
                && (known.lines().isEmpty()
                        || !sameService
                        || known.index() <= kept.roster().index());
        RosterMessage list = keptList ? kept.roster() : known;
        long heardAt = keptList && !future ? kept.heardAt() : 0;
        boolean unseen = heardAt == 0 || now - heardAt > sure;
        return new Beginning(
                list.lines().isEmpty() ? From.NOTHING : keptList ? From.KEPT : From.KNOWN,
                list,
                heardAt,
                unseen,
                !keptList || sameService,
                future ? Kept.NOTHING : Aging.weighed(kept.kept(), kept.keptAt(), now),
                said);
    }

    /** For a person: seconds with one digit, or what is not known. */
    static String ago(long heardAt, long now) {
        return heardAt == 0 ? "at an unknown time" : String.format(Locale.ROOT, "%.1f s ago", (now - heardAt) / 1e9);
    }
}
