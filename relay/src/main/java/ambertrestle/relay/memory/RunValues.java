package ambertrestle.relay.memory;

import ambertrestle.relay.wire.Address;
import java.util.List;
import java.util.Map;

/** What the reducer is told at its start: plain values, read and checked by the run sheet. Nanoseconds. */
public record RunValues(
        Map<String, String> jobTicket,
        long seed,
        List<Long> cutOffs,
        List<String> zones,
        List<String> types,
        long messageGoal,
        int mostSockets,
        long connectTime,
        boolean packetsPass,
        Address rosterAt) {
    /** The settings say that changes of the roster come by themselves, so the module never asks. */
    boolean changesCome() {
        return "pushed".equals(jobTicket.get("discovery"));
    }

    /** The same for another instance. */
    public RunValues withSeed(long other) {
        return new RunValues(
                jobTicket, other, cutOffs, zones, types, messageGoal, mostSockets, connectTime, packetsPass, rosterAt);
    }
}
