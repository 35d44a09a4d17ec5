package ambertrestle.relay.persistence;

import ambertrestle.decide.LearnedState;
import ambertrestle.relay.wire.RosterMessage;
import ambertrestle.restore.LearnedStateDecay;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Combines the persisted snapshot with the relay configuration into the state with which a relay starts. Pure
 * functions, no I/O. Times are Unix time in nanoseconds.
 */
public final class Recovery {
    private static final double NANOS_PER_SECOND = 1e9;

    /** The origin of the initial roster. */
    public enum RosterSource {
        /** The initial roster is empty. */
        NOTHING,
        /** The roster under `known` in the relay configuration. */
        KNOWN,
        /** The roster of the persisted snapshot. */
        KEPT
    }

    /**
     * The state with which a relay starts.
     *
     * @param rosterConfirmedAt when the roster service last confirmed the roster, 0 if unknown
     * @param isRosterStale whether the confirmation is so old, or its time unknown, that any backend in the roster may
     *     have been restarted since
     * @param hasComparableVersions whether the roster's version belongs to the roster service in use, so that an update
     *     from this version on can be requested
     * @param logMessages messages to log at start-up
     */
    public record InitialState(
            RosterSource rosterSource,
            RosterMessage roster,
            long rosterConfirmedAt,
            boolean isRosterStale,
            boolean hasComparableVersions,
            LearnedState learnedState,
            List<LogMessage> logMessages) {
        /** Returns the initial state without a snapshot: the configured roster, not stale, and no learned state. */
        public static InitialState fromConfiguration(RosterMessage configuredRoster) {
            return new InitialState(
                    configuredRoster.entries().isEmpty() ? RosterSource.NOTHING : RosterSource.KNOWN,
                    configuredRoster,
                    0,
                    false,
                    true,
                    LearnedState.EMPTY,
                    List.of());
        }
    }

    private Recovery() {}

    /**
     * Returns the state with which the relay starts. Of the configured and the persisted roster, the one with the
     * higher version is used; if the versions are equal, the persisted one, because its age is known. A non-empty
     * persisted roster is also used if the configured one is empty, or if the persisted one is from another roster
     * service, whose versions cannot be compared.
     *
     * @param snapshot the newest valid snapshot, or null if there is none
     * @param rosterAddress the address of the roster service in use
     * @param maxFreshRosterAgeNanos a roster that was confirmed longer ago than this is stale
     */
    public static InitialState recover(
            RosterMessage configuredRoster,
            StateSnapshot snapshot,
            String rosterAddress,
            long maxFreshRosterAgeNanos,
            long now) {
        if (snapshot == null) {
            return InitialState.fromConfiguration(configuredRoster);
        }
        List<LogMessage> logMessages = new ArrayList<>();
        boolean isFromFuture = snapshot.takenAt() > now || snapshot.rosterConfirmedAt() > now;
        if (isFromFuture) {
            logMessages.add(new LogMessage(
                    true,
                    "state-weighed",
                    "the persisted state is dated in the future, so the clock went back: "
                            + "its roster is used as one of unknown age, its learned state is discarded",
                    Map.of("reason", "future")));
        }
        boolean isSameRosterService = snapshot.rosterAddress().equals(rosterAddress);
        if (!isSameRosterService && !snapshot.rosterAddress().isEmpty()) {
            logMessages.add(new LogMessage(
                    false,
                    "state-weighed",
                    "the persisted roster is from another roster service, at " + snapshot.rosterAddress()
                            + ": requesting the complete roster",
                    Map.of("reason", "other-roster")));
        }
        boolean usesPersistedRoster = !snapshot.roster().entries().isEmpty()
                && (configuredRoster.entries().isEmpty()
                        || !isSameRosterService
                        || configuredRoster.version() <= snapshot.roster().version());
        RosterMessage roster = usesPersistedRoster ? snapshot.roster() : configuredRoster;
        long confirmedAt = usesPersistedRoster && !isFromFuture ? snapshot.rosterConfirmedAt() : 0;
        boolean isStale = confirmedAt == 0 || now - confirmedAt > maxFreshRosterAgeNanos;
        return new InitialState(
                roster.entries().isEmpty()
                        ? RosterSource.NOTHING
                        : usesPersistedRoster ? RosterSource.KEPT : RosterSource.KNOWN,
                roster,
                confirmedAt,
                isStale,
                !usesPersistedRoster || isSameRosterService,
                isFromFuture
                        ? LearnedState.EMPTY
                        : LearnedStateDecay.decay(snapshot.learnedState(), snapshot.takenAt(), now),
                logMessages);
    }

    /** Returns a log text for the age of a confirmation, in seconds with one decimal; 0 means an unknown time. */
    static String formatAge(long confirmedAt, long now) {
        return confirmedAt == 0
                ? "at an unknown time"
                : String.format(Locale.ROOT, "%.1f s ago", (now - confirmedAt) / NANOS_PER_SECOND);
    }
}
