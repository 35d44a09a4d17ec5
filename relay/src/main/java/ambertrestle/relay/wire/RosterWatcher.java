package ambertrestle.relay.wire;

import ambertrestle.decide.RosterInterruption;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.function.Consumer;

/**
 * Watches the roster service over one streaming HTTP request. At most one watch is active: a new watch cancels the
 * previous one. Not thread-safe; all methods are called on the event loop.
 */
public final class RosterWatcher {
    /**
     * A watch on which nothing arrives for this long fails. The service sends an empty line every 2 s while nothing
     * changes.
     */
    private static final long IDLE_TIMEOUT_MILLIS = 3_200;

    /** Time limit for the head of the response, counted from the moment in which the request is sent. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 3_000;

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    /** Fails a watch whose connect neither succeeds nor fails. */
    private static final long CONNECT_LIMIT_MILLIS = CONNECT_TIMEOUT_MILLIS + RESPONSE_TIMEOUT_MILLIS;

    private static final int MAX_HTTP_CHUNK_BYTES = 1 << 16;

    private static final String IDLE_TIMEOUT_REASON = "no data within " + IDLE_TIMEOUT_MILLIS + " ms";
    private static final String CONNECTION_LOST_REASON = "connection lost";
    private static final String NO_RESPONSE_REASON = "no response within " + RESPONSE_TIMEOUT_MILLIS + " ms";

    private final Vertx vertx;
    private final HttpClient client;
    private final Consumer<NetworkEvent> eventListener;
    /** Number of the current watch. Callbacks of earlier watches compare it with their own and do nothing. */
    private long currentWatchId;

    /** Vert.x id of the timer that fails the current watch; -1 if no timer was set yet. */
    private long timeoutTimer = -1;
    /** When the current watch was requested or, later, its request was sent, as {@link System#nanoTime()}. */
    private long requestedAt;
    /** When data last arrived on the current watch, as {@link System#nanoTime()}. */
    private long lastDataAt;
    /** The service has accepted the request for the current watch. */
    private boolean isAccepted;
    /** The current watch has delivered a message or an empty line. */
    private boolean hasDelivered;
    /** Null until the connection for the current watch is up. */
    private HttpClientRequest currentRequest;
    /** Address of the current or last watch; null before the first. */
    private Address serviceAddress;
    /** See {@link #firstRequestSent()}. */
    private final Promise<Void> firstRequest = Promise.promise();
    /** See {@link #rosterConfirmedBy()}. */
    private Address rosterConfirmedBy;
    /** See {@link #rosterConfirmedAt()}. */
    private long rosterConfirmedAt;

    /**
     * The listener receives {@link NetworkEvent.RosterReceived}, {@link NetworkEvent.RosterConfirmed} and
     * {@link NetworkEvent.RosterWatchFailed}.
     */
    public RosterWatcher(Vertx vertx, Consumer<NetworkEvent> eventListener) {
        this.vertx = vertx;
        this.eventListener = eventListener;
        client = vertx.createHttpClient(new HttpClientOptions()
                .setKeepAlive(false)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setMaxChunkSize(MAX_HTTP_CHUNK_BYTES));
    }

    /**
     * Cancels the current watch and starts a new one, for the changes since `fromVersion` or, if it is negative, for
     * the complete roster and its changes. A watch that fails is reported once and not retried.
     */
    public void watch(Address address, long fromVersion) {
        cancelWatch();
        serviceAddress = address;
        requestedAt = System.nanoTime();
        isAccepted = false;
        hasDelivered = false;
        long watchId = currentWatchId;
        restartTimeout(watchId, CONNECT_LIMIT_MILLIS, NO_RESPONSE_REASON, RosterInterruption.CALL_FAILED);
        String path = "/v1/endpoints?stream=1" + (fromVersion < 0 ? "" : "&index=" + fromVersion);
        client.request(new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(address.host())
                        .setPort(address.port())
                        .setURI(path))
                .onFailure(e -> onWatchEnded(watchId, "not connected"))
                .onSuccess(request -> {
                    if (watchId != currentWatchId) {
                        request.reset();
                        return;
                    }
                    currentRequest = request;
                    // A relay that was busy until now has not waited for the service.
                    requestedAt = System.nanoTime();
                    restartTimeout(
                            watchId, RESPONSE_TIMEOUT_MILLIS, NO_RESPONSE_REASON, RosterInterruption.CALL_FAILED);
                    request.exceptionHandler(e -> onWatchEnded(watchId, CONNECTION_LOST_REASON));
                    request.send()
                            .onFailure(e -> onWatchEnded(watchId, "no response: the request failed"))
                            .onSuccess(response -> onResponse(watchId, response));
                    firstRequest.tryComplete();
                });
    }

