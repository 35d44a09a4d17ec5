package ambertrestle.relay.memory;

import ambertrestle.decide.Listed;
import ambertrestle.decide.Listed.Stage;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The roster's names turned into the module's ids, alike at every relay, and into this relay's addresses. */
public final class Roster {
    private final Map<Long, String> addresses = new HashMap<>();
    private final List<String> zones;
    private final List<String> types;
    long index = -1;

    Roster(List<String> zones, List<String> types) {
        this.zones = zones;
        this.types = types;
    }

    /** The module's id of a backend. */
    public static long id(String name) {
        return RosterMessage.id(name);
    }

    List<Listed> take(RosterMessage message) {
        index = message.index();
        List<Listed> listed = new ArrayList<>();
        for (RosterMessage.Line line : message.lines()) {
            long id = id(line.name());
            if (line.stage() != Stage.GONE) {
                addresses.put(id, line.address());
            }
            listed.add(new Listed(id, line.stage(), line.sinceMillis() * 1_000_000, line.cell(), line.weight(),
                    Math.max(0, zones.indexOf(line.zone())), Math.max(0, types.indexOf(line.type()))));
        }
        return listed;
    }

    String address(long backend) {
        return addresses.get(backend);
    }
}
