package ambertrestle.lab.standin;

import ambertrestle.decide.Listed.Stage;
import ambertrestle.lab.scenario.Scenario.Down;
import ambertrestle.lab.world.RosterNode;
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
    private static final long STILL_HERE_MILLIS = 2_000;

    private final Vertx vertx;
    private final RosterNode roster;
    /** A backend's address as this relay has it, by the backend's name. */
    private final UnaryOperator<String> address;
    /** When it is told what, for the judge of drains. */
    private final java.util.function.Consumer<RosterMessage> told;

    private int port;
    private HttpServer server;

    RosterServer(
            Vertx vertx,
            RosterNode roster,
            UnaryOperator<String> address,
            java.util.function.Consumer<RosterMessage> told) {
        this.vertx = vertx;
        this.roster = roster;
        this.address = address;
        this.told = told;
    }

    Future<HttpServer> listen() {
        return vertx.createHttpServer()
                .requestHandler(this::asked)
                .listen(port, Daemon.HOST)
                .onSuccess(s -> {
                    port = s.actualPort();
                    server = s;
                });
    }

    /** It fails from now on, in that way; null: it serves again. */
    void down(Down how) {
        if (how == Down.REFUSES) {
            server.close();
            server = null;
        } else if (how == null && server == null) {
            listen();
        }
    }

    String address() {
        return Daemon.HOST + ":" + port;
    }

    JsonObject encode(RosterMessage message) {
        JsonArray lines = new JsonArray();
        for (RosterMessage.Line line : message.lines()) {
            lines.add(new JsonObject()
                    .put("name", line.name())
                    .put("address", address.apply(line.name()))
                    .put("zone", line.zone())
                    .put("type", line.type())
                    .put("group", line.cell())
                    .put("weight", line.weight())
                    .put("since_ms", line.sinceMillis())
                    .put(
                            "status",
                            line.stage() == Stage.READY
                                    ? "in_service"
                                    : line.stage() == Stage.DRAINING ? "terminating" : "terminated"));
        }
        return new JsonObject()
                .put("index", message.index())
                .put("snapshot", message.whole())
                .put("endpoints", lines);
    }

    private void asked(HttpServerRequest request) {
        if (roster.down() == Down.HANGS) {
            return;
        } else if (roster.down() == Down.HALF_A_LINE) {
            String line = encode(roster.whole()).encode();
            request.response().setChunked(true).write(line.substring(0, line.length() / 2));
        } else if (roster.down() != null) {
            request.response().setStatusCode(503).end();
        } else if (!request.path().equals("/v1/endpoints")) {
            request.response().setStatusCode(404).end();
        } else if (!"1".equals(request.getParam("stream"))) {
            request.response().end(encode(roster.whole()).encode());
        } else {
            String index = request.getParam("index");
            HttpServerResponse response = request.response().setChunked(true);
            long still = vertx.setPeriodic(STILL_HERE_MILLIS, t -> response.write("\n"));
            RosterNode.Watcher watcher = new RosterNode.Watcher() {
                @Override
                public void told(RosterMessage message) {
                    RosterServer.this.told.accept(message);
                    response.write(encode(message).encode() + "\n");
                }

                @Override
                public void cutOff() {
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
