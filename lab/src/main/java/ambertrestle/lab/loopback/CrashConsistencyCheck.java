package ambertrestle.lab.loopback;

import ambertrestle.decide.LearnedState;
import ambertrestle.decide.LearnedState.BackendStatistics;
import ambertrestle.decide.LearnedState.Pin;
import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.relay.persistence.LogMessage;
import ambertrestle.relay.persistence.PersistenceConfiguration;
import ambertrestle.relay.persistence.StateChanges;
import ambertrestle.relay.persistence.StateSnapshot;
import ambertrestle.relay.persistence.StateStore;
import ambertrestle.relay.wire.RosterMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Kills processes that write a relay's state, each at a random moment of its writing, and looks at what they leave. The
 * process is this class's own main: the daemon's keeper, a state of the size asked for, one write after the other on
 * the daemon's terms.
 */
public final class CrashConsistencyCheck {
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    private static final long MAX_AGE = 24 * 3_600 * SECOND;
    private static final long EXIT_TIMEOUT_MILLIS = 20_000;

    /** What was found after all kills. `oldest`: of the files taken, the longest time from its picture to the kill. */
    public record Report(
            int kills,
            int intactFiles,
            int partialFiles,
            int skippedFiles,
            long maxAge,
            long meanAge,
            List<String> failures) {
        private static Report failure(int round, String message) {
            return new Report(1, 0, 0, 0, 0, 0, List.of("round " + round + ": " + message));
        }
    }

    private final Path workingDirectory;
    private final long interval;
    private final int backends;
    private final int pins;

    public CrashConsistencyCheck(Path workingDirectory, long interval, int backends, int pins) {
        this.workingDirectory = workingDirectory;
        this.interval = interval;
        this.backends = backends;
        this.pins = pins;
    }

    /** The writer: until it is killed. Arguments: folder, interval in ms, backends, pins. */
    public static void main(String[] args) throws Exception {
        long interval = Long.parseLong(args[1]) * MS;
        int backends = Integer.parseInt(args[2]);
        int pins = Integer.parseInt(args[3]);
        List<LogMessage> logMessages = new ArrayList<>();
        StateStore store = StateStore.open(
                new PersistenceConfiguration(Path.of(args[0]), interval, MAX_AGE, 64 << 20, 2 * SECOND),
                "killed",
                logMessages);
        store.restore(now(), logMessages);
        StateChanges changes = createFullState(backends, pins);
        for (long round = 0; logMessages.isEmpty(); round++) {
            long writeStart = System.nanoTime();
            LogMessage failure = store.persist(changes, "d:1", now(), now());
            if (failure != null) {
                throw new IOException(failure.text());
            }
            if (round == 0) {
                System.out.println("writes");
            }
            changes = new StateChanges();
            changes.add(new LearnedState(
                    1,
                    new LearnedState.RelayStatistics(round, 1, 1, 1, 1, 0),
                    List.of(),
                    List.of(new Pin(round % pins, 1, now())),
                    false));
            // As the daemon: twice an interval, from the beginning of one write to that of the next.
            Thread.sleep(Math.max(0, (interval / 2 - (System.nanoTime() - writeStart)) / MS));
        }
        throw new IOException(logMessages.get(0).text());
    }

    private static long now() {
        return System.currentTimeMillis() * MS;
    }

    private static StateChanges createFullState(int backends, int pins) {
        List<RosterMessage.Entry> entries = new ArrayList<>();
        List<BackendStatistics> backendStatistics = new ArrayList<>();
        for (int b = 0; b < backends; b++) {
            String name = "s-" + b;
            entries.add(new RosterMessage.Entry(
                    name, "10.0." + b / 250 + "." + b % 250 + ":8000", Stage.READY, "a", "m2", 3, 1, 0));
            backendStatistics.add(new BackendStatistics(RosterMessage.backendId(name), 0, now(), 1, 0.5, 0, 0, 0, 0));
        }
        List<Pin> allPins = new ArrayList<>();
        for (int p = 0; p < pins; p++) {
            allPins.add(new Pin(p, backendStatistics.get(p % backends).backend(), Pin.IN_USE));
        }
        StateChanges changes = new StateChanges();
        changes.add(new RosterMessage(1, true, entries));
        changes.add(new LearnedState(1, LearnedState.RelayStatistics.EMPTY, backendStatistics, allPins, false));
        return changes;
    }

