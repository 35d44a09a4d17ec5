package ambertrestle.relay.toml;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The faults that are reported for a TOML file, and the values that replace faulty ones. */
class TomlDocumentTest {
    /** The faults as they are printed. */
    private static List<String> faultMessages(TomlDocument document) {
        return document.faults().stream().map(TomlDocument.Fault::toString).toList();
    }

    @Test
    void readsDurationsOfEveryUnitAsNanoseconds() {
        TomlDocument.Table rootTable = TomlDocument.parse(
                        "f", "a = \"2us\"\nb = \"1.5ms\"\nc = \"3s\"\nd = \"2m\"\ne = \"1h\"\n")
                .rootTable();
        assertThat(List.of(
                        rootTable.readDurationNanos("a", null),
                        rootTable.readDurationNanos("b", null),
                        rootTable.readDurationNanos("c", null),
                        rootTable.readDurationNanos("d", null),
                        rootTable.readDurationNanos("e", null)))
                .containsExactly(2_000L, 1_500_000L, 3_000_000_000L, 120_000_000_000L, 3_600_000_000_000L);
        assertThat(rootTable.readDurationNanos("f", "250ms")).isEqualTo(250_000_000L);
    }

    /** Reading must go on with a usable value after each fault, so that one pass reports all of them. */
    @Test
    void reportsMalformedOrOutOfRangeValuesAndUsesDefaults() {
        TomlDocument document = TomlDocument.parse("f", "a = \"-1s\"\nb = 5\nc = \"2 s\"\nd = 7\ne = 0.5\n");
        TomlDocument.Table rootTable = document.rootTable();
        assertThat(rootTable.readDurationNanos("a", "1s")).isEqualTo(1_000_000_000L);
        rootTable.readDurationNanos("b", "1s");
        rootTable.readDurationNanos("c", "1s");
        assertThat(rootTable.readLong("d", 1L, 1, 6)).isEqualTo(1);
        rootTable.readLong("e", 1L, 0, 6);
        assertThat(faultMessages(document))
                .hasSize(5)
                .allMatch(fault -> fault.contains("is malformed: expected "))
                .element(3)
                .isEqualTo("f:4: d is malformed: expected a whole number from 1 to 6, got 7");
    }

    /** Faults in an array of tables must name the element; otherwise equal keys could not be told apart. */
    @Test
    void reportsLinesOfFaultsInTablesAndListsOfTables() {
        TomlDocument document = TomlDocument.parse("f", "[a]\nx = 1\n\n[[b]]\ny = 1\n[[b]]\ny = 2\nz = 3\n");
        document.rootTable().readTable("a").reportUnknownKeys();
        document.rootTable().readTables("b").forEach(table -> {
            table.readLong("y", null, 0, 9);
            table.reportUnknownKeys();
        });
        assertThat(faultMessages(document))
                .containsExactly("f:2: a.x is not known", "f:8: b[2].z is not known; the nearest known is y");
    }

    /** A table in place of a value must be reported; otherwise the default would take its place unnoticed. */
    @Test
    void reportsMissingKeyAndTableInPlaceOfValue() {
        TomlDocument document = TomlDocument.parse("f", "[a]\n[b]\n");
        TomlDocument.Table rootTable = document.rootTable();
        rootTable.readString("name", null);
        rootTable.readString("a", "x");
        rootTable.readTables("b");
        assertThat(faultMessages(document))
                .anyMatch(fault -> fault.endsWith("name is missing"))
                .contains(
                        "f:1: a is malformed: expected a string in quotes, got a table",
                        "f:2: b is malformed: expected an array of tables, written [[b]]");
    }
}