    /** Completes when the request for the first watch was sent, or has failed. */
    public Future<Void> firstRequestSent() {
        return firstRequest.future();
    }

    private void onResponse(long watchId, HttpClientResponse response) {
        if (watchId != currentWatchId) {
            return;
        }
        if (response.statusCode() != 200) {
            onWatchEnded(watchId, "expected HTTP status 200, got " + response.statusCode());
            return;
        }
        isAccepted = true;
        restartTimeout(watchId, IDLE_TIMEOUT_MILLIS, IDLE_TIMEOUT_REASON, RosterInterruption.CALL_FAILED);
        RosterStreamParser parser = new RosterStreamParser(
                event -> {
                    if (watchId == currentWatchId) {
                        hasDelivered = true;
                        eventListener.accept(event);
                    }
                },
                reason -> onWatchEnded(watchId, reason));
        response.handler(chunk -> onChunk(watchId, parser, chunk))
                .exceptionHandler(e -> onWatchEnded(watchId, CONNECTION_LOST_REASON))
                .endHandler(v -> onWatchEnded(watchId, "the service ended the response"));
    }

    /** Restarts the idle timeout, because any chunk shows that the service is alive. Malformed input ends the watch. */
    private void onChunk(long watchId, RosterStreamParser parser, Buffer chunk) {
        if (watchId != currentWatchId) {
            return;
        }
        lastDataAt = System.nanoTime();
        parser.feed(chunk);
        // A message may have ended this watch. Part of a message and malformed input don't confirm the roster: a
        // persisted roster would appear to be newer than it is.
        boolean isConfirmation = watchId == currentWatchId && parser.isAtMessageBoundary();
        if (isConfirmation) {
            confirmRoster();
        }
        if (watchId == currentWatchId) {
            restartTimeout(
                    watchId,
                    IDLE_TIMEOUT_MILLIS,
                    IDLE_TIMEOUT_REASON,
                    hasDelivered ? RosterInterruption.WATCH_SILENT : RosterInterruption.CALL_FAILED);
        }
    }

    private void confirmRoster() {
        rosterConfirmedBy = serviceAddress;
        rosterConfirmedAt = lastDataAt;
        if (!hasDelivered) {
            hasDelivered = true;
            eventListener.accept(new NetworkEvent.RosterConfirmed());
        }
    }

    /**
     * Returns the address of the service that last confirmed the roster, by a complete message or an empty line; null
     * if none has yet.
     */
    public Address rosterConfirmedBy() {
        return rosterConfirmedBy;
    }

    /** Returns when the roster was last confirmed, as {@link System#nanoTime()}; 0 if it never was. */
    public long rosterConfirmedAt() {
        return rosterConfirmedAt;
    }

    /**
     * Fails the watch after this time unless it is restarted. Without the timeout, the watch would stay open forever
     * after the service vanished, because a host that vanishes doesn't close its connections.
     */
    private void restartTimeout(long watchId, long millis, String reason, RosterInterruption cause) {
        vertx.cancelTimer(timeoutTimer);
        timeoutTimer = vertx.setTimer(millis, t -> onWatchFailed(watchId, reason, cause));
    }

    /** The service ended the watch, or sent no roster message; before it accepted the request, the call failed. */
    private void onWatchEnded(long watchId, String reason) {
        onWatchFailed(watchId, reason, isAccepted ? RosterInterruption.WATCH_ENDED : RosterInterruption.CALL_FAILED);
    }

    private void onWatchFailed(long watchId, String reason, RosterInterruption cause) {
        if (watchId == currentWatchId) {
            cancelWatch();
            firstRequest.tryComplete();
            long elapsedNanos =
                    switch (cause) {
                        case CALL_FAILED -> System.nanoTime() - requestedAt;
                        case WATCH_SILENT -> System.nanoTime() - lastDataAt;
                        default -> 0;
                    };
            eventListener.accept(new NetworkEvent.RosterWatchFailed(reason, cause, elapsedNanos));
        }
    }

    private void cancelWatch() {
        currentWatchId++;
        vertx.cancelTimer(timeoutTimer);
        if (currentRequest != null) {
            currentRequest.reset();
            currentRequest = null;
        }
    }
}
