package ambertrestle;

import ambertrestle.relay.life.Serve;
import ambertrestle.simhost.SimHost;
import ambertrestle.simhost.WireException;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** Starts the one part that is named on the command line. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> Serve.run();
            case "simhost" -> simulate();
            default -> {
                System.err.println("usage: java -jar ambertrestle.jar serve|simhost");
                System.exit(2);
            }
        }
    }

    private static void simulate() {
        try {
            FileOutputStream out = new FileOutputStream(FileDescriptor.out);
            new SimHost(new FileInputStream(FileDescriptor.in), out).run();
        } catch (WireException e) {
            System.err.println("ambertrestle: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("ambertrestle: reading or writing failed: " + e.getMessage());
            System.exit(1);
        }
    }
}
