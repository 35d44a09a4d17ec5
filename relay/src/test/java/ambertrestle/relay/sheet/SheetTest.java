package ambertrestle.relay.sheet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class SheetTest {
    private static List<String> faults(Sheet sheet) {
        return sheet.faults().stream().map(Sheet.Fault::toString).toList();
    }

    @Test
    void timesAreWholeNanosecondsInEveryUnit() {
        Sheet.Part top = Sheet.parse("f", "a = \"2us\"\nb = \"1.5ms\"\nc = \"3s\"\nd = \"2m\"\ne = \"1h\"\n")
                .top();
        assertThat(List.of(
                        top.time("a", null),
                        top.time("b", null),
                        top.time("c", null),
                        top.time("d", null),
                        top.time("e", null)))
                .containsExactly(2_000L, 1_500_000L, 3_000_000_000L, 120_000_000_000L, 3_600_000_000_000L);
        assertThat(top.time("f", "250ms")).isEqualTo(250_000_000L);
    }

    @Test
    void whatIsNoTimeOrOutOfBoundsIsNamedAndTheDefaultStands() {
        Sheet sheet = Sheet.parse("f", "a = \"-1s\"\nb = 5\nc = \"2 s\"\nd = 7\ne = 0.5\n");
        Sheet.Part top = sheet.top();
        assertThat(top.time("a", "1s")).isEqualTo(1_000_000_000L);
        top.time("b", "1s");
        top.time("c", "1s");
        assertThat(top.whole("d", 1L, 1, 6)).isEqualTo(1);
        top.whole("e", 1L, 0, 6);
        assertThat(faults(sheet))
                .hasSize(5)
                .allMatch(f -> f.contains("is malformed: expected "))
                .element(3)
                .isEqualTo("f:4: d is malformed: expected a whole number from 1 to 6, got 7");
    }

    @Test
    void faultsInTablesAndListsOfTablesHaveTheirPlaces() {
        Sheet sheet = Sheet.parse("f", "[a]\nx = 1\n\n[[b]]\ny = 1\n[[b]]\ny = 2\nz = 3\n");
        sheet.top().part("a").end();
        sheet.top().parts("b").forEach(b -> {
            b.whole("y", null, 0, 9);
            b.end();
        });
        assertThat(faults(sheet))
                .containsExactly("f:2: a.x is not known", "f:8: b[2].z is not known; the nearest known is y");
    }

    @Test
    void aMissingKeyAndATableInItsPlaceAreNamed() {
        Sheet sheet = Sheet.parse("f", "[a]\n[b]\n");
        Sheet.Part top = sheet.top();
        top.text("name", null);
        top.text("a", "x");
        top.parts("b");
        assertThat(faults(sheet))
                .anyMatch(f -> f.endsWith("name is missing"))
                .contains(
                        "f:1: a is malformed: expected a text in quotes, got a table",
                        "f:2: b is malformed: expected tables written [[b]]");
    }
}
