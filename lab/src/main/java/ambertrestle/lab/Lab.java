package ambertrestle.lab;

import ambertrestle.lab.policy.Policies;
import ambertrestle.lab.report.Page;
import ambertrestle.lab.report.Result;
import ambertrestle.lab.report.Summary;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.lab.standin.Cost;
import ambertrestle.lab.standin.Kills;
import ambertrestle.lab.standin.SocketWorld;
import ambertrestle.lab.world.Meter;
import ambertrestle.lab.world.Model;
import ambertrestle.relay.life.RunSheet;
import ambertrestle.relay.sheet.Sheet;
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
            Lab.Demo.class,
            Lab.Run.class,
            Lab.Check.class,
            Lab.Compare.class,
            Lab.Costs.class,
            Lab.KillWriters.class
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
    enum Mode {
        MODEL,
        SOCKETS
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Plays a scenario and writes summary.json and report.html. Exit code 3: starved of CPU.")
    static final class Run implements Callable<Integer> {
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
        private Boolean kept;

        @Option(names = "--out", description = "Where the reports go; default: lab-out/NAME.")
        private Path out;

        private final AtomicBoolean stop = new AtomicBoolean();
        private final CountDownLatch written = new CountDownLatch(1);
        private final ConcurrentHashMap<String, Integer> progress = new ConcurrentHashMap<>();

        @Override
        public Integer call() throws Exception {
            Scenario scenario =
                    kept == null ? Scenario.read(file) : Scenario.read(file).keeping(kept);
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
            List<Long> all = seeds();
            Thread hook = new Thread(this::interrupted, "interrupted");
            Runtime.getRuntime().addShutdownHook(hook);
            long began = System.nanoTime();
            List<Result> results = mode == Mode.MODEL ? play(scenario, all) : playOnSockets(scenario, all);
            Path dir = write(scenario, results);
            written.countDown();
            for (Result r : results) {
                spec.commandLine()
                        .getOut()
                        .printf(
                                Locale.ROOT,
                                "%-8s seed %-4d share %.4f  rules %s%s%n",
                                r.policy(),
                                r.seed(),
                                r.share(),
                                r.starved()
                                        ? "not judged: STARVED of CPU, no result "
                                                + r.figures()
                                                        .getJsonArray("costs")
                                                        .encode()
                                        : r.rulesKept()
                                                ? "kept"
                                                : "BROKEN "
                                                        + r.figures()
                                                                .getJsonObject("breaches")
                                                                .encode(),
                                r.whole() ? "" : "  (cut short)");
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
            if (stop.get()) {
                return 130;
            }
            Runtime.getRuntime().removeShutdownHook(hook);
            return results.stream().anyMatch(Result::starved)
                    ? 3
                    : results.stream().filter(r -> r.policy().equals("module")).allMatch(Result::rulesKept) ? 0 : 1;
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

        private List<Result> play(Scenario scenario, List<Long> all) throws InterruptedException, RunSheet.BadSheet {
            ExecutorService pool = Executors.newFixedThreadPool(
                    jobs > 0 ? jobs : Runtime.getRuntime().availableProcessors());
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

        /** One after the other: side by side they would take each other's cores. */
        private List<Result> playOnSockets(Scenario scenario, List<Long> all) throws IOException, InterruptedException {
            List<Result> results = new ArrayList<>();
            Path dir = out().resolve("relays");
            for (long seed : all) {
                if (stop.get()) {
                    break;
                }
                SocketWorld world = SocketWorld.make(scenario, seed, jar != null ? jar : besideThis(), dir);
                boolean whole = world.run(second -> {
                    progress.put("module" + seed, second);
                    tell(scenario, all.size());
                    return !stop.get();
                });
                results.add(Result.of(
                                "module",
                                seed,
                                whole,
                                world.meter,
                                world.judge,
                                world.happened(),
                                world.account(),
                                world.badSent(),
                                world.badUnanswered())
                        .withCosts(world.costs(), world.starved()));
            }
            return results;
        }

        private Path out() {
            return out == null
                    ? Path.of("lab-out", file.getFileName().toString().replaceAll("\\.toml$", ""))
                    : out;
        }

        private Result one(Scenario scenario, String policy, long seed) throws RunSheet.BadSheet {
            if (stop.get()) {
                return null;
            }
            Model world = new Model(scenario, policy, seed);
            boolean whole = world.run(second -> {
                progress.put(policy + seed, second);
                return !stop.get();
            });
            return Result.of(
                    policy,
                    seed,
                    whole,
                    world.meter,
                    world.judge,
                    world.happened(),
                    world.account(),
                    world.badSent(),
                    world.badUnanswered());
        }

        private void tell(Scenario scenario, int runs) {
            long seconds = scenario.end() / 1_000_000_000L;
            long done = progress.values().stream().mapToLong(Integer::longValue).sum();
            System.err.printf(
                    Locale.ROOT,
                    "\r%s: %d%% of %d runs ",
                    scenario.name(),
                    Math.min(100, 100 * done / Math.max(1, seconds * runs)),
                    runs);
            System.err.flush();
        }

        private Path write(Scenario scenario, List<Result> results) throws IOException {
            System.err.print("\r");
            Path dir = out();
            report(dir, scenario, mode, results);
            return dir;
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Reads scenarios and names every fault; plays nothing.")
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
                    spec.commandLine()
                            .getOut()
                            .printf(
                                    "%s: %d relays, %d backends, %d troubles: fine%n",
                                    file,
                                    s.relays().count(),
                                    s.backends(),
                                    s.troubles().size());
                } catch (IOException | Scenario.Faulty e) {
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

    @Command(
            name = "kills",
            mixinStandardHelpOptions = true,
            description =
                    "Kills processes in the middle of writing a relay's state, so many times, and looks at what each leaves.")
    static final class KillWriters implements Callable<Integer> {
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
            Kills.Found found = new Kills(dir, interval * 1_000_000L, backends, pins).run(kills, jobs, seed);
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "%d kills, interval %d ms: %d whole files found, %d writes cut in the middle, %d files passed over; "
                                    + "age of the newest at the kill: mean %d ms, most %d ms%n",
                            found.kills(),
                            interval,
                            found.whole(),
                            found.halves(),
                            found.passedOver(),
                            found.mean() / 1_000_000,
                            found.oldest() / 1_000_000);
            spec.commandLine().getOut().flush();
            found.faults().forEach(f -> spec.commandLine().getErr().println(f));
            if (found.faults().isEmpty()) {
                Files.delete(dir);
            } else {
                spec.commandLine().getErr().println("what they left is in " + dir);
            }
            return found.faults().isEmpty() && found.whole() == kills ? 0 : 1;
        }
    }

    /** The one place where a run's reports are written. */
    private static void report(Path dir, Scenario scenario, Mode mode, List<Result> results) throws IOException {
        Files.createDirectories(dir);
        JsonObject summary = Summary.of(scenario.name(), mode.name().toLowerCase(Locale.ROOT), results)
                .put("says", scenario.says());
        Files.writeString(dir.resolve("summary.json"), summary.encodePrettily() + "\n");
        Files.writeString(dir.resolve("report.html"), Page.of(summary, results));
    }

    /** The daemon's jar as the build leaves it beside this one. */
    private static Path besideThis() {
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

    private static Scenario demo() throws IOException, Scenario.Faulty {
        try (InputStream in = Lab.class.getResourceAsStream("demo.toml")) {
            return Scenario.read(Sheet.parse("demo.toml", new String(in.readAllBytes(), StandardCharsets.UTF_8)));
        }
    }

    @Command(
            name = "demo",
            mixinStandardHelpOptions = true,
            description =
                    "Half a minute of two real relays on loopback with stand-ins round them: a drain, a dead backend, a dead relay.")
    static final class Demo implements Callable<Integer> {
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
            Scenario scenario = demo();
            SocketWorld world = SocketWorld.make(scenario, 1, jar != null ? jar : besideThis(), out.resolve("relays"));
            to.println(scenario.says() + " Each line is one second.");
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
                            at(world, Meter.Series.OFFERED, i),
                            at(world, Meter.Series.BENEFIT, i),
                            at(world, Meter.Series.UP, i),
                            at(world, Meter.Series.BUSY, i),
                            at(world, Meter.Series.ERR, i),
                            at(world, Meter.Series.MOVED, i),
                            at(world, Meter.Series.BROKEN, i),
                            at(world, Meter.Series.OPEN, i),
                            at(world, Meter.Series.WORST_WAIT, i),
                            String.join(
                                    ", ",
                                    world.happened()
                                            .subList(told[0], world.happened().size())));
                    told[0] = world.happened().size();
                }
                to.flush();
                return true;
            });
            Result r = Result.of("module", 1, whole, world.meter, world.judge, world.happened(), world.account(), 0, 0)
                    .withCosts(world.costs(), world.starved());
            report(out, scenario, Mode.SOCKETS, List.of(r));
            to.printf("connections, warm-up included: %s%n", world.account());
            to.printf(
                    Locale.ROOT,
                    "share of the benefit offered: %.3f; rules %s%s%n%s%nreport: %s%n",
                    r.share(),
                    r.rulesKept() ? "kept" : "BROKEN",
                    r.starved() ? " (this machine gave too little CPU: no result)" : "",
                    String.join(System.lineSeparator(), world.costs()),
                    out.resolve("report.html"));
            to.flush();
            return r.starved() ? 3 : r.rulesKept() ? 0 : 1;
        }

        private static double at(SocketWorld world, Meter.Series s, int second) {
            return world.meter.series(s)[second];
        }
    }

    @Command(
            name = "cost",
            mixinStandardHelpOptions = true,
            description =
                    "What an opening and a line cost through one relay, and straight to the same stand-in backend.")
    static final class Costs implements Callable<Integer> {
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
            Scenario one = Scenario.read(Sheet.parse(
                    "cost.toml",
                    "name = \"cost\"\n[relays]\ncount = 1\n[[fleet]]\nname = \"s\"\ncount = 1\n"
                            + "[[use-case]]\nname = \"open\"\n"));
            Path dir = Files.createTempDirectory("ambertrestle-cost");
            try (Cost cost = new Cost(one, jar != null ? jar : besideThis(), dir)) {
                cost.measure(opens, lines).forEach(spec.commandLine().getOut()::println);
            }
            spec.commandLine().getOut().flush();
            return 0;
        }
    }
}
