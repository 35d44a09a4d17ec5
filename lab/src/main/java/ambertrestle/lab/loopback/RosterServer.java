package ambertrestle.lab.loopback;

import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.lab.scenario.Scenario.RosterFailureMode;
import ambertrestle.lab.simulation.SimulatedRosterService;
import ambertrestle.relay.wire.RosterMessage;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.function.UnaryOperator;

/**
 * The HTTP interface of the simulated roster service for one relay: either the complete roster as one answer, or a
 * watch that streams one JSON object per line.
 */
final class RosterServer {
    /** Interval of the empty lines on a watch, which show that the roster has not changed. */
    private static final long KEEP_ALIVE_INTERVAL_MILLIS = 2_000;

    private final Vertx vertx;
    private final SimulatedRosterService roster;
    /** Maps a backend's name to the address under which this relay reaches it. */
    private final UnaryOperator<String> addressResolver;
    /**
     * Gets each message of a watch when it is sent to the relay. The invariant checker needs it to know when the relay
     * learned of a drain.
     */
    private final java.util.function.Consumer<RosterMessage> notificationListener;

    /** 0 until the server listens for the first time; the same port is used when it listens again. */
    private int port;
    /** Null while the service refuses connections. */
    private HttpServer server;

    RosterServer(
            Vertx vertx,
            SimulatedRosterService roster,
            UnaryOperator<String> addressResolver,
            java.util.function.Consumer<RosterMessage> notificationListener) {
        this.vertx = vertx;
        this.roster = roster;
        this.addressResolver = addressResolver;
        this.notificationListener = notificationListener;
    }

    /** Starts listening; the result fails if the port cannot be bound. */
    Future<HttpServer> listen() {
        return vertx.createHttpServer()
                .requestHandler(this::handleRequest)
                .listen(port, RelayLauncher.HOST)
                .onSuccess(started -> {
                    port = started.actualPort();
                    server = started;
                });
    }

    /**
     * Stops listening for the mode REFUSES, and listens again when the service recovers (null). The other modes are
     * applied to each request as it comes.
     */
    void setFailureMode(RosterFailureMode failureMode) {
        if (failureMode == RosterFailureMode.REFUSES) {
            server.close();
            server = null;
        } else if (failureMode == null && server == null) {
            listen();
        }
    }

    /** The server's host:port. */
    String address() {
        return RelayLauncher.HOST + ":" + port;
    }

    /** A roster message in the JSON form of the roster service. */
    JsonObject encode(RosterMessage message) {
        JsonArray endpoints = new JsonArray();
        for (RosterMessage.Entry entry : message.entries()) {
            endpoints.add(new JsonObject()
                    .put("name", entry.name())
                    .put("address", addressResolver.apply(entry.name()))
                    .put("zone", entry.zone())
                    .put("type", entry.type())
                    .put("group", entry.cell())
                    .put("weight", entry.weight())
                    .put("since_ms", entry.startedAtMillis())
                    .put(
                            "status",
                            entry.stage() == Stage.READY
                                    ? "in_service"
                                    : entry.stage() == Stage.DRAINING ? "terminating" : "terminated"));
        }
        return new JsonObject()
                .put("index", message.version())
                .put("snapshot", message.isComplete())
                .put("endpoints", endpoints);
    }

    private void handleRequest(HttpServerRequest request) {
        if (roster.failureMode() == RosterFailureMode.HANGS) {
            return;
        } else if (roster.failureMode() == RosterFailureMode.HALF_A_LINE) {
            String encodedRoster = encode(roster.fullRoster()).encode();
            // The answer stops in the middle of a line and is never finished.
            request.response().setChunked(true).write(encodedRoster.substring(0, encodedRoster.length() / 2));
        } else if (roster.failureMode() != null) {
            request.response().setStatusCode(503).end();
        } else if (!request.path().equals("/v1/endpoints")) {
            request.response().setStatusCode(404).end();
        } else if (!"1".equals(request.getParam("stream"))) {
            request.response().end(encode(roster.fullRoster()).encode());
        } else {
            String fromVersion = request.getParam("index");
            HttpServerResponse response = request.response().setChunked(true);
            long keepAliveTimer = vertx.setPeriodic(KEEP_ALIVE_INTERVAL_MILLIS, t -> response.write("\n"));
            SimulatedRosterService.Watcher watcher = new SimulatedRosterService.Watcher() {
                @Override
                public void onMessage(RosterMessage message) {
                    RosterServer.this.notificationListener.accept(message);
                    response.write(encode(message).encode() + "\n");
                }

                @Override
                public void onWatchEnded() {
                    request.connection().close();
                }
            };
            response.closeHandler(v -> {
                vertx.cancelTimer(keepAliveTimer);
                roster.unwatch(watcher);
            });
            roster.watch(watcher, fromVersion == null ? -1 : Long.parseLong(fromVersion));
        }
    }
}
