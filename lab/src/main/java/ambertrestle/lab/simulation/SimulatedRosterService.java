package ambertrestle.lab.simulation;

import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.lab.scenario.Scenario.RosterFailureMode;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/** The roster service: one list, told to all who watch after its lag; while it is down watches end and calls fail. */
public final class SimulatedRosterService {
    private static final long MS = 1_000_000L;
    /** Whoever watches the list. */
    public interface Watcher {
        void onMessage(RosterMessage message);

        /** The watch ended. */
        void onWatchEnded();
    }

    private final Testbed testbed;
    private final TreeMap<String, RosterMessage.Entry> listed = new TreeMap<>();
    /** What changed with each version, so that a watch can go on from where it was. */
    private final TreeMap<Long, List<RosterMessage.Entry>> changes = new TreeMap<>();
    /** What will be told, by when. */
    private final TreeMap<Long, List<RosterMessage.Entry>> pendingChanges = new TreeMap<>();

    private final Set<Watcher> watchers = new LinkedHashSet<>();
    private long index = 1;
    /** How it fails; null while it serves. */
    private RosterFailureMode failureMode;

    double lagFactor = 1;

    SimulatedRosterService(Testbed world) {
        this.testbed = world;
    }

    /** Before the run: listed for long. */
    void addInitialBackend(SimulatedBackend b) {
        listed.put(b.name, line(b, Stage.READY));
    }

    public RosterMessage fullRoster() {
        return new RosterMessage(index, true, new ArrayList<>(listed.values()));
    }

    private RosterMessage.Entry line(SimulatedBackend b, Stage stage) {
        return new RosterMessage.Entry(
                b.name,
                b.name,
                stage,
                b.fleet.zone(),
                b.fleet.name(),
                0,
                b.fleet.weight(),
                b.startedAt < 0 ? 0 : testbed.toUnixTime(b.startedAt) / MS);
    }

    void onBackendDied(SimulatedBackend b) {
        int life = b.incarnation();
        testbed.scheduler.scheduleAfter(testbed.scenario.roster().failureDetectionDelay(), () -> {
            if (!b.isListening() && b.incarnation() == life && listed.containsKey(b.name)) {
                change(line(b, Stage.GONE));
            }
        });
    }

    void onBackendStarted(SimulatedBackend b) {
        change(line(b, Stage.READY));
    }

    void onBackendDraining(SimulatedBackend b) {
        change(line(b, Stage.DRAINING));
    }

    /** What changes at one moment is told in one message. */
    private void change(RosterMessage.Entry line) {
        long due = testbed.now() + (long) (testbed.scenario.roster().propagationDelay() * lagFactor);
        List<RosterMessage.Entry> together = pendingChanges.get(due);
        if (together != null) {
            together.add(line);
            return;
        }
        pendingChanges.put(due, new ArrayList<>(List.of(line)));
        testbed.scheduler.scheduleAt(due, () -> {
            List<RosterMessage.Entry> lines = pendingChanges.remove(due);
            index++;
            for (RosterMessage.Entry l : lines) {
                changes.computeIfAbsent(index, k -> new ArrayList<>()).add(l);
                if (l.stage() == Stage.GONE) {
                    listed.remove(l.name());
                } else {
                    listed.put(l.name(), l);
                }
            }
            long version = index;
            List.copyOf(watchers).forEach(w -> w.onMessage(new RosterMessage(version, false, lines)));
        });
    }

    /** False while it is down: the call fails. */
    public boolean watch(Watcher watcher, long from) {
        if (failureMode != null) {
            return false;
        }
        watchers.add(watcher);
        watcher.onMessage(
                from < 0 || from > index
                        ? fullRoster()
                        : new RosterMessage(
                                index,
                                false,
                                changes.tailMap(from, false).values().stream()
                                        .flatMap(List::stream)
                                        .toList()));
        return true;
    }

    public void unwatch(Watcher watcher) {
        watchers.remove(watcher);
    }

    public RosterFailureMode failureMode() {
        return failureMode;
    }

    void setFailureMode(RosterFailureMode how) {
        failureMode = how;
        if (how != null) {
            List<Watcher> all = List.copyOf(watchers);
            watchers.clear();
            all.forEach(Watcher::onWatchEnded);
        }
    }
}
