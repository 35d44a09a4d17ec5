package ambertrestle.cli;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.relay.connection.PlacementPreview;
import ambertrestle.relay.server.RelayConfiguration;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The commands of the daemon, with their output and exit codes. */
class CliTest {
    private static final Path SHIPPED_CONFIGURATION = Path.of("..", "deploy", "rehearsal.json");

    @TempDir
    private Path directory;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        CommandLine commandLine = Cli.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
        return commandLine.execute(args);
    }

    private Path writeFile(String name, String text) throws Exception {
        Path file = directory.resolve(name);
        Files.writeString(file, text);
        return file;
    }

    /** Writes a roster of that many backends, all with the same status. */
    private Path writeRoster(int backends, String status) throws Exception {
        JsonArray endpoints = new JsonArray();
        IntStream.rangeClosed(1, backends)
                .forEach(number -> endpoints.add(new JsonObject()
                        .put("name", "s-" + number)
                        .put("address", "127.0.0.1:" + number)
                        .put("status", status)));
        return writeFile(
                "roster.json",
                new JsonObject()
                        .put("index", 1)
                        .put("snapshot", true)
                        .put("endpoints", endpoints)
                        .encode());
    }

    /** Scripts tell wrong usage from faulty input by the exit code. */
    @Test
    void exitsWithZeroOnHelpAndVersionAndTwoOnWrongUsage() {
        assertThat(run("--help")).isZero();
        assertThat(run("--version")).isZero();
        assertThat(out.toString()).contains("Exit codes:").contains("ambertrestle 0.2.0");
        assertThat(run()).isEqualTo(2);
        assertThat(run("serv")).isEqualTo(2);
        assertThat(err.toString()).contains("serv");
        assertThat(run("check", "--config")).isEqualTo(2);
    }

    /** A renamed or newly required key must also be changed in the files under `deploy`. */
    @Test
    void checkAcceptsShippedFiles() {
        assertThat(run(
                        "check",
                        "--config",
                        SHIPPED_CONFIGURATION.toString(),
                        "--operator",
                        Path.of("..", "deploy", "operator.toml").toString()))
                .isZero();
        assertThat(out.toString().strip()).isEqualTo("fine");
    }

    /** Reading must go on after a fault, so that one run of `check` reports all faults of both files. */
    @Test
    void checkReportsEveryFaultOfBothFilesByLineAndKey() throws Exception {
        String json = Files.readString(SHIPPED_CONFIGURATION)
                .replace("\"seed\": \"1\"", "\"seed\": \"x1\"")
                .replace("\"sockets\": 256", "\"sockets\": 12")
                .replace("\"cutOffUs\": 1000000", "\"cutOffUs\": \"soon\"");
        Path config = writeFile("config.json", json);
        Path operator = writeFile("operator.toml", "# mine\n[log]\nformat = \"xml\"\nlevle = 3\n[lgo]\n");
        assertThat(run("check", "--config", config.toString(), "--operator", operator.toString()))
                .isEqualTo(1);
        assertThat(err.toString().lines())
                .containsExactly(
                        config + ":7: settings: useCases.0.cutOff is malformed: expected a number, got soon",
                        config + ":1: seed is malformed: expected 64 bits of hex, got x1",
                        config + ":2: limits.sockets is too small: expected at least 128, got 12",
                        operator + ":3: log.format is not known: expected one of text, json, got xml",
                        operator + ":4: log.levle is not known",
                        operator + ":5: lgo is not known; the nearest known is log");
    }

    /** After a syntax error no key can be read, so the line is all that leads the operator to it. */
    @Test
    void checkReportsLineOfSyntaxError() throws Exception {
        Path config = writeFile("config.json", "{\"name\": \"a\",\n\"seed\" \"1\"}");
        Path operator = writeFile("operator.toml", "[log]\nformat = = 1\n");
        assertThat(run("check", "--config", config.toString(), "--operator", operator.toString()))
                .isEqualTo(1);
        assertThat(err.toString())
                .contains(config + ":2: is not JSON from here on")
                .contains(operator + ":2: is not valid TOML");
        assertThat(run("check", "--config", directory.resolve("nowhere.json").toString()))
                .isEqualTo(1);
        assertThat(err.toString()).contains("nowhere.json:1: cannot be read");
    }

    /** Settings that only the balancer reads must be checked too; otherwise `check` accepts what `serve` refuses. */
    @Test
    void checkReportsFaultsThatOnlyTheBalancerDetects() throws Exception {
        Path missingKey = writeFile(
                "config.json", Files.readString(SHIPPED_CONFIGURATION).replace("\"drainGraceUs\": 1000000, ", ""));
        assertThat(run("check", "--config", missingKey.toString())).isEqualTo(1);
        assertThat(err.toString()).contains("rules.drainGrace is missing");
        Path malformedFlag = writeFile(
                "flag.json",
                Files.readString(SHIPPED_CONFIGURATION)
                        .replace("\"drainGraceUs\"", "\"onlyDrainingBinds\": \"perhaps\", \"drainGraceUs\""));
        assertThat(run("check", "--config", malformedFlag.toString())).isEqualTo(1);
        assertThat(err.toString()).contains("rules.onlyDrainingBinds is not known: perhaps");
        Path malformedNumber = writeFile(
                "silent.json",
                Files.readString(SHIPPED_CONFIGURATION)
                        .replace("\"drainGraceUs\"", "\"askWithinUs\": \"soon\", \"drainGraceUs\""));
        assertThat(run("check", "--config", malformedNumber.toString())).isEqualTo(1);
        assertThat(err.toString()).contains("rules.askWithin is not a number: soon");
    }

    /** The output has one line per key, in the order of the keys, and equal keys get the same backend. */
    @Test
    void placePrintsBackendThatFreshRelaysSelect() throws Exception {
        Path roster = writeRoster(20, "in_service");
        assertThat(run(
                        "place",
                        "--config",
                        SHIPPED_CONFIGURATION.toString(),
                        "--roster",
                        roster.toString(),
                        "ff",
                        "1",
                        "ff"))
                .isZero();
        List<String> lines = out.toString().lines().toList();
        assertThat(lines).hasSize(3);
        assertThat(lines.get(0)).matches("ff s-\\d+").isEqualTo(lines.get(2));
        assertThat(lines.get(1)).matches("1 s-\\d+");
    }

    /**
     * The placement of a key must not depend on the keys placed before it, nor on the seed. It would if the preview
     * retained state of earlier keys, such as their pins or connections; `place` would then print other backends than
     * relays use.
     */
    @Test
    void placementOfOneKeyDoesNotDependOnOtherKeys() throws Exception {
        RelayConfiguration configuration =
                RelayConfiguration.read(Map.of("BALANCER_CONFIG", SHIPPED_CONFIGURATION.toString()));
        var rosterMessage = ambertrestle.relay.wire.RosterMessage.decode(
                new JsonObject(Files.readString(writeRoster(50, "in_service"))));
        PlacementPreview sharedPreview = new PlacementPreview(configuration.reducerConfiguration(), rosterMessage, 1);
        for (long key = 1; key < 300; key++) {
            assertThat(sharedPreview.selectBackend(key))
                    .isEqualTo(new PlacementPreview(
                                    configuration.reducerConfiguration().withSeed(key), rosterMessage, 1)
                            .selectBackend(key));
        }
    }

    /** A malformed key or roster must be reported; otherwise the printed placements would look valid. */
    @Test
    void placePrintsDashWithoutBackendAndRejectsMalformedKey() throws Exception {
        Path emptyRoster = writeRoster(0, "in_service");
        assertThat(run("place", "--config", SHIPPED_CONFIGURATION.toString(), "--roster", emptyRoster.toString(), "ab"))
                .isZero();
        assertThat(out.toString().strip()).isEqualTo("ab -");
        assertThat(run(
                        "place",
                        "--config",
                        SHIPPED_CONFIGURATION.toString(),
                        "--roster",
                        emptyRoster.toString(),
                        "ab",
                        "xyz"))
                .isEqualTo(1);
        assertThat(err.toString()).contains("key 2 is malformed: expected 1 to 16 digits of hex, not 0, got xyz");
        Path malformedRoster = writeRoster(1, "asleep");
        assertThat(run(
                        "place",
                        "--config",
                        SHIPPED_CONFIGURATION.toString(),
                        "--roster",
                        malformedRoster.toString(),
                        "ab"))
                .isEqualTo(1);
        assertThat(err.toString()).contains("is not a valid roster: status of s-1 is not known");
    }

    /** A relay that ignored the faults would run with defaults, such as without persistence. */
    @Test
    void serveRejectsFaultyOperatorFileBeforeStart() throws Exception {
        Path operator = writeFile("operator.toml", "[log]\nformat = 3\n");
        assertThat(run("serve", "--operator", operator.toString())).isEqualTo(1);
        assertThat(err.toString())
                .contains("operator.toml:2: log.format is malformed: expected a string in quotes, got 3");
    }
}
