package ambertrestle.lab.policy;

import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.BalancingPolicy;
import ambertrestle.lab.scenario.SplitMix64;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The placement policies that a run can use, by name. {@code module} is {@link Balancer}, which the daemon uses; the
 * others are baselines to compare it with.
 */
public final class Policies {
    /** The names that {@link #forName} accepts. */
    public static final List<String> NAMES = List.of("module", "random", "least", "two", "maglev", "oracle");

    private Policies() {}

    /**
     * The factory of the policy with that name.
     *
     * @param groundTruth passed to the oracle only
     * @throws IllegalArgumentException if no policy has that name
     */
    public static BalancingPolicy.Factory forName(String name, BackendGroundTruth groundTruth) {
        return switch (name) {
            case "module" -> Balancer::new;
            case "random" -> RandomPolicy::new;
            case "least" -> LeastConnectionsPolicy::new;
            case "two" -> PowerOfTwoChoicesPolicy::new;
            case "maglev" -> MaglevPolicy::new;
            case "oracle" -> (settings, seed, now) -> new OraclePolicy(settings, seed, now, groundTruth);
            default -> throw new IllegalArgumentException(
                    "policy " + name + " is not known: expected one of " + String.join(", ", NAMES));
        };
    }

    /** Chooses uniformly at random. */
    private static final class RandomPolicy extends BaselinePolicy {
        RandomPolicy(Map<String, String> settings, long seed, long now) {
            super(settings, seed, now);
        }

        @Override
        KnownBackend pick(Association association, List<KnownBackend> candidates) {
            return candidates.get(random.nextInt(candidates.size()));
        }
    }

    /**
     * Chooses the backend with the fewest connections of this relay in proportion to its weight. Ties are broken at
     * random.
     */
    private static final class LeastConnectionsPolicy extends BaselinePolicy {
        LeastConnectionsPolicy(Map<String, String> settings, long seed, long now) {
            super(settings, seed, now);
        }

        @Override
        KnownBackend pick(Association association, List<KnownBackend> candidates) {
            double minLoad = candidates.stream()
                    .mapToDouble(backend -> backend.activeConnections / backend.weight)
                    .min()
                    .orElse(0);
            List<KnownBackend> leastLoaded = candidates.stream()
                    .filter(backend -> backend.activeConnections / backend.weight == minLoad)
                    .toList();
            return leastLoaded.get(random.nextInt(leastLoaded.size()));
        }
    }

    /**
     * Power of two choices: of two backends drawn at random, the one with fewer connections of this relay in proportion
     * to its weight.
     */
    private static final class PowerOfTwoChoicesPolicy extends BaselinePolicy {
        PowerOfTwoChoicesPolicy(Map<String, String> settings, long seed, long now) {
            super(settings, seed, now);
        }

        @Override
        KnownBackend pick(Association association, List<KnownBackend> candidates) {
            KnownBackend first = candidates.get(random.nextInt(candidates.size()));
            KnownBackend second = candidates.get(random.nextInt(candidates.size()));
            return first.activeConnections / first.weight <= second.activeConnections / second.weight ? first : second;
        }
    }

    /**
     * Maglev hashing (Eisenbud et al., NSDI 2016) of the group key, else the client key, else the association's id. If
     * the backend in the key's slot is no candidate, takes the next slot's, and so on. Ignores weights and load.
     */
    private static final class MaglevPolicy extends BaselinePolicy {
        /** Size of the lookup table: a prime, so that every step width visits every slot. */
        private static final int SLOTS = 65_537;

        /** Added to a backend's id before it is hashed to the first slot of its permutation. */
        private static final long FIRST_SLOT_SALT = 1;

        /** Added to a backend's id before it is hashed to the step width of its permutation. */
        private static final long STEP_SALT = 2;

        /** The lookup table; empty while no backend is listed. */
        private KnownBackend[] table = new KnownBackend[0];

        /** Ids of the backends in the table. */
        private Set<Long> members = Set.of();

        MaglevPolicy(Map<String, String> settings, long seed, long now) {
            super(settings, seed, now);
        }

        /**
         * Rebuilds the table if the set of listed backends has changed. The backends take turns, and each takes the
         * next free slot of its permutation.
         */
        @Override
        void onRosterChanged(List<KnownBackend> listed) {
            Set<Long> listedIds =
                    new HashSet<>(listed.stream().map(backend -> backend.id).toList());
            if (listedIds.equals(members)) {
                return;
            }
            members = listedIds;
            table = new KnownBackend[listed.isEmpty() ? 0 : SLOTS];
            int[] nextSlots = new int[listed.size()];
            for (int i = 0; i < nextSlots.length; i++) {
                nextSlots[i] = (int) Long.remainderUnsigned(SplitMix64.mix(listed.get(i).id + FIRST_SLOT_SALT), SLOTS);
            }
            for (int filled = 0, i = 0; filled < table.length; filled++, i = (i + 1) % nextSlots.length) {
                int step = (int) Long.remainderUnsigned(SplitMix64.mix(listed.get(i).id + STEP_SALT), SLOTS - 1) + 1;
                while (table[nextSlots[i]] != null) {
                    nextSlots[i] = (nextSlots[i] + step) % SLOTS;
                }
                table[nextSlots[i]] = listed.get(i);
            }
        }

