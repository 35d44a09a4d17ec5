package ambertrestle.lab;

import ambertrestle.lab.scenario.Scenario;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * Command line of the lab: runs scenarios in the simulator or against real relays, checks and compares them, and
 * measures costs.
 *
 * <p>{@link ExitCode} has the exit codes.
 */
@Command(
        name = "ambertrestle-lab",
        mixinStandardHelpOptions = true,
        version = "ambertrestle-lab 0.2.0",
        description = "Runs scenarios of fleet failures and overload and reports the service that clients received.",
        subcommands = {
            DemoCommand.class,
            RunCommand.class,
            CheckCommand.class,
            CompareCommand.class,
            CostCommand.class,
            KillsCommand.class
        })
public final class Lab implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(commandLine().execute(args));
    }

    /** Creates the command line with all subcommands. Enum values are matched without regard to case. */
    static CommandLine commandLine() {
        return new CommandLine(new Lab())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((exception, failedCommand, parseResult) -> {
                    // Without this handler, a missing or invalid file prints a stack trace, which hides the one line
                    // that names the problem.
                    if (exception instanceof IOException || exception instanceof Scenario.InvalidScenarioException) {
                        failedCommand.getErr().println(exception.getMessage());
                        return ExitCode.FAILURE;
                    }
                    throw exception;
                });
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return ExitCode.USAGE;
    }
}
