package ambertrestle.relay.connection;

import ambertrestle.decide.LearnedState;
import ambertrestle.relay.wire.NetworkCommand;
import ambertrestle.relay.wire.RosterMessage;
import java.util.Map;

/** All that the reducer can ask for. */
public sealed interface Effect {
    record ExecuteCommand(NetworkCommand command) implements Effect {}

    /** Instead of any earlier time. */
    record ScheduleTimer(long time) implements Effect {}

    /** A line of the log: what happened, in words, and to whom by name. */
    record WriteLog(String event, String text, Map<String, String> fields) implements Effect {}

    /** A part of what the module would keep beyond this process. */
    record PersistLearnedState(LearnedState part) implements Effect {}

    /** The roster service said this, and it was taken. */
    record PersistRoster(RosterMessage message) implements Effect {}

    /** All is settled; the program may end. */
    record Stop() implements Effect {}
}
