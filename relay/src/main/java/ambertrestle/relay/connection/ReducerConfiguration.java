package ambertrestle.relay.connection;

import ambertrestle.relay.wire.Address;
import java.util.List;
import java.util.Map;

/**
 * The reducer's configuration: values that were already read from the relay configuration and validated. Durations are
 * in nanoseconds.
 *
 * @param settings the settings map for the balancing policy
 * @param seed seed of the balancing policy's random numbers
 * @param cutOffs time limit of a client's request by index of its use case, for an OPEN line without `d`
 * @param zones zone names; a name's position is its index for the balancing policy
 * @param machineTypes machine type names; a name's position is its index for the balancing policy
 * @param messageGoalTime shortest goal time of a message over all use cases
 * @param maxSockets limit on the sockets in use by clients and backends together
 * @param connectTimeout time limit for connecting to a backend
 * @param isPassThrough `familyInfo.mode` is `pass`; a shutdown may then delay the hand-over of open connections
 * @param rosterAddress address of the roster service
 */
public record ReducerConfiguration(
        Map<String, String> settings,
        long seed,
        List<Long> cutOffs,
        List<String> zones,
        List<String> machineTypes,
        long messageGoalTime,
        int maxSockets,
        long connectTimeout,
        boolean isPassThrough,
        Address rosterAddress) {
    /** Returns true if the roster service pushes changes, in which case the balancing policy never requests a watch. */
    public boolean isRosterPushed() {
        return "pushed".equals(settings.get("discovery"));
    }

    /** Returns a copy with another seed, for another relay with the same configuration. */
    public ReducerConfiguration withSeed(long newSeed) {
        return new ReducerConfiguration(
                settings,
                newSeed,
                cutOffs,
                zones,
                machineTypes,
                messageGoalTime,
                maxSockets,
                connectTimeout,
                isPassThrough,
                rosterAddress);
    }
}
