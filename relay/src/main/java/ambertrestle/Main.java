package ambertrestle;

import ambertrestle.cli.Cli;
import ambertrestle.relay.life.Log;
import ambertrestle.relay.life.OperatorFile;
import ambertrestle.relay.life.Serve;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Starts what the command line names. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        // Danger: a relay restarts with part of a core while clients wait; it does not pay for reading options it has
        // not.
        if (args.length == 1 && args[0].equals("serve")) {
            Serve.run(System.getenv(), Log.Form.TEXT, null);
        } else if (args.length == 3 && args[0].equals("serve") && args[1].equals("--operator")) {
            // The same for the one option that a relay which keeps its state is always started with: a fifth of its
            // start.
            OperatorFile file = Cli.operatorFile(Path.of(args[2]), new PrintWriter(System.err, true));
            if (file == null) {
                System.exit(1);
            }
            Serve.run(System.getenv(), file.logForm(), file.durable());
        } else if (args.length == 1 && args[0].equals("simhost")) {
            int code = Cli.simulate();
            if (code != 0) {
                System.exit(code);
            }
        } else {
            System.exit(Cli.commandLine().execute(args));
        }
    }
}
