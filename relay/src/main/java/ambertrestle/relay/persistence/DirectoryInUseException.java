package ambertrestle.relay.persistence;

import java.io.IOException;

/**
 * Thrown when the state directory is locked by another process, or by another relay in this process. The message is a
 * predicate that follows the directory's name.
 */
public final class DirectoryInUseException extends IOException {
    private static final long serialVersionUID = 1L;

    DirectoryInUseException() {
        super("is in use by another relay");
    }
}
