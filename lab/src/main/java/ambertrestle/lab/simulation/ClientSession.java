package ambertrestle.lab.simulation;

import ambertrestle.lab.scenario.Scenario;

/**
 * What one client wants: to be up for a time. It comes back, by its scenario's patience, over as many connections as it
 * takes.
 */
final class ClientSession {
    private static final long MS = 1_000_000L;
    private static final int MAX_REFUSALS = 50;

    final Testbed testbed;
    final Scenario.Workload useCase;
    final long clientId;
    final long group;
    private final long wantedAt;
    private final long duration;
    /** When it is served to its end; 0 until it was up once. */
    private long endsAt;

    private int tries;
    private int refusals;
    private boolean credited;

    ClientSession(Testbed world, Scenario.Workload work, long client, long group, long life) {
        this.testbed = world;
        this.useCase = work;
        this.clientId = client;
        this.group = group;
        this.duration = life;
        this.wantedAt = world.now();
    }

    void start() {
        MetricsRecorder meter = testbed.metrics;
        meter.add(MetricsRecorder.Series.OFFERED_BENEFIT, useCase.openingBenefit(), wantedAt);
        for (long due = wantedAt + useCase.lineInterval(); due < wantedAt + duration; due += useCase.lineInterval()) {
            meter.add(MetricsRecorder.Series.OFFERED_BENEFIT, useCase.lineBenefit(), due);
        }
        connect(false);
    }

    private void connect(boolean returning) {
        if (endsAt != 0 && testbed.now() >= endsAt) {
            return;
        }
        testbed.metrics.add(
                returning ? MetricsRecorder.Series.RECONNECTS : MetricsRecorder.Series.OPENS, 1, testbed.now());
        new ClientConnection(this, returning, tries > 0).connect();
    }

    /** How long its backend has still to serve it. */
    long remainingDuration() {
        return endsAt == 0 ? duration : Math.max(MS, endsAt - testbed.now());
    }

    void onEstablished() {
        testbed.metrics.add(MetricsRecorder.Series.ESTABLISHED, 1, testbed.now());
        if (!credited) {
            credited = true;
            endsAt = testbed.now() + duration;
            long took = testbed.now() - wantedAt;
            testbed.metrics.recordLatency(testbed.metrics.openingLatency, took, testbed.now());
            double share = took <= useCase.goalTime()
                    ? 1
                    : Math.max(0, 1 - (double) (took - useCase.goalTime()) / (useCase.cutOff() - useCase.goalTime()));
            testbed.metrics.add(MetricsRecorder.Series.BENEFIT, share * useCase.openingBenefit(), testbed.now());
        }
        tries = 0;
    }

    /** Its relay could not be reached: the client tries the front again at once. */
    void onRefused() {
        testbed.metrics.add(MetricsRecorder.Series.REFUSED, 1, testbed.now());
        if (refusals++ < MAX_REFUSALS) {
            testbed.scheduler.scheduleAfter(50 * MS + testbed.random.nextLong(50 * MS), () -> connect(endsAt != 0));
        }
    }

    void onShed(long backIn) {
        scheduleRetry(backIn);
    }

    /** Failed, or heard nothing: what may have run is asked for again only where that does no harm. */
    void onFailed() {
        if (useCase.effect() != Scenario.Effect.BINDING) {
            scheduleRetry(0);
        }
    }

    private void scheduleRetry(long least) {
        Scenario.Clients how = testbed.scenario.clients();
        if (tries < how.maxRetries()) {
            long wait = Math.max(1, how.initialBackoff() << Math.min(tries, 6));
            tries++;
            testbed.scheduler.scheduleAfter(
                    Math.max(least, wait / 2) + testbed.random.nextLong(wait), () -> connect(endsAt != 0));
        }
    }

    /** Its connection broke, or it was sent away. */
    void onDisconnected() {
        if (testbed.scenario.clients().reconnects()) {
            testbed.scheduler.scheduleAfter(
                    testbed.random.nextLong(
                            Math.max(1, testbed.scenario.clients().maxReconnectDelay())),
                    () -> connect(true));
        }
    }
}
