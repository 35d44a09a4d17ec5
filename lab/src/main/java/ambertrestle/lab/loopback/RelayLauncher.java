package ambertrestle.lab.loopback;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Starts the relay daemon from its packaged jar on loopback. Of this process's environment the relay inherits no
 * `BALANCER_` variables, so that its configuration file alone determines its settings.
 */
final class RelayLauncher {
    /** The address that all servers of the lab listen on. */
    static final String HOST = "127.0.0.1";

    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 10_000;
    private static final int PORTS_PER_PROCESS = 37;
    /** Processes that run at once start at different ports. */
    private static final AtomicInteger NEXT_PORT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORT_COUNT));

    private RelayLauncher() {}

    /** Starts a relay without an operator file. */
    static Process start(Path jar, Path configuration, Path log) throws IOException {
        return start(jar, configuration, null, log);
    }

    /**
     * Starts a relay; does not wait until it accepts connections.
     *
     * @param jar the daemon's jar
     * @param configuration the relay configuration (JSON)
     * @param operatorFile the operator file (TOML), or null for none
     * @param log file to which standard output and standard error are appended
     * @param jvmOptions further options of the JVM; they take precedence over the lab's own
     */
    static Process start(Path jar, Path configuration, Path operatorFile, Path log, String... jvmOptions)
            throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx256m",
                "-Dvertx.disableDnsResolver=true"));
        command.addAll(List.of(jvmOptions));
        // Uses the class data sharing archive beside the jar, as the deployed relay does. An archive that is older than
        // the jar was made for other classes and is ignored.
        Path classDataArchive = jar.resolveSibling("ambertrestle.jsa");
        if (Files.isRegularFile(classDataArchive)
                && Files.getLastModifiedTime(classDataArchive).compareTo(Files.getLastModifiedTime(jar)) > 0) {
            command.add("-XX:SharedArchiveFile=" + classDataArchive);
        }
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        if (operatorFile != null) {
            command.addAll(List.of("--operator", operatorFile.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(variable -> variable.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", configuration.toString());
        return builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    /**
     * A port on which nothing listens now. It lies below the range from which Linux takes the ports of outgoing
     * connections: one of those, in the time until the relay listens, would keep the relay from starting.
     */
    static int findFreePort() throws IOException {
        for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT_OFFSET.getAndIncrement(), PORT_COUNT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // The port is in use; the next one may be free.
            }
        }
        throw new IOException("no port from " + FIRST_PORT + " on is free");
    }
}
