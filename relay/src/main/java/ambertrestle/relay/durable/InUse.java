package ambertrestle.relay.durable;

import java.io.IOException;

/** Another process, or another relay of this one, holds the folder. */
public final class InUse extends IOException {
    private static final long serialVersionUID = 1L;

    InUse() {
        super("is in use by another relay");
    }
}
