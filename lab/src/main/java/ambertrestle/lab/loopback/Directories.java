package ambertrestle.lab.loopback;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Helper for working directories that contain files but no subdirectories. */
final class Directories {
    private Directories() {}

    /**
     * Creates a directory if it does not exist, and otherwise deletes the files in it.
     *
     * @return the directory
     * @throws IOException if it cannot be created or emptied, for example because it has a subdirectory with content
     */
    static Path createEmpty(Path directory) throws IOException {
        Files.createDirectories(directory);
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        return directory;
    }
}
