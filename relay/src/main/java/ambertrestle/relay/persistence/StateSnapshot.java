package ambertrestle.relay.persistence;

import ambertrestle.decide.LearnedState;
import ambertrestle.relay.wire.RosterMessage;
import java.util.List;

/**
 * The persistent state of one relay at one moment: the content of a state file. Times are Unix time in nanoseconds; 0
 * means never.
 *
 * @param rosterAddress the address of the roster service whose versions the roster's version belongs to; empty if the
 *     roster has no such service
 * @param takenAt when the snapshot was taken
 * @param rosterConfirmedAt when the roster service last confirmed the roster
 * @param roster the complete roster
 */
public record StateSnapshot(
        String relayName,
        String rosterAddress,
        long takenAt,
        long rosterConfirmedAt,
        RosterMessage roster,
        LearnedState learnedState) {
    /** Returns a copy that has no pins, for a smaller state file. */
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
