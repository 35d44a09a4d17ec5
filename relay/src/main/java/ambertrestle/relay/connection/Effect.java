package ambertrestle.relay.connection;

import ambertrestle.decide.LearnedState;
import ambertrestle.relay.wire.NetworkCommand;
import ambertrestle.relay.wire.RosterMessage;
import java.util.Map;

/** The outputs of {@link Reducer#apply}, to be executed in order. */
public sealed interface Effect {
    /** Executes a command on a socket or on the roster watch. */
    record ExecuteCommand(NetworkCommand command) implements Effect {}

    /**
     * Sets the relay's only timer and replaces the previous one.
     *
     * @param time when {@link Event.TimerFired} is due, in nanoseconds on the reducer's clock
     */
    record ScheduleTimer(long time) implements Effect {}

    /**
     * Writes a line to the log.
     *
     * @param event name of the log event
     * @param text the message
     * @param fields further fields by name, such as the association and the backend; may be empty
     */
    record WriteLog(String event, String text, Map<String, String> fields) implements Effect {}

    /** Persists a part of the learned state: changes that no earlier part contained. */
    record PersistLearnedState(LearnedState part) implements Effect {}

    /** Persists a roster message that the relay received and accepted. */
    record PersistRoster(RosterMessage message) implements Effect {}

    /** No association is left after a shutdown request; the process may exit. */
    record Stop() implements Effect {}
}
