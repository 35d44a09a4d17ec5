package ambertrestle.relay.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Parsing of the response body of a roster watch, without a socket. */
class RosterStreamParserTest {
    private final List<NetworkEvent.RosterReceived> messages = new ArrayList<>();
    private final List<String> errors = new ArrayList<>();
    private RosterStreamParser parser = new RosterStreamParser(messages::add, errors::add);

    /** A complete roster with valid entries s-0, s-1 and so on. */
    private static JsonObject roster(int version, int entryCount) {
        JsonArray entries = new JsonArray();
        for (int i = 0; i < entryCount; i++) {
            entries.add(new JsonObject()
                    .put("name", "s-" + i)
                    .put("address", "10.0." + i / 250 + "." + i % 250 + ":8000")
                    .put("zone", "a")
                    .put("type", "m2")
                    .put("group", 3)
                    .put("status", "in_service")
                    .put("weight", 1.5)
                    .put("since_ms", 7));
        }
        return new JsonObject().put("index", version).put("snapshot", true).put("endpoints", entries);
    }

    private void feed(String text) {
        parser.feed(Buffer.buffer(text));
    }

    /** Starts a new parser and forgets the messages, but not the errors. */
    private void resetParser() {
        messages.clear();
        parser = new RosterStreamParser(messages::add, errors::add);
    }

    /**
     * A parser that splits messages at line ends fails on indented JSON. The watch then broke again and again, and the
     * relay stayed on an outdated roster.
     */
    @Test
    void parsesSameRosterRegardlessOfWhitespaceAndFragmentation() {
        JsonObject roster = roster(41, 3);
        RosterMessage expected = RosterMessage.decode(roster);
        String indented = roster.encodePrettily();
        for (String text : List.of(
                roster.encode() + "\n",
                indented + "\n",
                indented.replace("\n", "\r\n") + "\r\n",
                indented,
                " \n\t" + indented)) {
            for (int cut = 0; cut <= text.length(); cut++) {
                resetParser();
                feed(text.substring(0, cut));
                feed(text.substring(cut));
                assertThat(messages)
                        .extracting(NetworkEvent.RosterReceived::message)
                        .containsExactly(expected);
            }
        }
        assertThat(errors).isEmpty();
    }

    /** Messages and empty lines that share a chunk must not be lost or merged. */
    @Test
    void parsesSeveralMessagesInOneChunkSeparatedByEmptyLines() {
        feed("\r\n\n" + roster(1, 1).encode() + roster(2, 2).encodePrettily() + "\n\n"
                + roster(3, 1).encode() + "\n");
        feed("\n");
        assertThat(messages).extracting(event -> event.message().version()).containsExactly(1L, 2L, 3L);
        assertThat(errors).isEmpty();
    }

    /**
     * The persisted state records when the roster was last confirmed. If part of a message or malformed input confirmed
     * it, a restarted relay would trust an outdated roster.
     */
    @Test
    void onlyCompleteMessageOrEmptyLineConfirmsRoster() {
        String roster = roster(1, 2).encodePrettily();
        feed(roster.substring(0, 40));
        assertThat(parser.isAtMessageBoundary()).isFalse();
        feed(roster.substring(40) + "\n");
        assertThat(parser.isAtMessageBoundary()).isTrue();
        feed("\r\n");
        assertThat(parser.isAtMessageBoundary()).isTrue();
        feed("nonsense\n");
        assertThat(parser.isAtMessageBoundary()).isFalse();
    }

    /** Large rosters arrive in chunks of about one TCP segment and must stay below the size limit. */
    @Test
    void parsesLargeRostersInChunks() {
        for (int entryCount : new int[] {1_024, 5_000}) {
            resetParser();
            String text = roster(9, entryCount).encodePrettily();
            for (int from = 0; from < text.length(); from += 1_447) {
                feed(text.substring(from, Math.min(text.length(), from + 1_447)));
            }
            assertThat(messages)
                    .singleElement()
                    .satisfies(event -> assertThat(event.message().entries()).hasSize(entryCount));
        }
        assertThat(errors).isEmpty();
    }

    /** One faulty entry must not make the relay reject the whole message and stay on an outdated roster. */
    @Test
    void skipsAndReportsFaultyEntries() {
        JsonObject roster = roster(5, 4);
        roster.getJsonArray("endpoints").getJsonObject(1).put("status", "retired");
        roster.getJsonArray("endpoints").getJsonObject(2).remove("address");
        roster.getJsonArray("endpoints").add(17).add(new JsonObject().put("status", "in_service"));
        feed(roster.encode());
        assertThat(messages).singleElement().satisfies(event -> {
            assertThat(event.message().entries())
                    .extracting(RosterMessage.Entry::name)
                    .containsExactly("s-0", "s-3");
            assertThat(event.faultyEntries())
                    .containsEntry("s-1", "status of s-1 is not known")
                    .containsEntry("s-2", "address of s-2 is missing")
                    .containsOnlyKeys("s-1", "s-2", "entry 4", "entry 5");
        });
        assertThat(errors).isEmpty();
    }

    /**
     * After malformed input, the start of the next message can't be found. The parser must report one error, which ends
     * the watch, and no further message.
     */
    @Test
    void reportsMalformedInputOnceAndIgnoresTheRest() {
        for (String text : List.of(
                "{\"index\":1,\"endpoints\":[}", "17 ", "{\"snapshot\":true,\"endpoints\":[]}", "{\"index\":\"x\"}")) {
            resetParser();
            errors.clear();
            feed(text);
            feed(roster(2, 1).encode());
            assertThat(errors).as(text).singleElement().asString().startsWith("malformed message: ");
            assertThat(messages).isEmpty();
        }
    }

    /** Without the limit, a message that never ends would exhaust the memory of the relay. */
    @Test
    void rejectsMessageAboveSizeLimit() {
        feed("{\"index\":1,\"endpoints\":[");
        String entries = roster(1, 1).getJsonArray("endpoints").encode();
        for (int sentBytes = 0;
                sentBytes <= RosterStreamParser.MAX_MESSAGE_BYTES && errors.isEmpty();
                sentBytes += 10_000) {
            feed((entries.substring(1, entries.length() - 1) + ",").repeat(100));
        }
        assertThat(errors).containsExactly("message exceeds 8388608 bytes");
    }
}
