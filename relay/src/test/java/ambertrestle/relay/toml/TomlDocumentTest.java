package ambertrestle.relay.toml;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class TomlDocumentTest {
    private static List<String> faults(TomlDocument sheet) {
        return sheet.faults().stream().map(TomlDocument.Fault::toString).toList();
    }

    @Test
    void readsDurationsOfEveryUnitAsNanoseconds() {
        TomlDocument.Table top = TomlDocument.parse(
                        "f", "a = \"2us\"\nb = \"1.5ms\"\nc = \"3s\"\nd = \"2m\"\ne = \"1h\"\n")
                .rootTable();
        assertThat(List.of(
                        top.readDurationNanos("a", null),
                        top.readDurationNanos("b", null),
                        top.readDurationNanos("c", null),
                        top.readDurationNanos("d", null),
                        top.readDurationNanos("e", null)))
                .containsExactly(2_000L, 1_500_000L, 3_000_000_000L, 120_000_000_000L, 3_600_000_000_000L);
        assertThat(top.readDurationNanos("f", "250ms")).isEqualTo(250_000_000L);
    }

    @Test
    void reportsMalformedOrOutOfRangeValuesAndUsesDefaults() {
        TomlDocument sheet = TomlDocument.parse("f", "a = \"-1s\"\nb = 5\nc = \"2 s\"\nd = 7\ne = 0.5\n");
        TomlDocument.Table top = sheet.rootTable();
        assertThat(top.readDurationNanos("a", "1s")).isEqualTo(1_000_000_000L);
        top.readDurationNanos("b", "1s");
        top.readDurationNanos("c", "1s");
        assertThat(top.readLong("d", 1L, 1, 6)).isEqualTo(1);
        top.readLong("e", 1L, 0, 6);
        assertThat(faults(sheet))
                .hasSize(5)
                .allMatch(f -> f.contains("is malformed: expected "))
                .element(3)
                .isEqualTo("f:4: d is malformed: expected a whole number from 1 to 6, got 7");
    }

    @Test
    void reportsLinesOfFaultsInTablesAndListsOfTables() {
        TomlDocument sheet = TomlDocument.parse("f", "[a]\nx = 1\n\n[[b]]\ny = 1\n[[b]]\ny = 2\nz = 3\n");
        sheet.rootTable().readTable("a").reportUnknownKeys();
        sheet.rootTable().readTables("b").forEach(b -> {
            b.readLong("y", null, 0, 9);
            b.reportUnknownKeys();
        });
        assertThat(faults(sheet))
                .containsExactly("f:2: a.x is not known", "f:8: b[2].z is not known; the nearest known is y");
    }

    @Test
    void reportsMissingKeyAndTableInPlaceOfValue() {
        TomlDocument sheet = TomlDocument.parse("f", "[a]\n[b]\n");
        TomlDocument.Table top = sheet.rootTable();
        top.readString("name", null);
        top.readString("a", "x");
        top.readTables("b");
        assertThat(faults(sheet))
                .anyMatch(f -> f.endsWith("name is missing"))
                .contains(
                        "f:1: a is malformed: expected a text in quotes, got a table",
                        "f:2: b is malformed: expected tables written [[b]]");
    }
}
