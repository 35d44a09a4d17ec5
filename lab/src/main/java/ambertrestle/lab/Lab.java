package ambertrestle.lab;

import ambertrestle.lab.loopback.CrashConsistencyCheck;
import ambertrestle.lab.loopback.LoopbackTestbed;
import ambertrestle.lab.loopback.RelayOverheadBenchmark;
import ambertrestle.lab.policy.Policies;
import ambertrestle.lab.report.HtmlReport;
import ambertrestle.lab.report.RunResult;
import ambertrestle.lab.report.Summary;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.simulation.MetricsRecorder;
import ambertrestle.lab.simulation.SimulatedTestbed;
import ambertrestle.relay.server.RelayConfiguration;
import ambertrestle.relay.toml.TomlDocument;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Command line of the lab: runs scenarios in the simulator or against real relays, checks and compares them, and
 * measures costs.
 *
 * <p>Exit codes: 0 success; 1 invalid input, a violated invariant or a failed check; 2 wrong usage; 3 the machine gave
 * the run too little CPU, so its figures are not valid; 130 interrupted.
 */
@Command(
        name = "ambertrestle-lab",
        mixinStandardHelpOptions = true,
        version = "ambertrestle-lab 0.2.0",
        description = "Runs scenarios of fleet failures and overload and reports the service that clients received.",
        subcommands = {
            Lab.DemoCommand.class,
            Lab.RunCommand.class,
            Lab.CheckCommand.class,
            Lab.CompareCommand.class,
            Lab.CostCommand.class,
            Lab.KillsCommand.class
        })
public final class Lab implements Callable<Integer> {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private static final int EXIT_SUCCESS = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    /** The machine gave the run too little CPU, so its figures are not valid. */
    private static final int EXIT_CPU_STARVED = 3;

