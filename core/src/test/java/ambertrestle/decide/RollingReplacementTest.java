package ambertrestle.decide;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.RosterEntry.Stage;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates 100 independent relays on one virtual clock. Half of the backends are replaced one after the other while
 * all relays restart, a tenth at a time. Guards against faults that only show in the sum over all relays: a decision
 * that is harmless in one relay can overload or starve a backend if all relays make it.
 */
class RollingReplacementTest {
    private static final int RELAYS = 100;
    /** Every second one of these is replaced. */
    private static final int INITIAL_BACKENDS = 28;

    private static final int GROUPS = 28;
    private static final int CLIENTS = 420;
    /** A backend's slow start lasts this long in the fixture's settings. */
    private static final long SLOW_START_DURATION = 10_000 * BalancerFixture.MILLISECOND;
    /** The fixture's settings allow a backend this multiple of its sustainable rate during slow start. */
    private static final int SLOW_START_BUDGET_MULTIPLE = 3;
    /** Window over which that budget applies, in seconds. */
    private static final int SLOW_START_BUDGET_SECONDS = 3;

    private static final long MILLISECOND = BalancerFixture.MILLISECOND;
    /** Set-ups per second that a backend sustains after its slow start. */
    private static final double SUSTAINABLE_SET_UPS_PER_SECOND = 1.2;

    /** A simulated client, which reconnects whenever its connection ends. */
    private static final class Client {
        final long clientKey;
        final long groupKey;
        /** Id of the backend of its last connection; 0 before the first. */
        long backend;
        /** Index of the relay that its packets pass. */
        int relay;
        /** The open connection; null while it has none. */
        Association association;

        Client(long clientKey, long groupKey) {
            this.clientKey = clientKey;
            this.groupKey = groupKey;
        }
    }

    /** An action at a time in nanoseconds; the sequence number orders events of the same time. */
    private record ScheduledEvent(long dueAt, long sequenceNumber, Runnable action) {}

    private final BalancerFixture fixture = new BalancerFixture();
    private final PriorityQueue<ScheduledEvent> eventQueue = new PriorityQueue<>((x, y) ->
            x.dueAt != y.dueAt ? Long.compare(x.dueAt, y.dueAt) : Long.compare(x.sequenceNumber, y.sequenceNumber));
    private final Balancer[] relays = new Balancer[RELAYS];
    /** The current roster by backend id. */
    private final TreeMap<Long, RosterEntry> roster = new TreeMap<>();

    private final List<Client> clients = new ArrayList<>();

    /** Times at which each backend got a connection that it didn't hold already, by backend id. */
    private final TreeMap<Long, List<Long>> dispatchTimes = new TreeMap<>();

    private final long startedAt = fixture.now;
    private SplittableRandom random;
    /** Last number given to an event or, as its id, to an association. */
    private long lastSequenceNumber;

    private int moveCount;

    /** Schedules an action at a time in seconds since the start. */
    private void scheduleAt(double seconds, Runnable action) {
        eventQueue.add(
                new ScheduledEvent(startedAt + (long) (seconds * 1000) * MILLISECOND, lastSequenceNumber++, action));
    }

    /** Schedules an action after a delay in seconds. */
    private void scheduleAfter(double seconds, Runnable action) {
        eventQueue.add(
                new ScheduledEvent(fixture.now + (long) (seconds * 1000) * MILLISECOND, lastSequenceNumber++, action));
    }

    /** Draws a relay from an uneven distribution: relays with a low index get several times the mean. */
    private int randomRelay() {
        return (int) (RELAYS * Math.pow(random.nextDouble(), 1.6));
    }

    private void connect(Client client, boolean isMidFlow, boolean isReconnect) {
        client.relay = randomRelay();
        Association association = new Association(
                ++lastSequenceNumber,
                0,
                0,
                client.clientKey,
                client.groupKey,
                fixture.now + 2000 * MILLISECOND,
                0,
                isMidFlow,
                isReconnect);
        selectBackend(client, association);
    }

