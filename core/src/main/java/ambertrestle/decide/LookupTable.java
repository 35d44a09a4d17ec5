package ambertrestle.decide;

import java.util.Arrays;
import java.util.Collection;

/**
 * The Maglev lookup table (Eisenbud et al., NSDI 2016), extended by weights, and the walk that gives a key's preference
 * order. Its content depends only on the ids and weights of its members, so that all relays build it identically.
 *
 * <p>{@link #startWalk} begins a preference order, {@link #preferred} goes on with it; one walk exists at a time. Not
 * thread-safe.
 */
final class LookupTable {
    /**
     * Number of slots. It is prime, so that every skip reaches all slots. Weighted turns keep each backend's share
     * exact to one slot.
     */
    private static final int SIZE = 4093;

    /** The backends that have slots, sorted by unsigned id. */
    private Backend[] members = new Backend[0];
    /** The backend of each slot; empty if there are no members. */
    private Backend[] slots = new Backend[0];
    /** Distinct backends in the order in which the current walk reached them. */
    private Backend[] preferenceOrder = new Backend[0];
    /** Number of backends that the current walk has put into {@link #preferenceOrder}. */
    private int preferenceCount;
    /** Slot at which the current walk goes on, not reduced modulo the table's size. */
    private int nextSlot;
    /** Number of the current walk; backends with an equal mark were reached by it. */
    private int walkMark;

    /** Returns the members, sorted by unsigned id; the array must not be changed. */
    Backend[] members() {
        return members;
    }

    /** Returns a value that identifies the table's layout; learned pins are only valid with an equal one. */
    static long format(boolean usesRosterWeights) {
        return Backend.mix64(SIZE * 2 + (usesRosterWeights ? 1 : 0));
    }

    /**
     * Fills the table. The members take turns in the order of their ids, a member of lower weight fewer of them. In its
     * turn a member takes the next free slot of its own sequence, which starts at its own offset and advances by its
     * own skip. Ends the current walk.
     */
    void rebuild(Collection<Backend> newMembers) {
        members = newMembers.toArray(Backend[]::new);
        Arrays.sort(members, (x, y) -> Long.compareUnsigned(x.id, y.id));
        preferenceOrder = new Backend[members.length];
        preferenceCount = 0;
        slots = new Backend[members.length == 0 ? 0 : SIZE];
        int[] nextFreeSlot = new int[members.length];
        double[] credit = new double[members.length];
        double maxWeight = Arrays.stream(members)
                .mapToDouble(member -> member.weight)
                .max()
                .orElse(0);
        for (int i = 0; i < members.length; i++) {
            nextFreeSlot[i] = (int) Long.remainderUnsigned(members[i].hash, SIZE);
        }
        for (int filled = 0, i = 0; members.length > 0 && filled < SIZE; i = (i + 1) % members.length) {
            credit[i] += members[i].weight / maxWeight;
            if (credit[i] < 1) {
                continue;
            }
            credit[i]--;
            int skip = (int) Long.remainderUnsigned(Backend.mix64(members[i].hash), SIZE - 1) + 1;
            while (slots[nextFreeSlot[i]] != null) {
                nextFreeSlot[i] = (nextFreeSlot[i] + skip) % SIZE;
            }
            slots[nextFreeSlot[i]] = members[i];
            filled++;
        }
    }

    /** Starts a walk of the table at the slot of the key. */
    void startWalk(long key) {
        nextSlot = (int) Long.remainderUnsigned(Backend.mix64(key), SIZE);
        preferenceCount = 0;
        walkMark++;
    }

    /**
     * Returns the backend at this rank of the preference order that {@link #startWalk} began, walking the table as far
     * as needed; null if the order is shorter.
     */
    Backend preferred(int rank) {
        for (int end = nextSlot + SIZE; preferenceCount <= rank && nextSlot < end && slots.length > 0; nextSlot++) {
            Backend backend = slots[nextSlot % SIZE];
            if (backend.walkMark != walkMark) {
                backend.walkMark = walkMark;
                preferenceOrder[preferenceCount++] = backend;
            }
        }
        return rank < preferenceCount ? preferenceOrder[rank] : null;
    }
}
