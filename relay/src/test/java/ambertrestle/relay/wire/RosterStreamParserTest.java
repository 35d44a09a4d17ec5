package ambertrestle.relay.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a watch brings, in any white space and any pieces, is the same list. */
class RosterStreamParserTest {
    private final List<NetworkEvent.RosterReceived> messages = new ArrayList<>();
    private final List<String> errors = new ArrayList<>();
    private RosterStreamParser parser = new RosterStreamParser(messages::add, errors::add);

    private static JsonObject list(int index, int entries) {
        JsonArray all = new JsonArray();
        for (int i = 0; i < entries; i++) {
            all.add(new JsonObject()
                    .put("name", "s-" + i)
                    .put("address", "10.0." + i / 250 + "." + i % 250 + ":8000")
                    .put("zone", "a")
                    .put("type", "m2")
                    .put("group", 3)
                    .put("status", "in_service")
                    .put("weight", 1.5)
                    .put("since_ms", 7));
        }
        return new JsonObject().put("index", index).put("snapshot", true).put("endpoints", all);
    }

    private void feed(String text) {
        parser.feed(Buffer.buffer(text));
    }

    private void reset() {
        messages.clear();
        parser = new RosterStreamParser(messages::add, errors::add);
    }

    /**
     * Found on reading the fleet's page: an indented list broke the watch again and again, and the relay stayed on an
     * old one.
     */
    @Test
    void parsesSameRosterRegardlessOfWhitespaceAndFragmentation() {
        JsonObject list = list(41, 3);
        RosterMessage wanted = RosterMessage.decode(list);
        String indented = list.encodePrettily();
        for (String text : List.of(
                list.encode() + "\n",
                indented + "\n",
                indented.replace("\n", "\r\n") + "\r\n",
                indented,
                " \n\t" + indented)) {
            for (int cut = 0; cut <= text.length(); cut++) {
                reset();
                feed(text.substring(0, cut));
                feed(text.substring(cut));
                assertThat(messages)
                        .extracting(NetworkEvent.RosterReceived::message)
                        .containsExactly(wanted);
            }
        }
        assertThat(errors).isEmpty();
    }

    @Test
    void parsesSeveralMessagesInOneChunkSeparatedByEmptyLines() {
        feed("\r\n\n" + list(1, 1).encode() + list(2, 2).encodePrettily() + "\n\n"
                + list(3, 1).encode() + "\n");
        feed("\n");
        assertThat(messages).extracting(h -> h.message().version()).containsExactly(1L, 2L, 3L);
        assertThat(errors).isEmpty();
    }

    /** What is kept beyond the process says when the list was last heard to stand. */
    @Test
    void onlyCompleteMessageOrEmptyLineConfirmsRoster() {
        String list = list(1, 2).encodePrettily();
        feed(list.substring(0, 40));
        assertThat(parser.isAtMessageBoundary()).isFalse();
        feed(list.substring(40) + "\n");
        assertThat(parser.isAtMessageBoundary()).isTrue();
        feed("\r\n");
        assertThat(parser.isAtMessageBoundary()).isTrue();
        feed("nonsense\n");
        assertThat(parser.isAtMessageBoundary()).isFalse();
    }

    @Test
    void parsesLargeRostersInChunks() {
        for (int entries : new int[] {1_024, 5_000}) {
            reset();
            String text = list(9, entries).encodePrettily();
            for (int from = 0; from < text.length(); from += 1_447) {
                feed(text.substring(from, Math.min(text.length(), from + 1_447)));
            }
            assertThat(messages)
                    .singleElement()
                    .satisfies(h -> assertThat(h.message().entries()).hasSize(entries));
        }
        assertThat(errors).isEmpty();
    }

    @Test
    void skipsAndReportsFaultyEntries() {
        JsonObject list = list(5, 4);
        list.getJsonArray("endpoints").getJsonObject(1).put("status", "retired");
        list.getJsonArray("endpoints").getJsonObject(2).remove("address");
        list.getJsonArray("endpoints").add(17).add(new JsonObject().put("status", "in_service"));
        feed(list.encode());
        assertThat(messages).singleElement().satisfies(h -> {
            assertThat(h.message().entries())
                    .extracting(RosterMessage.Entry::name)
                    .containsExactly("s-0", "s-3");
            assertThat(h.faultyEntries())
                    .containsEntry("s-1", "status of s-1 is not known")
                    .containsEntry("s-2", "address of s-2 is missing")
                    .containsOnlyKeys("s-1", "s-2", "entry 4", "entry 5");
        });
        assertThat(errors).isEmpty();
    }

    @Test
    void reportsMalformedInputOnceAndIgnoresTheRest() {
        for (String text : List.of(
                "{\"index\":1,\"endpoints\":[}", "17 ", "{\"snapshot\":true,\"endpoints\":[]}", "{\"index\":\"x\"}")) {
            reset();
            errors.clear();
            feed(text);
            feed(list(2, 1).encode());
            assertThat(errors).as(text).singleElement().asString().startsWith("nonsense: ");
            assertThat(messages).isEmpty();
        }
    }

    @Test
    void rejectsMessageAboveSizeLimit() {
        feed("{\"index\":1,\"endpoints\":[");
        String entry = list(1, 1).getJsonArray("endpoints").encode();
        for (int sent = 0; sent <= RosterStreamParser.MAX_MESSAGE_BYTES && errors.isEmpty(); sent += 10_000) {
            feed((entry.substring(1, entry.length() - 1) + ",").repeat(100));
        }
        assertThat(errors).containsExactly("a message too long");
    }
}
