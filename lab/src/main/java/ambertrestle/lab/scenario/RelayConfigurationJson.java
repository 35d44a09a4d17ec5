package ambertrestle.lab.scenario;

import ambertrestle.lab.scenario.Scenario.Effect;
import ambertrestle.lab.scenario.Scenario.Fleet;
import ambertrestle.lab.scenario.Scenario.Workload;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** The configuration that a relay is started with, made from a scenario: one form for the model and for sockets. */
public final class RelayConfigurationJson {
    private RelayConfigurationJson() {}

    /** One entry of the roster, in the roster service's form. */
    public static JsonObject createRosterEntry(
            String name, String address, Fleet fleet, String status, long sinceMillis) {
        return new JsonObject()
                .put("name", name)
                .put("address", address)
                .put("zone", fleet.zone())
                .put("type", fleet.name())
                .put("group", 0)
                .put("status", status)
                .put("weight", fleet.weight())
                .put("since_ms", sinceMillis);
    }

    public static JsonObject create(
            Scenario s, String name, String listen, String roster, long seed, JsonObject known) {
        JsonArray useCases = new JsonArray();
        for (Workload w : s.workloads()) {
            JsonObject useCase = new JsonObject()
                    .put("name", w.name())
                    .put("goalTimeUs", w.goalTime() / 1000)
                    .put("cutOffUs", w.cutOff() / 1000)
                    .put(
                            "repeat",
                            w.effect() == Effect.RETRIABLE
                                    ? "idempotent"
                                    : w.effect() == Effect.BINDING ? "at_most_once" : "deduplicated");
            if (w.effect() == Effect.FINGERPRINTED) {
                useCase.put("dedupScope", w.deduplicationScope()).put("windowUs", w.deduplicationWindow() / 1000);
            }
            useCases.add(useCase);
        }
        long lineGoal =
                s.workloads().stream().mapToLong(Workload::lineGoalTime).min().orElse(100_000_000L);
        JsonObject settings = new JsonObject()
                .put("siblings", s.relays().count())
                .put("discovery", "on_request")
                .put("weights", "nominal")
                .put("useCases", useCases)
                .put(
                        "zones",
                        new JsonArray(
                                s.fleets().stream().map(Fleet::zone).distinct().toList()))
                .put(
                        "machineTypes",
                        new JsonArray(s.fleets().stream().map(Fleet::name).toList()))
                .put("tenants", new JsonArray().add(new JsonObject().put("name", "t")))
                .put(
                        "limits",
                        new JsonObject()
                                .put("mostDispatches", s.rules().maxDispatches())
                                .put("secondCopies", false)
                                .put("retryAfter", s.rules().maxRetryAfter() > 0)
                                .put("maxRetryAfterUs", s.rules().maxRetryAfter() / 1000)
                                .put("connectTimeoutUs", 150_000))
                .put(
                        "guarantees",
                        new JsonObject()
                                .put("drainGraceUs", s.rules().drainGrace() / 1000)
                                .put("coldFrom", s.rules().slowStartInitialFactor())
                                .put("coldUs", s.rules().slowStartDuration() / 1000)
                                .put("fallMultiple", s.rules().slowStartBurstMultiple())
                                .put("fallUs", s.rules().slowStartBurstWindow() / 1000))
                .put(
                        "familyInfo",
                        new JsonObject().put("mode", "end").put("messageAimUs", new JsonArray().add(lineGoal / 1000)));
        return new JsonObject()
                .put("name", name)
                .put("listen", listen)
                .put("discovery", roster)
                .put("seed", Long.toHexString(seed))
                .put("limits", new JsonObject().put("sockets", s.relays().maxSockets()))
                .put("known", known)
                .put("settings", settings);
    }
}
