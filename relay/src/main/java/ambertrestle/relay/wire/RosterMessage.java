package ambertrestle.relay.wire;

import ambertrestle.decide.RosterEntry.Stage;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** One message of the roster service: all backends, or those that changed. */
public record RosterMessage(long version, boolean isComplete, List<Entry> entries) {
    public record Entry(
            String name,
            String address,
            Stage stage,
            String zone,
            String type,
            int cell,
            double weight,
            long startedAtMillis) {}

    /** Any name is an id: FNV-1a over its bytes, 64 bits, so that relays agree without talking. */
    public static long backendId(String name) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
        }
        return hash;
    }

    /** The whole list as it is after these changes, or after that list. */
    public RosterMessage withUpdate(RosterMessage changes) {
        TreeMap<String, Entry> byName = new TreeMap<>();
        if (!changes.isComplete) {
            entries.forEach(l -> byName.put(l.name, l));
        }
        changes.entries.forEach(l -> byName.put(l.name, l));
        byName.values().removeIf(l -> l.stage == Stage.GONE);
        return new RosterMessage(changes.version, true, List.copyOf(byName.values()));
    }

    /** Throws IllegalArgumentException, naming the key, on what is no message, be it one entry. */
    public static RosterMessage decode(JsonObject json) {
        return decode(json, (name, why) -> {
            throw new IllegalArgumentException(why);
        });
    }

    /** The same, but a faulty entry is left out and told, with its name where it has one, else with its place. */
    public static RosterMessage decode(JsonObject json, BiConsumer<String, String> faulty) {
        try {
            List<Entry> lines = new ArrayList<>();
            JsonArray entries = json.getJsonArray("endpoints", new JsonArray());
            for (int i = 0; i < entries.size(); i++) {
                String name = "entry " + i;
                try {
                    JsonObject e = entries.getJsonObject(i);
                    name = require(e.getString("name"), "name");
                    lines.add(decodeEntry(name, e));
                } catch (IllegalArgumentException | ClassCastException | NullPointerException e) {
                    faulty.accept(
                            name,
                            e instanceof IllegalArgumentException ? e.getMessage() : "a value has the wrong form");
                }
            }
            return new RosterMessage(
                    require(json.getLong("index"), "index"), json.getBoolean("snapshot", false), lines);
        } catch (ClassCastException | NullPointerException e) {
            throw new IllegalArgumentException("a value has the wrong form", e);
        }
    }

    private static Entry decodeEntry(String name, JsonObject e) {
        String status = require(e.getString("status"), "status");
        Stage stage =
                switch (status) {
                    case "in_service" -> Stage.READY;
                    case "terminating" -> Stage.DRAINING;
                    case "terminated" -> Stage.GONE;
                    default -> throw new IllegalArgumentException("status of " + name + " is not known");
                };
        String address = e.getString("address", "");
        if (address.isEmpty() && stage != Stage.GONE) {
            throw new IllegalArgumentException("address of " + name + " is missing");
        }
        return new Entry(
                name,
                address,
                stage,
                e.getString("zone", ""),
                e.getString("type", ""),
                e.getInteger("group", 0),
                e.getDouble("weight", 1.0),
                e.getLong("since_ms", 0L));
    }

    private static <T> T require(T value, String key) {
        if (value == null) {
            throw new IllegalArgumentException(key + " is missing");
        }
        return value;
    }
}
