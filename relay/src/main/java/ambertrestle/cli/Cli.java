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
 * The command line of the daemon. Exit codes: 0 success, 1 faulty input or failed start, 2 wrong usage, 143 ended by
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
        footer = {"", "Exit codes: 0 success; 1 faulty input or failed start; 2 wrong usage; 143 ended by SIGTERM."})
public final class Cli implements Callable<Integer> {
    private static final int NANOS_PER_MILLI = 1_000_000;

    @Spec
    private CommandSpec spec;

    /** The parser and executor of all commands. */
    public static CommandLine commandLine() {
        return new CommandLine(new Cli()).setCaseInsensitiveEnumValuesAllowed(true);
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    /** Runs one relay until the process gets SIGTERM. */
    @Command(name = "serve", mixinStandardHelpOptions = true, description = "Runs one relay until SIGTERM.")
    static final class ServeCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--config",
                paramLabel = "FILE",
                description = "The configuration, in JSON; default: $BALANCER_CONFIG.")
        private String configurationFile;

        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "The operator file, in TOML; default: none, optional features are off.")
        private Path operatorFile;

        @Option(
                names = "--log-format",
                paramLabel = "text|json",
                description = "Format of the log; default: the operator file's, else text.")
        private Log.Format logFormat;

        @Override
        public Integer call() throws InterruptedException {
            OperatorConfiguration operatorConfiguration = operatorFile == null
                    ? OperatorConfiguration.DEFAULT
                    : readOperatorConfiguration(operatorFile, spec.commandLine().getErr());
            if (operatorConfiguration == null) {
                return 1;
            }
            Map<String, String> environment = new HashMap<>(System.getenv());
            if (configurationFile != null) {
                environment.put("BALANCER_CONFIG", configurationFile);
            }
            RelayServer.run(
                    environment,
                    logFormat != null ? logFormat : operatorConfiguration.logFormat(),
                    operatorConfiguration.persistence());
            // Waits forever: a signal or a failed start ends the JVM. If this method returned, Main would end it now.
            Thread.currentThread().join();
            return 0;
        }
    }

    /** Runs relays for the simulator until standard input ends. */
    @Command(
            name = "simhost",
            mixinStandardHelpOptions = true,
            description = "Runs relays for the simulator, on its protocol over standard input and output.")
    static final class SimHostCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            return runSimHost();
        }
    }

    /** Reads the operator file; if it cannot be read or is faulty, prints the reasons to `err` and returns null. */
    public static OperatorConfiguration readOperatorConfiguration(Path path, PrintWriter err) {
        try {
            return OperatorConfiguration.read(path);
        } catch (IOException e) {
            err.println("ambertrestle: " + e.getMessage());
        } catch (OperatorConfiguration.InvalidOperatorFileException e) {
            e.faults().forEach(fault -> err.println("ambertrestle: " + fault));
        }
        return null;
    }

    /** Processes the simulator's batches until standard input ends; returns the exit code. */
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

    /** Checks the relay configuration and an operator file without starting a relay. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Checks the configuration and an operator file, and prints every fault with file, line and key. Starts nothing.")
    static final class CheckCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--config",
                paramLabel = "FILE",
                description = "The configuration, in JSON; default: $BALANCER_CONFIG, if it is set.")
        private String configurationFile;

        @Option(names = "--operator", paramLabel = "FILE", description = "The operator file, in TOML.")
        private Path operatorFile;

        @Override
        public Integer call() {
            PrintWriter err = spec.commandLine().getErr();
            Map<String, String> environment = new HashMap<>(System.getenv());
            if (configurationFile != null) {
                environment.put("BALANCER_CONFIG", configurationFile);
            }
            if (operatorFile == null && environment.get("BALANCER_CONFIG") == null) {
                err.println("ambertrestle: nothing to check: expected --config, --operator or BALANCER_CONFIG");
                return 2;
            }
            List<String> faults = new ArrayList<>();
            if (environment.get("BALANCER_CONFIG") != null) {
                RelayConfiguration.findFaults(environment).forEach(fault -> faults.add(fault.toString()));
            }
            if (operatorFile != null) {
                try {
                    OperatorConfiguration.read(operatorFile);
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

    /** Prints the backends that a newly started relay would select for given keys. */
    @Command(
            name = "place",
            mixinStandardHelpOptions = true,
            description =
                    "Prints for each key the backend that a newly started relay would select: one `key backend` per line, `-` for none.")
    static final class PlaceCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--config",
                paramLabel = "FILE",
                required = true,
                description = "The configuration whose settings apply, in JSON.")
        private String configurationFile;

        @Option(
                names = "--roster",
                paramLabel = "FILE",
                description =
                        "The roster, in the JSON format of the roster service; default: `known` of the configuration.")
        private Path rosterFile;

        @Parameters(
                paramLabel = "KEY",
                description = "Keys, up to 64 bits of hex each; default: one per line from standard input.")
        private List<String> keys = new ArrayList<>();

        @Override
        public Integer call() throws IOException {
            PrintWriter err = spec.commandLine().getErr();
            RelayConfiguration configuration;
            RosterMessage rosterMessage;
            try {
                // Placeholders, because a configuration may leave its addresses to the environment. Nothing uses them.
                configuration = RelayConfiguration.read(Map.of(
                        "BALANCER_CONFIG",
                        configurationFile,
                        "BALANCER_LISTEN",
                        "127.0.0.1:1",
                        "BALANCER_DISCOVERY",
                        "127.0.0.1:1"));
                rosterMessage = rosterFile == null
                        ? configuration.initialRoster()
                        : RosterMessage.decode(new JsonObject(Files.readString(rosterFile)));
            } catch (RelayConfiguration.InvalidConfigurationException e) {
                err.println("ambertrestle: " + configurationFile + ": " + e.getMessage());
                return 1;
            } catch (IOException e) {
                err.println("ambertrestle: " + rosterFile + " cannot be read");
                return 1;
            } catch (DecodeException e) {
                err.println("ambertrestle: " + rosterFile + " is not JSON");
                return 1;
            } catch (IllegalArgumentException e) {
                err.println("ambertrestle: " + rosterFile + " is not a valid roster: " + e.getMessage());
                return 1;
            }
            PlacementPreview preview = new PlacementPreview(
                    configuration.reducerConfiguration(), rosterMessage, System.currentTimeMillis() * NANOS_PER_MILLI);
            PrintWriter out = spec.commandLine().getOut();
            int lineNumber = 0;
            BufferedReader in = keys.isEmpty()
                    ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                    : new BufferedReader(new java.io.StringReader(String.join("\n", keys)));
            for (String key = in.readLine(); key != null; key = in.readLine()) {
                lineNumber++;
                if (!key.strip().matches("[0-9a-fA-F]{1,16}") || Long.parseUnsignedLong(key.strip(), 16) == 0) {
                    out.flush();
                    err.println("ambertrestle: key " + lineNumber
                            + " is malformed: expected 1 to 16 digits of hex, not 0, got " + key);
                    return 1;
                }
                String backend = preview.selectBackend(Long.parseUnsignedLong(key.strip(), 16));
                out.println(key.strip() + " " + (backend == null ? "-" : backend));
            }
            out.flush();
            return 0;
        }
    }
}
