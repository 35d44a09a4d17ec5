package ambertrestle.lab.simulation;

import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.lab.scenario.Scenario.RosterFailureMode;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * The roster service: one versioned list of backends. Watchers are notified of changes after the propagation delay.
 * While the service is down, watches end and new watches fail.
 */
public final class SimulatedRosterService {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Receives the roster and its changes. */
    public interface Watcher {
        /** Called with the first message of a watch, then with the changes of each new version. */
        void onMessage(RosterMessage message);

        /** Called when the service has ended the watch; no message follows. */
        void onWatchEnded();
    }

    private final Testbed testbed;
    /** Current entries by the backend's name. */
    private final TreeMap<String, RosterMessage.Entry> entries = new TreeMap<>();
    /** Changed entries by version, so that a new watch can resume from a version that the relay knows. */
    private final TreeMap<Long, List<RosterMessage.Entry>> changesByVersion = new TreeMap<>();
    /** Changes that have not been published yet, by the time of publication. */
    private final TreeMap<Long, List<RosterMessage.Entry>> pendingChangesByTime = new TreeMap<>();

    private final Set<Watcher> watchers = new LinkedHashSet<>();
    /** Number of the last published version. */
    private long version = 1;
    /** How the service fails; null while it works. */
    private RosterFailureMode failureMode;
    /** Multiplies the propagation delay of new changes; above 1 while the service lags. */
    double lagFactor = 1;

    SimulatedRosterService(Testbed testbed) {
        this.testbed = testbed;
    }

    /** Adds a backend that is listed when the run starts, without notifying watchers. */
    void addInitialBackend(SimulatedBackend backend) {
        entries.put(backend.name, createEntry(backend, Stage.READY));
    }

    /** The complete roster in its current version. */
    public RosterMessage fullRoster() {
        return new RosterMessage(version, true, new ArrayList<>(entries.values()));
    }

    /** The backend's name is also its address. A start long before the run is given as Unix time 0. */
    private RosterMessage.Entry createEntry(SimulatedBackend backend, Stage stage) {
        return new RosterMessage.Entry(
                backend.name,
                backend.name,
                stage,
                backend.fleet.zone(),
                backend.fleet.name(),
                0,
                backend.fleet.weight(),
                backend.startedAt < 0 ? 0 : testbed.toUnixTime(backend.startedAt) / NANOS_PER_MILLI);
    }

    /** Lists a backend as gone if it is still dead after the failure detection delay, plus the propagation delay. */
    void onBackendDied(SimulatedBackend backend) {
        int incarnation = backend.incarnation();
        testbed.scheduler.scheduleAfter(testbed.scenario.roster().failureDetectionDelay(), () -> {
            if (!backend.isListening() && backend.incarnation() == incarnation && entries.containsKey(backend.name)) {
                scheduleChange(createEntry(backend, Stage.GONE));
            }
        });
    }

    /** Lists a backend as ready after the propagation delay. */
    void onBackendStarted(SimulatedBackend backend) {
        scheduleChange(createEntry(backend, Stage.READY));
    }

    /** Lists a backend as draining after the propagation delay. */
    void onBackendDraining(SimulatedBackend backend) {
        scheduleChange(createEntry(backend, Stage.DRAINING));
    }

    /** Publishes a change after the propagation delay. Changes due at the same time share a version and a message. */
    private void scheduleChange(RosterMessage.Entry entry) {
        long dueAt = testbed.now() + (long) (testbed.scenario.roster().propagationDelay() * lagFactor);
        List<RosterMessage.Entry> pendingEntries = pendingChangesByTime.get(dueAt);
        if (pendingEntries != null) {
            pendingEntries.add(entry);
            return;
        }
        pendingChangesByTime.put(dueAt, new ArrayList<>(List.of(entry)));
        testbed.scheduler.scheduleAt(dueAt, () -> {
            List<RosterMessage.Entry> changedEntries = pendingChangesByTime.remove(dueAt);
            version++;
            for (RosterMessage.Entry changed : changedEntries) {
                changesByVersion
                        .computeIfAbsent(version, newVersion -> new ArrayList<>())
                        .add(changed);
                if (changed.stage() == Stage.GONE) {
                    entries.remove(changed.name());
                } else {
                    entries.put(changed.name(), changed);
                }
            }
            long publishedVersion = version;
            List.copyOf(watchers)
                    .forEach(watcher -> watcher.onMessage(new RosterMessage(publishedVersion, false, changedEntries)));
        });
    }

    /**
     * Starts a watch. The watcher receives the changes since {@code knownVersion}, or the complete roster if that is
     * negative or newer than the current version.
     *
     * @return false if the service is down, so that the call fails
     */
    public boolean watch(Watcher watcher, long knownVersion) {
        if (failureMode != null) {
            return false;
        }
        watchers.add(watcher);
        watcher.onMessage(
                knownVersion < 0 || knownVersion > version
                        ? fullRoster()
                        : new RosterMessage(
                                version,
                                false,
                                changesByVersion.tailMap(knownVersion, false).values().stream()
                                        .flatMap(List::stream)
                                        .toList()));
        return true;
    }

    /** Ends a watch without notifying the watcher. */
    public void unwatch(Watcher watcher) {
        watchers.remove(watcher);
    }

    /** How the service fails; null while it works. */
    public RosterFailureMode failureMode() {
        return failureMode;
    }

    /** Makes the service fail in the given way, which ends all watches, or work again if null. */
    void setFailureMode(RosterFailureMode newMode) {
        failureMode = newMode;
        if (newMode != null) {
            List<Watcher> endedWatchers = List.copyOf(watchers);
            watchers.clear();
            endedWatchers.forEach(Watcher::onWatchEnded);
        }
    }
}