    /** Interrupted by Ctrl-C: 128 plus the number of SIGINT, as shells report it. */
    private static final int EXIT_INTERRUPTED = 130;

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
                        return EXIT_FAILURE;
                    }
                    throw exception;
                });
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return EXIT_USAGE;
    }

    /** The testbed on which a scenario runs. */
    enum Mode {
        /** Simulated relays, backends and clients in this process, in virtual time. */
        MODEL,
        /** Real relay processes on loopback, with backends and clients in this process, in real time. */
        SOCKETS
    }

    /** Runs a scenario once for each policy and seed, and writes the reports. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Runs a scenario and writes summary.json and report.html. Exit code 3: too little CPU for a valid result.")
    static final class RunCommand implements Callable<Integer> {
        private static final int MAX_SEEDS = 1000;
        private static final long PROGRESS_INTERVAL_MILLIS = 500;

        /** Limits how long an interrupted process waits for its reports before it exits. */
        private static final long REPORT_TIMEOUT_SECONDS = 20;

        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "The scenario file, TOML.")
        private Path file;

        @Option(
                names = "--mode",
                defaultValue = "MODEL",
                description =
                        "Testbed: the simulator (model) or real relays on loopback (sockets). Values: ${COMPLETION-CANDIDATES}.")
        private Mode mode;

        @Option(
                names = "--policy",
                split = ",",
                defaultValue = "module",
                description =
                        "Policies that select backends, separated by commas. Values: module, random, least, two, maglev, oracle.")
        private List<String> policies;

        @Option(names = "--seeds", defaultValue = "1", description = "A seed, or a range such as 1-10.")
        private String seeds;

        @Option(
                names = "--jobs",
                defaultValue = "0",
                description = "Runs in parallel, in the model only; 0: one per core.")
        private int jobs;

        /** The relay's jar; null means the jar from the same build. */
        @Option(names = "--jar", description = "The relay's jar, for sockets; default: the one from the same build.")
        private Path jar;

        /** Overrides the scenario's state persistence; null leaves the scenario's setting. */
        @Option(
                names = "--kept",
                arity = "1",
                paramLabel = "true|false",
                description = "Whether learned state survives a relay's restart; default: as the scenario sets it.")
        private Boolean persistsState;

        /** Directory of the reports; null means lab-out and the scenario's file name without ".toml". */
        @Option(names = "--out", description = "Folder for the reports; default: lab-out/NAME.")
        private Path out;

        /** Set by the shutdown hook; runs stop at the end of their current second. */
        private final AtomicBoolean stopRequested = new AtomicBoolean();

        /** Released when the reports are written, so that an interrupted process may exit. */
        private final CountDownLatch reportsWritten = new CountDownLatch(1);

        /** Seconds of the scenario that have passed, warm-up included; the key is the policy followed by the seed. */
        private final ConcurrentHashMap<String, Integer> elapsedSecondsByRun = new ConcurrentHashMap<>();

        @Override
        public Integer call() throws Exception {
            Scenario scenario = persistsState == null
                    ? Scenario.read(file)
                    : Scenario.read(file).withStatePersistence(persistsState);
            for (String policy : policies) {
                if (!Policies.NAMES.contains(policy)) {
                    throw new ParameterException(
                            spec.commandLine(),
                            "--policy " + policy + " is not known: expected one of "
                                    + String.join(", ", Policies.NAMES));
                }
            }
            if (mode == Mode.SOCKETS && !policies.equals(List.of("module"))) {
                throw new ParameterException(
                        spec.commandLine(),
                        "--policy applies only to --mode model: on sockets the relay uses the policy that it ships with");
            }
            List<Long> seedValues = parseSeeds();
            Thread interruptHook = new Thread(this::awaitReportsOnInterrupt, "interrupted");
            Runtime.getRuntime().addShutdownHook(interruptHook);
            long startedAt = System.nanoTime();
            List<RunResult> results =
                    mode == Mode.MODEL ? runAllInModel(scenario, seedValues) : runAllOnSockets(scenario, seedValues);
            Path outputDirectory = writeRunReports(scenario, results);
            reportsWritten.countDown();
            for (RunResult result : results) {
                spec.commandLine()
                        .getOut()
                        .printf(
                                Locale.ROOT,
                                "%-8s seed %-4d share %.4f  rules %s%s%n",
                                result.policy(),
                                result.seed(),
                                result.benefitShare(),
                                result.isCpuStarved()
                                        ? "not judged: STARVED of CPU, no result "
                                                + result.metrics()
                                                        .getJsonArray("costs")
                                                        .encode()
                                        : result.invariantsHeld()
                                                ? "kept"
                                                : "BROKEN "
                                                        + result.metrics()
                                                                .getJsonObject("breaches")
                                                                .encode(),
                                result.isComplete() ? "" : "  (cut short)");
            }
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "%d runs in %.1f s; %s%n",
                            results.size(),
                            (System.nanoTime() - startedAt) / 1e9,
                            outputDirectory.resolve("report.html"));
            spec.commandLine().getOut().flush();
            if (stopRequested.get()) {
                return EXIT_INTERRUPTED;
            }
            Runtime.getRuntime().removeShutdownHook(interruptHook);
            return results.stream().anyMatch(RunResult::isCpuStarved)
                    ? EXIT_CPU_STARVED
                    : results.stream()
                                    .filter(result -> result.policy().equals("module"))
                                    .allMatch(RunResult::invariantsHeld)
                            ? EXIT_SUCCESS
                            : EXIT_FAILURE;
        }

        /**
         * Shutdown hook for Ctrl-C: stops the runs and delays the exit until the reports of the finished and
         * interrupted runs are written.
         */
        private void awaitReportsOnInterrupt() {
            stopRequested.set(true);
            try {
                reportsWritten.await(REPORT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Returns the seeds of --seeds in ascending order; fails as wrong usage if it is malformed. */
        private List<Long> parseSeeds() {
            if (!seeds.matches("\\d{1,15}(-\\d{1,15})?")) {
                throw new ParameterException(
                        spec.commandLine(),
                        "--seeds is malformed: expected a seed or a range such as 1-10, got " + seeds);
            }
            String[] rangeEnds = seeds.split("-");
            long first = Long.parseLong(rangeEnds[0]);
            long last = Long.parseLong(rangeEnds[rangeEnds.length - 1]);
            if (last < first || last - first > MAX_SEEDS - 1) {
                throw new ParameterException(
                        spec.commandLine(), "--seeds is malformed: expected 1 to 1000 seeds, got " + seeds);
            }
            List<Long> seedValues = new ArrayList<>();
            for (long seed = first; seed <= last; seed++) {
                seedValues.add(seed);
            }
            return seedValues;
        }

        /** Runs every policy with every seed in parallel. Runs that had not started when a stop came are left out. */
        private List<RunResult> runAllInModel(Scenario scenario, List<Long> seedValues)
                throws InterruptedException, RelayConfiguration.InvalidConfigurationException {
            ExecutorService executor = Executors.newFixedThreadPool(
                    jobs > 0 ? jobs : Runtime.getRuntime().availableProcessors());
            List<Future<RunResult>> runs = new ArrayList<>();
            for (String policy : policies) {
                for (long seed : seedValues) {
                    runs.add(executor.submit(() -> runInModel(scenario, policy, seed)));
                }
            }
            executor.shutdown();
            while (!executor.awaitTermination(PROGRESS_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
                printProgress(scenario, runs.size());
            }
            List<RunResult> results = new ArrayList<>();
            for (Future<RunResult> run : runs) {
                try {
                    RunResult result = run.get();
                    if (result != null) {
                        results.add(result);
                    }
                } catch (ExecutionException e) {
                    throw new IllegalStateException("a run failed: " + e.getCause(), e.getCause());
                }
            }
            return results;
        }

        /**
         * Runs the seeds one after another: runs in parallel would compete for CPU and distort each other's results.
         */
        private List<RunResult> runAllOnSockets(Scenario scenario, List<Long> seedValues)
                throws IOException, InterruptedException {
            List<RunResult> results = new ArrayList<>();
            Path relayDirectory = outputDirectory().resolve("relays");
            for (long seed : seedValues) {
                if (stopRequested.get()) {
                    break;
                }
                LoopbackTestbed testbed =
                        LoopbackTestbed.create(scenario, seed, jar != null ? jar : defaultJar(), relayDirectory);
                boolean completed = testbed.run(second -> {
                    elapsedSecondsByRun.put("module" + seed, second);
                    printProgress(scenario, seedValues.size());
                    return !stopRequested.get();
                });
                results.add(RunResult.of(
                                "module",
                                seed,
                                completed,
                                testbed.metrics,
                                testbed.invariantChecker,
                                testbed.eventLog(),
                                testbed.connectionTotals(),
                                testbed.badClientCount(),
                                testbed.unansweredBadClientCount())
                        .addResourceUsage(testbed.resourceUsage(), testbed.isCpuStarved()));
            }
            return results;
        }

        private Path outputDirectory() {
            return out == null
                    ? Path.of("lab-out", file.getFileName().toString().replaceAll("\\.toml$", ""))
                    : out;
        }

        /** Returns null if a stop was requested before the run started. */
        private RunResult runInModel(Scenario scenario, String policy, long seed)
                throws RelayConfiguration.InvalidConfigurationException {
            if (stopRequested.get()) {
                return null;
            }
            SimulatedTestbed testbed = new SimulatedTestbed(scenario, policy, seed);
            boolean completed = testbed.run(second -> {
                elapsedSecondsByRun.put(policy + seed, second);
                return !stopRequested.get();
            });
            return RunResult.of(
                    policy,
                    seed,
                    completed,
                    testbed.metrics,
                    testbed.invariantChecker,
                    testbed.eventLog(),
                    testbed.connectionTotals(),
                    testbed.badClientCount(),
                    testbed.unansweredBadClientCount());
        }

        /** Overwrites the progress line on standard error. */
        private void printProgress(Scenario scenario, int runCount) {
            long secondsPerRun = scenario.endTime() / NANOS_PER_SECOND;
            long elapsedSeconds = elapsedSecondsByRun.values().stream()
                    .mapToLong(Integer::longValue)
                    .sum();
            System.err.printf(
                    Locale.ROOT,
                    "\r%s: %d%% of %d runs ",
                    scenario.name(),
                    Math.min(100, 100 * elapsedSeconds / Math.max(1, secondsPerRun * runCount)),
                    runCount);
            System.err.flush();
        }

        /** Moves the cursor to the start of the progress line, writes the reports and returns their directory. */
        private Path writeRunReports(Scenario scenario, List<RunResult> results) throws IOException {
            System.err.print("\r");
            Path outputDirectory = outputDirectory();
            writeReports(outputDirectory, scenario, mode, results);
            return outputDirectory;
        }
    }

    /** Parses scenario files and reports every error in them. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Checks scenario files and reports every error, without running them.")
    static final class CheckCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", arity = "1..*", description = "The scenario files, TOML.")
        private List<Path> files;

        @Override
        public Integer call() {
            int exitCode = EXIT_SUCCESS;
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
                    exitCode = EXIT_FAILURE;
                }
            }
            return exitCode;
        }
    }

    /** Compares the benefit shares in the summaries of two runs. */
    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "Compares two runs and marks the differences that exceed the spread over seeds.")
    static final class CompareCommand implements Callable<Integer> {
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
            return EXIT_SUCCESS;
        }
    }

    /** Checks that a relay's state files survive the kill of the process that writes them. */
    @Command(
            name = "kills",
            mixinStandardHelpOptions = true,
            description =
                    "Kills processes while they write a relay's state, and checks the state files that each leaves.")
    static final class KillsCommand implements Callable<Integer> {
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
            return report.failures().isEmpty() && report.intactFiles() == kills ? EXIT_SUCCESS : EXIT_FAILURE;
        }
    }

    /** Writes summary.json and report.html; creates the directory if it doesn't exist. */
    private static void writeReports(Path outputDirectory, Scenario scenario, Mode mode, List<RunResult> results)
            throws IOException {
        Files.createDirectories(outputDirectory);
        JsonObject summary = Summary.of(scenario.name(), mode.name().toLowerCase(Locale.ROOT), results)
                .put("says", scenario.description());
        Files.writeString(outputDirectory.resolve("summary.json"), summary.encodePrettily() + "\n");
        Files.writeString(outputDirectory.resolve("report.html"), HtmlReport.render(summary, results));
    }

    /** Returns the path of the relay's jar from the same build as the lab's jar. */
    private static Path defaultJar() {
        try {
            Path labJar = Path.of(Lab.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            return labJar.getParent()
                    .resolve("../../relay/target/ambertrestle.jar")
                    .normalize();
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads the scenario of the {@code demo} command from the class path. */
    private static Scenario readDemoScenario() throws IOException, Scenario.InvalidScenarioException {
        try (InputStream input = Lab.class.getResourceAsStream("demo.toml")) {
            return Scenario.read(
                    TomlDocument.parse("demo.toml", new String(input.readAllBytes(), StandardCharsets.UTF_8)));
        }
    }

    /** Runs a short scenario on real relays and prints one line of figures a second. */
    @Command(
            name = "demo",
            mixinStandardHelpOptions = true,
            description =
                    "Runs two real relays on loopback with simulated backends and clients for half a minute: a drain, a killed backend, a killed relay.")
    static final class DemoCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        /** The relay's jar; null means the jar from the same build. */
        @Option(names = "--jar", description = "The relay's jar; default: the one from the same build.")
        private Path jar;

        @Option(
                names = "--out",
                defaultValue = "lab-out/demo",
                description = "Folder for the report; default: ${DEFAULT-VALUE}.")
        private Path out;

        @Override
        public Integer call() throws Exception {
            PrintWriter output = spec.commandLine().getOut();
            Scenario scenario = readDemoScenario();
            LoopbackTestbed testbed =
                    LoopbackTestbed.create(scenario, 1, jar != null ? jar : defaultJar(), out.resolve("relays"));
            output.println(scenario.description() + " Each line is one second.");
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
            // Events already printed; an array, because the lambda below changes the number.
            int[] printedEventCount = new int[1];
            boolean completed = testbed.run(second -> {
                int seriesIndex = second - 1 - (int) (scenario.warmUp() / NANOS_PER_SECOND);
                if (seriesIndex >= 0) {
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
                            String.join(
                                    ", ",
                                    testbed.eventLog()
                                            .subList(
                                                    printedEventCount[0],
                                                    testbed.eventLog().size())));
                    printedEventCount[0] = testbed.eventLog().size();
                }
                output.flush();
                return true;
            });
            RunResult result = RunResult.of(
                            "module",
                            1,
                            completed,
                            testbed.metrics,
                            testbed.invariantChecker,
                            testbed.eventLog(),
                            testbed.connectionTotals(),
                            0,
                            0)
                    .addResourceUsage(testbed.resourceUsage(), testbed.isCpuStarved());
            writeReports(out, scenario, Mode.SOCKETS, List.of(result));
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
            return result.isCpuStarved() ? EXIT_CPU_STARVED : result.invariantsHeld() ? EXIT_SUCCESS : EXIT_FAILURE;
        }

        /** Returns the value of a series in the given second after the warm-up, counted from 0. */
        private static double valueAt(LoopbackTestbed testbed, MetricsRecorder.Series series, int seriesIndex) {
            return testbed.metrics.valuesPerSecond(series)[seriesIndex];
        }
    }

    /** Measures latency through a relay, latency without it, and the relay's CPU time. */
    @Command(
            name = "cost",
            mixinStandardHelpOptions = true,
            description =
                    "Measures what an opening and a line cost through one relay and directly to the same test backend.")
    static final class CostCommand implements Callable<Integer> {
        /** The benchmark adds a quarter of the openings as warm-up, which needs four for at least one. */
        private static final int MIN_OPENS = 4;

        private static final int MAX_OPENS = 1_000_000;
        private static final int MAX_LINES = 100_000;

        @Spec
        private CommandSpec spec;

        /** The relay's jar; null means the jar from the same build. */
        @Option(names = "--jar", description = "The relay's jar; default: the one from the same build.")
        private Path jar;

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
                    new RelayOverheadBenchmark(scenario, jar != null ? jar : defaultJar(), workingDirectory)) {
                benchmark.measure(opens, lines).forEach(spec.commandLine().getOut()::println);
            }
            spec.commandLine().getOut().flush();
            return EXIT_SUCCESS;
        }
    }
}
