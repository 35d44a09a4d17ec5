package ambertrestle.lab.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;

/** Starts the daemon as it is shipped, on loopback, with its configuration and nothing else of this process's environment. */
final class Daemon {
    static final String HOST = "127.0.0.1";

    private Daemon() { }

    static Process start(Path jar, Path configuration, Path log) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx256m", "-Dvertx.disableDnsResolver=true", "-jar", jar.toString(), "serve");
        builder.environment().keySet().removeIf(k -> k.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", configuration.toString());
        return builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
    }

    /** A port that nothing listens on now. */
    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return free.getLocalPort();
        }
    }
}