    /** So many kills, some side by side, each in a folder of its own. */
    public Report run(int kills, int concurrency, long seed) throws IOException, InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(concurrency);
        List<Future<Report>> rounds = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < kills; i++) {
            int number = i;
            // Over two writes and the pause between them, so that every part of one is met.
            long killDelay = random.nextLong(interval);
            rounds.add(pool.submit((Callable<Report>) () -> killOneWriter(number, killDelay)));
        }
        pool.shutdown();
        int intactFiles = 0;
        int partialFiles = 0;
        int skippedFiles = 0;
        long maxAge = 0;
        long ageSum = 0;
        List<String> failures = new ArrayList<>();
        for (Future<Report> round : rounds) {
            try {
                Report report = round.get();
                intactFiles += report.intactFiles;
                partialFiles += report.partialFiles;
                skippedFiles += report.skippedFiles;
                maxAge = Math.max(maxAge, report.maxAge);
                ageSum += report.maxAge;
                failures.addAll(report.failures);
            } catch (ExecutionException e) {
                failures.add(String.valueOf(e.getCause()));
            }
        }
        pool.awaitTermination(1, TimeUnit.SECONDS);
        return new Report(
                kills, intactFiles, partialFiles, skippedFiles, maxAge, kills == 0 ? 0 : ageSum / kills, failures);
    }

    private Report killOneWriter(int number, long killDelay) throws IOException, InterruptedException {
        Path stateDirectory = Directories.createEmpty(workingDirectory.resolve("kill-" + number));
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx256m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        CrashConsistencyCheck.class.getName(),
                        stateDirectory.toString(),
                        Long.toString(interval / MS),
                        Integer.toString(backends),
                        Integer.toString(pins))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.PIPE)
                .start();
        try (InputStream output = process.getInputStream()) {
            byte[] signal = new byte[6];
            if (output.readNBytes(signal, 0, 6) < 6
                    || !new String(signal, StandardCharsets.US_ASCII).equals("writes")) {
                return Report.failure(
                        number,
                        "the writer said " + new String(signal, StandardCharsets.US_ASCII)
                                + new String(output.readAllBytes(), StandardCharsets.UTF_8));
            }
            // Its first writes are slow, as its code is not yet compiled; some are let pass.
            Thread.sleep(2 * interval / MS);
            long killTime = System.nanoTime() + killDelay;
            while (System.nanoTime() < killTime) {
                Thread.onSpinWait();
            }
        } finally {
            process.destroyForcibly();
        }
        long killedAt = now();
        if (!process.waitFor(EXIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            return Report.failure(number, "the writer did not die");
        }
        int partialFiles;
        try (Stream<Path> files = Files.list(stateDirectory)) {
            partialFiles =
                    (int) files.filter(file -> file.toString().endsWith(".new")).count();
        }
        List<LogMessage> logMessages = new ArrayList<>();
        StateSnapshot snapshot;
        try (StateStore store = StateStore.open(
                new PersistenceConfiguration(stateDirectory, interval, MAX_AGE, 64 << 20, 2 * SECOND),
                "killed",
                logMessages)) {
            snapshot = store.restore(now(), logMessages);
        }
        List<String> failures = new ArrayList<>();
        if (snapshot == null) {
            failures.add("round " + number + ": no whole file; " + logMessages);
        } else if (snapshot.roster().entries().size() != backends
                || snapshot.learnedState().pins().size() != pins) {
            failures.add("round " + number + ": whole, and yet "
                    + snapshot.roster().entries().size() + " backends and "
                    + snapshot.learnedState().pins().size() + " pins");
        }
        // What is at fault stays, to be looked at.
        if (failures.isEmpty()) {
            Files.delete(Directories.createEmpty(stateDirectory));
        }
        return new Report(
                1,
                snapshot == null ? 0 : 1,
                partialFiles,
                logMessages.size(),
                snapshot == null ? 0 : killedAt - snapshot.takenAt(),
                0,
                failures);
    }
}
