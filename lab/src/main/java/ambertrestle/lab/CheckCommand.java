package ambertrestle.lab;

import ambertrestle.lab.scenario.Scenario;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Parses scenario files and reports every error in them. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks scenario files and reports every error, without running them.")
final class CheckCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", arity = "1..*", description = "The scenario files, TOML.")
    private List<Path> files;

    @Override
    public Integer call() {
        int exitCode = ExitCode.SUCCESS;
        for (Path file : files) {
            try {
                Scenario scenario = Scenario.read(file);
                spec.commandLine()
                        .getOut()
                        .printf(
                                "%s: %d relays, %d backends, %d troubles: fine%n",
                                file,
                                scenario.relays().count(),
                                scenario.backendCount(),
                                scenario.troubles().size());
            } catch (IOException | Scenario.InvalidScenarioException e) {
                spec.commandLine().getErr().println(e.getMessage());
                exitCode = ExitCode.FAILURE;
            }
        }
        return exitCode;
    }
}