    private void selectBackend(Client client, Association association) {
        Balancer relay = relays[client.relay];
        Decision decision = relay.selectBackend(association, fixture.now);
        if (decision.kind == Decision.Kind.WAIT) {
            scheduleAfter((decision.time - fixture.now) / 1e9, () -> selectBackend(client, association));
        } else if (decision.kind == Decision.Kind.SEND) {
            if (!association.isMidFlow || decision.backend != client.backend) {
                dispatchTimes
                        .computeIfAbsent(decision.backend, b -> new ArrayList<>())
                        .add(fixture.now);
            }
            client.backend = decision.backend;
            client.association = association;
            relay.onConnectionEstablished(association, 0, 10 * MILLISECOND, fixture.now);
        } else {
            client.association = null;
            scheduleAfter(0.5, () -> connect(client, false, false));
        }
    }

    /** Ends the client's connection and reconnects 0.1 s later. */
    private void reconnect(Client client) {
        relays[client.relay].onDispatchFinished(
                client.association, client.association.dispatchCount - 1, DispatchOutcome.CANCELLED, true, fixture.now);
        client.association = null;
        scheduleAfter(0.1, () -> connect(client, false, true));
    }

    /**
     * Announces a backend to all relays 0.5 s later. If it drains, its clients then leave it, up to four every 0.1 s.
     */
    private void publishRosterEntry(long id, Stage stage, long backendStartedAt) {
        roster.put(id, new RosterEntry(id, stage, backendStartedAt, 0, 1, 0, 0));
        scheduleAfter(0.5, () -> Arrays.stream(relays)
                .forEach(relay -> relay.onRosterUpdate(List.of(roster.get(id)), false, false, fixture.now)));
        if (stage == Stage.DRAINING) {
            for (int i = 0; i < 20; i++) {
                scheduleAfter(0.5 + i / 10.0, () -> clients.stream()
                        .filter(client -> client.association != null && client.backend == id)
                        .limit(4)
                        .toList()
                        .forEach(this::reconnect));
            }
        }
    }

    /** Restarts a tenth of the relays without learned state. Their open connections arrive as mid-flow associations. */
    private void restartRelays(int batch) {
        for (int relayIndex = batch; relayIndex < RELAYS; relayIndex += 10) {
            int relay = relayIndex;
            relays[relayIndex] = new Balancer(fixture.settings, random.nextLong(), fixture.now);
            relays[relayIndex].onRosterUpdate(List.copyOf(roster.values()), true, false, fixture.now);
            clients.stream()
                    .filter(client -> client.association != null && client.relay == relay)
                    .toList()
                    .forEach(client -> connect(client, true, false));
        }
    }

    /** Polls all relays and reconnects the clients that they want to move. */
    private void moveRequestedConnections() {
        for (Balancer relay : relays) {
            for (Association association : relay.pollDueActions(fixture.now).connectionsToMove) {
                moveCount++;
                clients.stream()
                        .filter(client -> client.association == association)
                        .toList()
                        .forEach(this::reconnect);
            }
        }
    }

