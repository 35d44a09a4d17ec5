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

/** Owns the one watch on the roster service; the one before is given back before the next is asked for. */
public final class RosterWatcher {
    /** An empty line comes every 2 s while nothing changes. */
    private static final long IDLE_TIMEOUT_MILLIS = 3_200, RESPONSE_TIMEOUT_MILLIS = 3_000;

    private final Vertx vertx;
    private final HttpClient client;
    private final Consumer<NetworkEvent> eventListener;
    /** Counts the watches; what an earlier one still brings is not heard. */
    private long currentWatch;

    private long timeoutTimer = -1;
    private HttpClientRequest currentRequest;
    private Address serviceAddress;
    /** Who said last that the list stands, and when by the monotonic clock; null while nobody did. */
    private Address rosterConfirmedBy;

    private long rosterConfirmedAt;

    public RosterWatcher(Vertx vertx, Consumer<NetworkEvent> tell) {
        this.vertx = vertx;
        this.eventListener = tell;
        client = vertx.createHttpClient(new HttpClientOptions()
                .setKeepAlive(false)
                .setConnectTimeout(2_000)
                .setMaxChunkSize(1 << 16));
    }

    public void watch(Address at, long index) {
        cancelWatch();
        serviceAddress = at;
        long mine = currentWatch;
        restartTimeout(mine, RESPONSE_TIMEOUT_MILLIS, "no answer");
        String path = "/v1/endpoints?stream=1" + (index < 0 ? "" : "&index=" + index);
        client.request(new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(at.host())
                        .setPort(at.port())
                        .setURI(path))
                .onFailure(e -> onWatchFailed(mine, "not connected"))
                .onSuccess(request -> {
                    if (mine != currentWatch) {
                        request.reset();
                        return;
                    }
                    currentRequest = request;
                    request.exceptionHandler(e -> onWatchFailed(mine, "cut off"));
                    request.send()
                            .onFailure(e -> onWatchFailed(mine, "no answer"))
                            .onSuccess(r -> onResponse(mine, r));
                });
    }

    private void onResponse(long mine, HttpClientResponse response) {
        if (mine != currentWatch) {
            return;
        }
        if (response.statusCode() != 200) {
            onWatchFailed(mine, "answer " + response.statusCode());
            return;
        }
        restartTimeout(mine, IDLE_TIMEOUT_MILLIS, "silent");
        RosterStreamParser stream = new RosterStreamParser(
                heard -> {
                    if (mine == currentWatch) {
                        eventListener.accept(heard);
                    }
                },
                why -> onWatchFailed(mine, why));
        response.handler(piece -> onChunk(mine, stream, piece))
                .exceptionHandler(e -> onWatchFailed(mine, "cut off"))
                .endHandler(v -> onWatchFailed(mine, "ended"));
    }

    /** Whatever comes shows that the watch lives; only what means nothing ends it. */
    private void onChunk(long mine, RosterStreamParser stream, Buffer piece) {
        if (mine == currentWatch) {
            restartTimeout(mine, IDLE_TIMEOUT_MILLIS, "silent");
            stream.feed(piece);
            // Danger: half a list, or nonsense, must not make a kept list pass for one that was heard just now.
            if (stream.isAtMessageBoundary()) {
                confirmRoster();
            }
        }
    }

    private void confirmRoster() {
        rosterConfirmedBy = serviceAddress;
        rosterConfirmedAt = System.nanoTime();
    }

    public Address rosterConfirmedBy() {
        return rosterConfirmedBy;
    }

    public long rosterConfirmedAt() {
        return rosterConfirmedAt;
    }

    /** Danger: a roster service that vanishes says nothing; silence must end the watch too. */
    private void restartTimeout(long mine, long millis, String why) {
        vertx.cancelTimer(timeoutTimer);
        timeoutTimer = vertx.setTimer(millis, t -> onWatchFailed(mine, why));
    }

    private void onWatchFailed(long mine, String why) {
        if (mine == currentWatch) {
            cancelWatch();
            eventListener.accept(new NetworkEvent.RosterWatchFailed(why));
        }
    }

    private void cancelWatch() {
        currentWatch++;
        vertx.cancelTimer(timeoutTimer);
        if (currentRequest != null) {
            currentRequest.reset();
            currentRequest = null;
        }
    }
}
