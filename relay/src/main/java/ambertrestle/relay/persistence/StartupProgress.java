package ambertrestle.relay.persistence;

import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.relay.persistence.Recovery.InitialState;
import ambertrestle.relay.wire.RosterMessage;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * How far a relay's start has come: it serves on the list it began with, then hears the roster service, and has
 * converged once that stays so. A state machine over what is heard and the time; it decides nothing about backends.
 * Nanoseconds.
 */
public final class StartupProgress {
    /**
     * ON_OLD_LIST: the roster service is not heard yet. CONVERGING: it was. CONVERGED: its watch lasted
     * {@link #STABLE_WATCH_NANOS}.
     */
    public enum Phase {
        AWAITING_ROSTER,
        CONVERGING,
        CONVERGED
    }

    /** Danger: a roster service that answers one line and dies again would pass for one that is back. */
    static final long STABLE_WATCH_NANOS = 3_000_000_000L;

    private final InitialState beginning;
    private final long begunAt;
    private Phase phase = Phase.AWAITING_ROSTER;
    private long steadySince;
    private int watchFailures;
    private boolean startLogged;

    public StartupProgress(InitialState beginning, long now) {
        this.beginning = beginning;
        begunAt = now;
    }

    public Phase phase() {
        return phase;
    }

    /** When it wants to be asked again. */
    public long wakeAt() {
        return phase == Phase.CONVERGING ? steadySince + STABLE_WATCH_NANOS : Long.MAX_VALUE;
    }

    private LogMessage begun() {
        int backends = beginning.roster().entries().size();
        String which =
                switch (beginning.rosterSource()) {
                    case NOTHING -> "with no list: it waits for the roster service";
                    case KNOWN -> "with the configuration's list of " + backends + " backends";
                    case KEPT -> "with the kept list of " + backends + " backends, heard "
                            + Recovery.formatAge(beginning.rosterConfirmedAt(), begunAt);
                };
        return new LogMessage(
                false,
                "start-from-" + beginning.rosterSource().name().toLowerCase(Locale.ROOT),
                "begins " + which
                        + (beginning.isRosterStale() ? "; until the roster service is heard all count as cold" : ""),
                Map.of(
                        "backends",
                        Integer.toString(backends),
                        "judged",
                        Integer.toString(beginning.learnedState().backends().size()),
                        "pins",
                        Integer.toString(beginning.learnedState().pins().size())));
    }

    /** The roster service said something; `list`: what now holds. Null where there is nothing to tell. */
    public LogMessage onRosterMessage(RosterMessage list, long now) {
        if (phase != Phase.AWAITING_ROSTER) {
            steadySince = steadySince == Long.MAX_VALUE - STABLE_WATCH_NANOS ? now : steadySince;
            return null;
        }
        phase = Phase.CONVERGING;
        steadySince = now;
        Map<String, RosterMessage.Entry> before = new HashMap<>();
        beginning.roster().entries().forEach(l -> before.put(l.name(), l));
        int fresh = 0;
        int restarted = 0;
        int draining = 0;
        for (RosterMessage.Entry l : list.entries()) {
            RosterMessage.Entry old = before.remove(l.name());
            fresh += old == null ? 1 : 0;
            restarted += old != null && old.startedAtMillis() != l.startedAtMillis() ? 1 : 0;
            draining += old != null && old.stage() == Stage.READY && l.stage() == Stage.DRAINING ? 1 : 0;
        }
        String line = String.format(
                Locale.ROOT,
                "the roster service is heard after %.1f s: since the list it began with %d are gone, %d new, "
                        + "%d restarted, %d drain",
                (now - begunAt) / 1e9,
                before.size(),
                fresh,
                restarted,
                draining);
        return new LogMessage(
                false,
                "converging",
                line,
                Map.of(
                        "gone",
                        Integer.toString(before.size()),
                        "new",
                        Integer.toString(fresh),
                        "restarted",
                        Integer.toString(restarted),
                        "draining",
                        Integer.toString(draining)));
    }

    /** The watch on the roster ended. */
    public void onWatchEnded() {
        watchFailures++;
        if (phase == Phase.CONVERGING) {
            steadySince = Long.MAX_VALUE - STABLE_WATCH_NANOS;
        }
    }

    /** First what it begins with; null while there is nothing to tell. */
    public LogMessage onTimer(long now) {
        if (!startLogged) {
            startLogged = true;
            return begun();
        }
        if (phase != Phase.CONVERGING || now < wakeAt()) {
            return null;
        }
        phase = Phase.CONVERGED;
        return new LogMessage(
                false,
                "converged",
                String.format(
                        Locale.ROOT, "the list is the roster service's, %.1f s after the start", (now - begunAt) / 1e9),
                Map.of("broken", Integer.toString(watchFailures)));
    }
}
