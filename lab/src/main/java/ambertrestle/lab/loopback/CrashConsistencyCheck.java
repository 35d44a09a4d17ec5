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
 * Checks that a relay's persisted state survives a crash: kills processes at a random moment while they write state,
 * and restores what each leaves behind. The writer process runs this class's {@link #main}: it uses the daemon's state
 * store, with a state of the requested size and the daemon's write interval. Times are in nanoseconds.
 */
public final class CrashConsistencyCheck {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    private static final long MAX_AGE = 24 * 3_600 * NANOS_PER_SECOND;
    private static final long MAX_FRESH_ROSTER_AGE = 2 * NANOS_PER_SECOND;
    private static final long MAX_STATE_BYTES = 64 << 20;
    private static final long EXIT_TIMEOUT_MILLIS = 20_000;
    /** Number of write intervals that pass between the first write and the earliest kill. */
    private static final long WARM_UP_INTERVALS = 2;

    /** Printed by the writer once its first write is complete. */
    private static final String READY_SIGNAL = "writes";
    /** Length of {@link #READY_SIGNAL}. */
    private static final int READY_SIGNAL_BYTES = 6;

    private static final String RELAY_NAME = "killed";
    /** Number of backends whose addresses differ only in the last of the four numbers; each must be below 256. */
    private static final int ADDRESSES_PER_SUBNET = 250;

    /**
     * The result of all kills.
     *
     * @param intactFiles number of kills after which a snapshot could be restored
     * @param partialFiles number of temporary files found, each from a write that was interrupted
     * @param skippedFiles number of messages that the restores logged: one for each state file that was rejected, for
     *     example because its checksum was wrong, and one for each directory that could not be locked or read
     * @param maxAge largest age that a restored snapshot had at the kill
     * @param meanAge mean of that age over all kills, where one without a restored snapshot counts as 0
     * @param failures one line for each kill that did not leave a complete snapshot, or whose writer failed
     */
    public record Report(
            int kills,
            int intactFiles,
            int partialFiles,
            int skippedFiles,
            long maxAge,
            long meanAge,
            List<String> failures) {
        /** The result of one kill whose writer failed. */
        private static Report failure(int round, String message) {
            return new Report(1, 0, 0, 0, 0, 0, List.of("round " + round + ": " + message));
        }
    }

    private final Path workingDirectory;
    private final long interval;
    private final int backends;
    private final int pins;

    /**
     * Prepares a check.
     *
     * @param workingDirectory where each writer gets a directory; those of failed rounds are not deleted
     * @param interval `durable.interval` of the writers; a writer starts two writes per interval
     * @param backends number of backends in the state
     * @param pins number of pins in the state
     */
    public CrashConsistencyCheck(Path workingDirectory, long interval, int backends, int pins) {
        this.workingDirectory = workingDirectory;
        this.interval = interval;
        this.backends = backends;
        this.pins = pins;
    }

    /**
     * The writer process: writes state until it is killed.
     *
     * @param args state directory, interval in milliseconds, number of backends, number of pins
     * @throws IOException if the directory cannot be used or a write fails
     */
    public static void main(String[] args) throws Exception {
        long interval = Long.parseLong(args[1]) * NANOS_PER_MILLI;
        int backends = Integer.parseInt(args[2]);
        int pins = Integer.parseInt(args[3]);
        List<LogMessage> logMessages = new ArrayList<>();
        StateStore store = StateStore.open(
                new PersistenceConfiguration(
                        Path.of(args[0]), interval, MAX_AGE, MAX_STATE_BYTES, MAX_FRESH_ROSTER_AGE),
                RELAY_NAME,
                logMessages);
        store.restore(now(), logMessages);
        StateChanges changes = createFullState(backends, pins);
        for (long writeCount = 0; logMessages.isEmpty(); writeCount++) {
            long writeStart = System.nanoTime();
            LogMessage failure = store.persist(changes, "d:1", now(), now());
            if (failure != null) {
                throw new IOException(failure.text());
            }
            if (writeCount == 0) {
                System.out.println(READY_SIGNAL);
            }
            changes = new StateChanges();
            changes.add(new LearnedState(
                    1,
                    new LearnedState.RelayStatistics(writeCount, 1, 1, 1, 1, 0),
                    List.of(),
                    List.of(new Pin(writeCount % pins, 1, now())),
                    false));
            // Like the daemon, starts two writes per interval, counted from start to start.
            Thread.sleep(Math.max(0, (interval / 2 - (System.nanoTime() - writeStart)) / NANOS_PER_MILLI));
        }
        throw new IOException(logMessages.get(0).text());
    }

