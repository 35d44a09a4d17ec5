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

/** What a relay kept, read for a person; a file is only ever read here. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description = "Reads a file of the folder that [durable] names.",
        subcommands = {StateCommand.ShowCommand.class, StateCommand.VerifyCommand.class})
final class StateCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    /** Says on standard error why not; null then. */
    private static StateSnapshot read(CommandSpec spec, Path file) {
        try {
            return StateFileCodec.decode(Files.readAllBytes(file));
        } catch (IOException e) {
            spec.commandLine().getErr().println("ambertrestle: " + file + " cannot be read");
        } catch (StateFileCodec.RejectedException e) {
            spec.commandLine().getErr().println("ambertrestle: " + file + " " + e.getMessage());
        }
        return null;
    }

    private static String time(long nanos) {
        return nanos <= 0 ? "never" : Instant.ofEpochMilli(nanos / 1_000_000).toString();
    }

    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Exit code 0 where the file is whole and readable, 1 and the reason where not.")
    static final class VerifyCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            StateSnapshot p = read(spec, file);
            if (p == null) {
                return 1;
            }
            spec.commandLine()
                    .getOut()
                    .printf(
                            "%s: whole, kept by %s at %s: %d backends, %d judged, %d pins%n",
                            file,
                            p.relayName(),
                            time(p.takenAt()),
                            p.roster().entries().size(),
                            p.learnedState().backends().size(),
                            p.learnedState().pins().size());
            spec.commandLine().getOut().flush();
            return 0;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description =
                    "What the file holds, and what each judgment would weigh now; pins only by number, or all with --pins.")
    static final class ShowCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(names = "--pins", description = "List each pin: key, backend, end of its last connection.")
        private boolean pins;

        @Override
        public Integer call() {
            StateSnapshot p = read(spec, file);
            if (p == null) {
                return 1;
            }
            printSnapshot(p, spec.commandLine().getOut(), pins, System.currentTimeMillis() * 1_000_000);
            return 0;
        }
    }

    static void printSnapshot(StateSnapshot p, PrintWriter out, boolean pins, long now) {
        LearnedState k = p.learnedState();
        Map<Long, String> names = new HashMap<>();
        p.roster().entries().forEach(l -> names.put(RosterMessage.backendId(l.name()), l.name()));
        out.printf(
                Locale.ROOT,
                "relay      %s%nkept at    %s, %.1f s ago%n",
                p.relayName(),
                time(p.takenAt()),
                (now - p.takenAt()) / 1e9);
        out.printf(
                "roster     version %d of %s, heard %s%n",
                p.roster().version(),
                p.rosterAddress().isEmpty() ? "nobody" : p.rosterAddress(),
                time(p.rosterConfirmedAt()));
        out.printf(
                Locale.ROOT,
                "carried    %.2f connections a second lived to their end; a set-up takes %.1f ms; %s%n",
                k.relayStatistics().completedConnections()
                        / (k.relayStatistics().observedFor() / 1e9 + 1),
                k.relayStatistics().typicalSetUpTime() / 1e6,
                k.relayStatistics().setUpInterval() > 0
                        ? "set-ups are spaced by " + k.relayStatistics().setUpInterval() / 1_000_000 + " ms"
                        : "set-ups are not spaced");
        out.printf("%n%-24s %-9s %-24s %s%n", "backend", "stage", "started", "address");
        for (RosterMessage.Entry l : p.roster().entries()) {
            out.printf(
                    "%-24s %-9s %-24s %s%n",
                    l.name(),
                    l.stage().name().toLowerCase(Locale.ROOT),
                    l.startedAtMillis() == 0 ? "long ago" : Instant.ofEpochMilli(l.startedAtMillis()),
                    l.address());
        }
        out.printf("%n%-24s %8s %8s %8s %9s %7s%n", "judged", "stood", "failed", "slow", "late ms", "weight");
        for (BackendStatistics j : k.backends()) {
            out.printf(
                    Locale.ROOT,
                    "%-24s %8.2f %8.2f %8.2f %9d %7.3f%n",
                    names.getOrDefault(j.backend(), Long.toHexString(j.backend())),
                    j.successes(),
                    j.failures(),
                    j.sharedCauseFailures(),
                    j.reportedDelay() / 1_000_000,
                    LearnedStateDecay.failureEvidenceWeight(now - j.evidenceUpdatedAt()));
        }
        out.printf("%n%d pins%n", k.pins().size());
        for (Pin pin : pins ? k.pins() : java.util.List.<Pin>of()) {
            out.printf(
                    "%016x %-24s %s%n",
                    pin.key(),
                    names.getOrDefault(pin.backend(), Long.toHexString(pin.backend())),
                    pin.unusedSince() == Pin.IN_USE ? "open" : time(pin.unusedSince()));
        }
        out.flush();
    }
}
