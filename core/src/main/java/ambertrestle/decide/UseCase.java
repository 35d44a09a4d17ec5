package ambertrestle.decide;

import java.util.Locale;
import java.util.Map;

/** What the job ticket says of one use case. In nanoseconds; scope and window for fingerprinted ones. */
public record UseCase(long goalTime, long cutOff, Effect effect, DeduplicationScope scope, long deduplicationWindow) {
    public enum Effect {
        RETRIABLE,
        FINGERPRINTED,
        BINDING
    }

    /** The backends that discard each other's repeats. */
    public enum DeduplicationScope {
        NONE,
        ALL,
        ZONE,
        CELL
    }

    public static UseCase fromSettings(Map<String, String> jobTicket, String of) {
        Effect effect =
                Effect.valueOf(Settings.getString(jobTicket, of + "effect", "retriable", "fingerprinted", "binding")
                        .toUpperCase(Locale.ROOT));
        boolean marked = effect == Effect.FINGERPRINTED;
        return new UseCase(
                (long) Settings.getDouble(jobTicket, of + "goalTime"),
                (long) Settings.getDouble(jobTicket, of + "cutOff"),
                effect,
                marked
                        ? DeduplicationScope.valueOf(Settings.getString(jobTicket, of + "scope", "all", "zone", "cell")
                                .toUpperCase(Locale.ROOT))
                        : DeduplicationScope.NONE,
                marked ? (long) Settings.getDouble(jobTicket, of + "window") : 0);
    }
}
