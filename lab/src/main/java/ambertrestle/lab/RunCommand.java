package ambertrestle.lab;

import ambertrestle.lab.loopback.LoopbackTestbed;
import ambertrestle.lab.policy.Policies;
import ambertrestle.lab.report.RunResult;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.simulation.SimulatedTestbed;
import ambertrestle.relay.server.RelayConfiguration;
import java.io.IOException;
import java.io.PrintWriter;
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
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs a scenario once for each policy and seed, and writes the reports. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description =
                "Runs a scenario and writes summary.json and report.html. Exit code 3: too little CPU for a valid result.")
final class RunCommand implements Callable<Integer> {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
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
    private RunMode mode;

    @Option(
            names = "--policy",
            split = ",",
            defaultValue = "module",
            description =
                    "Policies that select backends, separated by commas. Values: module, random, least, two, maglev, oracle.")
    private List<String> policies;

    @Option(names = "--seeds", defaultValue = "1", description = "A seed, or a range such as 1-10.")
    private String seeds;

    @Option(names = "--jobs", defaultValue = "0", description = "Runs in parallel, in the model only; 0: one per core.")
    private int jobs;

    @Mixin
    private RelayJarOption relayJar;

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
        checkPolicies();
        List<Long> seedValues = parseSeeds();
        Thread interruptHook = new Thread(this::awaitReportsOnInterrupt, "interrupted");
        Runtime.getRuntime().addShutdownHook(interruptHook);
        long startedAt = System.nanoTime();
        List<RunResult> results =
                mode == RunMode.MODEL ? runAllInModel(scenario, seedValues) : runAllOnSockets(scenario, seedValues);
        // Moves the cursor to the start of the progress line.
        System.err.print("\r");
        RunReports.write(outputDirectory(), scenario, mode, results);
        reportsWritten.countDown();
        printResults(results, System.nanoTime() - startedAt);
        if (stopRequested.get()) {
            return ExitCode.INTERRUPTED;
        }
        Runtime.getRuntime().removeShutdownHook(interruptHook);
        return exitCode(results);
    }

    /** Fails as wrong usage if --policy names an unknown policy, or one that the mode does not run. */
    private void checkPolicies() {
        for (String policy : policies) {
            if (!Policies.NAMES.contains(policy)) {
                throw new ParameterException(
                        spec.commandLine(),
                        "--policy " + policy + " is not known: expected one of " + String.join(", ", Policies.NAMES));
            }
        }
        if (mode == RunMode.SOCKETS && !policies.equals(List.of("module"))) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--policy applies only to --mode model: on sockets the relay uses the policy that it ships with");
        }
    }

    /** Prints a line for each run, then the duration of all runs, in nanoseconds, and where the report is. */
    private void printResults(List<RunResult> results, long duration) {
        PrintWriter output = spec.commandLine().getOut();
        for (RunResult result : results) {
            output.printf(
                    Locale.ROOT,
                    "%-8s seed %-4d share %.4f  rules %s%s%n",
                    result.policy(),
                    result.seed(),
                    result.benefitShare(),
                    describeInvariants(result),
                    result.isComplete() ? "" : "  (cut short)");
        }
        output.printf(
                Locale.ROOT,
                "%d runs in %.1f s; %s%n",
                results.size(),
                duration / (double) NANOS_PER_SECOND,
                outputDirectory().resolve("report.html"));
        output.flush();
    }

    private static String describeInvariants(RunResult result) {
        if (result.isCpuStarved()) {
            return "not judged: STARVED of CPU, no result "
                    + result.metrics().getJsonArray("costs").encode();
        }
        return result.invariantsHeld()
                ? "kept"
                : "BROKEN " + result.metrics().getJsonObject("breaches").encode();
    }

    /** Only the relay's own policy has to keep the invariants; the baselines may break them. */
    private static int exitCode(List<RunResult> results) {
        if (results.stream().anyMatch(RunResult::isCpuStarved)) {
            return ExitCode.CPU_STARVED;
        }
        return results.stream()
                        .filter(result -> result.policy().equals("module"))
                        .allMatch(RunResult::invariantsHeld)
                ? ExitCode.SUCCESS
                : ExitCode.FAILURE;
    }

    /**
     * Shutdown hook for Ctrl-C: stops the runs and delays the exit until the reports of the finished and interrupted
     * runs are written.
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
                    spec.commandLine(), "--seeds is malformed: expected a seed or a range such as 1-10, got " + seeds);
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

    /** Runs the seeds one after another: runs in parallel would compete for CPU and distort each other's results. */
    private List<RunResult> runAllOnSockets(Scenario scenario, List<Long> seedValues)
            throws IOException, InterruptedException {
        List<RunResult> results = new ArrayList<>();
        Path relayDirectory = outputDirectory().resolve("relays");
        for (long seed : seedValues) {
            if (stopRequested.get()) {
                break;
            }
            LoopbackTestbed testbed = LoopbackTestbed.create(scenario, seed, relayJar.path(), relayDirectory);
            boolean completed = testbed.run(second -> {
                elapsedSecondsByRun.put("module" + seed, second);
                printProgress(scenario, seedValues.size());
                return !stopRequested.get();
            });
            results.add(RunResult.of("module", seed, completed, testbed)
                    .addResourceUsage(testbed.resourceUsage(), testbed.isCpuStarved()));
        }
        return results;
    }

    private Path outputDirectory() {
        return out == null ? Path.of("lab-out", file.getFileName().toString().replaceAll("\\.toml$", "")) : out;
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
        return RunResult.of(policy, seed, completed, testbed);
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
}
