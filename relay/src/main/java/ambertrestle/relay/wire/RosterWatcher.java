package ambertrestle.relay.wire;

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

    /** Time limit for the head of the response, counted from the request for a watch. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 3_000;

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_HTTP_CHUNK_BYTES = 1 << 16;

    private static final String IDLE_TIMEOUT_REASON = "no data within " + IDLE_TIMEOUT_MILLIS + " ms";
    private static final String CONNECTION_LOST_REASON = "connection lost";

    private final Vertx vertx;
    private final HttpClient client;
    private final Consumer<NetworkEvent> eventListener;
    /** Number of the current watch. Callbacks of earlier watches compare it with their own and do nothing. */
    private long currentWatchId;

    /** Vert.x id of the timer that fails the current watch; -1 if no timer was set yet. */
    private long timeoutTimer = -1;
    /** Null until the connection for the current watch is up. */
    private HttpClientRequest currentRequest;
    /** Address of the current or last watch; null before the first. */
    private Address serviceAddress;
    /** See {@link #rosterConfirmedBy()}. */
    private Address rosterConfirmedBy;
    /** See {@link #rosterConfirmedAt()}. */
    private long rosterConfirmedAt;

    /** The listener receives {@link NetworkEvent.RosterReceived} and {@link NetworkEvent.RosterWatchFailed}. */
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
        long watchId = currentWatchId;
        restartTimeout(watchId, RESPONSE_TIMEOUT_MILLIS, "no response within " + RESPONSE_TIMEOUT_MILLIS + " ms");
        String path = "/v1/endpoints?stream=1" + (fromVersion < 0 ? "" : "&index=" + fromVersion);
        client.request(new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(address.host())
                        .setPort(address.port())
                        .setURI(path))
                .onFailure(e -> onWatchFailed(watchId, "not connected"))
                .onSuccess(request -> {
                    if (watchId != currentWatchId) {
                        request.reset();
                        return;
                    }
                    currentRequest = request;
                    request.exceptionHandler(e -> onWatchFailed(watchId, CONNECTION_LOST_REASON));
                    request.send()
                            .onFailure(e -> onWatchFailed(watchId, "no response: the request failed"))
                            .onSuccess(response -> onResponse(watchId, response));
                });
    }

    private void onResponse(long watchId, HttpClientResponse response) {
        if (watchId != currentWatchId) {
            return;
        }
        if (response.statusCode() != 200) {
            onWatchFailed(watchId, "expected HTTP status 200, got " + response.statusCode());
            return;
        }
        restartTimeout(watchId, IDLE_TIMEOUT_MILLIS, IDLE_TIMEOUT_REASON);
        RosterStreamParser parser = new RosterStreamParser(
                event -> {
                    if (watchId == currentWatchId) {
                        eventListener.accept(event);
                    }
                },
                reason -> onWatchFailed(watchId, reason));
        response.handler(chunk -> onChunk(watchId, parser, chunk))
                .exceptionHandler(e -> onWatchFailed(watchId, CONNECTION_LOST_REASON))
                .endHandler(v -> onWatchFailed(watchId, "the service ended the response"));
    }

    /** Restarts the idle timeout, because any chunk shows that the service is alive. Malformed input ends the watch. */
    private void onChunk(long watchId, RosterStreamParser parser, Buffer chunk) {
        if (watchId == currentWatchId) {
            restartTimeout(watchId, IDLE_TIMEOUT_MILLIS, IDLE_TIMEOUT_REASON);
            parser.feed(chunk);
            // Without this check, part of a message or malformed input would confirm the roster, and a persisted roster
            // would appear to be newer than it is.
            if (parser.isAtMessageBoundary()) {
                confirmRoster();
            }
        }
    }

    private void confirmRoster() {
        rosterConfirmedBy = serviceAddress;
        rosterConfirmedAt = System.nanoTime();
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
    private void restartTimeout(long watchId, long millis, String reason) {
        vertx.cancelTimer(timeoutTimer);
        timeoutTimer = vertx.setTimer(millis, t -> onWatchFailed(watchId, reason));
    }

    private void onWatchFailed(long watchId, String reason) {
        if (watchId == currentWatchId) {
            cancelWatch();
            eventListener.accept(new NetworkEvent.RosterWatchFailed(reason));
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
