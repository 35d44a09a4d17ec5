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
public final class RosterWatch {
    /** An empty line comes every 2 s while nothing changes. */
    private static final long SILENT_MILLIS = 3_200, ANSWER_MILLIS = 3_000;

    private final Vertx vertx;
    private final HttpClient client;
    private final Consumer<Heard> tell;
    /** Counts the watches; what an earlier one still brings is not heard. */
    private long watch;

    private long guard = -1;
    private HttpClientRequest asked;
    private Address askedAt;
    /** Who said last that the list stands, and when by the monotonic clock; null while nobody did. */
    private Address heardFrom;

    private long heardAt;

    public RosterWatch(Vertx vertx, Consumer<Heard> tell) {
        this.vertx = vertx;
        this.tell = tell;
        client = vertx.createHttpClient(new HttpClientOptions()
                .setKeepAlive(false)
                .setConnectTimeout(2_000)
                .setMaxChunkSize(1 << 16));
    }

    public void ask(Address at, long index) {
        giveBack();
        askedAt = at;
        long mine = watch;
        guard(mine, ANSWER_MILLIS, "no answer");
        String path = "/v1/endpoints?stream=1" + (index < 0 ? "" : "&index=" + index);
        client.request(new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(at.host())
                        .setPort(at.port())
                        .setURI(path))
                .onFailure(e -> broke(mine, "not connected"))
                .onSuccess(request -> {
                    if (mine != watch) {
                        request.reset();
                        return;
                    }
                    asked = request;
                    request.exceptionHandler(e -> broke(mine, "cut off"));
                    request.send().onFailure(e -> broke(mine, "no answer")).onSuccess(r -> answered(mine, r));
                });
    }

    private void answered(long mine, HttpClientResponse response) {
        if (mine != watch) {
            return;
        }
        if (response.statusCode() != 200) {
            broke(mine, "answer " + response.statusCode());
            return;
        }
        guard(mine, SILENT_MILLIS, "silent");
        RosterStream stream = new RosterStream(
                heard -> {
                    if (mine == watch) {
                        tell.accept(heard);
                    }
                },
                why -> broke(mine, why));
        response.handler(piece -> piece(mine, stream, piece))
                .exceptionHandler(e -> broke(mine, "cut off"))
                .endHandler(v -> broke(mine, "ended"));
    }

    /** Whatever comes shows that the watch lives; only what means nothing ends it. */
    private void piece(long mine, RosterStream stream, Buffer piece) {
        if (mine == watch) {
            guard(mine, SILENT_MILLIS, "silent");
            stream.feed(piece);
            // Danger: half a list, or nonsense, must not make a kept list pass for one that was heard just now.
            if (stream.whole()) {
                heardStanding();
            }
        }
    }

    private void heardStanding() {
        heardFrom = askedAt;
        heardAt = System.nanoTime();
    }

    public Address heardFrom() {
        return heardFrom;
    }

    public long heardAt() {
        return heardAt;
    }

    /** Danger: a roster service that vanishes says nothing; silence must end the watch too. */
    private void guard(long mine, long millis, String why) {
        vertx.cancelTimer(guard);
        guard = vertx.setTimer(millis, t -> broke(mine, why));
    }

    private void broke(long mine, String why) {
        if (mine == watch) {
            giveBack();
            tell.accept(new Heard.RosterBroke(why));
        }
    }

    private void giveBack() {
        watch++;
        vertx.cancelTimer(guard);
        if (asked != null) {
            asked.reset();
            asked = null;
        }
    }
}
