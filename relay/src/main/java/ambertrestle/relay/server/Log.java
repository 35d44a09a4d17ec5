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
 * What a relay logs: one line a happening on standard error, with time, level, event name, words, and named fields.
 * System.Logger is the face, the JDK's own logging stands behind it, and Jackson writes JSON; only text is loaded at a
 * start that asks for no JSON.
 */
public final class Log {
    /** How lines are written. */
    public enum Format {
        TEXT,
        JSON
    }

    private static final Logger LOG = System.getLogger("ambertrestle");
    /** Rides on a log record as its parameter. */
    private record LogEvent(String event, Map<String, String> fields) {}

    private static String relayName = "";

    private Log() {}

    /** Before the first line; `name` is the relay's, a field of every line in JSON. */
    static void configure(Format format, String name) {
        relayName = name;
        Formatter formatter = format == Format.JSON ? new JsonFormatter() : new TextFormatter();
        for (Handler handler : java.util.logging.Logger.getLogger("").getHandlers()) {
            handler.setFormatter(formatter);
        }
    }

    static void log(Level level, String event, String message, Map<String, String> fields) {
        LOG.log(level, message, new LogEvent(event, fields));
    }

    static void log(Level level, String event, String message) {
        log(level, event, message, Map.of());
    }

    static void logFailure(String event, String message, Throwable failure) {
        StringWriter stackTrace = new StringWriter();
        failure.printStackTrace(new PrintWriter(stackTrace));
        log(Level.ERROR, event, message, Map.of("trace", stackTrace.toString().strip()));
    }

    /** Lines of libraries have no happening: their logger's name stands for the event. */
    private static LogEvent eventOf(LogRecord record) {
        Object[] parameters = record.getParameters();
        return parameters != null && parameters.length == 1 && parameters[0] instanceof LogEvent logEvent
                ? logEvent
                : new LogEvent(String.valueOf(record.getLoggerName()), Map.of());
    }

    private static String levelName(LogRecord record) {
        return record.getLevel().intValue() >= java.util.logging.Level.SEVERE.intValue()
                ? "ERROR"
                : record.getLevel().getName();
    }

    static final class TextFormatter extends Formatter {
        private static final DateTimeFormatter TIME =
                DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

        @Override
        public String format(LogRecord record) {
            LogEvent logEvent = eventOf(record);
            StringBuilder line = new StringBuilder(160);
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

    static final class JsonFormatter extends Formatter {
        private final JsonFactory factory = new JsonFactory();

        @Override
        public String format(LogRecord record) {
            LogEvent logEvent = eventOf(record);
            StringWriter line = new StringWriter(240);
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
