package ambertrestle.restore;

import ambertrestle.decide.LearnedState;
import ambertrestle.decide.LearnedState.BackendStatistics;
import ambertrestle.decide.LearnedState.Pin;
import ambertrestle.decide.LearnedState.RelayStatistics;
import java.util.ArrayList;
import java.util.List;

/**
 * What kept judgments are still worth: pure functions of their age, nothing else. A judgment weighs what it would in a
 * relay that had gone on and heard nothing more, so each kind fades as the module lets it fade; what a fleet carries is
 * no judgment of a moment and fades over hours. Times in nanoseconds.
 */
public final class LearnedStateDecay {
    private static final long SECOND = 1_000_000_000L, HOUR = 3_600 * SECOND;
    /** The module's own: evidence of failures halves in this time, and so does the space between set-ups. */
    private static final long FAILURE_EVIDENCE_HALF_LIFE = 4 * SECOND;
    /** As long as the module remembers lateness with nothing left to tell, at the most. */
    private static final long DELAY_LIFETIME = 30 * SECOND;
    /** As long as the module keeps a pin after its last connection. */
    private static final long PIN_LIFETIME = 60 * SECOND;

    private static final long TRAFFIC_STATISTICS_HALF_LIFE = HOUR, TRAFFIC_STATISTICS_LIFETIME = 24 * HOUR;
    /** Less than this is nothing. */
    private static final double MIN_WEIGHT = 1.0 / 256;

    private LearnedStateDecay() {}

    private static double decayFactor(long age, long half) {
        double left = age < 0 ? 0 : StrictMath.pow(0.5, (double) age / half);
        return left < MIN_WEIGHT ? 0 : left;
    }

    /** Of the counts of set-ups that stood and that failed, and of the pace of set-ups in a jam. */
    public static double failureEvidenceWeight(long age) {
        return decayFactor(age, FAILURE_EVIDENCE_HALF_LIFE);
    }

    /** Of a told delay: whole or nothing, as it is a bound and no count. */
    public static double delayWeight(long age) {
        return age >= 0 && age < DELAY_LIFETIME ? 1 : 0;
    }

    /** Of what connections lived to their end here, of usual set-ups and loads. */
    public static double trafficStatisticsWeight(long age) {
        return age >= TRAFFIC_STATISTICS_LIFETIME ? 0 : decayFactor(age, TRAFFIC_STATISTICS_HALF_LIFE);
    }

    /** Of where a key was pinned. */
    public static double pinWeight(long age) {
        return age >= 0 && age < PIN_LIFETIME ? 1 : 0;
    }

    /**
     * All of it, as the module takes it back now. `keptAt`: when it was kept. Danger: what comes from the future, since
     * a clock went back, has no age; it would never fade, so nothing of it is taken.
     */
    public static LearnedState decay(LearnedState kept, long keptAt, long now) {
        if (keptAt > now) {
            return LearnedState.EMPTY;
        }
        RelayStatistics w = kept.relayStatistics();
        long age = now - keptAt;
        double carried = trafficStatisticsWeight(age);
        RelayStatistics whole = new RelayStatistics(
                w.completedConnections() * carried,
                w.observedFor(),
                w.typicalSetUpTime() * carried,
                w.typicalLoad() * carried,
                (int) (w.loadReportCount() * carried),
                (long) (w.setUpInterval() * failureEvidenceWeight(age)));
        List<BackendStatistics> judged = new ArrayList<>(kept.backends().size());
        for (BackendStatistics j : kept.backends()) {
            double doubt = failureEvidenceWeight(now - j.evidenceUpdatedAt());
            boolean late = delayWeight(now - j.delayReportedAt()) > 0;
            judged.add(new BackendStatistics(
                    j.backend(),
                    j.startedAt(),
                    now,
                    j.successes() * doubt,
                    j.failures() * doubt,
                    j.sharedCauseFailures() * doubt,
                    late ? j.reportedDelay() : 0,
                    late ? j.delayReportedAt() : Long.MIN_VALUE / 2,
                    j.drainNoticedAt() > now ? 0 : j.drainNoticedAt()));
        }
        List<Pin> pins = new ArrayList<>();
        for (Pin p : kept.pins()) {
            // What was open when it was kept ended with the process, then at the earliest.
            long at = p.unusedSince() == Pin.IN_USE ? keptAt : p.unusedSince();
            if (p.unusedSince() != Pin.REMOVED && pinWeight(now - at) > 0) {
                pins.add(new Pin(p.key(), p.backend(), at));
            }
        }
        return new LearnedState(kept.tableFormat(), whole, List.copyOf(judged), List.copyOf(pins), false);
    }
}
