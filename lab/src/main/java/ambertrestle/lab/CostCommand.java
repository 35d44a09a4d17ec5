package ambertrestle.lab;

import ambertrestle.lab.loopback.RelayOverheadBenchmark;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.toml.TomlDocument;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Measures latency through a relay, latency without it, and the relay's CPU time. */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        description =
                "Measures what an opening and a line cost through one relay and directly to the same test backend.")
final class CostCommand implements Callable<Integer> {
    /** The benchmark adds a quarter of the openings as warm-up, which needs four for at least one. */
    private static final int MIN_OPENS = 4;

    private static final int MAX_OPENS = 1_000_000;
    private static final int MAX_LINES = 100_000;

    @Spec
    private CommandSpec spec;

    @Mixin
    private RelayJarOption relayJar;

    @Option(
            names = "--opens",
            defaultValue = "2000",
            description = "Openings through the relay, and as many directly; default: ${DEFAULT-VALUE}.")
    private int opens;

    @Option(
            names = "--lines",
            defaultValue = "10",
            description = "Lines on each connection; default: ${DEFAULT-VALUE}.")
    private int lines;

    @Override
    public Integer call() throws Exception {
        if (opens < MIN_OPENS || opens > MAX_OPENS || lines < 0 || lines > MAX_LINES) {
            throw new ParameterException(
                    spec.commandLine(), "--opens must be from 4 to 1000000, and --lines from 0 to 100000");
        }
        Scenario scenario = Scenario.read(TomlDocument.parse(
                "cost.toml",
                "name = \"cost\"\n[relays]\ncount = 1\n[[fleet]]\nname = \"s\"\ncount = 1\n"
                        + "[[use-case]]\nname = \"open\"\n"));
        Path workingDirectory = Files.createTempDirectory("ambertrestle-cost");
        try (RelayOverheadBenchmark benchmark =
                new RelayOverheadBenchmark(scenario, relayJar.path(), workingDirectory)) {
            benchmark.measure(opens, lines).forEach(spec.commandLine().getOut()::println);
        }
        spec.commandLine().getOut().flush();
        return ExitCode.SUCCESS;
    }
}
