package ambertrestle.lab;

import ambertrestle.lab.loopback.CrashConsistencyCheck;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Checks that a relay's state files survive the kill of the process that writes them. */
@Command(
        name = "kills",
        mixinStandardHelpOptions = true,
        description = "Kills processes while they write a relay's state, and checks the state files that each leaves.")
final class KillsCommand implements Callable<Integer> {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The shortest durable.interval that a relay accepts. */
    private static final int MIN_INTERVAL_MILLIS = 100;

    @Spec
    private CommandSpec spec;

    @Option(names = "--kills", defaultValue = "1000", description = "Processes to kill; default: ${DEFAULT-VALUE}.")
    private int kills;

    @Option(
            names = "--interval",
            defaultValue = "400",
            description = "durable.interval of the writers, in ms; default: ${DEFAULT-VALUE}.")
    private int interval;

    @Option(
            names = "--backends",
            defaultValue = "1000",
            description = "Backends in the roster; default: ${DEFAULT-VALUE}.")
    private int backends;

    @Option(names = "--pins", defaultValue = "8192", description = "Pins in the state; default: ${DEFAULT-VALUE}.")
    private int pins;

    @Option(names = "--jobs", defaultValue = "3", description = "Writers in parallel; default: ${DEFAULT-VALUE}.")
    private int jobs;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Seed of the random kill times; default: ${DEFAULT-VALUE}.")
    private long seed;

    @Override
    public Integer call() throws Exception {
        if (kills < 1 || interval < MIN_INTERVAL_MILLIS || backends < 1 || pins < 1 || jobs < 1) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--interval must be at least 100, and --kills, --backends, --pins and --jobs at least 1");
        }
        Path workingDirectory = Files.createTempDirectory("kills");
        CrashConsistencyCheck.Report report = new CrashConsistencyCheck(
                        workingDirectory, interval * NANOS_PER_MILLI, backends, pins)
                .run(kills, jobs, seed);
        spec.commandLine()
                .getOut()
                .printf(
                        Locale.ROOT,
                        "%d kills, interval %d ms: %d intact files found, %d writes interrupted, %d invalid files skipped; "
                                + "age of the newest intact file at the kill: mean %d ms, maximum %d ms%n",
                        report.kills(),
                        interval,
                        report.intactFiles(),
                        report.partialFiles(),
                        report.skippedFiles(),
                        report.meanAge() / NANOS_PER_MILLI,
                        report.maxAge() / NANOS_PER_MILLI);
        spec.commandLine().getOut().flush();
        report.failures().forEach(failure -> spec.commandLine().getErr().println(failure));
        if (report.failures().isEmpty()) {
            Files.delete(workingDirectory);
        } else {
            spec.commandLine().getErr().println("the state folders of the failed kills are in " + workingDirectory);
        }
        return report.failures().isEmpty() && report.intactFiles() == kills ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
}
