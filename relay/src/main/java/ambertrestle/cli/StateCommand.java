package ambertrestle.cli;

import ambertrestle.decide.Kept;
import ambertrestle.decide.Kept.Judged;
import ambertrestle.decide.Kept.Pin;
import ambertrestle.recover.Aging;
import ambertrestle.relay.durable.Picture;
import ambertrestle.relay.durable.StateFile;
import ambertrestle.relay.wire.RosterMessage;
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
        subcommands = {StateCommand.Show.class, StateCommand.Verify.class})
final class StateCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    /** Says on standard error why not; null then. */
    private static Picture read(CommandSpec spec, Path file) {
        try {
            return StateFile.decode(Files.readAllBytes(file));
        } catch (IOException e) {
            spec.commandLine().getErr().println("ambertrestle: " + file + " cannot be read");
        } catch (StateFile.Refused e) {
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
    static final class Verify implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            Picture p = read(spec, file);
            if (p == null) {
                return 1;
            }
            spec.commandLine()
                    .getOut()
                    .printf(
                            "%s: whole, kept by %s at %s: %d backends, %d judged, %d pins%n",
                            file,
                            p.relay(),
                            time(p.keptAt()),
                            p.roster().lines().size(),
                            p.kept().backends().size(),
                            p.kept().pins().size());
            spec.commandLine().getOut().flush();
            return 0;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description =
                    "What the file holds, and what each judgment would weigh now; pins only by number, or all with --pins.")
    static final class Show implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(names = "--pins", description = "List each pin: key, backend, end of its last connection.")
        private boolean pins;

        @Override
        public Integer call() {
            Picture p = read(spec, file);
            if (p == null) {
                return 1;
            }
            show(p, spec.commandLine().getOut(), pins, System.currentTimeMillis() * 1_000_000);
            return 0;
        }
    }

    static void show(Picture p, PrintWriter out, boolean pins, long now) {
        Kept k = p.kept();
        Map<Long, String> names = new HashMap<>();
        p.roster().lines().forEach(l -> names.put(RosterMessage.id(l.name()), l.name()));
        out.printf(
                Locale.ROOT,
                "relay      %s%nkept at    %s, %.1f s ago%n",
                p.relay(),
                time(p.keptAt()),
                (now - p.keptAt()) / 1e9);
        out.printf(
                "roster     version %d of %s, heard %s%n",
                p.roster().index(), p.rosterAt().isEmpty() ? "nobody" : p.rosterAt(), time(p.heardAt()));
        out.printf(
                Locale.ROOT,
                "carried    %.2f connections a second lived to their end; a set-up takes %.1f ms; %s%n",
                k.whole().ended() / (k.whole().lived() / 1e9 + 1),
                k.whole().setUp() / 1e6,
                k.whole().pace() > 0
                        ? "set-ups are spaced by " + k.whole().pace() / 1_000_000 + " ms"
                        : "set-ups are not spaced");
        out.printf("%n%-24s %-9s %-24s %s%n", "backend", "stage", "started", "address");
        for (RosterMessage.Line l : p.roster().lines()) {
            out.printf(
                    "%-24s %-9s %-24s %s%n",
                    l.name(),
                    l.stage().name().toLowerCase(Locale.ROOT),
                    l.sinceMillis() == 0 ? "long ago" : Instant.ofEpochMilli(l.sinceMillis()),
                    l.address());
        }
        out.printf("%n%-24s %8s %8s %8s %9s %7s%n", "judged", "stood", "failed", "slow", "late ms", "weight");
        for (Judged j : k.backends()) {
            out.printf(
                    Locale.ROOT,
                    "%-24s %8.2f %8.2f %8.2f %9d %7.3f%n",
                    names.getOrDefault(j.backend(), Long.toHexString(j.backend())),
                    j.good(),
                    j.bad(),
                    j.slow(),
                    j.delay() / 1_000_000,
                    Aging.doubt(now - j.evidenceAt()));
        }
        out.printf("%n%d pins%n", k.pins().size());
        for (Pin pin : pins ? k.pins() : java.util.List.<Pin>of()) {
            out.printf(
                    "%016x %-24s %s%n",
                    pin.key(),
                    names.getOrDefault(pin.backend(), Long.toHexString(pin.backend())),
                    pin.endedAt() == Pin.OPEN ? "open" : time(pin.endedAt()));
        }
        out.flush();
    }
}
