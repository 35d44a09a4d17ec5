package ambertrestle.relay.connection;

import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.Decision;
import ambertrestle.decide.RosterEntry;
import ambertrestle.relay.wire.RosterMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Where a relay that has just started, with this roster, would send a key: each key as if it were the first. */
public final class PlacementPreview {
    private static final long ASSOCIATION_TIMEOUT_NANOS = 1_000_000_000L;

    private final ReducerConfiguration configuration;
    private final List<RosterEntry> listedBackends;
    private final Map<Long, String> backendNames = new HashMap<>();
    private final long now;
    private final boolean hasColdBackend;
    private Balancer balancer;
    private long lastAssociationId;

    /** `now`: Unix time in nanoseconds, from which the ages of backends count. */
    public PlacementPreview(ReducerConfiguration values, RosterMessage roster, long now) {
        this.configuration = values;
        this.now = now;
        listedBackends = new BackendDirectory(values.zones(), values.machineTypes()).update(roster);
        roster.entries().forEach(line -> backendNames.put(BackendDirectory.backendId(line.name()), line.name()));
        hasColdBackend = listedBackends.stream().anyMatch(l -> l.startedAt() != 0);
    }

    /** The backend's name, or null where nothing listed takes it. */
    public String selectBackend(long key) {
        // Danger: what one key takes of a cold backend's budget would send the next key elsewhere.
        if (balancer == null || hasColdBackend) {
            balancer = new Balancer(configuration.settings(), configuration.seed(), now);
            balancer.onRosterUpdate(listedBackends, true, false, now);
        }
        Association a =
                new Association(++lastAssociationId, 0, 0, key, key, now + ASSOCIATION_TIMEOUT_NANOS, 0, false, false);
        Decision answer = balancer.selectBackend(a, now);
        balancer.onClientDisconnected(a, now);
        return answer.kind == Decision.Kind.SEND ? backendNames.get(answer.backend) : null;
    }
}
