package ambertrestle.relay.persistence;

import java.io.IOException;

/** Another process, or another relay of this one, holds the folder. */
public final class DirectoryInUseException extends IOException {
    private static final long serialVersionUID = 1L;

    DirectoryInUseException() {
        super("is in use by another relay");
    }
}
