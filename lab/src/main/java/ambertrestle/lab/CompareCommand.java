package ambertrestle.lab;

import ambertrestle.lab.report.Summary;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Compares the benefit shares in the summaries of two runs. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description = "Compares two runs and marks the differences that exceed the spread over seeds.")
final class CompareCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "A", description = "Folder of the first run, or its summary.json.")
    private Path baselinePath;

    @Parameters(index = "1", paramLabel = "B", description = "Folder of the second run, or its summary.json.")
    private Path candidatePath;

    @Override
    public Integer call() throws IOException {
        spec.commandLine().getOut().print(Summary.compare(baselinePath, candidatePath));
        spec.commandLine().getOut().flush();
        return ExitCode.SUCCESS;
    }
}
