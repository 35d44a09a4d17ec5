package ambertrestle.relay.server;

import ambertrestle.decide.Balancer;
import ambertrestle.relay.connection.ReducerConfiguration;
import ambertrestle.relay.toml.TomlDocument;
import ambertrestle.relay.wire.Address;
import ambertrestle.relay.wire.ConfiguredNames;
import ambertrestle.relay.wire.RosterMessage;
import ambertrestle.settings.SettingsParser;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The one place where configuration is read, checked and given defaults. */
public record RelayConfiguration(
        String name,
        Address listenAddress,
        int connectTimeoutMillis,
        ConfiguredNames names,
        RosterMessage initialRoster,
        ReducerConfiguration reducerConfiguration) {
    /** Descriptors kept for the JVM's own files, the selector, the roster watch and connections being refused. */
    private static final int RESERVED_DESCRIPTORS = 64;

    /** Something is missing or malformed; the message names the first faulty key and what was expected. */
    public static final class InvalidConfigurationException extends Exception {
        private static final long serialVersionUID = 1L;
        private final String key;
        /** This one and those found after it. */
        private final transient List<InvalidConfigurationException> all = new ArrayList<>(List.of(this));

        InvalidConfigurationException(String key, String expected) {
            super(key + " " + expected);
            this.key = key;
        }
    }

    /** Reads on past a fault, so that one reading finds all. */
    private static final class Faults {
        private final List<InvalidConfigurationException> found = new ArrayList<>();

        private interface Reading<T> {
            T read() throws InvalidConfigurationException;
        }

        <T> T or(T otherwise, Reading<T> reading) {
            try {
                return reading.read();
            } catch (InvalidConfigurationException e) {
                found.add(e);
                return otherwise;
            }
        }

        void end() throws InvalidConfigurationException {
            if (!found.isEmpty()) {
                InvalidConfigurationException first = found.get(0);
                first.all.addAll(found.subList(1, found.size()));
                throw first;
            }
        }
    }

    /** Every fault of the file that the environment names, with its line; empty where a relay would start with it. */
    public static List<TomlDocument.Fault> findFaults(Map<String, String> environment) {
        String path = environment.getOrDefault("BALANCER_CONFIG", "");
        JsonLineIndex lines = new JsonLineIndex("");
        try {
            String text = Files.readString(Path.of(path));
            lines = new JsonLineIndex(text);
            if (lines.syntaxErrorLine() > 0) {
                return List.of(new TomlDocument.Fault(path, lines.syntaxErrorLine(), "", "is not JSON from here on"));
            }
            RelayConfiguration sheet = read(environment);
            new Balancer(sheet.reducerConfiguration.settings(), sheet.reducerConfiguration.seed(), 0);
            return List.of();
        } catch (IOException e) {
            return List.of(new TomlDocument.Fault(path, 1, "", "cannot be read"));
        } catch (InvalidConfigurationException e) {
            List<TomlDocument.Fault> faults = new ArrayList<>();
            for (InvalidConfigurationException fault : e.all) {
                String key = fault.key;
                faults.add(new TomlDocument.Fault(
                        path, lines.lineOf(key), key, fault.getMessage().substring(key.length() + 1)));
            }
            return faults;
        } catch (IllegalArgumentException e) {
            // The module checks what it alone reads, one name at a time.
            String said = e.getMessage().replace("job ticket: ", "");
            return List.of(
                    new TomlDocument.Fault(path, lines.lineOf("settings." + said.split(" ")[0]), "settings:", said));
        }
    }

    public static RelayConfiguration read(Map<String, String> environment) throws InvalidConfigurationException {
        String path = environment.get("BALANCER_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new InvalidConfigurationException(
                    "BALANCER_CONFIG", "is missing: expected the path of the configuration, as JSON");
        }
        JsonObject json;
        try {
            json = new JsonObject(Files.readString(Path.of(path)));
        } catch (IOException | DecodeException e) {
            throw new InvalidConfigurationException(
                    "BALANCER_CONFIG",
                    "names " + path + ", which " + (e instanceof IOException ? "cannot be read" : "is not JSON"));
        }
        return read(environment, json);
    }

    /** The same from what was read already. */
    public static RelayConfiguration read(Map<String, String> environment, JsonObject json)
            throws InvalidConfigurationException {
        Faults all = new Faults();
        JsonObject settings = all.or(
                new JsonObject(),
                () -> need(
                        valueOrDefault(json, "settings", JsonObject.class, null, "an object"),
                        "settings",
                        "an object"));
        Map<String, String> ticket = new HashMap<>();
        flatten(settings, "", ticket);
        // On sockets nothing tells how long a message takes at its backend, whatever the settings promise.
        ticket.put("familyInfo.tellsDelay", "unseen");
        List<Long> cutOffs = new ArrayList<>();
        List<String> useCases = all.or(List.of(), () -> names(settings, "useCases"));
        for (int u = 0; u < useCases.size(); u++) {
            String cutOff = "useCases." + u + ".cutOff";
            cutOffs.add(all.or(0L, () -> (long) number(ticket, cutOff)));
        }
        long goal = Long.MAX_VALUE / 4;
        for (String part : ticket.getOrDefault("familyInfo.messageAim", "").split(",")) {
            goal = Math.min(
                    goal,
                    all.or(
                            goal,
                            () -> part.isEmpty()
                                    ? Long.MAX_VALUE / 4
                                    : (long) number(part, "settings: familyInfo.messageAim")));
        }
        JsonObject limits = all.or(
                new JsonObject(),
                () -> valueOrDefault(json, "limits", JsonObject.class, new JsonObject(), "an object"));
        String seed = all.or("0", () -> {
            String said =
                    need(valueOrDefault(json, "seed", String.class, null, "64 bits of hex"), "seed", "64 bits of hex");
            if (!said.matches("[0-9a-fA-F]{1,16}")) {
                throw new InvalidConfigurationException("seed", "is malformed: expected 64 bits of hex, got " + said);
            }
            return said;
        });
        RosterMessage known = all.or(null, () -> {
            try {
                return RosterMessage.decode(need(
                        valueOrDefault(json, "known", JsonObject.class, null, "a list of backends"),
                        "known",
                        "a list of backends"));
            } catch (IllegalArgumentException e) {
                throw new InvalidConfigurationException("known", "is malformed: " + e.getMessage());
            }
        });
        int sockets = all.or(2 * RESERVED_DESCRIPTORS, () -> {
            int said = valueOrDefault(limits, "limits.sockets", Integer.class, 1024, "a whole number");
            if (said < 2 * RESERVED_DESCRIPTORS) {
                throw new InvalidConfigurationException(
                        "limits.sockets",
                        "is too small: expected " + 2 * RESERVED_DESCRIPTORS + " at least, got " + said);
            }
            return said;
        });
        List<String> zones = all.or(List.of(), () -> names(settings, "zones"));
        List<String> types = all.or(List.of(), () -> names(settings, "machineTypes"));
        List<String> tenants = all.or(List.of(), () -> names(settings, "tenants"));
        long connectTime = all.or(0L, () -> (long) number(ticket, "limits.connectTimeout"));
        // Danger: the environment of a running relay never changes; a new file must win over it here.
        Address discovery = all.or(null, () -> address(json, "discovery", environment, "BALANCER_DISCOVERY", true));
        Address listen = all.or(null, () -> address(json, "listen", environment, "BALANCER_LISTEN", false));
        String name = all.or(
                "relay",
                () -> environment.getOrDefault(
                        "BALANCER_NAME", valueOrDefault(json, "name", String.class, "relay", "a name")));
        all.end();
        ReducerConfiguration values = new ReducerConfiguration(
                ticket,
                Long.parseUnsignedLong(seed, 16),
                cutOffs,
                zones,
                types,
                goal,
                sockets - RESERVED_DESCRIPTORS,
                connectTime,
                "pass".equals(ticket.get("familyInfo.mode")),
                discovery);
        return new RelayConfiguration(
                name, listen, (int) (connectTime / 1_000_000), new ConfiguredNames(useCases, tenants), known, values);
    }

    /** Keys that differ in a sheet read later, though a running relay keeps to what it started with. */
    List<String> keysNeedingRestart(RelayConfiguration later) {
        List<String> keys = new ArrayList<>();
        if (!listenAddress.equals(later.listenAddress)) {
            keys.add("listen");
        }
        if (!name.equals(later.name)) {
            keys.add("name");
        }
        if (!reducerConfiguration.settings().equals(later.reducerConfiguration.settings())) {
            keys.add("settings");
        }
        return keys;
    }

    private static Address address(
            JsonObject json, String key, Map<String, String> environment, String variable, boolean fileWins)
            throws InvalidConfigurationException {
        String here = valueOrDefault(json, key, String.class, null, "an address and port");
        boolean fromFile = here != null && (fileWins || !environment.containsKey(variable));
        String faulty = fromFile ? key : variable;
        String text = need(fromFile ? here : environment.get(variable), faulty, "an address and port");
        if (!text.matches("[^:]+:\\d{1,5}") || Integer.parseInt(text.substring(text.indexOf(':') + 1)) > 65535) {
            throw new InvalidConfigurationException(faulty, "is malformed: expected an address and port, got " + text);
        }
        int colon = text.lastIndexOf(':');
        return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** What stands under the last word of the key, or the default; the whole key names it where its form is wrong. */
    private static <T> T valueOrDefault(JsonObject json, String key, Class<T> form, T otherwise, String expected)
            throws InvalidConfigurationException {
        Object value = json.getValue(key.substring(key.lastIndexOf('.') + 1));
        if (value != null && !form.isInstance(value)) {
            throw new InvalidConfigurationException(key, "is malformed: expected " + expected + ", got " + value);
        }
        return value == null ? otherwise : form.cast(value);
    }

    private static <T> T need(T value, String key, String expected) throws InvalidConfigurationException {
        if (value == null) {
            throw new InvalidConfigurationException(key, "is missing: expected " + expected);
        }
        return value;
    }

    private static double number(Map<String, String> ticket, String name) throws InvalidConfigurationException {
        return number(need(ticket.get(name), "settings: " + name, "a number"), "settings: " + name);
    }

    private static double number(String text, String key) throws InvalidConfigurationException {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new InvalidConfigurationException(key, "is malformed: expected a number, got " + text);
        }
    }

    /** A list of names, or of objects that have one; the settings' places count from here. */
    private static List<String> names(JsonObject settings, String key) throws InvalidConfigurationException {
        return valueOrDefault(settings, "settings." + key, JsonArray.class, new JsonArray(), "a list").stream()
                .map(item -> String.valueOf(item instanceof JsonObject named ? named.getValue("name") : item))
                .toList();
    }

    /** Nested settings as the simulator writes them: paths, plain lists joined, lists of objects counted. */
    private static void flatten(Object value, String path, Map<String, String> ticket) {
        if (value instanceof JsonObject object) {
            object.forEach(e -> flatten(e.getValue(), path.isEmpty() ? e.getKey() : path + "." + e.getKey(), ticket));
        } else if (value instanceof JsonArray list && list.stream().anyMatch(JsonObject.class::isInstance)) {
            SettingsParser.putSetting(ticket, path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(list.getValue(i), path + "." + i, ticket);
            }
        } else if (value instanceof JsonArray list) {
            SettingsParser.putSetting(
                    ticket, path, list.stream().map(RelayConfiguration::plain).collect(Collectors.joining(",")));
        } else if (value != null) {
            SettingsParser.putSetting(ticket, path, plain(value));
        }
    }

    private static String plain(Object value) {
        return String.valueOf(value).replaceAll("[ ,]", "_");
    }
}
