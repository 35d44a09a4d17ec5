package ambertrestle.lab;

import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.sheet.Sheet;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Small scenarios for tests, written as users write them. */
final class Worlds {
    private Worlds() {}

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

    static Scenario small(String more) throws Exception {
        return Scenario.read(Sheet.parse("small.toml", SMALL + more));
    }

    static List<Path> shipped() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("scenarios"))) {
            return files.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
        }
    }
}
