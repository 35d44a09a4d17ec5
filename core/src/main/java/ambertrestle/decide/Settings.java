package ambertrestle.decide;

import java.util.Map;

/** Reads values of the job ticket, which is a plain map; says by name what is missing or malformed. */
final class Settings {
    private Settings() {}

    static double getDouble(Map<String, String> jobTicket, String name) {
        String value = getString(jobTicket, name);
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("job ticket: " + name + " is not a number: " + value);
        }
    }

    /** False where it is not there. */
    static boolean getBoolean(Map<String, String> jobTicket, String name) {
        return jobTicket.containsKey(name)
                && getString(jobTicket, name, "true", "false").equals("true");
    }

    static double getDoubleOrDefault(Map<String, String> jobTicket, String name, double otherwise) {
        return jobTicket.containsKey(name) ? getDouble(jobTicket, name) : otherwise;
    }

    static String getString(Map<String, String> jobTicket, String name, String... known) {
        String value = jobTicket.get(name);
        if (value == null || known.length > 0 && !java.util.Arrays.asList(known).contains(value)) {
            throw new IllegalArgumentException(
                    "job ticket: " + name + (value == null ? " is missing" : " is not known: " + value));
        }
        return value;
    }

    /** Several numbers with commas between; none where it is not there. */
    static double[] getDoubles(Map<String, String> jobTicket, String name) {
        String value = jobTicket.getOrDefault(name, "");
        try {
            return value.isEmpty()
                    ? new double[0]
                    : java.util.Arrays.stream(value.split(","))
                            .mapToDouble(Double::parseDouble)
                            .toArray();
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("job ticket: " + name + " is not a list of numbers: " + value);
        }
    }
}
