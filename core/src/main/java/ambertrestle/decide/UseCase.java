package ambertrestle.decide;

import java.util.Locale;
import java.util.Map;

/**
 * The settings of one use case.
 *
 * @param goalTime time in nanoseconds from arrival within which the connection should be established
 * @param cutOff time in nanoseconds from arrival after which the association is of no use any more
 * @param effect whether a dispatch that may have run may be repeated
 * @param scope the backends that recognize each other's duplicates; {@code NONE} unless the effect is fingerprinted
 * @param deduplicationWindow how long duplicates are recognized, in nanoseconds; 0 unless the effect is fingerprinted
 */
public record UseCase(long goalTime, long cutOff, Effect effect, DeduplicationScope scope, long deduplicationWindow) {
    /** Which repeats of a dispatch are safe. */
    public enum Effect {
        /** Idempotent: may be repeated on any backend at any time. */
        RETRIABLE,
        /** May be repeated within the deduplication scope and window, where duplicates are discarded. */
        FINGERPRINTED,
        /** At most once: may only be repeated if no earlier dispatch ran. */
        BINDING
    }

    /** The group of backends that discard each other's duplicates. */
    public enum DeduplicationScope {
        /** Duplicates are not discarded. */
        NONE,
        /** All backends. */
        ALL,
        /** The backends of one zone. */
        ZONE,
        /** The backends of one cell. */
        CELL
    }

    /** Reads the use case whose settings start with {@code keyPrefix}, for example {@code useCases.0.}. */
    public static UseCase fromSettings(Map<String, String> settings, String keyPrefix) {
        Effect effect = Effect.valueOf(
                Settings.getString(settings, keyPrefix + "effect", "retriable", "fingerprinted", "binding")
                        .toUpperCase(Locale.ROOT));
        boolean isFingerprinted = effect == Effect.FINGERPRINTED;
        return new UseCase(
                (long) Settings.getDouble(settings, keyPrefix + "goalTime"),
                (long) Settings.getDouble(settings, keyPrefix + "cutOff"),
                effect,
                isFingerprinted
                        ? DeduplicationScope.valueOf(
                                Settings.getString(settings, keyPrefix + "scope", "all", "zone", "cell")
                                        .toUpperCase(Locale.ROOT))
                        : DeduplicationScope.NONE,
                isFingerprinted ? (long) Settings.getDouble(settings, keyPrefix + "window") : 0);
    }
}
