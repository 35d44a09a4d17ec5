package ambertrestle.relay.persistence;

import java.nio.file.Path;

/**
 * The `[durable]` table of the operator file, validated where that file is read.
 *
 * @param directory `folder`: the directory of the state files
 * @param intervalNanos `interval`: while the relay runs, its newest state file should not become older than this
 * @param maxAgeNanos `most-age`: older state files are not restored
 * @param maxBytes `most-megabytes` in bytes: larger state files are neither written nor read
 * @param maxFreshRosterAgeNanos `sure`: a persisted roster that the roster service confirmed longer ago than this is
 *     stale
 */
public record PersistenceConfiguration(
        Path directory, long intervalNanos, long maxAgeNanos, long maxBytes, long maxFreshRosterAgeNanos) {}
