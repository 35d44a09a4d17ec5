package ambertrestle.lab.policy;

import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.Decisions;
import ambertrestle.lab.scenario.Spread;
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
    public static Decisions.Maker named(String name, Sight sight) {
        return switch (name) {
            case "module" -> Balancer::new;
            case "random" -> Random::new;
            case "least" -> Least::new;
            case "two" -> Two::new;
            case "maglev" -> PlainMaglev::new;
            case "oracle" -> (ticket, seed, now) -> new Oracle(ticket, seed, now, sight);
            default -> throw new IllegalArgumentException(
                    "policy " + name + " is not known: expected one of " + String.join(", ", NAMES));
        };
    }

    private static final class Random extends Baseline {
        Random(Map<String, String> ticket, long seed, long now) {
            super(ticket, seed, now);
        }

        @Override
        Server pick(Association a, List<Server> fit) {
            return fit.get(chance.nextInt(fit.size()));
        }
    }

    /** Fewest connections of this relay for its weight; of equals one by chance. */
    private static final class Least extends Baseline {
        Least(Map<String, String> ticket, long seed, long now) {
            super(ticket, seed, now);
        }

        @Override
        Server pick(Association a, List<Server> fit) {
            double least =
                    fit.stream().mapToDouble(s -> s.held / s.weight).min().orElse(0);
            List<Server> equal =
                    fit.stream().filter(s -> s.held / s.weight == least).toList();
            return equal.get(chance.nextInt(equal.size()));
        }
    }

    /** The power of two choices, by this relay's own connections. */
    private static final class Two extends Baseline {
        Two(Map<String, String> ticket, long seed, long now) {
            super(ticket, seed, now);
        }

        @Override
        Server pick(Association a, List<Server> fit) {
            Server one = fit.get(chance.nextInt(fit.size()));
            Server other = fit.get(chance.nextInt(fit.size()));
            return one.held / one.weight <= other.held / other.weight ? one : other;
        }
    }

    /**
     * Maglev's table (Eisenbud et al., NSDI 2016) by group, else client, walked on from the key's slot; nothing else.
     */
    private static final class PlainMaglev extends Baseline {
        private static final int SLOTS = 65_537;
        private Server[] table = new Server[0];
        private Set<Long> members = Set.of();

        PlainMaglev(Map<String, String> ticket, long seed, long now) {
            super(ticket, seed, now);
        }

        @Override
        void listed(List<Server> listed) {
            Set<Long> now = new HashSet<>(listed.stream().map(s -> s.id).toList());
            if (now.equals(members)) {
                return;
            }
            members = now;
            table = new Server[listed.isEmpty() ? 0 : SLOTS];
            int[] next = new int[listed.size()];
            for (int i = 0; i < next.length; i++) {
                next[i] = (int) Long.remainderUnsigned(Spread.mix(listed.get(i).id + 1), SLOTS);
            }
            for (int filled = 0, i = 0; filled < table.length; filled++, i = (i + 1) % next.length) {
                int skip = (int) Long.remainderUnsigned(Spread.mix(listed.get(i).id + 2), SLOTS - 1) + 1;
                while (table[next[i]] != null) {
                    next[i] = (next[i] + skip) % SLOTS;
                }
                table[next[i]] = listed.get(i);
            }
        }

        @Override
        Server pick(Association a, List<Server> fit) {
            Set<Long> ids = new HashSet<>();
            fit.forEach(s -> ids.add(s.id));
            int slot = (int) Long.remainderUnsigned(Spread.mix(a.key() != 0 ? a.key() : a.id), SLOTS);
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
    private static final class Oracle extends Baseline {
        /** Busier than this none gets more while another has room. */
        private static final double ROOM = 0.6;

        private static final double MS = 1e6, BUSY_COSTS = 100 * MS, GROUP_COSTS = 30 * MS;
        private final Sight sight;

        Oracle(Map<String, String> ticket, long seed, long now, Sight sight) {
            super(ticket, seed, now);
            this.sight = sight;
        }

        @Override
        long time(Association a, long goal, long now) {
            return a.cutOff - now;
        }

        private double cost(Association a, Server s) {
            double busy = sight.busy(s.id);
            return sight.waits(s.id)
                    + BUSY_COSTS * busy / Math.max(0.05, 1 - busy)
                    + (sight.holds(s.id, a.group) ? 0 : GROUP_COSTS);
        }

        @Override
        Server pick(Association a, List<Server> fit) {
            List<Server> sound = fit.stream()
                    .filter(s -> sight.serves(s.id) && sight.coldSpent(s.id) < 0.5)
                    .toList();
            List<Server> from = sound.isEmpty() ? fit : sound;
            return from.stream()
                    .filter(s -> sight.holds(s.id, a.group) && sight.busy(s.id) < ROOM && sight.waits(s.id) < 20 * MS)
                    .min(Comparator.comparingDouble(s -> sight.busy(s.id)))
                    .orElseGet(() -> from.stream()
                            .min(Comparator.comparingDouble(s -> cost(a, s)))
                            .orElseThrow());
        }
    }
}
