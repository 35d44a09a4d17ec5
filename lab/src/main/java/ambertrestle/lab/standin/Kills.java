package ambertrestle.lab.standin;

import ambertrestle.decide.Kept;
import ambertrestle.decide.Kept.Judged;
import ambertrestle.decide.Kept.Pin;
import ambertrestle.decide.Listed.Stage;
import ambertrestle.relay.durable.DurableSheet;
import ambertrestle.relay.durable.Hand;
import ambertrestle.relay.durable.Keeper;
import ambertrestle.relay.durable.Picture;
import ambertrestle.relay.durable.Said;
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
public final class Kills {
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    private static final long MOST_AGE = 24 * 3_600 * SECOND;
    private static final long READY_MILLIS = 20_000;

    /** What was found after all kills. `oldest`: of the files taken, the longest time from its picture to the kill. */
    public record Found(int kills, int whole, int halves, int passedOver, long oldest, long mean, List<String> faults) {
        private static Found fault(int number, String what) {
            return new Found(1, 0, 0, 0, 0, 0, List.of("round " + number + ": " + what));
        }
    }

    private final Path dir;
    private final long interval;
    private final int backends;
    private final int pins;

    public Kills(Path dir, long interval, int backends, int pins) {
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
        List<Said> said = new ArrayList<>();
        Keeper keeper = Keeper.open(
                new DurableSheet(Path.of(args[0]), interval, MOST_AGE, 64 << 20, 2 * SECOND), "killed", said);
        keeper.read(now(), said);
        Hand hand = all(backends, pins);
        for (long round = 0; said.isEmpty(); round++) {
            long began = System.nanoTime();
            Said failed = keeper.write(hand, "d:1", now(), now());
            if (failed != null) {
                throw new IOException(failed.line());
            }
            if (round == 0) {
                System.out.println("writes");
            }
            hand = new Hand();
            hand.take(new Kept(
                    1,
                    new Kept.Whole(round, 1, 1, 1, 1, 0),
                    List.of(),
                    List.of(new Pin(round % pins, 1, now())),
                    false));
            // As the daemon: twice an interval, from the beginning of one write to that of the next.
            Thread.sleep(Math.max(0, (interval / 2 - (System.nanoTime() - began)) / MS));
        }
        throw new IOException(said.get(0).line());
    }

    private static long now() {
        return System.currentTimeMillis() * MS;
    }

    private static Hand all(int backends, int pins) {
        List<RosterMessage.Line> lines = new ArrayList<>();
        List<Judged> judged = new ArrayList<>();
        for (int b = 0; b < backends; b++) {
            String name = "s-" + b;
            lines.add(new RosterMessage.Line(
                    name, "10.0." + b / 250 + "." + b % 250 + ":8000", Stage.READY, "a", "m2", 3, 1, 0));
            judged.add(new Judged(RosterMessage.id(name), 0, now(), 1, 0.5, 0, 0, 0, 0));
        }
        List<Pin> all = new ArrayList<>();
        for (int p = 0; p < pins; p++) {
            all.add(new Pin(p, judged.get(p % backends).backend(), Pin.OPEN));
        }
        Hand hand = new Hand();
        hand.take(new RosterMessage(1, true, lines));
        hand.take(new Kept(1, Kept.Whole.NOTHING, judged, all, false));
        return hand;
    }

    /** So many kills, some side by side, each in a folder of its own. */
    public Found run(int kills, int sideBySide, long seed) throws IOException, InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(sideBySide);
        List<Future<Found>> rounds = new ArrayList<>();
        SplittableRandom chance = new SplittableRandom(seed);
        for (int k = 0; k < kills; k++) {
            int number = k;
            // Over two writes and the pause between them, so that every part of one is met.
            long after = chance.nextLong(interval);
            rounds.add(pool.submit((Callable<Found>) () -> one(number, after)));
        }
        pool.shutdown();
        int whole = 0;
        int halves = 0;
        int passedOver = 0;
        long oldest = 0;
        long sum = 0;
        List<String> faults = new ArrayList<>();
        for (Future<Found> round : rounds) {
            try {
                Found f = round.get();
                whole += f.whole;
                halves += f.halves;
                passedOver += f.passedOver;
                oldest = Math.max(oldest, f.oldest);
                sum += f.oldest;
                faults.addAll(f.faults);
            } catch (ExecutionException e) {
                faults.add(String.valueOf(e.getCause()));
            }
        }
        pool.awaitTermination(1, TimeUnit.SECONDS);
        return new Found(kills, whole, halves, passedOver, oldest, kills == 0 ? 0 : sum / kills, faults);
    }

    private Found one(int number, long after) throws IOException, InterruptedException {
        Path folder = Folders.empty(dir.resolve("kill-" + number));
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx256m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Kills.class.getName(),
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
                return Found.fault(
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
        if (!process.waitFor(READY_MILLIS, TimeUnit.MILLISECONDS)) {
            return Found.fault(number, "the writer did not die");
        }
        int halves;
        try (Stream<Path> files = Files.list(folder)) {
            halves = (int) files.filter(f -> f.toString().endsWith(".new")).count();
        }
        List<Said> said = new ArrayList<>();
        Picture picture;
        try (Keeper keeper =
                Keeper.open(new DurableSheet(folder, interval, MOST_AGE, 64 << 20, 2 * SECOND), "killed", said)) {
            picture = keeper.read(now(), said);
        }
        List<String> faults = new ArrayList<>();
        if (picture == null) {
            faults.add("round " + number + ": no whole file; " + said);
        } else if (picture.roster().lines().size() != backends
                || picture.kept().pins().size() != pins) {
            faults.add("round " + number + ": whole, and yet "
                    + picture.roster().lines().size() + " backends and "
                    + picture.kept().pins().size() + " pins");
        }
        // What is at fault stays, to be looked at.
        if (faults.isEmpty()) {
            Files.delete(Folders.empty(folder));
        }
        return new Found(
                1,
                picture == null ? 0 : 1,
                halves,
                said.size(),
                picture == null ? 0 : killed - picture.keptAt(),
                0,
                faults);
    }
}
