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
 * The proving ground's command line. Exit codes: 0 fine, 1 faulty input or a broken rule, 2 wrong usage, 130
 * interrupted.
 */
@Command(
        name = "ambertrestle-lab",
        mixinStandardHelpOptions = true,
        version = "ambertrestle-lab 0.2.0",
        description = "Plays scenarios of a fleet in trouble and reports what clients got.",
        subcommands = {
            Lab.DemoCommand.class,
            Lab.RunCommand.class,
            Lab.CheckCommand.class,
            Lab.CompareCommand.class,
            Lab.CostCommand.class,
            Lab.KillsCommand.class
        })
public final class Lab implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        return new CommandLine(new Lab())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((e, line, result) -> {
                    // Danger: a stack trace for a file that is missing hides the one line that helps.
                    if (e instanceof IOException || e instanceof Scenario.InvalidScenarioException) {
                        line.getErr().println(e.getMessage());
                        return 1;
                    }
                    throw e;
                });
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    /** What a run is played on. */
    enum Mode {
        MODEL,
        SOCKETS
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Plays a scenario and writes summary.json and report.html. Exit code 3: starved of CPU.")
    static final class RunCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "The scenario, TOML.")
        private Path file;

        @Option(
                names = "--mode",
                defaultValue = "MODEL",
                description = "What it is played on: ${COMPLETION-CANDIDATES}.")
        private Mode mode;

        @Option(
                names = "--policy",
                split = ",",
                defaultValue = "module",
                description =
                        "Who decides; several with commas between. Known: module, random, least, two, maglev, oracle.")
        private List<String> policies;

        @Option(names = "--seeds", defaultValue = "1", description = "A seed, or a range such as 1-10.")
        private String seeds;

        @Option(names = "--jobs", defaultValue = "0", description = "Runs side by side; 0: one a core.")
        private int jobs;

        @Option(names = "--jar", description = "The daemon's jar, for sockets; default: the one built beside this.")
        private Path jar;

        @Option(
                names = "--kept",
                arity = "1",
                paramLabel = "true|false",
                description = "Whether what a relay learned survives it; default: as the scenario says.")
        private Boolean persistsState;

        @Option(names = "--out", description = "Where the reports go; default: lab-out/NAME.")
        private Path out;

        private final AtomicBoolean stopRequested = new AtomicBoolean();
        private final CountDownLatch reportsWritten = new CountDownLatch(1);
        private final ConcurrentHashMap<String, Integer> progress = new ConcurrentHashMap<>();

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
                        "--policy is for the model: on sockets the daemon decides as it is shipped");
            }
            List<Long> all = parseSeeds();
            Thread hook = new Thread(this::awaitReportsOnInterrupt, "interrupted");
            Runtime.getRuntime().addShutdownHook(hook);
            long began = System.nanoTime();
            List<RunResult> results =
                    mode == Mode.MODEL ? runAllInModel(scenario, all) : runAllOnSockets(scenario, all);
            Path dir = write(scenario, results);
            reportsWritten.countDown();
            for (RunResult r : results) {
                spec.commandLine()
                        .getOut()
                        .printf(
                                Locale.ROOT,
                                "%-8s seed %-4d share %.4f  rules %s%s%n",
                                r.policy(),
                                r.seed(),
                                r.benefitShare(),
                                r.isCpuStarved()
                                        ? "not judged: STARVED of CPU, no result "
                                                + r.metrics()
                                                        .getJsonArray("costs")
                                                        .encode()
                                        : r.invariantsHeld()
                                                ? "kept"
                                                : "BROKEN "
                                                        + r.metrics()
                                                                .getJsonObject("breaches")
                                                                .encode(),
                                r.isComplete() ? "" : "  (cut short)");
            }
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "%d runs in %.1f s; %s%n",
                            results.size(),
                            (System.nanoTime() - began) / 1e9,
                            dir.resolve("report.html"));
            spec.commandLine().getOut().flush();
            if (stopRequested.get()) {
                return 130;
            }
            Runtime.getRuntime().removeShutdownHook(hook);
            return results.stream().anyMatch(RunResult::isCpuStarved)
                    ? 3
                    : results.stream().filter(r -> r.policy().equals("module")).allMatch(RunResult::invariantsHeld)
                            ? 0
                            : 1;
        }

        /** Ctrl-C: what was run is still written. */
        private void awaitReportsOnInterrupt() {
            stopRequested.set(true);
            try {
                reportsWritten.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private List<Long> parseSeeds() {
            if (!seeds.matches("\\d{1,15}(-\\d{1,15})?")) {
                throw new ParameterException(
                        spec.commandLine(),
                        "--seeds is malformed: expected a seed or a range such as 1-10, got " + seeds);
            }
            String[] ends = seeds.split("-");
            long first = Long.parseLong(ends[0]);
            long last = Long.parseLong(ends[ends.length - 1]);
            if (last < first || last - first > 999) {
                throw new ParameterException(
                        spec.commandLine(), "--seeds is malformed: expected 1 to 1000 seeds, got " + seeds);
            }
            List<Long> all = new ArrayList<>();
            for (long s = first; s <= last; s++) {
                all.add(s);
            }
            return all;
        }

        private List<RunResult> runAllInModel(Scenario scenario, List<Long> all)
                throws InterruptedException, RelayConfiguration.InvalidConfigurationException {
            ExecutorService pool = Executors.newFixedThreadPool(
                    jobs > 0 ? jobs : Runtime.getRuntime().availableProcessors());
            List<Future<RunResult>> runs = new ArrayList<>();
            for (String policy : policies) {
                for (long seed : all) {
                    runs.add(pool.submit(() -> runInModel(scenario, policy, seed)));
                }
            }
            pool.shutdown();
            while (!pool.awaitTermination(500, TimeUnit.MILLISECONDS)) {
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

        /** One after the other: side by side they would take each other's cores. */
        private List<RunResult> runAllOnSockets(Scenario scenario, List<Long> all)
                throws IOException, InterruptedException {
            List<RunResult> results = new ArrayList<>();
            Path dir = out().resolve("relays");
            for (long seed : all) {
                if (stopRequested.get()) {
                    break;
                }
                LoopbackTestbed world = LoopbackTestbed.create(scenario, seed, jar != null ? jar : defaultJar(), dir);
                boolean whole = world.run(second -> {
                    progress.put("module" + seed, second);
                    printProgress(scenario, all.size());
                    return !stopRequested.get();
                });
                results.add(RunResult.of(
                                "module",
                                seed,
                                whole,
                                world.metrics,
                                world.invariantChecker,
                                world.eventLog(),
                                world.connectionTotals(),
                                world.badClientCount(),
                                world.unansweredBadClientCount())
                        .addResourceUsage(world.resourceUsage(), world.isCpuStarved()));
            }
            return results;
        }

        private Path out() {
            return out == null
                    ? Path.of("lab-out", file.getFileName().toString().replaceAll("\\.toml$", ""))
                    : out;
        }

        private RunResult runInModel(Scenario scenario, String policy, long seed)
                throws RelayConfiguration.InvalidConfigurationException {
            if (stopRequested.get()) {
                return null;
            }
            SimulatedTestbed world = new SimulatedTestbed(scenario, policy, seed);
            boolean whole = world.run(second -> {
                progress.put(policy + seed, second);
                return !stopRequested.get();
            });
            return RunResult.of(
                    policy,
                    seed,
                    whole,
                    world.metrics,
                    world.invariantChecker,
                    world.eventLog(),
                    world.connectionTotals(),
                    world.badClientCount(),
                    world.unansweredBadClientCount());
        }

        private void printProgress(Scenario scenario, int runs) {
            long seconds = scenario.endTime() / 1_000_000_000L;
            long done = progress.values().stream().mapToLong(Integer::longValue).sum();
            System.err.printf(
                    Locale.ROOT,
                    "\r%s: %d%% of %d runs ",
                    scenario.name(),
                    Math.min(100, 100 * done / Math.max(1, seconds * runs)),
                    runs);
            System.err.flush();
        }

        private Path write(Scenario scenario, List<RunResult> results) throws IOException {
            System.err.print("\r");
            Path dir = out();
            writeReports(dir, scenario, mode, results);
            return dir;
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Reads scenarios and names every fault; plays nothing.")
    static final class CheckCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", arity = "1..*", description = "The scenarios, TOML.")
        private List<Path> files;

        @Override
        public Integer call() {
            int code = 0;
            for (Path file : files) {
                try {
                    Scenario s = Scenario.read(file);
                    spec.commandLine()
                            .getOut()
                            .printf(
                                    "%s: %d relays, %d backends, %d troubles: fine%n",
                                    file,
                                    s.relays().count(),
                                    s.backendCount(),
                                    s.troubles().size());
                } catch (IOException | Scenario.InvalidScenarioException e) {
                    spec.commandLine().getErr().println(e.getMessage());
                    code = 1;
                }
            }
            return code;
        }
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "Sets two runs side by side and says which differences are more than the spread over seeds.")
    static final class CompareCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "A", description = "The folder of a run, or its summary.json.")
        private Path baselinePath;

        @Parameters(index = "1", paramLabel = "B", description = "The other's.")
        private Path candidatePath;

        @Override
        public Integer call() throws IOException {
            spec.commandLine().getOut().print(Summary.compare(baselinePath, candidatePath));
            spec.commandLine().getOut().flush();
            return 0;
        }
    }

    @Command(
            name = "kills",
            mixinStandardHelpOptions = true,
            description =
                    "Kills processes in the middle of writing a relay's state, so many times, and looks at what each leaves.")
    static final class KillsCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--kills", defaultValue = "1000", description = "How many; default: ${DEFAULT-VALUE}.")
        private int kills;

        @Option(
                names = "--interval",
                defaultValue = "400",
                description = "durable.interval of the writers, ms; default: ${DEFAULT-VALUE}.")
        private int interval;

        @Option(
                names = "--backends",
                defaultValue = "1000",
                description = "Backends in the list; default: ${DEFAULT-VALUE}.")
        private int backends;

        @Option(names = "--pins", defaultValue = "8192", description = "Pins in the state; default: ${DEFAULT-VALUE}.")
        private int pins;

        @Option(names = "--jobs", defaultValue = "3", description = "Writers side by side; default: ${DEFAULT-VALUE}.")
        private int jobs;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "Of the moments of the kills; default: ${DEFAULT-VALUE}.")
        private long seed;

        @Override
        public Integer call() throws Exception {
            if (kills < 1 || interval < 100 || backends < 1 || pins < 1 || jobs < 1) {
                throw new ParameterException(spec.commandLine(), "--interval is 100 at least, all others 1");
            }
            Path dir = Files.createTempDirectory("kills");
            CrashConsistencyCheck.Report found =
                    new CrashConsistencyCheck(dir, interval * 1_000_000L, backends, pins).run(kills, jobs, seed);
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "%d kills, interval %d ms: %d whole files found, %d writes cut in the middle, %d files passed over; "
                                    + "age of the newest at the kill: mean %d ms, most %d ms%n",
                            found.kills(),
                            interval,
                            found.intactFiles(),
                            found.partialFiles(),
                            found.skippedFiles(),
                            found.meanAge() / 1_000_000,
                            found.maxAge() / 1_000_000);
            spec.commandLine().getOut().flush();
            found.failures().forEach(f -> spec.commandLine().getErr().println(f));
            if (found.failures().isEmpty()) {
                Files.delete(dir);
            } else {
                spec.commandLine().getErr().println("what they left is in " + dir);
            }
            return found.failures().isEmpty() && found.intactFiles() == kills ? 0 : 1;
        }
    }

    /** The one place where a run's reports are written. */
    private static void writeReports(Path dir, Scenario scenario, Mode mode, List<RunResult> results)
            throws IOException {
        Files.createDirectories(dir);
        JsonObject summary = Summary.of(scenario.name(), mode.name().toLowerCase(Locale.ROOT), results)
                .put("says", scenario.description());
        Files.writeString(dir.resolve("summary.json"), summary.encodePrettily() + "\n");
        Files.writeString(dir.resolve("report.html"), HtmlReport.render(summary, results));
    }

    /** The daemon's jar as the build leaves it beside this one. */
    private static Path defaultJar() {
        try {
            Path here = Path.of(Lab.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            return here.getParent()
                    .resolve("../../relay/target/ambertrestle.jar")
                    .normalize();
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Scenario readDemoScenario() throws IOException, Scenario.InvalidScenarioException {
        try (InputStream in = Lab.class.getResourceAsStream("demo.toml")) {
            return Scenario.read(
                    TomlDocument.parse("demo.toml", new String(in.readAllBytes(), StandardCharsets.UTF_8)));
        }
    }

    @Command(
            name = "demo",
            mixinStandardHelpOptions = true,
            description =
                    "Half a minute of two real relays on loopback with stand-ins round them: a drain, a dead backend, a dead relay.")
    static final class DemoCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--jar", description = "The daemon's jar; default: the one built beside this.")
        private Path jar;

        @Option(
                names = "--out",
                defaultValue = "lab-out/demo",
                description = "Where the report goes; default: ${DEFAULT-VALUE}.")
        private Path out;

        @Override
        public Integer call() throws Exception {
            PrintWriter to = spec.commandLine().getOut();
            Scenario scenario = readDemoScenario();
            LoopbackTestbed world =
                    LoopbackTestbed.create(scenario, 1, jar != null ? jar : defaultJar(), out.resolve("relays"));
            to.println(scenario.description() + " Each line is one second.");
            to.printf(
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
            int[] told = new int[1];
            boolean whole = world.run(second -> {
                int i = second - 1 - (int) (scenario.warmUp() / 1_000_000_000L);
                if (i >= 0) {
                    to.printf(
                            Locale.ROOT,
                            "%4d %8.0f %8.0f %6.0f %6.0f %6.0f %6.0f %7.0f %6.0f %9.0f  %s%n",
                            i + 1,
                            valueAt(world, MetricsRecorder.Series.OFFERED_BENEFIT, i),
                            valueAt(world, MetricsRecorder.Series.BENEFIT, i),
                            valueAt(world, MetricsRecorder.Series.ESTABLISHED, i),
                            valueAt(world, MetricsRecorder.Series.SHED, i),
                            valueAt(world, MetricsRecorder.Series.FORFEITED, i),
                            valueAt(world, MetricsRecorder.Series.MOVED, i),
                            valueAt(world, MetricsRecorder.Series.BROKEN, i),
                            valueAt(world, MetricsRecorder.Series.OPEN_CONNECTIONS, i),
                            valueAt(world, MetricsRecorder.Series.MAX_QUEUE_DELAY, i),
                            String.join(
                                    ", ",
                                    world.eventLog()
                                            .subList(told[0], world.eventLog().size())));
                    told[0] = world.eventLog().size();
                }
                to.flush();
                return true;
            });
            RunResult r = RunResult.of(
                            "module",
                            1,
                            whole,
                            world.metrics,
                            world.invariantChecker,
                            world.eventLog(),
                            world.connectionTotals(),
                            0,
                            0)
                    .addResourceUsage(world.resourceUsage(), world.isCpuStarved());
            writeReports(out, scenario, Mode.SOCKETS, List.of(r));
            to.printf("connections, warm-up included: %s%n", world.connectionTotals());
            to.printf(
                    Locale.ROOT,
                    "share of the benefit offered: %.3f; rules %s%s%n%s%nreport: %s%n",
                    r.benefitShare(),
                    r.invariantsHeld() ? "kept" : "BROKEN",
                    r.isCpuStarved() ? " (this machine gave too little CPU: no result)" : "",
                    String.join(System.lineSeparator(), world.resourceUsage()),
                    out.resolve("report.html"));
            to.flush();
            return r.isCpuStarved() ? 3 : r.invariantsHeld() ? 0 : 1;
        }

        private static double valueAt(LoopbackTestbed world, MetricsRecorder.Series s, int second) {
            return world.metrics.valuesPerSecond(s)[second];
        }
    }

    @Command(
            name = "cost",
            mixinStandardHelpOptions = true,
            description =
                    "What an opening and a line cost through one relay, and straight to the same stand-in backend.")
    static final class CostCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--jar", description = "The daemon's jar; default: the one built beside this.")
        private Path jar;

        @Option(
                names = "--opens",
                defaultValue = "2000",
                description = "Openings of each kind; default: ${DEFAULT-VALUE}.")
        private int opens;

        @Option(names = "--lines", defaultValue = "10", description = "Lines on each; default: ${DEFAULT-VALUE}.")
        private int lines;

        @Override
        public Integer call() throws Exception {
            if (opens < 4 || opens > 1_000_000 || lines < 0 || lines > 100_000) {
                throw new ParameterException(spec.commandLine(), "--opens takes 4 to 1000000, --lines 0 to 100000");
            }
            Scenario one = Scenario.read(TomlDocument.parse(
                    "cost.toml",
                    "name = \"cost\"\n[relays]\ncount = 1\n[[fleet]]\nname = \"s\"\ncount = 1\n"
                            + "[[use-case]]\nname = \"open\"\n"));
            Path dir = Files.createTempDirectory("ambertrestle-cost");
            try (RelayOverheadBenchmark cost = new RelayOverheadBenchmark(one, jar != null ? jar : defaultJar(), dir)) {
                cost.measure(opens, lines).forEach(spec.commandLine().getOut()::println);
            }
            spec.commandLine().getOut().flush();
            return 0;
        }
    }
}
