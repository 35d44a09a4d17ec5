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

/** The policies that a run can be played with, by name; `module` is the one that the daemon uses. */
public final class Policies {
    public static final List<String> NAMES = List.of("module", "random", "least", "two", "maglev", "oracle");

    private Policies() {}

    /** `sight` is the oracle's alone. */
    public static BalancingPolicy.Factory forName(String name, BackendGroundTruth sight) {
        return switch (name) {
            case "module" -> Balancer::new;
            case "random" -> RandomPolicy::new;
            case "least" -> LeastConnectionsPolicy::new;
            case "two" -> PowerOfTwoChoicesPolicy::new;
            case "maglev" -> MaglevPolicy::new;
            case "oracle" -> (ticket, seed, now) -> new OraclePolicy(ticket, seed, now, sight);
            default -> throw new IllegalArgumentException(
                    "policy " + name + " is not known: expected one of " + String.join(", ", NAMES));
        };
    }

    private static final class RandomPolicy extends BaselinePolicy {
        RandomPolicy(Map<String, String> ticket, long seed, long now) {
            super(ticket, seed, now);
        }

        @Override
        KnownBackend pick(Association a, List<KnownBackend> fit) {
            return fit.get(random.nextInt(fit.size()));
        }
    }

    /** Fewest connections of this relay for its weight; of equals one by chance. */
    private static final class LeastConnectionsPolicy extends BaselinePolicy {
        LeastConnectionsPolicy(Map<String, String> ticket, long seed, long now) {
            super(ticket, seed, now);
        }

        @Override
        KnownBackend pick(Association a, List<KnownBackend> fit) {
            double least = fit.stream()
                    .mapToDouble(s -> s.activeConnections / s.weight)
                    .min()
                    .orElse(0);
            List<KnownBackend> equal = fit.stream()
                    .filter(s -> s.activeConnections / s.weight == least)
                    .toList();
            return equal.get(random.nextInt(equal.size()));
        }
    }

    /** The power of two choices, by this relay's own connections. */
    private static final class PowerOfTwoChoicesPolicy extends BaselinePolicy {
        PowerOfTwoChoicesPolicy(Map<String, String> ticket, long seed, long now) {
            super(ticket, seed, now);
        }

        @Override
        KnownBackend pick(Association a, List<KnownBackend> fit) {
            KnownBackend one = fit.get(random.nextInt(fit.size()));
            KnownBackend other = fit.get(random.nextInt(fit.size()));
            return one.activeConnections / one.weight <= other.activeConnections / other.weight ? one : other;
        }
    }

    /**
     * Maglev's table (Eisenbud et al., NSDI 2016) by group, else client, walked on from the key's slot; nothing else.
     */
    private static final class MaglevPolicy extends BaselinePolicy {
        private static final int SLOTS = 65_537;
        private KnownBackend[] table = new KnownBackend[0];
        private Set<Long> members = Set.of();

        MaglevPolicy(Map<String, String> ticket, long seed, long now) {
            super(ticket, seed, now);
        }

        @Override
        void onRosterChanged(List<KnownBackend> listed) {
            Set<Long> now = new HashSet<>(listed.stream().map(s -> s.id).toList());
            if (now.equals(members)) {
                return;
            }
            members = now;
            table = new KnownBackend[listed.isEmpty() ? 0 : SLOTS];
            int[] next = new int[listed.size()];
            for (int i = 0; i < next.length; i++) {
                next[i] = (int) Long.remainderUnsigned(SplitMix64.mix(listed.get(i).id + 1), SLOTS);
            }
            for (int filled = 0, i = 0; filled < table.length; filled++, i = (i + 1) % next.length) {
                int skip = (int) Long.remainderUnsigned(SplitMix64.mix(listed.get(i).id + 2), SLOTS - 1) + 1;
                while (table[next[i]] != null) {
                    next[i] = (next[i] + skip) % SLOTS;
                }
                table[next[i]] = listed.get(i);
            }
        }

        @Override
        KnownBackend pick(Association a, List<KnownBackend> fit) {
            Set<Long> ids = new HashSet<>();
            fit.forEach(s -> ids.add(s.id));
            int slot = (int)
                    Long.remainderUnsigned(SplitMix64.mix(a.placementKey() != 0 ? a.placementKey() : a.id), SLOTS);
            while (!ids.contains(table[slot].id)) {
                slot = (slot + 1) % SLOTS;
            }
            return table[slot];
        }
    }

    /**
     * Sees the true state and gives its dispatches all the time there is, since it knows who answers. Of the sound it
     * takes the least busy that holds the group already and has room, else the one where the work waits least, with the
     * queue, the work in hand and the group's price weighed together; a cold one only within half of its budget.
     */
    private static final class OraclePolicy extends BaselinePolicy {
        /** Busier than this none gets more while another has room. */
        private static final double MAX_UTILIZATION = 0.6;

        private static final double MS = 1e6, UTILIZATION_COST = 100 * MS, NEW_GROUP_COST = 30 * MS;
        private final BackendGroundTruth groundTruth;

        OraclePolicy(Map<String, String> ticket, long seed, long now, BackendGroundTruth sight) {
            super(ticket, seed, now);
            this.groundTruth = sight;
        }

        @Override
        long dispatchTimeout(Association a, long goal, long now) {
            return a.cutOffAt - now;
        }

        private double cost(Association a, KnownBackend s) {
            double busy = groundTruth.utilization(s.id);
            return groundTruth.queueDelay(s.id)
                    + UTILIZATION_COST * busy / Math.max(0.05, 1 - busy)
                    + (groundTruth.hasGroup(s.id, a.groupKey) ? 0 : NEW_GROUP_COST);
        }

        @Override
        KnownBackend pick(Association a, List<KnownBackend> fit) {
            List<KnownBackend> sound = fit.stream()
                    .filter(s -> groundTruth.isServing(s.id) && groundTruth.slowStartBudgetUsed(s.id) < 0.5)
                    .toList();
            List<KnownBackend> from = sound.isEmpty() ? fit : sound;
            return from.stream()
                    .filter(s -> groundTruth.hasGroup(s.id, a.groupKey)
                            && groundTruth.utilization(s.id) < MAX_UTILIZATION
                            && groundTruth.queueDelay(s.id) < 20 * MS)
                    .min(Comparator.comparingDouble(s -> groundTruth.utilization(s.id)))
                    .orElseGet(() -> from.stream()
                            .min(Comparator.comparingDouble(s -> cost(a, s)))
                            .orElseThrow());
        }
    }
}
