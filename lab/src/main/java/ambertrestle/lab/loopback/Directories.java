package ambertrestle.lab.loopback;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Folders with files in them and nothing deeper. */
final class Directories {
    private Directories() {}

    /** Makes it where it is not there. */
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
