package ambertrestle.lab.world;

import ambertrestle.lab.scenario.Scenario;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Judges the four rules from what crossed the world. It is told what clients, backends and the roster service saw,
 * never what a relay says of itself; it keeps the first breaches in words and counts all.
 */
public final class Judge {
    /** What a relay owes; the figures are the mission's rules. */
    public enum Rule {
        ONE_FINAL_ANSWER("an association had not exactly one final answer before its cut-off"),
        NOTHING_AFTER_IT("something followed a final answer"),
        NO_EFFECT_TWICE("an effect may have run twice"),
        SHED_THAT_MAY_HAVE_RUN("shed though a dispatch may have run"),
        TWO_OUT("a second dispatch while one was out"),
        DRAINS_KEPT("a dispatch to a drained backend after the grace"),
        COLD_KEPT("a cold backend was pushed over"),
        STRAYS_KEPT_OUT("what no usual client sent reached a backend");

        public final String says;

        Rule(String says) {
            this.says = says;
        }
    }

    private static final int KEPT = 20;
    /**
     * Relays are told a limit and the network adds to what they do; sockets get 50 ms more, the model its longest way.
     */
    private final long slack;

    private final Scenario scenario;
    private final EnumMap<Rule, Long> counts = new EnumMap<>(Rule.class);
    private final List<String> breaches = new ArrayList<>();

    public Judge(Scenario scenario, long slack) {
        this.scenario = scenario;
        this.slack = slack;
        Arrays.stream(Rule.values()).forEach(r -> counts.put(r, 0L));
    }

    /** One association as clients and backends see it. */
    public static final class Case {
        final long id;
        final Scenario.Work work;
        final List<Run> runs = new ArrayList<>(1);
        int finals;
        boolean over;

        public Case(long id, Scenario.Work work) {
            this.id = id;
            this.work = work;
        }
    }

    /** One dispatch that reached a backend with its last byte; `never`: the backend answered that it does not run. */
    public static final class Run {
        final String backend;
        final String zone;
        final long at;
        boolean never;
        boolean ended;

        Run(String backend, String zone, long at) {
            this.backend = backend;
            this.zone = zone;
            this.at = at;
        }

        public void never() {
            never = true;
            ended = true;
        }

        /** The relay learned its end, or ended it. */
        public void ended() {
            ended = true;
        }
    }

    /** A dispatch's last byte reached a backend. */
    public Run reached(Case c, String backend, String zone, long now) {
        Run run = new Run(backend, zone, now);
        for (Run before : c.runs) {
            boolean far = now - before.at > c.work.window() + slack || apart(c.work.scope(), before, run);
            if (!before.never
                    && (c.work.effect() == Scenario.Effect.BINDING
                            || c.work.effect() == Scenario.Effect.FINGERPRINTED && far)) {
                breach(Rule.NO_EFFECT_TWICE, c, now, c.work.effect() + ": " + before.backend + ", then " + backend);
            }
        }
        c.runs.add(run);
        return run;
    }

    /**
     * Dispatches of this association before the last that have not ended yet; judged by {@link #twoOut} once word can
     * have come.
     */
    List<Run> stillOut(Case c) {
        return c.runs.stream().limit(c.runs.size() - 1L).filter(r -> !r.ended).toList();
    }

    long slack() {
        return slack;
    }

    void twoOut(Case c, Run before, Run then, long now) {
        if (!before.ended) {
            breach(Rule.TWO_OUT, c, now, before.backend + ", then " + then.backend);
        }
    }

    /** All scenarios' backends are in one cell. */
    private static boolean apart(String scope, Run one, Run other) {
        return scope.equals("zone") && !one.zone.equals(other.zone);
    }

