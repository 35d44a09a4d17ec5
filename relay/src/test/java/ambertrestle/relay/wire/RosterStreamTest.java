package ambertrestle.relay.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a watch brings, in any white space and any pieces, is the same list. */
class RosterStreamTest {
    private final List<Heard.Roster> heard = new ArrayList<>();
    private final List<String> broke = new ArrayList<>();
    private RosterStream stream = new RosterStream(heard::add, broke::add);

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
        stream.feed(Buffer.buffer(text));
    }

    private void again() {
        heard.clear();
        stream = new RosterStream(heard::add, broke::add);
    }

    /**
     * Found on reading the fleet's page: an indented list broke the watch again and again, and the relay stayed on an
     * old one.
     */
    @Test
    void theSameListCompactIndentedWithReturnsAndCutAtEveryByteIsTheSameList() {
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
                again();
                feed(text.substring(0, cut));
                feed(text.substring(cut));
                assertThat(heard).extracting(Heard.Roster::message).containsExactly(wanted);
            }
        }
        assertThat(broke).isEmpty();
    }

    @Test
    void severalListsInOnePieceAndEmptyLinesBetweenThem() {
        feed("\r\n\n" + list(1, 1).encode() + list(2, 2).encodePrettily() + "\n\n"
                + list(3, 1).encode() + "\n");
        feed("\n");
        assertThat(heard).extracting(h -> h.message().index()).containsExactly(1L, 2L, 3L);
        assertThat(broke).isEmpty();
    }

    /** What is kept beyond the process says when the list was last heard to stand. */
    @Test
    void onlyAWholeListOrAnEmptyLineSaysThatTheListStands() {
        String list = list(1, 2).encodePrettily();
        feed(list.substring(0, 40));
        assertThat(stream.whole()).isFalse();
        feed(list.substring(40) + "\n");
        assertThat(stream.whole()).isTrue();
        feed("\r\n");
        assertThat(stream.whole()).isTrue();
        feed("nonsense\n");
        assertThat(stream.whole()).isFalse();
    }

    @Test
    void listsOfThousandsAreReadInPiecesOfAnySize() {
        for (int entries : new int[] {1_024, 5_000}) {
            again();
            String text = list(9, entries).encodePrettily();
            for (int from = 0; from < text.length(); from += 1_447) {
                feed(text.substring(from, Math.min(text.length(), from + 1_447)));
            }
            assertThat(heard)
                    .singleElement()
                    .satisfies(h -> assertThat(h.message().lines()).hasSize(entries));
        }
        assertThat(broke).isEmpty();
    }

    @Test
    void aFaultyEntryIsLeftOutAndNamedAndTheRestHolds() {
        JsonObject list = list(5, 4);
        list.getJsonArray("endpoints").getJsonObject(1).put("status", "retired");
        list.getJsonArray("endpoints").getJsonObject(2).remove("address");
        list.getJsonArray("endpoints").add(17).add(new JsonObject().put("status", "in_service"));
        feed(list.encode());
        assertThat(heard).singleElement().satisfies(h -> {
            assertThat(h.message().lines()).extracting(RosterMessage.Line::name).containsExactly("s-0", "s-3");
            assertThat(h.faulty())
                    .containsEntry("s-1", "status of s-1 is not known")
                    .containsEntry("s-2", "address of s-2 is missing")
                    .containsOnlyKeys("s-1", "s-2", "entry 4", "entry 5");
        });
        assertThat(broke).isEmpty();
    }

    @Test
    void whatIsNoListIsToldOnceAndNothingAfterItIsHeard() {
        for (String text : List.of(
                "{\"index\":1,\"endpoints\":[}", "17 ", "{\"snapshot\":true,\"endpoints\":[]}", "{\"index\":\"x\"}")) {
            again();
            broke.clear();
            feed(text);
            feed(list(2, 1).encode());
            assertThat(broke).as(text).singleElement().asString().startsWith("nonsense: ");
            assertThat(heard).isEmpty();
        }
    }

    @Test
    void anObjectWithoutEndIsGivenUpBeforeItFillsTheMemory() {
        feed("{\"index\":1,\"endpoints\":[");
        String entry = list(1, 1).getJsonArray("endpoints").encode();
        for (int sent = 0; sent <= RosterStream.LONGEST && broke.isEmpty(); sent += 10_000) {
            feed((entry.substring(1, entry.length() - 1) + ",").repeat(100));
        }
        assertThat(broke).containsExactly("a message too long");
    }
}
