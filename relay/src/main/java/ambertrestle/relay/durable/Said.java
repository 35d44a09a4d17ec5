package ambertrestle.relay.durable;

import java.util.Map;

/** A line for the log; `bad`: somebody should look. */
public record Said(boolean bad, String event, String line, Map<String, String> fields) {}
