package ambertrestle.lab;

import ambertrestle.lab.policy.Policies;
import ambertrestle.lab.report.Page;
import ambertrestle.lab.report.Result;
import ambertrestle.lab.report.Summary;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.world.World;
import ambertrestle.relay.life.RunSheet;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
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

/** The proving ground's command line. Exit codes: 0 fine, 1 faulty input or a broken rule, 2 wrong usage, 130 interrupted. */
@Command(name = "ambertrestle-lab", mixinStandardHelpOptions = true, version = "ambertrestle-lab 0.2.0",
        description = "Plays scenarios of a fleet in trouble and reports what clients got.",
        subcommands = {Lab.Run.class, Lab.Check.class, Lab.Compare.class})
public final class Lab implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        return new CommandLine(new Lab()).setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((e, line, result) -> {
                    // Danger: a stack trace for a file that is missing hides the one line that helps.
                    if (e instanceof IOException || e instanceof Scenario.Faulty) {
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
    enum Mode { MODEL }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays a scenario and writes summary.json and report.html.")
    static final class Run implements Callable<Integer> {
        @Spec
        private CommandSpec spec;
        @Parameters(paramLabel = "FILE", description = "The scenario, TOML.")
        private Path file;
        @Option(names = "--mode", defaultValue = "MODEL", description = "What it is played on: ${COMPLETION-CANDIDATES}.")
        private Mode mode;
        @Option(names = "--policy", split = ",", defaultValue = "module",
                description = "Who decides; several with commas between. Known: module, random, least, two, maglev, oracle.")
        private List<String> policies;
        @Option(names = "--seeds", defaultValue = "1", description = "A seed, or a range such as 1-10.")
        private String seeds;
        @Option(names = "--jobs", defaultValue = "0", description = "Runs side by side; 0: one a core.")
        private int jobs;
        @Option(names = "--out", description = "Where the reports go; default: lab-out/NAME.")
        private Path out;
        private final AtomicBoolean stop = new AtomicBoolean();
        private final CountDownLatch written = new CountDownLatch(1);
        private final ConcurrentHashMap<String, Integer> progress = new ConcurrentHashMap<>();

        @Override
        public Integer call() throws Exception {
            Scenario scenario = Scenario.read(file);
            for (String policy : policies) {
                if (!Policies.NAMES.contains(policy)) {
                    throw new ParameterException(spec.commandLine(), "--policy " + policy + " is not known: expected one of "
                            + String.join(", ", Policies.NAMES));
                }
            }
            List<Long> all = seeds();
            Thread hook = new Thread(this::interrupted, "interrupted");
            Runtime.getRuntime().addShutdownHook(hook);
            long began = System.nanoTime();
            List<Result> results = play(scenario, all);
            Path dir = write(scenario, results);
            written.countDown();
            for (Result r : results) {
                spec.commandLine().getOut().printf(Locale.ROOT, "%-8s seed %-4d share %.4f  rules %s%s%n", r.policy(), r.seed(), r.share(),
                        r.rulesKept() ? "kept" : "BROKEN " + r.figures().getJsonObject("breaches").encode(), r.whole() ? "" : "  (cut short)");
            }
            spec.commandLine().getOut().printf(Locale.ROOT, "%d runs in %.1f s; %s%n", results.size(), (System.nanoTime() - began) / 1e9,
                    dir.resolve("report.html"));
            spec.commandLine().getOut().flush();
            if (stop.get()) {
                return 130;
            }
            Runtime.getRuntime().removeShutdownHook(hook);
            return results.stream().filter(r -> r.policy().equals("module")).allMatch(Result::rulesKept) ? 0 : 1;
        }

        /** Ctrl-C: what was run is still written. */
        private void interrupted() {
            stop.set(true);
            try {
                written.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private List<Long> seeds() {
            if (!seeds.matches("\\d{1,15}(-\\d{1,15})?")) {
                throw new ParameterException(spec.commandLine(), "--seeds is malformed: expected a seed or a range such as 1-10, got " + seeds);
            }
            String[] ends = seeds.split("-");
            long first = Long.parseLong(ends[0]);
            long last = Long.parseLong(ends[ends.length - 1]);
            if (last < first || last - first > 999) {
                throw new ParameterException(spec.commandLine(), "--seeds is malformed: expected 1 to 1000 seeds, got " + seeds);
            }
            List<Long> all = new ArrayList<>();
            for (long s = first; s <= last; s++) {
                all.add(s);
            }
            return all;
        }

        private List<Result> play(Scenario scenario, List<Long> all) throws InterruptedException, RunSheet.BadSheet {
            ExecutorService pool = Executors.newFixedThreadPool(jobs > 0 ? jobs : Runtime.getRuntime().availableProcessors());
            List<Future<Result>> runs = new ArrayList<>();
            for (String policy : policies) {
                for (long seed : all) {
                    runs.add(pool.submit(() -> one(scenario, policy, seed)));
                }
            }
            pool.shutdown();
            while (!pool.awaitTermination(500, TimeUnit.MILLISECONDS)) {
                tell(scenario, runs.size());
            }
            List<Result> results = new ArrayList<>();
            for (Future<Result> run : runs) {
                try {
                    Result result = run.get();
                    if (result != null) {
                        results.add(result);
                    }
                } catch (ExecutionException e) {
                    throw new IllegalStateException("a run failed: " + e.getCause(), e.getCause());
                }
            }
            return results;
        }

        private Result one(Scenario scenario, String policy, long seed) throws RunSheet.BadSheet {
            if (stop.get()) {
                return null;
            }
            World world = new World(scenario, policy, seed);
            boolean whole = world.run(second -> {
                progress.put(policy + seed, second);
                return !stop.get();
            });
            return Result.of(policy, seed, whole, world.meter(), world.judge(), world.happened(), world.badSent(),
                    world.badUnanswered(), world.events());
        }

        private void tell(Scenario scenario, int runs) {
            long seconds = scenario.end() / 1_000_000_000L;
            long done = progress.values().stream().mapToLong(Integer::longValue).sum();
            System.err.printf(Locale.ROOT, "\r%s: %d%% of %d runs ", scenario.name(), Math.min(100, 100 * done / Math.max(1, seconds * runs)), runs);
            System.err.flush();
        }

        private Path write(Scenario scenario, List<Result> results) throws IOException {
            System.err.print("\r");
            Path dir = out == null ? Path.of("lab-out", scenario.name()) : out;
            Files.createDirectories(dir);
            JsonObject summary = Summary.of(scenario.name(), mode.name().toLowerCase(Locale.ROOT), results).put("says", scenario.says());
            Files.writeString(dir.resolve("summary.json"), summary.encodePrettily() + "\n");
            Files.writeString(dir.resolve("report.html"), Page.of(summary, results));
            return dir;
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Reads scenarios and names every fault; plays nothing.")
    static final class Check implements Callable<Integer> {
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
                    spec.commandLine().getOut().printf("%s: %d relays, %d backends, %d troubles: fine%n", file, s.relays().count(), s.backends(),
                            s.troubles().size());
                } catch (IOException | Scenario.Faulty e) {
                    spec.commandLine().getErr().println(e.getMessage());
                    code = 1;
                }
            }
            return code;
        }
    }

    @Command(name = "compare", mixinStandardHelpOptions = true,
            description = "Sets two runs side by side and says which differences are more than the spread over seeds.")
    static final class Compare implements Callable<Integer> {
        @Spec
        private CommandSpec spec;
        @Parameters(index = "0", paramLabel = "A", description = "The folder of a run, or its summary.json.")
        private Path one;
        @Parameters(index = "1", paramLabel = "B", description = "The other's.")
        private Path other;

        @Override
        public Integer call() throws IOException {
            spec.commandLine().getOut().print(Summary.compare(one, other));
            spec.commandLine().getOut().flush();
            return 0;
        }
    }
}
