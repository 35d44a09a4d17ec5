package ambertrestle.decide;

import java.util.Locale;
import java.util.Map;

/** What the job ticket says of one use case. In nanoseconds; scope and window for fingerprinted ones. */
public record UseCase(long goal, long cutOff, Effect effect, Scope scope, long window) {
    public enum Effect {
        RETRIABLE,
        FINGERPRINTED,
        BINDING
    }

    /** The backends that discard each other's repeats. */
    public enum Scope {
        NONE,
        ALL,
        ZONE,
        CELL
    }

    public static UseCase read(Map<String, String> jobTicket, String of) {
        Effect effect = Effect.valueOf(JobTicket.word(jobTicket, of + "effect", "retriable", "fingerprinted", "binding")
                .toUpperCase(Locale.ROOT));
        boolean marked = effect == Effect.FINGERPRINTED;
        return new UseCase(
                (long) JobTicket.number(jobTicket, of + "goalTime"),
                (long) JobTicket.number(jobTicket, of + "cutOff"),
                effect,
                marked
                        ? Scope.valueOf(JobTicket.word(jobTicket, of + "scope", "all", "zone", "cell")
                                .toUpperCase(Locale.ROOT))
                        : Scope.NONE,
                marked ? (long) JobTicket.number(jobTicket, of + "window") : 0);
    }
}
