package ambertrestle.relay.connection;

import ambertrestle.relay.wire.Address;
import java.util.List;
import java.util.Map;

/** What the reducer is told at its start: plain values, read and checked by the run sheet. Nanoseconds. */
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
    /** The settings say that changes of the roster come by themselves, so the module never asks. */
    boolean isRosterPushed() {
        return "pushed".equals(settings.get("discovery"));
    }

    /** The same for another instance. */
    public ReducerConfiguration withSeed(long other) {
        return new ReducerConfiguration(
                settings,
                other,
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
