package ambertrestle.cli;

import ambertrestle.relay.connection.PlacementPreview;
import ambertrestle.relay.server.Log;
import ambertrestle.relay.server.OperatorConfiguration;
import ambertrestle.relay.server.RelayConfiguration;
import ambertrestle.relay.server.RelayServer;
import ambertrestle.relay.toml.TomlDocument;
import ambertrestle.relay.wire.RosterMessage;
import ambertrestle.simhost.SimHost;
import ambertrestle.simhost.WireFormatException;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command line. Exit codes: 0 fine, 1 faulty input or a start that failed, 2 wrong usage, 143 told to stop by
 * SIGTERM.
 */
@Command(
        name = "ambertrestle",
        mixinStandardHelpOptions = true,
        version = "ambertrestle 0.2.0",
        description = "A balancer for long-lived connections.",
        subcommands = {
            Cli.ServeCommand.class,
            Cli.SimHostCommand.class,
            Cli.CheckCommand.class,
            Cli.PlaceCommand.class,
            StateCommand.class
        },
        footer = {"", "Exit codes: 0 fine; 1 faulty input, or a start that failed; 2 wrong usage; 143 ended by SIGTERM."
        })
public final class Cli implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    public static CommandLine commandLine() {
        return new CommandLine(new Cli()).setCaseInsensitiveEnumValuesAllowed(true);
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    @Command(name = "serve", mixinStandardHelpOptions = true, description = "One relay on real sockets, until SIGTERM.")
    static final class ServeCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--config",
                paramLabel = "FILE",
                description = "The configuration, JSON; default: $BALANCER_CONFIG.")
        private String config;

        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "The operator file, TOML; default: none, nothing more is on.")
        private Path operator;

        @Option(
                names = "--log-format",
                paramLabel = "text|json",
                description = "How the log is written; default: text.")
        private Log.Format form;

        @Override
        public Integer call() throws InterruptedException {
            OperatorConfiguration file = operator == null
                    ? OperatorConfiguration.DEFAULT
                    : readOperatorConfiguration(operator, spec.commandLine().getErr());
            if (file == null) {
                return 1;
            }
            Map<String, String> environment = new HashMap<>(System.getenv());
            if (config != null) {
                environment.put("BALANCER_CONFIG", config);
            }
            RelayServer.run(environment, form != null ? form : file.logFormat(), file.persistence());
            // The JVM ends by signal, or by a start that failed; this thread has nothing more to do.
            Thread.currentThread().join();
            return 0;
        }
    }

    @Command(
            name = "simhost",
            mixinStandardHelpOptions = true,
            description = "Many relays on the simulator's wire: standard input and output.")
    static final class SimHostCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            return runSimHost();
        }
    }

    /** Null where it is faulty, which `err` was told by file, line and key. */
    public static OperatorConfiguration readOperatorConfiguration(Path path, PrintWriter err) {
        try {
            return OperatorConfiguration.read(path);
        } catch (IOException e) {
            err.println("ambertrestle: " + e.getMessage());
        } catch (OperatorConfiguration.InvalidOperatorFileException e) {
            e.faults().forEach(f -> err.println("ambertrestle: " + f));
        }
        return null;
    }

    /** Plays the simulator's batches; gives the exit code. */
    public static int runSimHost() {
        try {
            FileOutputStream out = new FileOutputStream(FileDescriptor.out);
            new SimHost(new FileInputStream(FileDescriptor.in), out).run();
            return 0;
        } catch (WireFormatException e) {
            System.err.println("ambertrestle: " + e.getMessage());
        } catch (IOException e) {
            System.err.println("ambertrestle: reading or writing failed: " + e.getMessage());
        }
        return 1;
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Reads the configuration and an operator file, names every fault by file, line and key, and starts nothing.")
    static final class CheckCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--config",
                paramLabel = "FILE",
                description = "The configuration, JSON; default: $BALANCER_CONFIG, where it is set.")
        private String config;

        @Option(names = "--operator", paramLabel = "FILE", description = "The operator file, TOML.")
        private Path operator;

        @Override
        public Integer call() {
            PrintWriter err = spec.commandLine().getErr();
            Map<String, String> environment = new HashMap<>(System.getenv());
            if (config != null) {
                environment.put("BALANCER_CONFIG", config);
            }
            if (operator == null && environment.get("BALANCER_CONFIG") == null) {
                err.println("ambertrestle: nothing to check: give --config, --operator or BALANCER_CONFIG");
                return 2;
            }
            List<String> faults = new ArrayList<>();
            if (environment.get("BALANCER_CONFIG") != null) {
                RelayConfiguration.findFaults(environment).forEach(f -> faults.add(f.toString()));
            }
            if (operator != null) {
                try {
                    OperatorConfiguration.read(operator);
                } catch (IOException e) {
                    faults.add(e.getMessage());
                } catch (OperatorConfiguration.InvalidOperatorFileException e) {
                    e.faults().stream().map(TomlDocument.Fault::toString).forEach(faults::add);
                }
            }
            faults.forEach(err::println);
            if (faults.isEmpty()) {
                spec.commandLine().getOut().println("fine");
            }
            return faults.isEmpty() ? 0 : 1;
        }
    }

    @Command(
            name = "place",
            mixinStandardHelpOptions = true,
            description =
                    "Says for each key which backend a relay just started would pick: one `key backend` a line, `-` for none.")
    static final class PlaceCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--config",
                paramLabel = "FILE",
                required = true,
                description = "The configuration whose settings hold, JSON.")
        private String config;

        @Option(
                names = "--roster",
                paramLabel = "FILE",
                description =
                        "The list of backends in the roster service's form, JSON; default: `known` of the configuration.")
        private Path roster;

        @Parameters(
                paramLabel = "KEY",
                description = "Keys, up to 64 bits of hex each; none: one a line from standard input.")
        private List<String> keys = new ArrayList<>();

        @Override
        public Integer call() throws IOException {
            PrintWriter err = spec.commandLine().getErr();
            RelayConfiguration sheet;
            RosterMessage message;
            try {
                sheet = RelayConfiguration.read(Map.of(
                        "BALANCER_CONFIG",
                        config,
                        "BALANCER_LISTEN",
                        "127.0.0.1:1",
                        "BALANCER_DISCOVERY",
                        "127.0.0.1:1"));
                message = roster == null
                        ? sheet.initialRoster()
                        : RosterMessage.decode(new JsonObject(Files.readString(roster)));
            } catch (RelayConfiguration.InvalidConfigurationException e) {
                err.println("ambertrestle: " + config + ": " + e.getMessage());
                return 1;
            } catch (IOException e) {
                err.println("ambertrestle: " + roster + " cannot be read");
                return 1;
            } catch (DecodeException e) {
                err.println("ambertrestle: " + roster + " is not JSON");
                return 1;
            } catch (IllegalArgumentException e) {
                err.println("ambertrestle: " + roster + " is no roster: " + e.getMessage());
                return 1;
            }
            PlacementPreview placement =
                    new PlacementPreview(sheet.reducerConfiguration(), message, System.currentTimeMillis() * 1_000_000);
            PrintWriter out = spec.commandLine().getOut();
            int line = 0;
            BufferedReader in = keys.isEmpty()
                    ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                    : new BufferedReader(new java.io.StringReader(String.join("\n", keys)));
            for (String key = in.readLine(); key != null; key = in.readLine()) {
                line++;
                if (!key.strip().matches("[0-9a-fA-F]{1,16}") || Long.parseUnsignedLong(key.strip(), 16) == 0) {
                    out.flush();
                    err.println("ambertrestle: key " + line
                            + " is malformed: expected 1 to 16 digits of hex, not 0, got " + key);
                    return 1;
                }
                String backend = placement.selectBackend(Long.parseUnsignedLong(key.strip(), 16));
                out.println(key.strip() + " " + (backend == null ? "-" : backend));
            }
            out.flush();
            return 0;
        }
    }
}
