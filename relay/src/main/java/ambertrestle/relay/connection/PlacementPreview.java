package ambertrestle.relay.connection;

import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.Decision;
import ambertrestle.decide.RosterEntry;
import ambertrestle.relay.wire.RosterMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes which backend a newly started relay with a given roster would select for a key. Each key is placed as if it
 * were the relay's first.
 */
public final class PlacementPreview {
    /** Time until the cut-off of the associations used as probes; any positive time will do. */
    private static final long ASSOCIATION_TIMEOUT_NANOS = 1_000_000_000L;

    private final ReducerConfiguration configuration;
    private final List<RosterEntry> rosterEntries;
    private final Map<Long, String> backendNames = new HashMap<>();
    private final long nowNanos;
    /** Some backend has a known start time and may therefore be in slow start. */
    private final boolean hasColdBackend;
    /** Null until the first key is placed. */
    private Balancer balancer;

    private long lastAssociationId;

    /** @param nowNanos Unix time in nanoseconds, against which the backends' start times are compared */
    public PlacementPreview(ReducerConfiguration configuration, RosterMessage roster, long nowNanos) {
        this.configuration = configuration;
        this.nowNanos = nowNanos;
        rosterEntries = new BackendDirectory(configuration.zones(), configuration.machineTypes()).update(roster);
        roster.entries().forEach(entry -> backendNames.put(BackendDirectory.backendId(entry.name()), entry.name()));
        hasColdBackend = rosterEntries.stream().anyMatch(entry -> entry.startedAt() != 0);
    }

    /** Returns the name of the selected backend, or null if no listed backend can take the key. */
    public String selectBackend(long key) {
        // Each placement uses up part of a cold backend's load limit. With a shared balancer an earlier key could
        // push a later one to another backend, so each key gets a new balancer if a backend is cold.
        if (balancer == null || hasColdBackend) {
            balancer = new Balancer(configuration.settings(), configuration.seed(), nowNanos);
            balancer.onRosterUpdate(rosterEntries, true, false, nowNanos);
        }
        Association association = new Association(
                ++lastAssociationId, 0, 0, key, key, nowNanos + ASSOCIATION_TIMEOUT_NANOS, 0, false, false);
        Decision decision = balancer.selectBackend(association, nowNanos);
        balancer.onClientDisconnected(association, nowNanos);
        return decision.kind == Decision.Kind.SEND ? backendNames.get(decision.backend) : null;
    }
}
