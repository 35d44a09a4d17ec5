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
    static Process start(Path jar, Path configuration, Path operator, Path log) throws IOException {
        List<String> words = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx256m",
                "-Dvertx.disableDnsResolver=true"));
        // As deployed, with the archive of classes where the build has left one beside the jar.
        Path archive = jar.resolveSibling("ambertrestle.jsa");
        if (Files.isRegularFile(archive)
                && Files.getLastModifiedTime(archive).compareTo(Files.getLastModifiedTime(jar)) > 0) {
            words.add("-XX:SharedArchiveFile=" + archive);
        }
        words.addAll(List.of("-jar", jar.toString(), "serve"));
        if (operator != null) {
            words.addAll(List.of("--operator", operator.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().keySet().removeIf(k -> k.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", configuration.toString());
        return builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    /** A port that nothing listens on now. */
    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return free.getLocalPort();
        }
    }
}
