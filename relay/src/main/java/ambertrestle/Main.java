package ambertrestle;

import ambertrestle.cli.Cli;
import ambertrestle.relay.server.Log;
import ambertrestle.relay.server.OperatorConfiguration;
import ambertrestle.relay.server.RelayServer;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Starts what the command line names. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        // Danger: a relay restarts with part of a core while clients wait; it does not pay for reading options it has
        // not.
        if (args.length == 1 && args[0].equals("serve")) {
            RelayServer.run(System.getenv(), Log.Format.TEXT, null);
        } else if (args.length == 3 && args[0].equals("serve") && args[1].equals("--operator")) {
            // The same for the one option that a relay which keeps its state is always started with: a fifth of its
            // start.
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
