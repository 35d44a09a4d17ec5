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

    private static String relay = "";

    private Log() {}

    /** Before the first line; `name` is the relay's, a field of every line in JSON. */
    static void configure(Format form, String name) {
        relay = name;
        Formatter formatter = form == Format.JSON ? new JsonFormatter() : new TextFormatter();
        for (Handler handler : java.util.logging.Logger.getLogger("").getHandlers()) {
            handler.setFormatter(formatter);
        }
    }

    static void log(Level level, String event, String line, Map<String, String> fields) {
        LOG.log(level, line, new LogEvent(event, fields));
    }

    static void log(Level level, String event, String line) {
        log(level, event, line, Map.of());
    }

    static void logFailure(String event, String line, Throwable why) {
        StringWriter trace = new StringWriter();
        why.printStackTrace(new PrintWriter(trace));
        log(Level.ERROR, event, line, Map.of("trace", trace.toString().strip()));
    }

    /** Lines of libraries have no happening: their logger's name stands for the event. */
    private static LogEvent eventOf(LogRecord record) {
        Object[] riding = record.getParameters();
        return riding != null && riding.length == 1 && riding[0] instanceof LogEvent h
                ? h
                : new LogEvent(String.valueOf(record.getLoggerName()), Map.of());
    }

    private static String level(LogRecord record) {
        return record.getLevel().intValue() >= java.util.logging.Level.SEVERE.intValue()
                ? "ERROR"
                : record.getLevel().getName();
    }

    static final class TextFormatter extends Formatter {
        private static final DateTimeFormatter TIME =
                DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

        @Override
        public String format(LogRecord record) {
            LogEvent h = eventOf(record);
            StringBuilder out = new StringBuilder(160);
            TIME.formatTo(record.getInstant(), out);
            out.append(' ')
                    .append(level(record))
                    .append(' ')
                    .append(h.event)
                    .append(": ")
                    .append(
                            h.fields.isEmpty() && h.event.equals(record.getLoggerName())
                                    ? formatMessage(record)
                                    : record.getMessage());
            h.fields.forEach(
                    (name, value) -> out.append(name.equals("trace") ? System.lineSeparator() : " " + name + "=")
                            .append(value));
            if (record.getThrown() != null) {
                out.append(" (").append(record.getThrown()).append(')');
            }
            return out.append(System.lineSeparator()).toString();
        }
    }

    static final class JsonFormatter extends Formatter {
        private final JsonFactory factory = new JsonFactory();

        @Override
        public String format(LogRecord record) {
            LogEvent h = eventOf(record);
            StringWriter out = new StringWriter(240);
            try (JsonGenerator json = factory.createGenerator(out)) {
                json.writeStartObject();
                json.writeStringField(
                        "time", Instant.ofEpochMilli(record.getMillis()).toString());
                json.writeStringField("level", level(record));
                json.writeStringField("event", h.event);
                json.writeStringField("relay", relay);
                json.writeStringField(
                        "message",
                        h.fields.isEmpty() && h.event.equals(record.getLoggerName())
                                ? formatMessage(record)
                                : record.getMessage());
                for (Map.Entry<String, String> field : h.fields.entrySet()) {
                    json.writeStringField(field.getKey(), field.getValue());
                }
                if (record.getThrown() != null) {
                    json.writeStringField("thrown", record.getThrown().toString());
                }
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return out.append(System.lineSeparator()).toString();
        }
    }
}
