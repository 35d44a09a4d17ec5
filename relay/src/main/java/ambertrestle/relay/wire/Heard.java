package ambertrestle.relay.wire;

import java.util.Map;

/** What the sockets tell. Accepted sockets are numbered upwards from 1, dialled ones downwards from -1. */
public sealed interface Heard {
    record Accepted(long socket) implements Heard {}

    record ClientSaid(long socket, FromClient line) implements Heard {}

    record BackendSaid(long socket, FromBackend line) implements Heard {}

    /** A dialled socket is up and its first line about to go out. */
    record Connected(long socket) implements Heard {}

    /** The first line is out to its last byte. */
    record Written(long socket) implements Heard {}

    /** The peer has ended its sending; it may still listen. */
    record Ended(long socket) implements Heard {}

    /** The socket is given back, whoever closed it; `reset`: the peer broke it off. */
    record Gone(long socket, boolean reset) implements Heard {}

    /** The peer sent what is no line. */
    record Garbled(long socket) implements Heard {}

    /** `faulty`: why entries were left out, by their names; what was known of those stands. */
    record Roster(RosterMessage message, Map<String, String> faulty) implements Heard {
        public Roster(RosterMessage message) {
            this(message, Map.of());
        }
    }

    record RosterBroke(String why) implements Heard {}
}
