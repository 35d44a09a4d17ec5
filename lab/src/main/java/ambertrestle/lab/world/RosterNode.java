package ambertrestle.lab.world;

import ambertrestle.decide.Listed.Stage;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The roster service: one list, told to all who watch after its lag; while it is down watches end and calls fail. */
final class RosterNode {
    private static final long MS = 1_000_000L;
    private record Watcher(RelayNode relay, long watch) { }

    private final World world;
    private final TreeMap<String, RosterMessage.Line> listed = new TreeMap<>();
    /** What changed with each version, so that a watch can go on from where it was. */
    private final TreeMap<Long, RosterMessage.Line> changes = new TreeMap<>();
    private final Map<RelayNode, Watcher> watchers = new LinkedHashMap<>();
    private long index = 1;
    private boolean down;
    double lagFactor = 1;

    RosterNode(World world) {
        this.world = world;
    }

    /** Before the run: listed for long. */
    void lists(BackendNode b) {
        listed.put(b.name, line(b, Stage.READY));
    }

    RosterMessage whole() {
        return new RosterMessage(index, true, new ArrayList<>(listed.values()));
    }

    private RosterMessage.Line line(BackendNode b, Stage stage) {
        return new RosterMessage.Line(b.name, b.name, stage, b.fleet.zone(), b.fleet.name(), 0, b.fleet.weight(),
                b.startedAt < 0 ? 0 : world.wall(b.startedAt) / MS);
    }

    void died(BackendNode b) {
        int life = b.life;
        world.agenda.after(world.scenario.roster().notice(), () -> {
            if (b.dead && b.life == life && listed.containsKey(b.name)) {
                change(line(b, Stage.GONE));
            }
        });
    }

    void started(BackendNode b) {
        change(line(b, Stage.READY));
    }

    void drains(BackendNode b) {
        change(line(b, Stage.DRAINING));
    }

    private void change(RosterMessage.Line line) {
        world.agenda.after((long) (world.scenario.roster().lag() * lagFactor), () -> {
            changes.put(++index, line);
            if (line.stage() == Stage.GONE) {
                listed.remove(line.name());
            } else {
                listed.put(line.name(), line);
            }
            long version = index;
            watchers.values().forEach(w -> tell(w, new RosterMessage(version, false, List.of(line))));
        });
    }

    private void tell(Watcher w, RosterMessage message) {
        world.agenda.after(world.rosterWay(w.relay.number), () -> w.relay.rosterSaid(w.watch, message));
    }

    void watch(RelayNode relay, long watch, long from) {
        long way = world.rosterWay(relay.number);
        world.agenda.after(2 * way, () -> {
            if (down) {
                world.agenda.after(way, () -> relay.rosterBroke(watch, "not connected"));
                return;
            }
            Watcher w = new Watcher(relay, watch);
            watchers.put(relay, w);
            tell(w, from < 0 || from > index ? whole()
                    : new RosterMessage(index, false, new ArrayList<>(changes.tailMap(from, false).values())));
        });
    }

    void unwatch(RelayNode relay) {
        watchers.remove(relay);
    }

    void down(boolean on) {
        down = on;
        if (on) {
            watchers.values().forEach(w -> world.agenda.after(world.rosterWay(w.relay.number),
                    () -> w.relay.rosterBroke(w.watch, "cut off")));
            watchers.clear();
        }
    }
}
