package ambertrestle.relay.persistence;

import ambertrestle.decide.LearnedState;
import ambertrestle.relay.wire.RosterMessage;
import ambertrestle.restore.LearnedStateDecay;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What a relay begins with, of what was kept and what its configuration says. Pure: values in, values out. */
public final class Recovery {
    /** Where the list comes from. */
    public enum RosterSource {
        NOTHING,
        KNOWN,
        KEPT
    }

    /**
     * `heardAt`: when the roster service last said that this list stands, 0 where that is not known. `unseen`: so long
     * ago that any backend of it may have started since. `comparable`: the roster service's versions go on from the
     * list's.
     */
    public record InitialState(
            RosterSource rosterSource,
            RosterMessage roster,
            long rosterConfirmedAt,
            boolean isRosterStale,
            boolean hasComparableVersions,
            LearnedState learnedState,
            List<LogMessage> logMessages) {
        /** Nothing is kept: the configuration's list as it is. */
        public static InitialState fromConfiguration(RosterMessage known) {
            return new InitialState(
                    known.entries().isEmpty() ? RosterSource.NOTHING : RosterSource.KNOWN,
                    known,
                    0,
                    false,
                    true,
                    LearnedState.EMPTY,
                    List.of());
        }
    }

    private Recovery() {}

    /**
     * `kept`: the newest whole picture, or null. `sure`: a list heard no longer ago than this stands as it is. The list
     * with the higher version wins; of two alike, the kept one, whose age is known.
     */
    public static InitialState recover(RosterMessage known, StateSnapshot kept, String rosterAt, long sure, long now) {
        if (kept == null) {
            return InitialState.fromConfiguration(known);
        }
        List<LogMessage> said = new ArrayList<>();
        boolean future = kept.takenAt() > now || kept.rosterConfirmedAt() > now;
        if (future) {
            said.add(new LogMessage(
                    true,
                    "state-weighed",
                    "what was kept is from the future, a clock went back: its list counts as of unknown age, "
                            + "the rest is not taken",
                    Map.of("reason", "future")));
        }
        boolean sameService = kept.rosterAddress().equals(rosterAt);
        if (!sameService && !kept.rosterAddress().isEmpty()) {
            said.add(new LogMessage(
                    false,
                    "state-weighed",
                    "the list was kept of another roster service, at " + kept.rosterAddress()
                            + ": the whole list is asked for",
                    Map.of("reason", "other-roster")));
        }
        boolean keptList = !kept.roster().entries().isEmpty()
                && (known.entries().isEmpty()
                        || !sameService
                        || known.version() <= kept.roster().version());
        RosterMessage list = keptList ? kept.roster() : known;
        long heardAt = keptList && !future ? kept.rosterConfirmedAt() : 0;
        boolean unseen = heardAt == 0 || now - heardAt > sure;
        return new InitialState(
                list.entries().isEmpty() ? RosterSource.NOTHING : keptList ? RosterSource.KEPT : RosterSource.KNOWN,
                list,
                heardAt,
                unseen,
                !keptList || sameService,
                future ? LearnedState.EMPTY : LearnedStateDecay.decay(kept.learnedState(), kept.takenAt(), now),
                said);
    }

    /** For a person: seconds with one digit, or what is not known. */
    static String formatAge(long heardAt, long now) {
        return heardAt == 0 ? "at an unknown time" : String.format(Locale.ROOT, "%.1f s ago", (now - heardAt) / 1e9);
    }
}
