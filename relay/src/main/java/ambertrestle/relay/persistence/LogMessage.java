package ambertrestle.relay.persistence;

import java.util.Map;

/** A line for the log; `bad`: somebody should look. */
public record LogMessage(boolean isWarning, String event, String text, Map<String, String> fields) {}
