package ambertrestle;

import ambertrestle.cli.Cli;
import ambertrestle.relay.server.Log;
import ambertrestle.relay.server.OperatorConfiguration;
import ambertrestle.relay.server.RelayServer;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Entry point of the daemon. The most frequent commands bypass the command line parser. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        // Parsing options would delay a restarted relay, which has only part of a core while clients wait for it.
        if (args.length == 1 && args[0].equals("serve")) {
            RelayServer.run(System.getenv(), Log.Format.TEXT, null);
        } else if (args.length == 3 && args[0].equals("serve") && args[1].equals("--operator")) {
            // A relay that persists its state always has this option. Parsing it would take a fifth of the start.
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
