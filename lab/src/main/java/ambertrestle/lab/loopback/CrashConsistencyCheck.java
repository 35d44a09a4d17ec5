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
        private static Report failure(int number, String what) {
            return new Report(1, 0, 0, 0, 0, 0, List.of("round " + number + ": " + what));
        }
    }

    private final Path dir;
    private final long interval;
    private final int backends;
    private final int pins;

    public CrashConsistencyCheck(Path dir, long interval, int backends, int pins) {
        this.dir = dir;
        this.interval = interval;
        this.backends = backends;
        this.pins = pins;
    }

    /** The writer: until it is killed. Arguments: folder, interval in ms, backends, pins. */
    public static void main(String[] args) throws Exception {
        long interval = Long.parseLong(args[1]) * MS;
        int backends = Integer.parseInt(args[2]);
        int pins = Integer.parseInt(args[3]);
        List<LogMessage> said = new ArrayList<>();
        StateStore keeper = StateStore.open(
                new PersistenceConfiguration(Path.of(args[0]), interval, MAX_AGE, 64 << 20, 2 * SECOND),
                "killed",
                said);
        keeper.restore(now(), said);
        StateChanges hand = createFullState(backends, pins);
        for (long round = 0; said.isEmpty(); round++) {
            long began = System.nanoTime();
            LogMessage failed = keeper.persist(hand, "d:1", now(), now());
            if (failed != null) {
                throw new IOException(failed.text());
            }
            if (round == 0) {
                System.out.println("writes");
            }
            hand = new StateChanges();
            hand.add(new LearnedState(
                    1,
                    new LearnedState.RelayStatistics(round, 1, 1, 1, 1, 0),
                    List.of(),
                    List.of(new Pin(round % pins, 1, now())),
                    false));
            // As the daemon: twice an interval, from the beginning of one write to that of the next.
            Thread.sleep(Math.max(0, (interval / 2 - (System.nanoTime() - began)) / MS));
        }
        throw new IOException(said.get(0).text());
    }

    private static long now() {
        return System.currentTimeMillis() * MS;
    }

    private static StateChanges createFullState(int backends, int pins) {
        List<RosterMessage.Entry> lines = new ArrayList<>();
        List<BackendStatistics> judged = new ArrayList<>();
        for (int b = 0; b < backends; b++) {
            String name = "s-" + b;
            lines.add(new RosterMessage.Entry(
                    name, "10.0." + b / 250 + "." + b % 250 + ":8000", Stage.READY, "a", "m2", 3, 1, 0));
            judged.add(new BackendStatistics(RosterMessage.backendId(name), 0, now(), 1, 0.5, 0, 0, 0, 0));
        }
        List<Pin> all = new ArrayList<>();
        for (int p = 0; p < pins; p++) {
            all.add(new Pin(p, judged.get(p % backends).backend(), Pin.IN_USE));
        }
        StateChanges hand = new StateChanges();
        hand.add(new RosterMessage(1, true, lines));
        hand.add(new LearnedState(1, LearnedState.RelayStatistics.EMPTY, judged, all, false));
        return hand;
    }

    /** So many kills, some side by side, each in a folder of its own. */
    public Report run(int kills, int sideBySide, long seed) throws IOException, InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(sideBySide);
        List<Future<Report>> rounds = new ArrayList<>();
        SplittableRandom chance = new SplittableRandom(seed);
        for (int k = 0; k < kills; k++) {
            int number = k;
            // Over two writes and the pause between them, so that every part of one is met.
            long after = chance.nextLong(interval);
            rounds.add(pool.submit((Callable<Report>) () -> killOneWriter(number, after)));
        }
        pool.shutdown();
        int whole = 0;
        int halves = 0;
        int passedOver = 0;
        long oldest = 0;
        long sum = 0;
        List<String> faults = new ArrayList<>();
        for (Future<Report> round : rounds) {
            try {
                Report f = round.get();
                whole += f.intactFiles;
                halves += f.partialFiles;
                passedOver += f.skippedFiles;
                oldest = Math.max(oldest, f.maxAge);
                sum += f.maxAge;
                faults.addAll(f.failures);
            } catch (ExecutionException e) {
                faults.add(String.valueOf(e.getCause()));
            }
        }
        pool.awaitTermination(1, TimeUnit.SECONDS);
        return new Report(kills, whole, halves, passedOver, oldest, kills == 0 ? 0 : sum / kills, faults);
    }

    private Report killOneWriter(int number, long after) throws IOException, InterruptedException {
        Path folder = Directories.createEmpty(dir.resolve("kill-" + number));
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx256m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        CrashConsistencyCheck.class.getName(),
                        folder.toString(),
                        Long.toString(interval / MS),
                        Integer.toString(backends),
                        Integer.toString(pins))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.PIPE)
                .start();
        try (InputStream out = process.getInputStream()) {
            byte[] first = new byte[6];
            if (out.readNBytes(first, 0, 6) < 6 || !new String(first, StandardCharsets.US_ASCII).equals("writes")) {
                return Report.failure(
                        number,
                        "the writer said " + new String(first, StandardCharsets.US_ASCII)
                                + new String(out.readAllBytes(), StandardCharsets.UTF_8));
            }
            // Its first writes are slow, as its code is not yet compiled; some are let pass.
            Thread.sleep(2 * interval / MS);
            long until = System.nanoTime() + after;
            while (System.nanoTime() < until) {
                Thread.onSpinWait();
            }
        } finally {
            process.destroyForcibly();
        }
        long killed = now();
        if (!process.waitFor(EXIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            return Report.failure(number, "the writer did not die");
        }
        int halves;
        try (Stream<Path> files = Files.list(folder)) {
            halves = (int) files.filter(f -> f.toString().endsWith(".new")).count();
        }
        List<LogMessage> said = new ArrayList<>();
        StateSnapshot picture;
        try (StateStore keeper = StateStore.open(
                new PersistenceConfiguration(folder, interval, MAX_AGE, 64 << 20, 2 * SECOND), "killed", said)) {
            picture = keeper.restore(now(), said);
        }
        List<String> faults = new ArrayList<>();
        if (picture == null) {
            faults.add("round " + number + ": no whole file; " + said);
        } else if (picture.roster().entries().size() != backends
                || picture.learnedState().pins().size() != pins) {
            faults.add("round " + number + ": whole, and yet "
                    + picture.roster().entries().size() + " backends and "
                    + picture.learnedState().pins().size() + " pins");
        }
        // What is at fault stays, to be looked at.
        if (faults.isEmpty()) {
            Files.delete(Directories.createEmpty(folder));
        }
        return new Report(
                1,
                picture == null ? 0 : 1,
                halves,
                said.size(),
                picture == null ? 0 : killed - picture.takenAt(),
                0,
                faults);
    }
}
