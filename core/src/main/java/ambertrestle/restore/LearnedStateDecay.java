package ambertrestle.restore;

import ambertrestle.decide.LearnedState;
import ambertrestle.decide.LearnedState.BackendStatistics;
import ambertrestle.decide.LearnedState.Pin;
import ambertrestle.decide.LearnedState.RelayStatistics;
import java.util.ArrayList;
import java.util.List;

/**
 * Decays persisted learned state by its age. Health evidence and pins lose weight as they would in a relay that ran on
 * without any new events, so the constants match those of the balancer. Traffic statistics change slowly and decay over
 * hours. All functions are pure; all times are in nanoseconds.
 */
public final class LearnedStateDecay {
    private static final long SECOND = 1_000_000_000L;
    private static final long HOUR = 3_600 * SECOND;

    /** Same half-life as in the balancer; also applied to the interval between paced set-ups. */
    private static final long FAILURE_EVIDENCE_HALF_LIFE = 4 * SECOND;

    /** The longest time that the balancer remembers a slow backend without open connections there. */
    private static final long DELAY_LIFETIME = 30 * SECOND;

    /** How long the balancer keeps a pin after the key's last connection ended. */
    private static final long PIN_LIFETIME = 60 * SECOND;

    private static final long TRAFFIC_STATISTICS_HALF_LIFE = HOUR;
    private static final long TRAFFIC_STATISTICS_LIFETIME = 24 * HOUR;

    /** A time before all others; differences from it don't overflow. */
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    /** Smaller weights are rounded to 0. */
    private static final double MIN_WEIGHT = 1.0 / 256;

    private LearnedStateDecay() {}

    /** Returns the exponential decay factor for an age; 0 for a negative age. */
    private static double decayFactor(long age, long halfLife) {
        double weight = age < 0 ? 0 : StrictMath.pow(0.5, (double) age / halfLife);
        return weight < MIN_WEIGHT ? 0 : weight;
    }

    /** Returns the weight, from 0 to 1, of success and failure counts and of the interval between paced set-ups. */
    public static double failureEvidenceWeight(long age) {
        return decayFactor(age, FAILURE_EVIDENCE_HALF_LIFE);
    }

    /** Returns the weight of a reported delay: 1 or 0, because a delay is compared with a bound and not accumulated. */
    public static double delayWeight(long age) {
        return age >= 0 && age < DELAY_LIFETIME ? 1 : 0;
    }

    /** Returns the weight, from 0 to 1, of the count of completed connections and of typical set-up times and loads. */
    public static double trafficStatisticsWeight(long age) {
        return age >= TRAFFIC_STATISTICS_LIFETIME ? 0 : decayFactor(age, TRAFFIC_STATISTICS_HALF_LIFE);
    }

    /** Returns the weight of a pin: 1 or 0. */
    public static double pinWeight(long age) {
        return age >= 0 && age < PIN_LIFETIME ? 1 : 0;
    }

    /**
     * Decays a complete state for a balancer that restores it now. State from the future, which a clock that was set
     * back causes, is dropped entirely: without a valid age it would never decay.
     *
     * @param persistedAt when the state was persisted
     */
    public static LearnedState decay(LearnedState persisted, long persistedAt, long now) {
        if (persistedAt > now) {
            return LearnedState.EMPTY;
        }
        RelayStatistics relayStatistics = persisted.relayStatistics();
        long age = now - persistedAt;
        double trafficWeight = trafficStatisticsWeight(age);
        RelayStatistics decayedRelayStatistics = new RelayStatistics(
                relayStatistics.completedConnections() * trafficWeight,
                relayStatistics.observedFor(),
                relayStatistics.typicalSetUpTime() * trafficWeight,
                relayStatistics.typicalLoad() * trafficWeight,
                (int) (relayStatistics.loadReportCount() * trafficWeight),
                (long) (relayStatistics.setUpInterval() * failureEvidenceWeight(age)));
        List<BackendStatistics> decayedBackends =
                new ArrayList<>(persisted.backends().size());
        for (BackendStatistics backend : persisted.backends()) {
            double evidenceWeight = failureEvidenceWeight(now - backend.evidenceUpdatedAt());
            boolean isDelayRecent = delayWeight(now - backend.delayReportedAt()) > 0;
            decayedBackends.add(new BackendStatistics(
                    backend.backend(),
                    backend.startedAt(),
                    now,
                    backend.successes() * evidenceWeight,
                    backend.failures() * evidenceWeight,
                    backend.sharedCauseFailures() * evidenceWeight,
                    isDelayRecent ? backend.reportedDelay() : 0,
                    isDelayRecent ? backend.delayReportedAt() : LONG_AGO,
                    backend.drainNoticedAt() > now ? 0 : backend.drainNoticedAt()));
        }
        List<Pin> restoredPins = new ArrayList<>();
        for (Pin pin : persisted.pins()) {
            // Connections that were open when the state was persisted ended later, with the process. When exactly is
            // unknown, so their pins age from persistedAt, the earliest possible time.
            long unusedSince = pin.unusedSince() == Pin.IN_USE ? persistedAt : pin.unusedSince();
            if (pin.unusedSince() != Pin.REMOVED && pinWeight(now - unusedSince) > 0) {
                restoredPins.add(new Pin(pin.key(), pin.backend(), unusedSince));
            }
        }
        return new LearnedState(
                persisted.tableFormat(),
                decayedRelayStatistics,
                List.copyOf(decayedBackends),
                List.copyOf(restoredPins),
                false);
    }
}
