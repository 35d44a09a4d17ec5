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

class CliTest {
    private static final Path REHEARSAL = Path.of("..", "deploy", "rehearsal.json");

    @TempDir
    private Path dir;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        CommandLine line = Cli.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
        return line.execute(args);
    }

    private Path file(String name, String text) throws Exception {
        Path file = dir.resolve(name);
        Files.writeString(file, text);
        return file;
    }

    private Path roster(int backends, String status) throws Exception {
        JsonArray list = new JsonArray();
        IntStream.rangeClosed(1, backends)
                .forEach(i -> list.add(new JsonObject()
                        .put("name", "s-" + i)
                        .put("address", "127.0.0.1:" + i)
                        .put("status", status)));
        return file(
                "roster.json",
                new JsonObject()
                        .put("index", 1)
                        .put("snapshot", true)
                        .put("endpoints", list)
                        .encode());
    }

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

    @Test
    void checkAcceptsShippedFiles() {
        assertThat(run(
                        "check",
                        "--config",
                        REHEARSAL.toString(),
                        "--operator",
                        Path.of("..", "deploy", "operator.toml").toString()))
                .isZero();
        assertThat(out.toString().strip()).isEqualTo("fine");
    }

    @Test
    void checkReportsEveryFaultOfBothFilesByLineAndKey() throws Exception {
        String json = Files.readString(REHEARSAL)
                .replace("\"seed\": \"1\"", "\"seed\": \"x1\"")
                .replace("\"sockets\": 256", "\"sockets\": 12")
                .replace("\"cutOffUs\": 1000000", "\"cutOffUs\": \"soon\"");
        Path config = file("config.json", json);
        Path operator = file("operator.toml", "# mine\n[log]\nformat = \"xml\"\nlevle = 3\n[lgo]\n");
        assertThat(run("check", "--config", config.toString(), "--operator", operator.toString()))
                .isEqualTo(1);
        assertThat(err.toString().lines())
                .containsExactly(
                        config + ":7: settings: useCases.0.cutOff is malformed: expected a number, got soon",
                        config + ":1: seed is malformed: expected 64 bits of hex, got x1",
                        config + ":2: limits.sockets is too small: expected 128 at least, got 12",
                        operator + ":3: log.format is not known: expected one of text, json, got xml",
                        operator + ":4: log.levle is not known",
                        operator + ":5: lgo is not known; the nearest known is log");
    }

    @Test
    void checkReportsLineOfSyntaxError() throws Exception {
        Path config = file("config.json", "{\"name\": \"a\",\n\"seed\" \"1\"}");
        Path operator = file("operator.toml", "[log]\nformat = = 1\n");
        assertThat(run("check", "--config", config.toString(), "--operator", operator.toString()))
                .isEqualTo(1);
        assertThat(err.toString())
                .contains(config + ":2: is not JSON from here on")
                .contains(operator + ":2: is no TOML");
        assertThat(run("check", "--config", dir.resolve("nowhere.json").toString()))
                .isEqualTo(1);
        assertThat(err.toString()).contains("nowhere.json:1: cannot be read");
    }

    @Test
    void checkReportsFaultsThatOnlyTheBalancerDetects() throws Exception {
        Path config = file("config.json", Files.readString(REHEARSAL).replace("\"drainGraceUs\": 1000000, ", ""));
        assertThat(run("check", "--config", config.toString())).isEqualTo(1);
        assertThat(err.toString()).contains("rules.drainGrace is missing");
        Path flag = file(
                "flag.json",
                Files.readString(REHEARSAL)
                        .replace("\"drainGraceUs\"", "\"onlyDrainingBinds\": \"perhaps\", \"drainGraceUs\""));
        assertThat(run("check", "--config", flag.toString())).isEqualTo(1);
        assertThat(err.toString()).contains("rules.onlyDrainingBinds is not known: perhaps");
        Path silent = file(
                "silent.json",
                Files.readString(REHEARSAL).replace("\"drainGraceUs\"", "\"askWithinUs\": \"soon\", \"drainGraceUs\""));
        assertThat(run("check", "--config", silent.toString())).isEqualTo(1);
        assertThat(err.toString()).contains("rules.askWithin is not a number: soon");
    }

    @Test
    void placePrintsBackendThatFreshRelaysSelect() throws Exception {
        Path roster = roster(20, "in_service");
        assertThat(run("place", "--config", REHEARSAL.toString(), "--roster", roster.toString(), "ff", "1", "ff"))
                .isZero();
        List<String> lines = out.toString().lines().toList();
        assertThat(lines).hasSize(3);
        assertThat(lines.get(0)).matches("ff s-\\d+").isEqualTo(lines.get(2));
        assertThat(lines.get(1)).matches("1 s-\\d+");
    }

    /** Nothing that one key does may move another: all at once as each alone. */
    @Test
    void keysAreIndependent() throws Exception {
        RelayConfiguration sheet = RelayConfiguration.read(Map.of("BALANCER_CONFIG", REHEARSAL.toString()));
        var message = ambertrestle.relay.wire.RosterMessage.decode(
                new JsonObject(Files.readString(roster(50, "in_service"))));
        PlacementPreview together = new PlacementPreview(sheet.reducerConfiguration(), message, 1);
        for (long key = 1; key < 300; key++) {
            assertThat(together.selectBackend(key))
                    .isEqualTo(new PlacementPreview(sheet.reducerConfiguration().withSeed(key), message, 1)
                            .selectBackend(key));
        }
    }

    @Test
    void placePrintsDashWithoutBackendAndRejectsMalformedKey() throws Exception {
        Path none = roster(0, "in_service");
        assertThat(run("place", "--config", REHEARSAL.toString(), "--roster", none.toString(), "ab"))
                .isZero();
        assertThat(out.toString().strip()).isEqualTo("ab -");
        assertThat(run("place", "--config", REHEARSAL.toString(), "--roster", none.toString(), "ab", "xyz"))
                .isEqualTo(1);
        assertThat(err.toString()).contains("key 2 is malformed: expected 1 to 16 digits of hex, not 0, got xyz");
        Path wrong = roster(1, "asleep");
        assertThat(run("place", "--config", REHEARSAL.toString(), "--roster", wrong.toString(), "ab"))
                .isEqualTo(1);
        assertThat(err.toString()).contains("is no roster: status of s-1 is not known");
    }

    @Test
    void serveRejectsFaultyOperatorFileBeforeStart() throws Exception {
        Path operator = file("operator.toml", "[log]\nformat = 3\n");
        assertThat(run("serve", "--operator", operator.toString())).isEqualTo(1);
        assertThat(err.toString())
                .contains("operator.toml:2: log.format is malformed: expected a text in quotes, got 3");
    }
}
