package ambertrestle.lab.simulation;

import ambertrestle.lab.scenario.Scenario;

/**
 * One client's demand for a connection that stays open for a given time. The session opens as many connections in turn
 * as it takes, and retries and reconnects as the scenario's {@link Scenario.Clients} allow.
 */
final class ClientSession {
    /** One millisecond in nanoseconds. */
    private static final long MS = 1_000_000L;

    /** Refused connections in the whole session after which the client gives up. */
    private static final int MAX_REFUSALS = 50;

    /**
     * The least time from a refused connection to the next attempt, and the width of the jitter on top, in nanoseconds.
     */
    private static final long REFUSED_RETRY_DELAY = 50 * MS;

    /** The retry backoff stops doubling here: it is at most 64 times the initial one. */
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    final Testbed testbed;
    final Scenario.Workload useCase;
    final long clientId;

    /** The group of the client's requests; 0 if the scenario has no groups. */
    final long group;

    /** When the client asked for the connection, in nanoseconds of the run. */
    private final long requestedAt;

    /** How long the client wants to be connected, from its first UP, in nanoseconds. */
    private final long duration;

    /** When the session is complete; 0 until it was established for the first time. */
    private long endsAt;

    /** Retries since the session was last established. */
    private int retries;

    /** Refused connections in the whole session. */
    private int refusals;

    /** The opening's benefit and latency were recorded, which happens once a session. */
    private boolean openingRecorded;

    ClientSession(Testbed testbed, Scenario.Workload useCase, long clientId, long group, long duration) {
        this.testbed = testbed;
        this.useCase = useCase;
        this.clientId = clientId;
        this.group = group;
        this.duration = duration;
        this.requestedAt = testbed.now();
    }

    /** Records the benefit that the session could bring at best, and opens the first connection. */
    void start() {
        MetricsRecorder metrics = testbed.metrics;
        metrics.add(MetricsRecorder.Series.OFFERED_BENEFIT, useCase.openingBenefit(), requestedAt);
        for (long due = requestedAt + useCase.lineInterval();
                due < requestedAt + duration;
                due += useCase.lineInterval()) {
            metrics.add(MetricsRecorder.Series.OFFERED_BENEFIT, useCase.lineBenefit(), due);
        }
        connect(false);
    }

    private void connect(boolean returning) {
        if (endsAt != 0 && testbed.now() >= endsAt) {
            return;
        }
        testbed.metrics.add(
                returning ? MetricsRecorder.Series.RECONNECTS : MetricsRecorder.Series.OPENS, 1, testbed.now());
        new ClientConnection(this, returning, retries > 0).connect();
    }

    /**
     * How long a backend that establishes the connection now has to serve it, in nanoseconds; at least one millisecond.
     */
    long remainingDuration() {
        return endsAt == 0 ? duration : Math.max(MS, endsAt - testbed.now());
    }

    /**
     * The client got UP. The first one brings the opening's benefit: all of it within the goal time, then linearly less
     * down to nothing at the cut-off.
     */
    void onEstablished() {
        testbed.metrics.add(MetricsRecorder.Series.ESTABLISHED, 1, testbed.now());
        if (!openingRecorded) {
            openingRecorded = true;
            endsAt = testbed.now() + duration;
            long latency = testbed.now() - requestedAt;
            testbed.metrics.recordLatency(testbed.metrics.openingLatency, latency, testbed.now());
            double share = latency <= useCase.goalTime()
                    ? 1
                    : Math.max(
                            0, 1 - (double) (latency - useCase.goalTime()) / (useCase.cutOff() - useCase.goalTime()));
            testbed.metrics.add(MetricsRecorder.Series.BENEFIT, share * useCase.openingBenefit(), testbed.now());
        }
        retries = 0;
    }

    /**
     * No relay was reachable, or the selected one refused the connection. The client connects again after a short delay
     * without using up one of its retries.
     */
    void onRefused() {
        testbed.metrics.add(MetricsRecorder.Series.REFUSED, 1, testbed.now());
        if (refusals++ < MAX_REFUSALS) {
            testbed.scheduler.scheduleAfter(
                    REFUSED_RETRY_DELAY + testbed.random.nextLong(REFUSED_RETRY_DELAY), () -> connect(endsAt != 0));
        }
    }

    /**
     * The relay answered BUSY and asked the client to stay away for `retryAfter` nanoseconds; 0 if it named no time.
     */
    void onShed(long retryAfter) {
        scheduleRetry(retryAfter);
    }

    /**
     * The request failed or got no answer, so a dispatch may have run. The client retries, except with a binding
     * effect, which could then run twice.
     */
    void onFailed() {
        if (useCase.effect() != Scenario.Effect.BINDING) {
            scheduleRetry(0);
        }
    }

    /**
     * Retries with exponential backoff and jitter, but not before `minDelay` nanoseconds; gives up after the scenario's
     * number of retries.
     */
    private void scheduleRetry(long minDelay) {
        Scenario.Clients clients = testbed.scenario.clients();
        if (retries < clients.maxRetries()) {
            long backoff = Math.max(1, clients.initialBackoff() << Math.min(retries, MAX_BACKOFF_DOUBLINGS));
            retries++;
            testbed.scheduler.scheduleAfter(
                    Math.max(minDelay, backoff / 2) + testbed.random.nextLong(backoff), () -> connect(endsAt != 0));
        }
    }

    /** The established connection broke, or the relay or the backend ended it with MOVE. */
    void onDisconnected() {
        if (testbed.scenario.clients().reconnects()) {
            testbed.scheduler.scheduleAfter(
                    testbed.random.nextLong(
                            Math.max(1, testbed.scenario.clients().maxReconnectDelay())),
                    () -> connect(true));
        }
    }
}
