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

/** The roster service as one relay meets it: the whole list, or a watch of one JSON object a line, over HTTP. */
final class RosterServer {
    private static final long KEEP_ALIVE_INTERVAL_MILLIS = 2_000;

    private final Vertx vertx;
    private final SimulatedRosterService roster;
    /** A backend's address as this relay has it, by the backend's name. */
    private final UnaryOperator<String> addressResolver;
    /** When it is told what, for the judge of drains. */
    private final java.util.function.Consumer<RosterMessage> notificationListener;

    private int port;
    private HttpServer server;

    RosterServer(
            Vertx vertx,
            SimulatedRosterService roster,
            UnaryOperator<String> address,
            java.util.function.Consumer<RosterMessage> told) {
        this.vertx = vertx;
        this.roster = roster;
        this.addressResolver = address;
        this.notificationListener = told;
    }

    Future<HttpServer> listen() {
        return vertx.createHttpServer()
                .requestHandler(this::handleRequest)
                .listen(port, RelayLauncher.HOST)
                .onSuccess(s -> {
                    port = s.actualPort();
                    server = s;
                });
    }

    /** It fails from now on, in that way; null: it serves again. */
    void setFailureMode(RosterFailureMode how) {
        if (how == RosterFailureMode.REFUSES) {
            server.close();
            server = null;
        } else if (how == null && server == null) {
            listen();
        }
    }

    String address() {
        return RelayLauncher.HOST + ":" + port;
    }

    JsonObject encode(RosterMessage message) {
        JsonArray lines = new JsonArray();
        for (RosterMessage.Entry line : message.entries()) {
            lines.add(new JsonObject()
                    .put("name", line.name())
                    .put("address", addressResolver.apply(line.name()))
                    .put("zone", line.zone())
                    .put("type", line.type())
                    .put("group", line.cell())
                    .put("weight", line.weight())
                    .put("since_ms", line.startedAtMillis())
                    .put(
                            "status",
                            line.stage() == Stage.READY
                                    ? "in_service"
                                    : line.stage() == Stage.DRAINING ? "terminating" : "terminated"));
        }
        return new JsonObject()
                .put("index", message.version())
                .put("snapshot", message.isComplete())
                .put("endpoints", lines);
    }

    private void handleRequest(HttpServerRequest request) {
        if (roster.failureMode() == RosterFailureMode.HANGS) {
            return;
        } else if (roster.failureMode() == RosterFailureMode.HALF_A_LINE) {
            String line = encode(roster.fullRoster()).encode();
            request.response().setChunked(true).write(line.substring(0, line.length() / 2));
        } else if (roster.failureMode() != null) {
            request.response().setStatusCode(503).end();
        } else if (!request.path().equals("/v1/endpoints")) {
            request.response().setStatusCode(404).end();
        } else if (!"1".equals(request.getParam("stream"))) {
            request.response().end(encode(roster.fullRoster()).encode());
        } else {
            String index = request.getParam("index");
            HttpServerResponse response = request.response().setChunked(true);
            long still = vertx.setPeriodic(KEEP_ALIVE_INTERVAL_MILLIS, t -> response.write("\n"));
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
                vertx.cancelTimer(still);
                roster.unwatch(watcher);
            });
            roster.watch(watcher, index == null ? -1 : Long.parseLong(index));
        }
    }
}