        @Override
        KnownBackend pick(Association association, List<KnownBackend> candidates) {
            Set<Long> candidateIds = new HashSet<>();
            candidates.forEach(backend -> candidateIds.add(backend.id));
            int slot = (int) Long.remainderUnsigned(
                    SplitMix64.mix(association.placementKey() != 0 ? association.placementKey() : association.id),
                    SLOTS);
            while (!candidateIds.contains(table[slot].id)) {
                slot = (slot + 1) % SLOTS;
            }
            return table[slot];
        }
    }

    /**
     * Knows the true state of the backends, and so is a reference for how well placement can do. It considers the
     * backends that serve and have used less than half of their slow-start budget, or all candidates if there are none.
     * Of those that already have the group, spare capacity and a short queue it takes the least utilized one; if there
     * are none, it takes the backend with the lowest {@link #cost}.
     */
    private static final class OraclePolicy extends BaselinePolicy {
        /** From this utilization on a backend has no spare capacity. */
        private static final double MAX_UTILIZATION = 0.6;

        /** One millisecond in nanoseconds. */
        private static final double NANOS_PER_MILLI = 1e6;

        /** From this queue delay on, in nanoseconds, a backend's queue isn't short. */
        private static final double MAX_QUEUE_DELAY = 20 * NANOS_PER_MILLI;

        /** Backends that have used this share of their slow-start budget get no more while another is healthy. */
        private static final double MAX_SLOW_START_BUDGET_USED = 0.5;

        /** The cost of a backend's load at 50 % utilization, in nanoseconds of queue delay. */
        private static final double UTILIZATION_COST = 100 * NANOS_PER_MILLI;

        /**
         * The least idle share in {@link #cost}, which bounds the cost of a backend that is fully utilized or
         * overloaded.
         */
        private static final double MIN_IDLE_SHARE = 0.05;

        /** The cost of placing a group on a backend that doesn't have it yet, in nanoseconds of queue delay. */
        private static final double NEW_GROUP_COST = 30 * NANOS_PER_MILLI;

        private final BackendGroundTruth groundTruth;

        OraclePolicy(Map<String, String> settings, long seed, long now, BackendGroundTruth groundTruth) {
            super(settings, seed, now);
            this.groundTruth = groundTruth;
        }

        /**
         * The whole time until the cut-off: the oracle knows which backends answer, so it doesn't need to leave time
         * for a second attempt.
         */
        @Override
        long dispatchTimeout(Association association, long goalTime, long now) {
            return association.cutOffAt - now;
        }

        /**
         * The cost of a dispatch to the backend, in nanoseconds: its queue delay, plus a term that rises with its
         * utilization u as u / (1 - u), plus a term for a group that is new to it.
         */
        private double cost(Association association, KnownBackend backend) {
            double utilization = groundTruth.utilization(backend.id);
            return groundTruth.queueDelay(backend.id)
                    + UTILIZATION_COST * utilization / Math.max(MIN_IDLE_SHARE, 1 - utilization)
                    + (groundTruth.hasGroup(backend.id, association.groupKey) ? 0 : NEW_GROUP_COST);
        }

        @Override
        KnownBackend pick(Association association, List<KnownBackend> candidates) {
            List<KnownBackend> healthy = candidates.stream()
                    .filter(backend -> groundTruth.isServing(backend.id)
                            && groundTruth.slowStartBudgetUsed(backend.id) < MAX_SLOW_START_BUDGET_USED)
                    .toList();
            List<KnownBackend> eligible = healthy.isEmpty() ? candidates : healthy;
            return eligible.stream()
                    .filter(backend -> groundTruth.hasGroup(backend.id, association.groupKey)
                            && groundTruth.utilization(backend.id) < MAX_UTILIZATION
                            && groundTruth.queueDelay(backend.id) < MAX_QUEUE_DELAY)
                    .min(Comparator.comparingDouble(backend -> groundTruth.utilization(backend.id)))
                    .orElseGet(() -> eligible.stream()
                            .min(Comparator.comparingDouble(backend -> cost(association, backend)))
                            .orElseThrow());
        }
    }
}
