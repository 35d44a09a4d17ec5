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

/**
 * The relay configuration that the platform provides: a JSON file and environment variables. This class is the only
 * place where it is read and checked and where its defaults are defined.
 *
 * @param name name of this relay in the log and in its state files
 * @param listenAddress where clients connect
 * @param connectTimeoutMillis time limit for connecting to a backend
 * @param names names of the use cases and tenants, in the order of the settings
 * @param initialRoster the backends known at the start, before the roster service answers
 * @param reducerConfiguration the configuration of the reducer
 */
public record RelayConfiguration(
        String name,
        Address listenAddress,
        int connectTimeoutMillis,
        ConfiguredNames names,
        RosterMessage initialRoster,
        ReducerConfiguration reducerConfiguration) {
    /**
     * File descriptors, out of limits.sockets, that are reserved for the JVM's own files, the selector, the roster
     * watch and connections that are being refused.
     */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** The lowest valid value of limits.sockets: at least as many descriptors for connections as are reserved. */
    private static final int MIN_SOCKETS = 2 * RESERVED_DESCRIPTORS;
    /** Value of limits.sockets if the configuration has none. */
    private static final int DEFAULT_MAX_SOCKETS = 1024;
    /** Goal time of messages, in nanoseconds, if the settings have none; adding times to it cannot overflow. */
    private static final long NO_MESSAGE_GOAL_TIME = Long.MAX_VALUE / 4;

    private static final int MAX_PORT = 65535;
    private static final int NANOS_PER_MILLI = 1_000_000;

    /** A key is missing or malformed; the message names the key and what was expected. */
    public static final class InvalidConfigurationException extends Exception {
        private static final long serialVersionUID = 1L;
        private final String key;
        /** In the exception that is thrown, which is the first fault: this fault and all that were found after it. */
        private final transient List<InvalidConfigurationException> allFaults = new ArrayList<>(List.of(this));

        InvalidConfigurationException(String key, String expected) {
            super(key + " " + expected);
            this.key = key;
        }
    }

    /** Collects faults, so that reading goes on after a fault and one run reports all of them. */
    private static final class FaultCollector {
        private final List<InvalidConfigurationException> faults = new ArrayList<>();

        /** Reads one value of the configuration. */
        private interface ValueReader<T> {
            T read() throws InvalidConfigurationException;
        }

        /** Returns the value read; if it is faulty, records the fault and returns the default. */
        <T> T readOrDefault(T defaultValue, ValueReader<T> reader) {
            try {
                return reader.read();
            } catch (InvalidConfigurationException e) {
                faults.add(e);
                return defaultValue;
            }
        }

        /** Throws the first fault, with the others attached, if there is any. */
        void throwIfAny() throws InvalidConfigurationException {
            if (!faults.isEmpty()) {
                InvalidConfigurationException first = faults.get(0);
                first.allFaults.addAll(faults.subList(1, faults.size()));
                throw first;
            }
        }
    }

    /**
     * Returns all faults, with their lines, of the file that BALANCER_CONFIG in this environment names. The list is
     * empty if a relay would start with this configuration.
     */
    public static List<TomlDocument.Fault> findFaults(Map<String, String> environment) {
        String path = environment.getOrDefault("BALANCER_CONFIG", "");
        JsonLineIndex lineIndex = new JsonLineIndex("");
        try {
            String text = Files.readString(Path.of(path));
            lineIndex = new JsonLineIndex(text);
            if (lineIndex.syntaxErrorLine() > 0) {
                return List.of(
                        new TomlDocument.Fault(path, lineIndex.syntaxErrorLine(), "", "is not JSON from here on"));
            }
            RelayConfiguration configuration = read(environment);
            new Balancer(configuration.reducerConfiguration.settings(), configuration.reducerConfiguration.seed(), 0);
            return List.of();
        } catch (IOException e) {
            return List.of(new TomlDocument.Fault(path, 1, "", "cannot be read"));
        } catch (InvalidConfigurationException e) {
            List<TomlDocument.Fault> faults = new ArrayList<>();
            for (InvalidConfigurationException fault : e.allFaults) {
                String key = fault.key;
                faults.add(new TomlDocument.Fault(
                        path, lineIndex.lineOf(key), key, fault.getMessage().substring(key.length() + 1)));
            }
            return faults;
        } catch (IllegalArgumentException e) {
            // The balancer checks the settings that only it reads, and reports the first fault.
            String message = e.getMessage().replace("settings: ", "");
            return List.of(new TomlDocument.Fault(
                    path, lineIndex.lineOf("settings." + message.split(" ")[0]), "settings:", message));
        }
    }

    /**
     * Reads the file that BALANCER_CONFIG names, and the other BALANCER_ variables. BALANCER_LISTEN and BALANCER_NAME
     * take precedence over the file; the file takes precedence over BALANCER_DISCOVERY.
     */
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

    /** Reads the configuration from parsed JSON and the environment; ignores BALANCER_CONFIG. */
    public static RelayConfiguration read(Map<String, String> environment, JsonObject json)
            throws InvalidConfigurationException {
        FaultCollector faults = new FaultCollector();
        JsonObject settings = faults.readOrDefault(
                new JsonObject(),
                () -> requireValue(
                        valueOrDefault(json, "settings", JsonObject.class, null, "an object"),
                        "settings",
                        "an object"));
        Map<String, String> flatSettings = new HashMap<>();
        flatten(settings, "", flatSettings);
        // The relay's line protocol doesn't report how long a message takes at its backend, whatever the settings say.
        flatSettings.put("familyInfo.tellsDelay", "unseen");
        List<Long> cutOffs = new ArrayList<>();
        List<String> useCases = faults.readOrDefault(List.of(), () -> readNames(settings, "useCases"));
        for (int useCase = 0; useCase < useCases.size(); useCase++) {
            String cutOffKey = "useCases." + useCase + ".cutOff";
            cutOffs.add(faults.readOrDefault(0L, () -> (long) parseNumber(flatSettings, cutOffKey)));
        }
        long messageGoalTime = NO_MESSAGE_GOAL_TIME;
        for (String part :
                flatSettings.getOrDefault("familyInfo.messageAim", "").split(",")) {
            messageGoalTime = Math.min(
                    messageGoalTime,
                    faults.readOrDefault(
                            messageGoalTime,
                            () -> part.isEmpty()
                                    ? NO_MESSAGE_GOAL_TIME
                                    : (long) parseNumber(part, "settings: familyInfo.messageAim")));
        }
        JsonObject limits = faults.readOrDefault(
                new JsonObject(),
                () -> valueOrDefault(json, "limits", JsonObject.class, new JsonObject(), "an object"));
        String seed = faults.readOrDefault("0", () -> {
            String value = requireValue(
                    valueOrDefault(json, "seed", String.class, null, "64 bits of hex"), "seed", "64 bits of hex");
            if (!value.matches("[0-9a-fA-F]{1,16}")) {
                throw new InvalidConfigurationException("seed", "is malformed: expected 64 bits of hex, got " + value);
            }
            return value;
        });
        RosterMessage knownRoster = faults.readOrDefault(null, () -> {
            try {
                return RosterMessage.decode(requireValue(
                        valueOrDefault(json, "known", JsonObject.class, null, "a roster, as an object"),
                        "known",
                        "a roster, as an object"));
            } catch (IllegalArgumentException e) {
                throw new InvalidConfigurationException("known", "is malformed: " + e.getMessage());
            }
        });
        int maxSockets = faults.readOrDefault(MIN_SOCKETS, () -> {
            int value = valueOrDefault(limits, "limits.sockets", Integer.class, DEFAULT_MAX_SOCKETS, "a whole number");
            if (value < MIN_SOCKETS) {
                throw new InvalidConfigurationException(
                        "limits.sockets", "is too small: expected at least " + MIN_SOCKETS + ", got " + value);
            }
            return value;
        });
        List<String> zones = faults.readOrDefault(List.of(), () -> readNames(settings, "zones"));
        List<String> machineTypes = faults.readOrDefault(List.of(), () -> readNames(settings, "machineTypes"));
        List<String> tenants = faults.readOrDefault(List.of(), () -> readNames(settings, "tenants"));
        long connectTimeoutNanos =
                faults.readOrDefault(0L, () -> (long) parseNumber(flatSettings, "limits.connectTimeout"));
        // The file takes precedence over the environment, which never changes while a relay runs. Otherwise a reload
        // could not change the roster address.
        Address rosterAddress = faults.readOrDefault(
                null, () -> readAddress(json, "discovery", environment, "BALANCER_DISCOVERY", true));
        Address listenAddress =
                faults.readOrDefault(null, () -> readAddress(json, "listen", environment, "BALANCER_LISTEN", false));
        String name = faults.readOrDefault(
                "relay",
                () -> environment.getOrDefault(
                        "BALANCER_NAME", valueOrDefault(json, "name", String.class, "relay", "a name")));
        faults.throwIfAny();
        ReducerConfiguration reducerConfiguration = new ReducerConfiguration(
                flatSettings,
                Long.parseUnsignedLong(seed, 16),
                cutOffs,
                zones,
                machineTypes,
                messageGoalTime,
                maxSockets - RESERVED_DESCRIPTORS,
                connectTimeoutNanos,
                "pass".equals(flatSettings.get("familyInfo.mode")),
                rosterAddress);
        return new RelayConfiguration(
                name,
                listenAddress,
                (int) (connectTimeoutNanos / NANOS_PER_MILLI),
                new ConfiguredNames(useCases, tenants),
                knownRoster,
                reducerConfiguration);
    }

    /** Returns the changed keys of a reloaded configuration that take effect only after a restart. */
    List<String> keysNeedingRestart(RelayConfiguration reloaded) {
        List<String> keys = new ArrayList<>();
        if (!listenAddress.equals(reloaded.listenAddress)) {
            keys.add("listen");
        }
        if (!name.equals(reloaded.name)) {
            keys.add("name");
        }
        if (!reducerConfiguration.settings().equals(reloaded.reducerConfiguration.settings())) {
            keys.add("settings");
        }
        return keys;
    }

    /**
     * Reads an address and port from the file or from an environment variable.
     *
     * @param isFilePreferred whether the file takes precedence if both have a value
     */
    private static Address readAddress(
            JsonObject json, String key, Map<String, String> environment, String variable, boolean isFilePreferred)
            throws InvalidConfigurationException {
        String fileValue = valueOrDefault(json, key, String.class, null, "an address and port");
        boolean isFromFile = fileValue != null && (isFilePreferred || !environment.containsKey(variable));
        String source = isFromFile ? key : variable;
        String text = requireValue(isFromFile ? fileValue : environment.get(variable), source, "an address and port");
        if (!text.matches("[^:]+:\\d{1,5}") || Integer.parseInt(text.substring(text.indexOf(':') + 1)) > MAX_PORT) {
            throw new InvalidConfigurationException(source, "is malformed: expected an address and port, got " + text);
        }
        int colon = text.lastIndexOf(':');
        return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns the value under the last segment of the key, or the default. Faults name the whole key. */
    private static <T> T valueOrDefault(JsonObject json, String key, Class<T> type, T defaultValue, String expected)
            throws InvalidConfigurationException {
        Object value = json.getValue(key.substring(key.lastIndexOf('.') + 1));
        if (value != null && !type.isInstance(value)) {
            throw new InvalidConfigurationException(key, "is malformed: expected " + expected + ", got " + value);
        }
        return value == null ? defaultValue : type.cast(value);
    }

    private static <T> T requireValue(T value, String key, String expected) throws InvalidConfigurationException {
        if (value == null) {
            throw new InvalidConfigurationException(key, "is missing: expected " + expected);
        }
        return value;
    }

    private static double parseNumber(Map<String, String> flatSettings, String name)
            throws InvalidConfigurationException {
        return parseNumber(requireValue(flatSettings.get(name), "settings: " + name, "a number"), "settings: " + name);
    }

    private static double parseNumber(String text, String key) throws InvalidConfigurationException {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new InvalidConfigurationException(key, "is malformed: expected a number, got " + text);
        }
    }

    /** Reads an array of names, or of objects with a `name`. Other settings refer to an entry by its index. */
    private static List<String> readNames(JsonObject settings, String key) throws InvalidConfigurationException {
        return valueOrDefault(settings, "settings." + key, JsonArray.class, new JsonArray(), "an array").stream()
                .map(item -> String.valueOf(item instanceof JsonObject object ? object.getValue("name") : item))
                .toList();
    }

    /**
     * Flattens nested settings to the form that the simulator uses: names joined by dots; arrays of values joined by
     * commas; arrays of objects by index, with the array's length under `count`. {@link SettingsParser} then translates
     * names and units.
     */
    private static void flatten(Object value, String path, Map<String, String> flatSettings) {
        if (value instanceof JsonObject object) {
            object.forEach(entry -> flatten(
                    entry.getValue(), path.isEmpty() ? entry.getKey() : path + "." + entry.getKey(), flatSettings));
        } else if (value instanceof JsonArray list && list.stream().anyMatch(JsonObject.class::isInstance)) {
            SettingsParser.putSetting(flatSettings, path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(list.getValue(i), path + "." + i, flatSettings);
            }
        } else if (value instanceof JsonArray list) {
            SettingsParser.putSetting(
                    flatSettings,
                    path,
                    list.stream().map(RelayConfiguration::toSettingValue).collect(Collectors.joining(",")));
        } else if (value != null) {
            SettingsParser.putSetting(flatSettings, path, toSettingValue(value));
        }
    }

    /** The text of a value, with "_" for spaces and commas, since commas separate the values of a list. */
    private static String toSettingValue(Object value) {
        return String.valueOf(value).replaceAll("[ ,]", "_");
    }
}
