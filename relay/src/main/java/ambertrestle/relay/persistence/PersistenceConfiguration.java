package ambertrestle.relay.persistence;

import java.nio.file.Path;

/** What `[durable]` of the operator file says, read and checked there. Times in nanoseconds. */
public record PersistenceConfiguration(
        Path directory, long intervalNanos, long maxAgeNanos, long maxBytes, long maxFreshRosterAgeNanos) {}
