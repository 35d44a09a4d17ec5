package ambertrestle.lab.simulation;

import ambertrestle.lab.scenario.Scenario;

/**
 * One client that wants to be connected for a given time. The session opens connections one after the other until that
 * time is over, and retries and reconnects as the scenario's {@link Scenario.Clients} allow.
 */
final class ClientSession {
    /** One millisecond in nanoseconds. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** After this many refused connections in the whole session, the next refusal ends the session. */
    private static final int MAX_REFUSALS = 50;

    /** Least delay from a refused connection to the next attempt, and width of the jitter on top, in nanoseconds. */
    private static final long REFUSED_RETRY_DELAY = 50 * NANOS_PER_MILLI;

    /** Number of times that the retry backoff is doubled at most, so that it is at most 64 times the initial one. */
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    final Testbed testbed;
    /** The use case, with its load. */
    final Scenario.Workload useCase;
    /** Never 0. */
    final long clientId;

    /** The group of the client's requests; 0 if the scenario has no groups. */
    final long group;

    /** When the client arrived, in nanoseconds from the start of the run. */
    private final long requestedAt;

    /** How long the client wants to be connected, from its first UP, in nanoseconds. */
    private final long duration;

    /** When the session is complete, in nanoseconds from the start of the run; 0 until the client gets its first UP. */
    private long endsAt;

    /** Retries since the client's last UP. */
    private int retries;

    /** Refused connections in the whole session. */
    private int refusals;

    /** The benefit and latency of the first UP have been recorded, which happens once per session. */
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

    /**
     * Opens a connection unless the session is complete.
     *
     * @param returning the client was connected before
     */
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
        return endsAt == 0 ? duration : Math.max(NANOS_PER_MILLI, endsAt - testbed.now());
    }

    /**
     * Called when the client has received UP. The first UP gains the opening benefit: all of it within the goal time,
     * then linearly less, down to nothing at the cut-off.
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
     * Called when no relay was available, or the selected one refused the connection. The client connects again after a
     * short delay, which doesn't count as a retry.
     */
    void onRefused() {
        testbed.metrics.add(MetricsRecorder.Series.REFUSED, 1, testbed.now());
        if (refusals++ < MAX_REFUSALS) {
            testbed.scheduler.scheduleAfter(
                    REFUSED_RETRY_DELAY + testbed.random.nextLong(REFUSED_RETRY_DELAY), () -> connect(endsAt != 0));
        }
    }

    /**
     * Called when the relay has answered BUSY.
     *
     * @param retryAfter least time until the client may try again, in nanoseconds; 0 if the relay gave none
     */
    void onShed(long retryAfter) {
        scheduleRetry(retryAfter);
    }

    /**
     * Called when the request has failed or got no answer, so that a dispatch may have run. The client retries unless
     * the effect is binding, because a binding effect could then run twice.
     */
    void onFailed() {
        if (useCase.effect() != Scenario.Effect.BINDING) {
            scheduleRetry(0);
        }
    }

    /**
     * Schedules a retry with exponential backoff and jitter, but not within the next {@code minDelay} nanoseconds.
     * Gives up after the scenario's number of retries.
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

    /** Called when an established connection has broken, or was ended with MOVE. */
    void onDisconnected() {
        if (testbed.scenario.clients().reconnects()) {
            testbed.scheduler.scheduleAfter(
                    testbed.random.nextLong(
                            Math.max(1, testbed.scenario.clients().maxReconnectDelay())),
                    () -> connect(true));
        }
    }
}
