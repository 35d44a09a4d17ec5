package ambertrestle.lab.loopback;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Starts the daemon as it is shipped, on loopback, with its configuration and nothing else of this process's
 * environment.
 */
final class RelayLauncher {
    static final String HOST = "127.0.0.1";

    private RelayLauncher() {}

    static Process start(Path jar, Path configuration, Path log) throws IOException {
        return start(jar, configuration, null, log);
    }

    /** `operator`: its operator file, or null. */
    static Process start(Path jar, Path configuration, Path operatorFile, Path log) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx256m",
                "-Dvertx.disableDnsResolver=true"));
        // As deployed, with the archive of classes where the build has left one beside the jar.
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

    /** A port that nothing listens on now. */
    static int findFreePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }
}
