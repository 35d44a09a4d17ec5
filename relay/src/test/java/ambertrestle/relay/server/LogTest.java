package ambertrestle.relay.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** The text and JSON formats of log lines, which operators' tools parse. */
class LogTest {
    /** Runs the action and returns what it logs, formatted. */
    private static List<String> formatLogged(Formatter formatter, Runnable action) {
        List<String> lines = new ArrayList<>();
        Handler handler = new Handler() {
            @Override
            public void publish(LogRecord record) {
                lines.add(formatter.format(record));
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        Logger logger = Logger.getLogger("ambertrestle");
        logger.addHandler(handler);
        try {
            action.run();
        } finally {
            logger.removeHandler(handler);
        }
        return lines;
    }

    /** The message has braces and quotes, which must be written as they are. */
    private static void logSampleEvent() {
        Log.log(
                System.Logger.Level.INFO,
                "backend-garbled",
                "a backend sent {0} \"no line\"",
                new TreeMap<>(Map.of("association", "ff01", "backend", "b:1", "useCase", "read")));
    }

    @Test
    void formatsTextLineWithTimeLevelEventMessageAndFields() {
        assertThat(formatLogged(new Log.TextFormatter(), LogTest::logSampleEvent))
                .singleElement()
                .asString()
                .matches(
                        "\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z INFO backend-garbled: a backend sent \\{0\\} \"no line\""
                                + " association=ff01 backend=b:1 useCase=read\\R");
    }

    /** A line break within an object would split it for tools that read one object per line. */
    @Test
    void formatsJsonLineAsOneObject() {
        List<String> lines = formatLogged(new Log.JsonFormatter(), LogTest::logSampleEvent);
        assertThat(lines).singleElement().asString().doesNotContain("\n ");
        JsonObject json = new JsonObject(lines.get(0));
        assertThat(json.getString("event")).isEqualTo("backend-garbled");
        assertThat(json.getString("message")).isEqualTo("a backend sent {0} \"no line\"");
        assertThat(json.getString("association") + json.getString("backend") + json.getString("useCase"))
                .isEqualTo("ff01b:1read");
        assertThat(json.getString("level")).isEqualTo("INFO");
        assertThat(json.getInstant("time")).isNotNull();
    }

    /** A stack trace on lines of its own would break tools that read one JSON object per line. */
    @Test
    void putsStackTraceOfFailureInOneField() {
        assertThat(formatLogged(
                        new Log.JsonFormatter(),
                        () -> Log.logFailure("event-failed", "an event failed", new IllegalStateException("why"))))
                .singleElement()
                .satisfies(line -> assertThat(new JsonObject(line).getString("trace"))
                        .startsWith("java.lang.IllegalStateException: why")
                        .contains("LogTest"));
    }

    /**
     * Messages of libraries have no event object as parameter. They must be logged with their parameters in place, not
     * as a message without them or not at all.
     */
    @Test
    void usesLoggerNameAsEventOfLibraryMessages() {
        assertThat(formatLogged(new Log.TextFormatter(), () -> Logger.getLogger("ambertrestle.other")
                        .log(java.util.logging.Level.WARNING, "{0} left", 3)))
                .singleElement()
                .asString()
                .contains("WARNING ambertrestle.other: 3 left");
    }
}
