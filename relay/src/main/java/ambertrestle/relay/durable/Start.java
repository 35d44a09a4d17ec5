package ambertrestle.relay.durable;

import ambertrestle.decide.Listed.Stage;
import ambertrestle.relay.durable.Recovery.Beginning;
import ambertrestle.relay.wire.RosterMessage;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * How far a relay's start has come: it serves on the list it began with, then hears the roster service, and has
 * converged once that stays so. A state machine over what is heard and the time; it decides nothing about backends.
 * Nanoseconds.
 */
public final class Start {
    /**
     * ON_OLD_LIST: the roster service is not heard yet. CONVERGING: it was. CONVERGED: its watch lasted
     * {@link #STEADY}.
     */
    public enum At {
        ON_OLD_LIST,
        CONVERGING,
        CONVERGED
    }

    /** Danger: a roster service that answers one line and dies again would pass for one that is back. */
    static final long STEADY = 3_000_000_000L;

    private final Beginning beginning;
    private final long begunAt;
    private At at = At.ON_OLD_LIST;
    private long steadySince;
    private int broken;
    private boolean told;

    public Start(Beginning beginning, long now) {
        this.beginning = beginning;
        begunAt = now;
    }

    public At at() {
        return at;
    }

    /** When it wants to be asked again. */
    public long wakeAt() {
        return at == At.CONVERGING ? steadySince + STEADY : Long.MAX_VALUE;
    }

    private Said begun() {
        int backends = beginning.list().lines().size();
        String which =
                switch (beginning.from()) {
                    case NOTHING -> "with no list: it waits for the roster service";
                    case KNOWN -> "with the configuration's list of " + backends + " backends";
                    case KEPT -> "with the kept list of " + backends + " backends, heard "
                            + Recovery.ago(beginning.heardAt(), begunAt);
                };
        return new Said(
                false,
                "start-from-" + beginning.from().name().toLowerCase(Locale.ROOT),
                "begins " + which + (beginning.unseen() ? "; until the roster service is heard all count as cold" : ""),
                Map.of(
                        "backends",
                        Integer.toString(backends),
                        "judged",
                        Integer.toString(beginning.kept().backends().size()),
                        "pins",
                        Integer.toString(beginning.kept().pins().size())));
    }

    /** The roster service said something; `list`: what now holds. Null where there is nothing to tell. */
    public Said heard(RosterMessage list, long now) {
        if (at != At.ON_OLD_LIST) {
            steadySince = steadySince == Long.MAX_VALUE - STEADY ? now : steadySince;
            return null;
        }
        at = At.CONVERGING;
        steadySince = now;
        Map<String, RosterMessage.Line> before = new HashMap<>();
        beginning.list().lines().forEach(l -> before.put(l.name(), l));
        int fresh = 0;
        int restarted = 0;
        int draining = 0;
        for (RosterMessage.Line l : list.lines()) {
            RosterMessage.Line old = before.remove(l.name());
            fresh += old == null ? 1 : 0;
            restarted += old != null && old.sinceMillis() != l.sinceMillis() ? 1 : 0;
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
        return new Said(
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
    public void broke() {
        broken++;
        if (at == At.CONVERGING) {
            steadySince = Long.MAX_VALUE - STEADY;
        }
    }

    /** First what it begins with; null while there is nothing to tell. */
    public Said woke(long now) {
        if (!told) {
            told = true;
            return begun();
        }
        if (at != At.CONVERGING || now < wakeAt()) {
            return null;
        }
        at = At.CONVERGED;
        return new Said(
                false,
                "converged",
                String.format(
                        Locale.ROOT, "the list is the roster service's, %.1f s after the start", (now - begunAt) / 1e9),
                Map.of("broken", Integer.toString(broken)));
    }
}
