package ambertrestle.relay.persistence;

import java.util.Map;

/**
 * A log line to be written by the caller.
 *
 * @param isWarning true for level WARNING, false for INFO
 * @param event the event name, by which operators filter log lines
 * @param fields additional fields by name
 */
public record LogMessage(boolean isWarning, String event, String text, Map<String, String> fields) {}
