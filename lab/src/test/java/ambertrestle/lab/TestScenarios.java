package ambertrestle.lab;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.toml.TomlDocument;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Small scenarios for tests, written as users write them. */
final class TestScenarios {
    private TestScenarios() {}

    static final String SMALL =
            """
            name = "small"
            warm-up = "2s"
            length = "8s"
            [relays]
            count = 2
            [[fleet]]
            name = "a"
            count = 6
            zone = "west"
            [groups]
            count = 40
            [[use-case]]
            name = "view"
            effect = "retriable"
            rate = 40.0
            life = "3s"
            [[use-case]]
            name = "pay"
            effect = "binding"
            rate = 40.0
            life = "2s"
            """;

    static Scenario smallScenario(String more) throws Exception {
        return Scenario.read(TomlDocument.parse("small.toml", SMALL + more));
    }

    static List<Path> shippedScenarios() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("scenarios"))) {
            return files.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
        }
    }
}
