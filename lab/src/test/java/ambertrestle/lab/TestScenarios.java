package ambertrestle.lab;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.toml.TomlDocument;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Scenarios for tests, in the TOML form of scenario files. */
final class TestScenarios {
    private TestScenarios() {}

    /** Two relays, six backends, and a retriable and a binding use case; 8 s after a warm-up of 2 s, without faults. */
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

    /** Parses {@link #SMALL} with more TOML appended, such as {@code [[trouble]]} tables. */
    static Scenario smallScenario(String extraToml) throws Exception {
        return Scenario.read(TomlDocument.parse("small.toml", SMALL + extraToml));
    }

    /** The scenario files in the lab's folder {@code scenarios}, sorted by path. */
    static List<Path> shippedScenarios() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("scenarios"))) {
            return files.filter(file -> file.toString().endsWith(".toml"))
                    .sorted()
                    .toList();
        }
    }
}
