package ambertrestle.relay.wire;

import ambertrestle.decide.RosterEntry.Stage;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * A message of the roster service.
 *
 * @param version version of the roster after this message; it increases with each change
 * @param isComplete true if `entries` lists all backends, false if it lists only those that changed
 */
public record RosterMessage(long version, boolean isComplete, List<Entry> entries) {
    private static final long FNV_64_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_64_PRIME = 0x100000001b3L;

    /**
     * A backend.
     *
     * @param name unique name of the backend
     * @param address `host:port`; may be empty if the stage is GONE
     * @param stage READY for a backend in service, DRAINING for one that is terminating, GONE for one that is
     *     terminated
     * @param zone name of its zone; empty if not given
     * @param type name of its machine type; empty if not given
     * @param cell number of its cell; 0 if not given
     * @param weight relative capacity; 1 if not given
     * @param startedAtMillis start of the backend in milliseconds since the Unix epoch; 0 if not given, which counts as
     *     long ago
     */
    public record Entry(
            String name,
            String address,
            Stage stage,
            String zone,
            String type,
            int cell,
            double weight,
            long startedAtMillis) {}

    /**
     * Returns the id of a backend: the 64-bit FNV-1a hash of its name in UTF-8. All relays derive the same id without
     * coordination.
     */
    public static long backendId(String name) {
        long hash = FNV_64_OFFSET_BASIS;
        for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_64_PRIME;
        }
        return hash;
    }

    /**
     * Returns the complete roster after an update, sorted by name and without backends that are GONE. If the update is
     * complete, it replaces this roster; otherwise its entries replace those of the same name.
     */
    public RosterMessage withUpdate(RosterMessage update) {
        TreeMap<String, Entry> byName = new TreeMap<>();
        if (!update.isComplete) {
            entries.forEach(entry -> byName.put(entry.name, entry));
        }
        update.entries.forEach(entry -> byName.put(entry.name, entry));
        byName.values().removeIf(entry -> entry.stage == Stage.GONE);
        return new RosterMessage(update.version, true, List.copyOf(byName.values()));
    }

    /**
     * Decodes a message.
     *
     * @throws IllegalArgumentException if the message or one of its entries is malformed; the text names the key that
     *     is missing
     */
    public static RosterMessage decode(JsonObject json) {
        return decode(json, (name, reason) -> {
            throw new IllegalArgumentException(reason);
        });
    }

    /**
     * Decodes a message and skips faulty entries.
     *
     * @param onFaultyEntry receives the name of each skipped entry and the reason; an entry without a name is called
     *     "entry" with its index
     * @throws IllegalArgumentException if the message itself is malformed
     */
    public static RosterMessage decode(JsonObject json, BiConsumer<String, String> onFaultyEntry) {
        try {
            List<Entry> decodedEntries = new ArrayList<>();
            JsonArray entries = json.getJsonArray("endpoints", new JsonArray());
            for (int i = 0; i < entries.size(); i++) {
                String name = "entry " + i;
                try {
                    JsonObject entry = entries.getJsonObject(i);
                    name = requirePresent(entry.getString("name"), "name");
                    decodedEntries.add(decodeEntry(name, entry));
                } catch (IllegalArgumentException | ClassCastException | NullPointerException e) {
                    onFaultyEntry.accept(
                            name,
                            e instanceof IllegalArgumentException
                                    ? e.getMessage()
                                    : "a value is null or has the wrong JSON type");
                }
            }
            return new RosterMessage(
                    requirePresent(json.getLong("index"), "index"), json.getBoolean("snapshot", false), decodedEntries);
        } catch (ClassCastException | NullPointerException e) {
            throw new IllegalArgumentException("a value is null or has the wrong JSON type", e);
        }
    }

    private static Entry decodeEntry(String name, JsonObject json) {
        String status = requirePresent(json.getString("status"), "status");
        Stage stage =
                switch (status) {
                    case "in_service" -> Stage.READY;
                    case "terminating" -> Stage.DRAINING;
                    case "terminated" -> Stage.GONE;
                    default -> throw new IllegalArgumentException("status of " + name + " is not known");
                };
        String address = json.getString("address", "");
        if (address.isEmpty() && stage != Stage.GONE) {
            throw new IllegalArgumentException("address of " + name + " is missing");
        }
        return new Entry(
                name,
                address,
                stage,
                json.getString("zone", ""),
                json.getString("type", ""),
                json.getInteger("group", 0),
                json.getDouble("weight", 1.0),
                json.getLong("since_ms", 0L));
    }

    private static <T> T requirePresent(T value, String key) {
        if (value == null) {
            throw new IllegalArgumentException(key + " is missing");
        }
        return value;
    }
}
