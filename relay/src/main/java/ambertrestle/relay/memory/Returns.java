package ambertrestle.relay.memory;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;

/** Who came back lately from a relay other than this one: many at once show that another one is away. */
final class Returns {
    /** As long as a relay is away at a planned restart. */
    private static final long LATELY = 6_000_000_000L;

    /** Clients whose connections ended here by move or break, and when. */
    private final LinkedHashMap<Long, Long> fromHere = new LinkedHashMap<>();

    private final ArrayDeque<Long> fromElsewhere = new ArrayDeque<>();

    void endedHere(long client, long now) {
        fromHere.remove(client);
        fromHere.put(client, now);
        fromHere.values().removeIf(at -> now - at > LATELY);
    }

    void cameBack(long client, long now) {
        if (fromHere.remove(client) == null) {
            fromElsewhere.add(now);
        }
    }

    /** At least a third of the connections open here came lately from another relay. */
    boolean many(int open, long now) {
        while (!fromElsewhere.isEmpty() && now - fromElsewhere.peek() > LATELY) {
            fromElsewhere.poll();
        }
        return fromElsewhere.size() * 3 > open;
    }
}