    /** Unix time in nanoseconds. */
    private static long now() {
        return System.currentTimeMillis() * NANOS_PER_MILLI;
    }

    /** A complete state: a roster, statistics of each of its backends, and pins spread over them. */
    private static StateChanges createFullState(int backends, int pins) {
        List<RosterMessage.Entry> entries = new ArrayList<>();
        List<BackendStatistics> backendStatistics = new ArrayList<>();
        for (int b = 0; b < backends; b++) {
            String name = "s-" + b;
            entries.add(new RosterMessage.Entry(
                    name,
                    "10.0." + b / ADDRESSES_PER_SUBNET + "." + b % ADDRESSES_PER_SUBNET + ":8000",
                    Stage.READY,
                    "a",
                    "m2",
                    3,
                    1,
                    0));
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

    /**
     * Runs the check.
     *
     * @param kills number of writers to start and kill
     * @param concurrency number of writers that run at the same time, each in its own directory
     * @param seed determines the moments of the kills
     */
    public Report run(int kills, int concurrency, long seed) throws IOException, InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(concurrency);
        List<Future<Report>> results = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < kills; i++) {
            int round = i;
            // One interval covers two writes and the pauses after them, so kills fall into every phase of a write.
            long killDelay = random.nextLong(interval);
            results.add(pool.submit((Callable<Report>) () -> killOneWriter(round, killDelay)));
        }
        pool.shutdown();
        int intactFiles = 0;
        int partialFiles = 0;
        int skippedFiles = 0;
        long maxAge = 0;
        long ageSum = 0;
        List<String> failures = new ArrayList<>();
        for (Future<Report> result : results) {
            try {
                Report report = result.get();
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

    /** Starts one writer, kills it after the delay, and restores what it left. */
    private Report killOneWriter(int round, long killDelay) throws IOException, InterruptedException {
        Path stateDirectory = Directories.createEmpty(workingDirectory.resolve("kill-" + round));
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx256m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        CrashConsistencyCheck.class.getName(),
                        stateDirectory.toString(),
                        Long.toString(interval / NANOS_PER_MILLI),
                        Integer.toString(backends),
                        Integer.toString(pins))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.PIPE)
                .start();
        try (InputStream output = process.getInputStream()) {
            byte[] signal = new byte[READY_SIGNAL_BYTES];
            if (output.readNBytes(signal, 0, READY_SIGNAL_BYTES) < READY_SIGNAL_BYTES
                    || !new String(signal, StandardCharsets.US_ASCII).equals(READY_SIGNAL)) {
                return Report.failure(
                        round,
                        "the writer failed before its first write was complete and printed: "
                                + new String(signal, StandardCharsets.US_ASCII)
                                + new String(output.readAllBytes(), StandardCharsets.UTF_8));
            }
            // Waits for some writes, because the first ones are slow until the JIT has compiled the code.
            Thread.sleep(WARM_UP_INTERVALS * interval / NANOS_PER_MILLI);
            long killTime = System.nanoTime() + killDelay;
            while (System.nanoTime() < killTime) {
                Thread.onSpinWait();
            }
        } finally {
            process.destroyForcibly();
        }
        long killedAt = now();
        if (!process.waitFor(EXIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            return Report.failure(round, "the writer process did not exit within 20 s of being killed");
        }
        int partialFiles;
        try (Stream<Path> files = Files.list(stateDirectory)) {
            partialFiles =
                    (int) files.filter(file -> file.toString().endsWith(".new")).count();
        }
        List<LogMessage> logMessages = new ArrayList<>();
        StateSnapshot snapshot;
        try (StateStore store = StateStore.open(
                new PersistenceConfiguration(stateDirectory, interval, MAX_AGE, MAX_STATE_BYTES, MAX_FRESH_ROSTER_AGE),
                RELAY_NAME,
                logMessages)) {
            snapshot = store.restore(now(), logMessages);
        }
        List<String> failures = new ArrayList<>();
        if (snapshot == null) {
            failures.add("round " + round + ": no intact state file; " + logMessages);
        } else if (snapshot.roster().entries().size() != backends
                || snapshot.learnedState().pins().size() != pins) {
            failures.add("round " + round + ": the restored state has a wrong size: "
                    + snapshot.roster().entries().size() + " backends and "
                    + snapshot.learnedState().pins().size() + " pins");
        }
        // After a failure the directory is left for inspection.
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
