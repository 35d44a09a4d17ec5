package ambertrestle.lab.loopback;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Starts the relay daemon from its packaged jar on loopback. Of this process's environment the relay inherits no
 * `BALANCER_` variables, so that its configuration file alone determines its settings.
 */
final class RelayLauncher {
    /** The address that all servers of the lab listen on. */
    static final String HOST = "127.0.0.1";

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
     */
    static Process start(Path jar, Path configuration, Path operatorFile, Path log) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx256m",
                "-Dvertx.disableDnsResolver=true"));
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

    /** A port on which nothing listens now. Another process may take it before the caller does. */
    static int findFreePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }
}
