package ambertrestle.relay.memory;

import ambertrestle.decide.Association;
import ambertrestle.relay.wire.FromClient;
import java.util.ArrayDeque;

/** One client's connection, and the backend's that serves it. Times in nanoseconds. */
final class Connection {
    enum Stage {
        /** Nothing was asked yet. */
        SILENT,
        /** Its association is with the module: waiting, or a dispatch is out. */
        PLACING,
        /** Up at a backend; lines pass. */
        OPEN,
        /** The final answer is given or the end is passed on; only sockets are left. */
        OVER
    }

    final long client;
    Stage stage = Stage.SILENT;
    boolean clientGone;
    boolean asked;
    Association association;
    FromClient.Opening opening;
    /**
     * The dispatch that is out: its socket, 0 while none; `handed`: its line is with the socket; `written`: it is out.
     */
    long backendSocket;

    int dispatch;
    long backend;
    long sentAt;
    /**
     * How long its backend has for an answer, from when the line was handed to its socket; `over`: that was up once.
     */
    long patience;

    boolean over;
    boolean handed;
    boolean written;
    /** It was open at that backend before this relay started, and goes back there. */
    boolean standing;
    /** The backend said that the connection is served to its end, or sent the client away. */
    boolean saidBye;

    boolean saidMove;
    /** Lines that came before the connection was up. */
    final ArrayDeque<byte[]> early = new ArrayDeque<>();
    /** When the client's lines that brought nothing back yet were passed on, oldest first. */
    final ArrayDeque<Long> unanswered = new ArrayDeque<>();

    Dues.Due due;

    Connection(long client) {
        this.client = client;
    }
}
