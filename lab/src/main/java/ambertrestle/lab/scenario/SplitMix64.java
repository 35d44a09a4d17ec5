package ambertrestle.lab.scenario;

/** Spreads numbers evenly over all 64 bits (the finaliser of SplitMix64), alike on every machine. */
public final class SplitMix64 {
    private SplitMix64() {}

    public static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