    /** Runs 32 s: connecting for 2 s, backends replaced from 3.5 s on, relays restarting from 6 s on. */
    private void runSimulation(long seed) {
        random = new SplittableRandom(seed);
        fixture.settings.put("relays", "" + RELAYS);
        fixture.settings.put("familyInfo.tellsDelay", "unseen");
        for (long id = 1; id <= INITIAL_BACKENDS; id++) {
            roster.put(id, new RosterEntry(id, Stage.READY, 0, 0, 1, 0, 0));
        }
        for (int relayIndex = 0; relayIndex < RELAYS; relayIndex++) {
            relays[relayIndex] = new Balancer(fixture.settings, random.nextLong(), fixture.now);
            relays[relayIndex].onRosterUpdate(List.copyOf(roster.values()), true, false, fixture.now);
        }
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(5000 + i, 1 + (long) (GROUPS * Math.pow(random.nextDouble(), 1.5)));
            clients.add(client);
            scheduleAt(2 * random.nextDouble(), () -> connect(client, false, false));
        }
        // Connections live 40 s on average: ten per second end, and their clients connect again.
        for (int i = 0; i < 300; i++) {
            scheduleAt(2.5 + i / 10.0, () -> {
                Client client = clients.get(random.nextInt(CLIENTS));
                if (client.association != null) {
                    relays[client.relay].onDispatchFinished(
                            client.association,
                            client.association.dispatchCount - 1,
                            DispatchOutcome.DONE,
                            true,
                            fixture.now);
                    client.association = null;
                    connect(client, false, false);
                }
            });
        }
        for (int step = 0; step < INITIAL_BACKENDS / 2; step++) {
            long newBackend = INITIAL_BACKENDS + 1 + step;
            long oldBackend = 1 + 2 * step;
            scheduleAt(3.5 + step * 0.75, () -> publishRosterEntry(newBackend, Stage.READY, fixture.now));
            scheduleAt(5.0 + step * 0.75, () -> publishRosterEntry(oldBackend, Stage.DRAINING, 0));
        }
        for (int batch = 0; batch < 10; batch++) {
            int restartedBatch = batch;
            scheduleAt(6 + batch * 1.45, () -> restartRelays(restartedBatch));
        }
        for (int second = 1; second <= 32; second++) {
            scheduleAt(second, this::moveRequestedConnections);
        }
        while (!eventQueue.isEmpty() && eventQueue.peek().dueAt <= startedAt + 32_000 * MILLISECOND) {
            ScheduledEvent event = eventQueue.poll();
            fixture.now = event.dueAt;
            event.action.run();
        }
    }

    /**
     * Returns the highest ratio of dispatches to the allowed number, over all windows of 3 s that end with a dispatch
     * during the backend's slow start; 0 without any dispatch. If the settings allow N dispatches in a window, this
     * test allows {@code N + 3 * sqrt(N) + 3}, to leave room for random variation.
     */
    private double maxRatioToAllowedDispatches(long id) {
        long backendStartedAt = roster.get(id).startedAt();
        List<Long> times = dispatchTimes.getOrDefault(id, List.of()).stream()
                .filter(sentAt -> sentAt - backendStartedAt < SLOW_START_DURATION)
                .toList();
        return times.stream()
                .mapToDouble(sentAt -> {
                    double allowed = SLOW_START_BUDGET_SECONDS
                            * SUSTAINABLE_SET_UPS_PER_SECOND
                            * SLOW_START_BUDGET_MULTIPLE
                            * (0.2 + 0.8 * (sentAt - backendStartedAt) / SLOW_START_DURATION);
                    return times.stream()
                                    .filter(other -> other > sentAt - 3_000 * MILLISECOND && other <= sentAt)
                                    .count()
                            / (allowed + 3 * Math.sqrt(allowed) + 3);
                })
                .max()
                .orElse(0);
    }

    /**
     * With the slow start budget split over 100 relays, no relay could afford a whole dispatch to a new backend: 3 of
     * 5,183 dispatches went to the new half, and the old half got all others and became slow.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void newBackendsReceiveTrafficDuringSlowStartWithoutOverload(long seed) {
        runSimulation(seed);
        long[] newBackends = IntStream.range(INITIAL_BACKENDS + 1, INITIAL_BACKENDS + INITIAL_BACKENDS / 2 + 1)
                .asLongStream()
                .toArray();
        long servedNewBackends = Arrays.stream(newBackends)
                .filter(id -> dispatchTimes.getOrDefault(id, List.of()).stream()
                        .anyMatch(sentAt -> sentAt - roster.get(id).startedAt() < SLOW_START_DURATION))
                .count();
        assertThat(servedNewBackends)
                .as("new backends, of 14, that got a dispatch during their slow start")
                .isGreaterThan(8);
        // Each relay limits its own rate of dispatches; no common counter limits the sum, so the ratio can exceed 1: it
        // does so with one seed in eight, up to 1.20, and has a median of 0.74.
        assertThat(Arrays.stream(newBackends)
                        .mapToDouble(this::maxRatioToAllowedDispatches)
                        .max()
                        .orElse(0))
                .as("highest ratio of dispatches to the allowed number")
                .isLessThan(1.25);
        long connectionsOnNewBackends = clients.stream()
                .filter(client -> client.association != null && client.backend > INITIAL_BACKENDS)
                .count();
        long openConnections =
                clients.stream().filter(client -> client.association != null).count();
        assertThat(openConnections).isGreaterThan(CLIENTS - 20);
        assertThat((double) connectionsOnNewBackends / openConnections)
                .as("share of the open connections on new backends after the replacement")
                .isBetween(0.22, 0.7);
        assertThat(moveCount).as("requested moves, with 420 clients").isLessThan(420);
    }
}
