package ambertrestle.relay.persistence;

import ambertrestle.decide.LearnedState;
import ambertrestle.relay.wire.RosterMessage;
import java.util.List;

/**
 * All that is kept of one relay at one moment; what a file holds. `rosterAt`: the roster service whose versions the
 * list's is one of; `heardAt`: when that service last said that the list stands; `keptAt`: when this was taken. Times
 * in nanoseconds, Unix time; 0 for never.
 */
public record StateSnapshot(
        String relayName,
        String rosterAddress,
        long takenAt,
        long rosterConfirmedAt,
        RosterMessage roster,
        LearnedState learnedState) {
    StateSnapshot withoutPins() {
        return new StateSnapshot(
                relayName,
                rosterAddress,
                takenAt,
                rosterConfirmedAt,
                roster,
                new LearnedState(
                        learnedState.tableFormat(),
                        learnedState.relayStatistics(),
                        learnedState.backends(),
                        List.of(),
                        false));
    }
}
