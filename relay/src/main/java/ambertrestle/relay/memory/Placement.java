package ambertrestle.relay.memory;

import ambertrestle.decide.Answer;
import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.Listed;
import ambertrestle.relay.wire.RosterMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Where a relay that has just started, with this roster, would send a key: each key as if it were the first. */
public final class Placement {
    private static final long PATIENCE = 1_000_000_000L;

    private final RunValues values;
    private final List<Listed> listed;
    private final Map<Long, String> names = new HashMap<>();
    private final long now;
    private final boolean anyCold;
    private Balancer balancer;
    private long ids;

    /** `now`: Unix time in nanoseconds, from which the ages of backends count. */
    public Placement(RunValues values, RosterMessage roster, long now) {
        this.values = values;
        this.now = now;
        listed = new Roster(values.zones(), values.types()).take(roster);
        roster.lines().forEach(line -> names.put(Roster.id(line.name()), line.name()));
        anyCold = listed.stream().anyMatch(l -> l.startedAt() != 0);
    }

    /** The backend's name, or null where nothing listed takes it. */
    public String pick(long key) {
        // Danger: what one key takes of a cold backend's budget would send the next key elsewhere.
        if (balancer == null || anyCold) {
            balancer = new Balancer(values.jobTicket(), values.seed(), now);
            balancer.roster(listed, true, false, now);
        }
        Association a = new Association(++ids, 0, 0, key, key, now + PATIENCE, 0, false, false);
        Answer answer = balancer.where(a, now);
        balancer.clientLeft(a, now);
        return answer.kind == Answer.Kind.SEND ? names.get(answer.backend) : null;
    }
}
