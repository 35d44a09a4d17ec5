package ambertrestle.relay.wire;

import java.util.List;

/** The names that an opening may use; their places in these lists are what the rest of the relay goes by. */
public record ConfiguredNames(List<String> useCases, List<String> tenants) {}
