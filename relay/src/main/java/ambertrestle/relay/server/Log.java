package ambertrestle.relay.server;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * The log of a relay: one line per event on standard error, with time, level, event name, message and named fields.
 * Messages go through System.Logger to java.util.logging. Jackson writes the JSON format; its classes are loaded only
 * if that format is selected.
 */
public final class Log {
    /** TEXT: one line of plain text per event. JSON: one JSON object per line. */
    public enum Format {
        TEXT,
        JSON
    }

    /** Initial capacity, in characters, of the buffer for a line of text; it grows as needed. */
    private static final int INITIAL_TEXT_LENGTH = 160;
    /** The same for a line of JSON. */
    private static final int INITIAL_JSON_LENGTH = 240;

    private static final Logger LOG = System.getLogger("ambertrestle");

    /** Event name and fields of a message, passed as the only parameter of its log record. */
    private record LogEvent(String event, Map<String, String> fields) {}

    /** The value of the field `relay` in JSON lines. */
    private static String relayName = "";

    private Log() {}

    /** Sets the format of all lines and the relay's name. To be called before the first message. */
    static void configure(Format format, String name) {
        relayName = name;
        Formatter formatter = format == Format.JSON ? new JsonFormatter() : new TextFormatter();
        for (Handler handler : java.util.logging.Logger.getLogger("").getHandlers()) {
            handler.setFormatter(formatter);
        }
    }

    /** Logs a message that is written as it is: braces in it are not placeholders. */
    static void log(Level level, String event, String message, Map<String, String> fields) {
        LOG.log(level, message, new LogEvent(event, fields));
    }

    /** Logs a message without fields. */
    static void log(Level level, String event, String message) {
        log(level, event, message, Map.of());
    }

    /** Logs at level ERROR, with the stack trace in the field `trace`. */
    static void logFailure(String event, String message, Throwable failure) {
        StringWriter stackTrace = new StringWriter();
        failure.printStackTrace(new PrintWriter(stackTrace));
        log(Level.ERROR, event, message, Map.of("trace", stackTrace.toString().strip()));
    }

    /**
     * The event of a record. Messages of libraries have none: their event has the name of their logger and no fields.
     * The formatters recognize them by this and, unlike in messages of the relay, replace placeholders such as {0} in
     * them.
     */
    private static LogEvent eventOf(LogRecord record) {
        Object[] parameters = record.getParameters();
        return parameters != null && parameters.length == 1 && parameters[0] instanceof LogEvent logEvent
                ? logEvent
                : new LogEvent(String.valueOf(record.getLoggerName()), Map.of());
    }

    /** The level's name, with ERROR in place of SEVERE. */
    private static String levelName(LogRecord record) {
        return record.getLevel().intValue() >= java.util.logging.Level.SEVERE.intValue()
                ? "ERROR"
                : record.getLevel().getName();
    }

    /** Writes `time LEVEL event: message field=value ...`; a stack trace follows on lines of its own. */
    static final class TextFormatter extends Formatter {
        private static final DateTimeFormatter TIME =
                DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

        @Override
        public String format(LogRecord record) {
            LogEvent logEvent = eventOf(record);
            StringBuilder line = new StringBuilder(INITIAL_TEXT_LENGTH);
            TIME.formatTo(record.getInstant(), line);
            line.append(' ')
                    .append(levelName(record))
                    .append(' ')
                    .append(logEvent.event)
                    .append(": ")
                    .append(
                            logEvent.fields.isEmpty() && logEvent.event.equals(record.getLoggerName())
                                    ? formatMessage(record)
                                    : record.getMessage());
            logEvent.fields.forEach(
                    (name, value) -> line.append(name.equals("trace") ? System.lineSeparator() : " " + name + "=")
                            .append(value));
            if (record.getThrown() != null) {
                line.append(" (").append(record.getThrown()).append(')');
            }
            return line.append(System.lineSeparator()).toString();
        }
    }

    /** Writes one JSON object per line, with time, level, event, relay and message before the other fields. */
    static final class JsonFormatter extends Formatter {
        private final JsonFactory factory = new JsonFactory();

        @Override
        public String format(LogRecord record) {
            LogEvent logEvent = eventOf(record);
            StringWriter line = new StringWriter(INITIAL_JSON_LENGTH);
            try (JsonGenerator json = factory.createGenerator(line)) {
                json.writeStartObject();
                json.writeStringField(
                        "time", Instant.ofEpochMilli(record.getMillis()).toString());
                json.writeStringField("level", levelName(record));
                json.writeStringField("event", logEvent.event);
                json.writeStringField("relay", relayName);
                json.writeStringField(
                        "message",
                        logEvent.fields.isEmpty() && logEvent.event.equals(record.getLoggerName())
                                ? formatMessage(record)
                                : record.getMessage());
                for (Map.Entry<String, String> field : logEvent.fields.entrySet()) {
                    json.writeStringField(field.getKey(), field.getValue());
                }
                if (record.getThrown() != null) {
                    json.writeStringField("thrown", record.getThrown().toString());
                }
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return line.append(System.lineSeparator()).toString();
        }
    }
}
