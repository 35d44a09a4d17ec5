package ambertrestle;

import ambertrestle.cli.Cli;
import ambertrestle.relay.life.Log;
import ambertrestle.relay.life.Serve;

/** Starts what the command line names. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        // Danger: a relay restarts with part of a core while clients wait; it does not pay for reading options it has not.
        if (args.length == 1 && args[0].equals("serve")) {
            Serve.run(System.getenv(), Log.Form.TEXT, null);
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
