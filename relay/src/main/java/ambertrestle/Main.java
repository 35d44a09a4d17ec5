package ambertrestle;

import ambertrestle.cli.Cli;
import ambertrestle.relay.server.Log;
import ambertrestle.relay.server.OperatorConfiguration;
import ambertrestle.relay.server.RelayServer;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Entry point of the daemon. Its most frequent commands bypass picocli, the command line parser, to start faster. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        // Parsing options would lengthen the restart of a relay, which gets only part of a CPU core while clients wait.
        if (args.length == 1 && args[0].equals("serve")) {
            RelayServer.run(System.getenv(), Log.Format.TEXT, null);
        } else if (args.length == 3 && args[0].equals("serve") && args[1].equals("--operator")) {
            // A relay that persists its state is always started with this option. Parsing it with picocli would take
            // a fifth of its start-up time.
            OperatorConfiguration operatorConfiguration =
                    Cli.readOperatorConfiguration(Path.of(args[2]), new PrintWriter(System.err, true));
            if (operatorConfiguration == null) {
                System.exit(1);
            }
            RelayServer.run(System.getenv(), operatorConfiguration.logFormat(), operatorConfiguration.persistence());
        } else if (args.length == 1 && args[0].equals("simhost")) {
            int exitCode = Cli.runSimHost();
            if (exitCode != 0) {
                System.exit(exitCode);
            }
        } else {
            System.exit(Cli.commandLine().execute(args));
        }
    }
}