    /** A client read a final answer: UP (whose end is another matter), BUSY or ERR. */
    public void answered(Case c, boolean shed, long now) {
        c.finals++;
        if (c.finals > 1) {
            breach(Rule.NOTHING_AFTER_IT, c, now, "answer " + c.finals);
        }
        boolean mayHaveRun = c.runs.stream().anyMatch(r -> !r.never);
        boolean harmless = c.work.effect() == Scenario.Effect.RETRIABLE
                || c.work.effect() == Scenario.Effect.FINGERPRINTED
                        && c.work.scope().equals("all");
        if (shed && mayHaveRun && !harmless) {
            breach(Rule.SHED_THAT_MAY_HAVE_RUN, c, now, c.work.effect().toString());
        }
    }

    /** A client read a line after its association's final answer that was no UP. */
    public void afterwards(Case c, long now) {
        breach(Rule.NOTHING_AFTER_IT, c, now, "a line after the final answer");
    }

    /** The connection ended, or the client's time was up, while the relay could have answered. */
    public void unanswered(Case c, String how, long now) {
        if (c.finals == 0 && !c.over) {
            breach(Rule.ONE_FINAL_ANSWER, c, now, how);
        }
        c.over = true;
    }

    /** An open connection was cut off by the relay though its backend still answered. */
    public void cutOff(Case c, long now) {
        breach(Rule.ONE_FINAL_ANSWER, c, now, "cut off while open");
    }

    /**
     * A dispatch's first byte left for a backend of which that relay had heard at `heardAt` that it drains or is gone.
     */
    public void sent(String backend, long heardAt, long now) {
        if (heardAt >= 0 && now - heardAt > scenario.rules().drainGrace() + slack) {
            breach(Rule.DRAINS_KEPT, null, now, backend + " " + (now - heardAt) / 1_000_000 + " ms after hearing");
        }
    }

    /** An opening that no usual client sent, or whose client had its end, reached a backend. */
    public void strayReached(String backend, long now) {
        breach(Rule.STRAYS_KEPT_OUT, null, now, backend);
    }

    /** What reached one backend since it last started, kept for as long as it is cold. */
    public static final class Cold {
        private final ArrayDeque<Long> lately = new ArrayDeque<>();
        private boolean told;
        private double allowed = 1;

        /** What reached it within the fall before `now`, as a share of what was allowed last. */
        double spent(long now, long fall) {
            return lately.stream().filter(at -> now - at <= fall).count() / allowed;
        }
    }

    /**
     * A dispatch reached a backend started at `startedAt`. Within any stretch as long as the fall, all relays together
     * may send it `fallMultiple` times what one of that size and age sets up: `perSecond` when warm, by its speed.
     */
    public void coldReached(Cold cold, String backend, long startedAt, double perSecond, long now) {
        long fall = scenario.rules().fall();
        cold.lately.add(now);
        while (now - cold.lately.peek() > fall) {
            cold.lately.poll();
        }
        double age = Math.min(1.0, (double) (now - startedAt) / scenario.rules().cold());
        double warmth = scenario.rules().coldFrom() + (1 - scenario.rules().coldFrom()) * age;
        double allowed = Math.max(5, scenario.rules().fallMultiple() * warmth * perSecond * fall / 1e9);
        cold.allowed = allowed;
        if (cold.lately.size() > allowed && !cold.told) {
            cold.told = true;
            breach(Rule.COLD_KEPT, null, now, backend + " got " + cold.lately.size() + " of " + (long) allowed);
        }
    }

    private void breach(Rule rule, Case c, long now, String what) {
        counts.merge(rule, 1L, Long::sum);
        if (breaches.size() < KEPT) {
            breaches.add(now / 1_000_000 + " ms: " + rule.says + (c == null ? "" : ", " + Long.toHexString(c.id)) + ": "
                    + what);
        }
    }

    public Map<Rule, Long> counts() {
        return counts;
    }

    public boolean kept() {
        return counts.values().stream().allMatch(n -> n == 0);
    }

    /** The first of them, in words. */
    public List<String> breaches() {
        return breaches;
    }
}
