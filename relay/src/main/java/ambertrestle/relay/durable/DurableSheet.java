package ambertrestle.relay.durable;

import java.nio.file.Path;

/** What `[durable]` of the operator file says, read and checked there. Times in nanoseconds. */
public record DurableSheet(Path folder, long interval, long mostAge, long mostBytes, long sure) {}
