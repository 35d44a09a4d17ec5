package ambertrestle.lab.scenario;

import ambertrestle.lab.scenario.Scenario.Effect;
import ambertrestle.lab.scenario.Scenario.Fleet;
import ambertrestle.lab.scenario.Scenario.Workload;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/**
 * Builds the relay configuration (the JSON of `BALANCER_CONFIG`) from a scenario. Relays in the simulation and relay
 * processes on sockets are started with the same form.
 */
public final class RelayConfigurationJson {
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final int CONNECT_TIMEOUT_MICROS = 150_000;
    /** The goal time of a line where the scenario has no use case. */
    private static final long DEFAULT_LINE_GOAL_TIME_NANOS = 100_000_000L;

    private RelayConfigurationJson() {}

    /**
     * One roster entry in the JSON form of the roster service.
     *
     * @param status `in_service`, `terminating` or `terminated`
     * @param sinceMillis Unix time in milliseconds at which the backend's process started; 0 if unknown or long ago
     */
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

    /** A complete roster of version 1, in the JSON form of the roster service. */
    public static JsonObject createRoster(JsonObject... entries) {
        return new JsonObject().put("index", 1).put("snapshot", true).put("endpoints", new JsonArray(List.of((Object[])
                entries)));
    }

    /**
     * The whole configuration of one relay.
     *
     * @param name the relay's name
     * @param listenAddress host:port on which the relay accepts clients
     * @param rosterAddress host:port of the roster service
     * @param seed the seed of the relay's random decisions
     * @param knownRoster the complete roster that the relay starts with, in the roster service's JSON form
     */
    public static JsonObject create(
            Scenario scenario,
            String name,
            String listenAddress,
            String rosterAddress,
            long seed,
            JsonObject knownRoster) {
        JsonArray useCases = new JsonArray();
        for (Workload workload : scenario.workloads()) {
            JsonObject useCase = new JsonObject()
                    .put("name", workload.name())
                    .put("goalTimeUs", workload.goalTime() / NANOS_PER_MICRO)
                    .put("cutOffUs", workload.cutOff() / NANOS_PER_MICRO)
                    .put(
                            "repeat",
                            workload.effect() == Effect.RETRIABLE
                                    ? "idempotent"
                                    : workload.effect() == Effect.BINDING ? "at_most_once" : "deduplicated");
            if (workload.effect() == Effect.FINGERPRINTED) {
                useCase.put("dedupScope", workload.deduplicationScope())
                        .put("windowUs", workload.deduplicationWindow() / NANOS_PER_MICRO);
            }
            useCases.add(useCase);
        }
        long minLineGoalTime = scenario.workloads().stream()
                .mapToLong(Workload::lineGoalTime)
                .min()
                .orElse(DEFAULT_LINE_GOAL_TIME_NANOS);
        JsonObject settings = new JsonObject()
                .put("siblings", scenario.relays().count())
                .put("discovery", "on_request")
                .put("weights", "nominal")
                .put("useCases", useCases)
                .put(
                        "zones",
                        new JsonArray(scenario.fleets().stream()
                                .map(Fleet::zone)
                                .distinct()
                                .toList()))
                .put(
                        "machineTypes",
                        new JsonArray(
                                scenario.fleets().stream().map(Fleet::name).toList()))
                .put("tenants", new JsonArray().add(new JsonObject().put("name", "t")))
                .put(
                        "limits",
                        new JsonObject()
                                .put("mostDispatches", scenario.rules().maxDispatches())
                                .put("secondCopies", false)
                                .put("retryAfter", scenario.rules().maxRetryAfter() > 0)
                                .put("maxRetryAfterUs", scenario.rules().maxRetryAfter() / NANOS_PER_MICRO)
                                .put("connectTimeoutUs", CONNECT_TIMEOUT_MICROS))
                .put(
                        "guarantees",
                        new JsonObject()
                                .put("drainGraceUs", scenario.rules().drainGrace() / NANOS_PER_MICRO)
                                .put("coldFrom", scenario.rules().slowStartInitialFactor())
                                .put("coldUs", scenario.rules().slowStartDuration() / NANOS_PER_MICRO)
                                .put("fallMultiple", scenario.rules().slowStartBurstMultiple())
                                .put("fallUs", scenario.rules().slowStartBurstWindow() / NANOS_PER_MICRO))
                .put(
                        "familyInfo",
                        new JsonObject()
                                .put("mode", "end")
                                .put("messageAimUs", new JsonArray().add(minLineGoalTime / NANOS_PER_MICRO)));
        return new JsonObject()
                .put("name", name)
                .put("listen", listenAddress)
                .put("discovery", rosterAddress)
                .put("seed", Long.toHexString(seed))
                .put("limits", new JsonObject().put("sockets", scenario.relays().maxSockets()))
                .put("known", knownRoster)
                .put("settings", settings);
    }
}
