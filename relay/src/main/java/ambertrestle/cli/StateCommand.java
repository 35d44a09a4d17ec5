package ambertrestle.cli;

import ambertrestle.decide.LearnedState;
import ambertrestle.decide.LearnedState.BackendStatistics;
import ambertrestle.decide.LearnedState.Pin;
import ambertrestle.relay.persistence.StateFileCodec;
import ambertrestle.relay.persistence.StateSnapshot;
import ambertrestle.relay.wire.RosterMessage;
import ambertrestle.restore.LearnedStateDecay;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints and checks state files of a relay. Never changes them. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description = "Reads a state file, from the folder that [durable] of the operator file names.",
        subcommands = {StateCommand.ShowCommand.class, StateCommand.VerifyCommand.class})
final class StateCommand implements Callable<Integer> {
    private static final int NANOS_PER_MILLI = 1_000_000;
    /** The same as a floating-point number, for results with a fraction. */
    private static final double NANOS_PER_MILLI_DOUBLE = 1e6;

    private static final double NANOS_PER_SECOND = 1e9;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    /** Reads a state file; if that fails, prints the reason to standard error and returns null. */
    private static StateSnapshot readSnapshot(CommandSpec spec, Path file) {
        try {
            return StateFileCodec.decode(Files.readAllBytes(file));
        } catch (IOException e) {
            spec.commandLine().getErr().println("ambertrestle: " + file + " cannot be read");
        } catch (StateFileCodec.RejectedException e) {
            spec.commandLine().getErr().println("ambertrestle: " + file + " " + e.getMessage());
        }
        return null;
    }

    /** Returns the time in UTC, or "never" for 0 and less. */
    private static String formatTime(long unixNanos) {
        return unixNanos <= 0
                ? "never"
                : Instant.ofEpochMilli(unixNanos / NANOS_PER_MILLI).toString();
    }

    /** Reports whether a state file is complete and valid. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Exits with 0 if the file is complete and valid; else prints the reason and exits with 1.")
    static final class VerifyCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            StateSnapshot snapshot = readSnapshot(spec, file);
            if (snapshot == null) {
                return 1;
            }
            spec.commandLine()
                    .getOut()
                    .printf(
                            "%s: whole, kept by %s at %s: %d backends, %d judged, %d pins%n",
                            file,
                            snapshot.relayName(),
                            formatTime(snapshot.takenAt()),
                            snapshot.roster().entries().size(),
                            snapshot.learnedState().backends().size(),
                            snapshot.learnedState().pins().size());
            spec.commandLine().getOut().flush();
            return 0;
        }
    }

    /** Prints the content of a state file. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description =
                    "Prints the file's roster, the learned state of each backend with its weight at its present age, and the number of pins.")
    static final class ShowCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(names = "--pins", description = "Print each pin: key, backend, end of its last connection.")
        private boolean listPins;

        @Override
        public Integer call() {
            StateSnapshot snapshot = readSnapshot(spec, file);
            if (snapshot == null) {
                return 1;
            }
            printSnapshot(
                    snapshot, spec.commandLine().getOut(), listPins, System.currentTimeMillis() * NANOS_PER_MILLI);
            return 0;
        }
    }

    /**
     * Prints a snapshot. Scripts compare the labels and columns, so they must not change: "carried" is the rate of
     * completed connections, "heard" the time when the roster service last confirmed the roster, and the table "judged"
     * has for each backend its decayed counts of successful set-ups (stood), of failures (failed) and of failures that
     * a shared dependency may have caused (slow), its reported delay (late ms) and the weight that these counts have
     * now.
     *
     * @param listPins whether to print each pin, or only their number
     * @param now Unix time in nanoseconds, for ages and weights
     */
    static void printSnapshot(StateSnapshot snapshot, PrintWriter out, boolean listPins, long now) {
        LearnedState learnedState = snapshot.learnedState();
        Map<Long, String> nameById = new HashMap<>();
        snapshot.roster().entries().forEach(entry -> nameById.put(RosterMessage.backendId(entry.name()), entry.name()));
        out.printf(
                Locale.ROOT,
                "relay      %s%nkept at    %s, %.1f s ago%n",
                snapshot.relayName(),
                formatTime(snapshot.takenAt()),
                (now - snapshot.takenAt()) / NANOS_PER_SECOND);
        out.printf(
                "roster     version %d of %s, heard %s%n",
                snapshot.roster().version(),
                snapshot.rosterAddress().isEmpty() ? "nobody" : snapshot.rosterAddress(),
                formatTime(snapshot.rosterConfirmedAt()));
        out.printf(
                Locale.ROOT,
                "carried    %.2f connections a second lived to their end; a set-up takes %.1f ms; %s%n",
                // One second is added, as when a relay restores this rate, so that a period of 0 yields a finite rate.
                learnedState.relayStatistics().completedConnections()
                        / (learnedState.relayStatistics().observedFor() / NANOS_PER_SECOND + 1),
                learnedState.relayStatistics().typicalSetUpTime() / NANOS_PER_MILLI_DOUBLE,
                learnedState.relayStatistics().setUpInterval() > 0
                        ? "set-ups are spaced by "
                                + learnedState.relayStatistics().setUpInterval() / NANOS_PER_MILLI + " ms"
                        : "set-ups are not spaced");
        out.printf("%n%-24s %-9s %-24s %s%n", "backend", "stage", "started", "address");
        for (RosterMessage.Entry entry : snapshot.roster().entries()) {
            out.printf(
                    "%-24s %-9s %-24s %s%n",
                    entry.name(),
                    entry.stage().name().toLowerCase(Locale.ROOT),
                    entry.startedAtMillis() == 0 ? "long ago" : Instant.ofEpochMilli(entry.startedAtMillis()),
                    entry.address());
        }
        out.printf("%n%-24s %8s %8s %8s %9s %7s%n", "judged", "stood", "failed", "slow", "late ms", "weight");
        for (BackendStatistics statistics : learnedState.backends()) {
            out.printf(
                    Locale.ROOT,
                    "%-24s %8.2f %8.2f %8.2f %9d %7.3f%n",
                    nameById.getOrDefault(statistics.backend(), Long.toHexString(statistics.backend())),
                    statistics.successes(),
                    statistics.failures(),
                    statistics.sharedCauseFailures(),
                    statistics.reportedDelay() / NANOS_PER_MILLI,
                    LearnedStateDecay.failureEvidenceWeight(now - statistics.evidenceUpdatedAt()));
        }
        out.printf("%n%d pins%n", learnedState.pins().size());
        for (Pin pin : listPins ? learnedState.pins() : java.util.List.<Pin>of()) {
            out.printf(
                    "%016x %-24s %s%n",
                    pin.key(),
                    nameById.getOrDefault(pin.backend(), Long.toHexString(pin.backend())),
                    pin.unusedSince() == Pin.IN_USE ? "open" : formatTime(pin.unusedSince()));
        }
        out.flush();
    }
}
