package ambertrestle.lab.scenario;

/**
 * The finaliser of the SplitMix64 generator: a bijective 64-bit hash whose result is the same on every machine. The
 * shifts and multipliers are those of the published algorithm.
 */
public final class SplitMix64 {
    private SplitMix64() {}

    /** Hashes a value so that close inputs give results spread evenly over all 64 bits. 0 gives 0. */
    public static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
