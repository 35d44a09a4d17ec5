package ambertrestle.relay.persistence;

import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.relay.persistence.Recovery.InitialState;
import ambertrestle.relay.wire.RosterMessage;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Tracks a relay's start-up for the log: the relay serves from its initial roster, then receives roster messages, and
 * has converged once its watch on the roster service is stable. A state machine driven by roster events and time,
 * without influence on the choice of backends. Times are Unix time in nanoseconds.
 */
public final class StartupProgress {
    /** The phases of the start-up, in their order. */
    public enum Phase {
        /** No message from the roster service yet. */
        AWAITING_ROSTER,
        /** The roster service has answered, but its watch has not been stable for long enough. */
        CONVERGING,
        /** The watch was stable for {@link #STABLE_WATCH_NANOS}. */
        CONVERGED
    }

    /**
     * How long a watch must last for the start-up to have converged. Without this period, a roster service that fails
     * again after one message would be taken for one that has recovered.
     */
    static final long STABLE_WATCH_NANOS = 3_000_000_000L;

    /** Value of {@link #stableSince} while no watch is running; {@link #wakeAt} is then {@link Long#MAX_VALUE}. */
    private static final long NO_WATCH = Long.MAX_VALUE - STABLE_WATCH_NANOS;

    private static final double NANOS_PER_SECOND = 1e9;

    private final InitialState initialState;
    private final long startedAt;
    private Phase phase = Phase.AWAITING_ROSTER;
    /** When the current watch delivered its first message, or {@link #NO_WATCH}. Unused before CONVERGING. */
    private long stableSince;
    /** How many watches have ended, or could not be opened, since the start. */
    private int watchFailures;

    private boolean isStartLogged;

    public StartupProgress(InitialState initialState, long now) {
        this.initialState = initialState;
        startedAt = now;
    }

    public Phase phase() {
        return phase;
    }

    /** Returns when to call {@link #onTimer} again, {@link Long#MAX_VALUE} if no timer is needed. */
    public long wakeAt() {
        return phase == Phase.CONVERGING ? stableSince + STABLE_WATCH_NANOS : Long.MAX_VALUE;
    }

    /** Returns the message that names the initial roster, its age and the extent of the restored state. */
    private LogMessage createStartMessage() {
        int backends = initialState.roster().entries().size();
        String source =
                switch (initialState.rosterSource()) {
                    case NOTHING -> "without a roster: waiting for the roster service";
                    case KNOWN -> "with the configured roster of " + backends + " backends";
                    case KEPT -> "with the persisted roster of " + backends + " backends, confirmed "
                            + Recovery.formatAge(initialState.rosterConfirmedAt(), startedAt);
                };
        return new LogMessage(
                false,
                "start-from-" + initialState.rosterSource().name().toLowerCase(Locale.ROOT),
                "starts " + source
                        + (initialState.isRosterStale()
                                ? "; all backends count as cold until the roster service answers"
                                : ""),
                Map.of(
                        "backends",
                        Integer.toString(backends),
                        "judged",
                        Integer.toString(initialState.learnedState().backends().size()),
                        "pins",
                        Integer.toString(initialState.learnedState().pins().size())));
    }

    /**
     * Records a message of the roster service.
     *
     * @param roster for the first message the complete roster after it; later messages may be updates
     * @return the message to log, or null if there is nothing to log
     */
    public LogMessage onRosterMessage(RosterMessage roster, long now) {
        if (phase != Phase.AWAITING_ROSTER) {
            stableSince = stableSince == NO_WATCH ? now : stableSince;
            return null;
        }
        phase = Phase.CONVERGING;
        stableSince = now;
        Map<String, RosterMessage.Entry> previousEntries = new HashMap<>();
        initialState.roster().entries().forEach(entry -> previousEntries.put(entry.name(), entry));
        int added = 0;
        int restarted = 0;
        int draining = 0;
        for (RosterMessage.Entry entry : roster.entries()) {
            RosterMessage.Entry previous = previousEntries.remove(entry.name());
            added += previous == null ? 1 : 0;
            restarted += previous != null && previous.startedAtMillis() != entry.startedAtMillis() ? 1 : 0;
            draining += previous != null && previous.stage() == Stage.READY && entry.stage() == Stage.DRAINING ? 1 : 0;
        }
        String text = String.format(
                Locale.ROOT,
                "the roster service answered after %.1f s; changes since the initial roster: %d gone, %d new, "
                        + "%d restarted, %d draining",
                (now - startedAt) / NANOS_PER_SECOND,
                previousEntries.size(),
                added,
                restarted,
                draining);
        return new LogMessage(
                false,
                "converging",
                text,
                Map.of(
                        "gone",
                        Integer.toString(previousEntries.size()),
                        "new",
                        Integer.toString(added),
                        "restarted",
                        Integer.toString(restarted),
                        "draining",
                        Integer.toString(draining)));
    }

    /** Records that the watch on the roster service ended or could not be opened. */
    public void onWatchEnded() {
        watchFailures++;
        if (phase == Phase.CONVERGING) {
            stableSince = NO_WATCH;
        }
    }

    /**
     * Advances to CONVERGED once the watch was stable for long enough. The first call only returns the message that
     * names the initial roster.
     *
     * @return the message to log, or null if there is nothing to log
     */
    public LogMessage onTimer(long now) {
        if (!isStartLogged) {
            isStartLogged = true;
            return createStartMessage();
        }
        if (phase != Phase.CONVERGING || now < wakeAt()) {
            return null;
        }
        phase = Phase.CONVERGED;
        return new LogMessage(
                false,
                "converged",
                String.format(
                        Locale.ROOT,
                        "the roster matches the roster service, %.1f s after the start",
                        (now - startedAt) / NANOS_PER_SECOND),
                Map.of("broken", Integer.toString(watchFailures)));
    }
}
