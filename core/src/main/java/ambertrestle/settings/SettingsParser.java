package ambertrestle.settings;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Turns the settings that both hosts are given into the job ticket: house names, times in nanoseconds. */
public final class SettingsParser {
    private static final Map<String, String> INTERNAL_NAMES = Map.of(
            "repeat",
            "effect",
            "dedupScope",
            "scope",
            "siblings",
            "relays",
            "mostDispatches",
            "dispatches",
            "via",
            "how",
            "repeats",
            "effects",
            "streaming",
            "streams");
    private static final Map<String, String> INTERNAL_EFFECTS =
            Map.of("idempotent", "retriable", "deduplicated", "fingerprinted", "at_most_once", "binding");

    private SettingsParser() {}

    public static Map<String, String> parse(byte[] text) {
        Map<String, String> ticket = new HashMap<>();
        String all = new String(text, StandardCharsets.UTF_8);
        for (int from = 0; from < all.length(); ) {
            int end = all.indexOf('\n', from);
            end = end < 0 ? all.length() : end;
            int sign = all.indexOf('=', from);
            if (sign > from && sign < end) {
                putSetting(
                        ticket,
                        all.substring(from, sign),
                        all.substring(sign + 1, end).strip());
            }
            from = end + 1;
        }
        return ticket;
    }

    /** One setting by its path, as the operators name it. */
    public static void putSetting(Map<String, String> ticket, String name, String value) {
        String house = name.startsWith("guarantees.") ? "rules." + name.substring(11) : name;
        String in = value;
        if (house.endsWith("Us")) {
            house = house.substring(0, house.length() - 2);
            in = microsToNanos(value);
        }
        int dot = house.lastIndexOf('.');
        String last = house.substring(dot + 1);
        house = house.substring(0, dot + 1) + INTERNAL_NAMES.getOrDefault(last, last);
        ticket.put(house, last.equals("repeat") ? INTERNAL_EFFECTS.getOrDefault(in, in) : in);
    }

    /** One number or several with commas between, from microseconds; what is no number stays as it is. */
    private static String microsToNanos(String value) {
        StringBuilder out = new StringBuilder();
        for (int from = 0; from <= value.length(); ) {
            int end = value.indexOf(',', from);
            end = end < 0 ? value.length() : end;
            String part = value.substring(from, end);
            try {
                out.append(from == 0 ? "" : ",").append(Math.round(Double.parseDouble(part) * 1000));
            } catch (NumberFormatException e) {
                out.append(part);
            }
            from = end + 1;
        }
        return out.toString();
    }
}
