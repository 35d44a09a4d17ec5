package ambertrestle.lab;

import java.net.URISyntaxException;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The option {@code --jar} of the commands that start relay processes. */
final class RelayJarOption {
    /** Null means the jar from the same build. */
    @Option(
            names = "--jar",
            description = "The relay's jar, for runs on sockets; default: the one from the same build.")
    private Path jar;

    /** Returns the jar that relay processes are started from. */
    Path path() {
        return jar != null ? jar : defaultJar();
    }

    /** Returns the path of the relay's jar from the same build as the lab's jar. */
    private static Path defaultJar() {
        try {
            Path labJar = Path.of(RelayJarOption.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            return labJar.getParent()
                    .resolve("../../relay/target/ambertrestle.jar")
                    .normalize();
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
