package ambertrestle.lab;

import ambertrestle.lab.loopback.LoopbackTestbed;
import ambertrestle.lab.report.RunResult;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.simulation.MetricsRecorder;
import ambertrestle.relay.toml.TomlDocument;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs a short scenario on real relays and prints one line of figures a second. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Runs two real relays on loopback with simulated backends and clients for half a minute: a drain, a killed backend, a killed relay.")
final class DemoCommand implements Callable<Integer> {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    @Spec
    private CommandSpec spec;

    @Mixin
    private RelayJarOption relayJar;

    @Option(
            names = "--out",
            defaultValue = "lab-out/demo",
            description = "Folder for the report; default: ${DEFAULT-VALUE}.")
    private Path out;

    /** Lines of the testbed's event log that are printed already. */
    private int printedEventCount;

    @Override
    public Integer call() throws Exception {
        PrintWriter output = spec.commandLine().getOut();
        Scenario scenario = readDemoScenario();
        LoopbackTestbed testbed = LoopbackTestbed.create(scenario, 1, relayJar.path(), out.resolve("relays"));
        output.println(scenario.description() + " Each line is one second.");
        printHeader(output);
        int warmUpSeconds = (int) (scenario.warmUp() / NANOS_PER_SECOND);
        boolean completed = testbed.run(second -> {
            int seriesIndex = second - 1 - warmUpSeconds;
            if (seriesIndex >= 0) {
                printSecond(output, testbed, seriesIndex);
            }
            output.flush();
            return true;
        });
        RunResult result = RunResult.of("module", 1, completed, testbed)
                .addResourceUsage(testbed.resourceUsage(), testbed.isCpuStarved());
        RunReports.write(out, scenario, RunMode.SOCKETS, List.of(result));
        printSummary(output, testbed, result);
        if (result.isCpuStarved()) {
            return ExitCode.CPU_STARVED;
        }
        return result.invariantsHeld() ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }

    private static void printHeader(PrintWriter output) {
        output.printf(
                "%4s %8s %8s %6s %6s %6s %6s %7s %6s %9s  %s%n",
                "s",
                "offered",
                "benefit",
                "up",
                "shed",
                "forf.",
                "moved",
                "broken",
                "open",
                "queue ms",
                "what happens");
    }

    /** Prints the figures of a second after the warm-up, counted from 0, and the events since the last line. */
    private void printSecond(PrintWriter output, LoopbackTestbed testbed, int seriesIndex) {
        List<String> eventLog = testbed.eventLog();
        List<String> newEvents = eventLog.subList(printedEventCount, eventLog.size());
        output.printf(
                Locale.ROOT,
                "%4d %8.0f %8.0f %6.0f %6.0f %6.0f %6.0f %7.0f %6.0f %9.0f  %s%n",
                seriesIndex + 1,
                valueAt(testbed, MetricsRecorder.Series.OFFERED_BENEFIT, seriesIndex),
                valueAt(testbed, MetricsRecorder.Series.BENEFIT, seriesIndex),
                valueAt(testbed, MetricsRecorder.Series.ESTABLISHED, seriesIndex),
                valueAt(testbed, MetricsRecorder.Series.SHED, seriesIndex),
                valueAt(testbed, MetricsRecorder.Series.FORFEITED, seriesIndex),
                valueAt(testbed, MetricsRecorder.Series.MOVED, seriesIndex),
                valueAt(testbed, MetricsRecorder.Series.BROKEN, seriesIndex),
                valueAt(testbed, MetricsRecorder.Series.OPEN_CONNECTIONS, seriesIndex),
                valueAt(testbed, MetricsRecorder.Series.MAX_QUEUE_DELAY, seriesIndex),
                String.join(", ", newEvents));
        printedEventCount = eventLog.size();
    }

    private void printSummary(PrintWriter output, LoopbackTestbed testbed, RunResult result) {
        output.printf("connections, warm-up included: %s%n", testbed.connectionTotals());
        output.printf(
                Locale.ROOT,
                "share of the benefit offered: %.3f; rules %s%s%n%s%nreport: %s%n",
                result.benefitShare(),
                result.invariantsHeld() ? "kept" : "BROKEN",
                result.isCpuStarved() ? " (this machine gave too little CPU: no result)" : "",
                String.join(System.lineSeparator(), testbed.resourceUsage()),
                out.resolve("report.html"));
        output.flush();
    }

    /** Returns the value of a series in the given second after the warm-up, counted from 0. */
    private static double valueAt(LoopbackTestbed testbed, MetricsRecorder.Series series, int seriesIndex) {
        return testbed.metrics.valuesPerSecond(series)[seriesIndex];
    }

    /** Reads the scenario from the class path. */
    private static Scenario readDemoScenario() throws IOException, Scenario.InvalidScenarioException {
        try (InputStream input = DemoCommand.class.getResourceAsStream("demo.toml")) {
            return Scenario.read(
                    TomlDocument.parse("demo.toml", new String(input.readAllBytes(), StandardCharsets.UTF_8)));
        }
    }
}
