package ambertrestle.relay.wire;

import java.util.List;

/**
 * The use cases and tenants that an OPEN line may name. The rest of the relay identifies them by their index in these
 * lists. An empty list of tenants means that OPEN lines are accepted with any tenant or none.
 */
public record ConfiguredNames(List<String> useCases, List<String> tenants) {}
