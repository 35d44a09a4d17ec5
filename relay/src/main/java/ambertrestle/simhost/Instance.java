package ambertrestle.simhost;

import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.Decision;
import ambertrestle.decide.DispatchOutcome;
import ambertrestle.decide.DueActions;
import java.util.HashMap;
import java.util.PriorityQueue;

/**
 * One simulated relay: its balancer, its associations and its timer. Times are in nanoseconds of the simulated clock.
 */
final class Instance {
    /** An association that waits until a time; `sequence` breaks ties in the order in which the waits began. */
    private record DelayedAssociation(long resumeAt, long sequence, Association association) {}

    private static final int NANOS_PER_MICRO = 1000;

    final int number;
    /** The associations that are not over, by id. */
    final HashMap<Long, Association> associations = new HashMap<>();
    /** Null if the instance's settings were invalid; it is crashed then. */
    Balancer balancer;
    /** The batch being processed has a record for this instance. */
    boolean isInBatch;

    boolean isStopped;
    /** An exception was reported; events are ignored from then on. */
    boolean isCrashed;

    private final WireFormat.Reply reply;
    private final PriorityQueue<DelayedAssociation> delayedAssociations =
            new PriorityQueue<>((first, second) -> first.resumeAt != second.resumeAt
                    ? Long.compare(first.resumeAt, second.resumeAt)
                    : Long.compare(first.sequence, second.sequence));
    private long nextSequence;
    /** The earliest timer that is set and has not fired; Long.MAX_VALUE if there is none. */
    private long nextTimerAt = Long.MAX_VALUE;

    Instance(int number, WireFormat.Reply reply) {
        this.number = number;
        this.reply = reply;
    }

    /** A client requests an association. */
    void onArrival(Association association, long now) {
        associations.put(association.id, association);
        execute(association, balancer.selectBackend(association, now), now);
    }

    /**
     * A dispatch ended.
     *
     * @param dispatch index of the dispatch among those of the association, from 0
     * @param isFinished whether the association is over; if not, the balancer selects what to do next
     */
    void onDispatchFinished(long id, int dispatch, DispatchOutcome outcome, boolean isFinished, long now) {
        Association association = associations.get(id);
        if (association == null) {
            return;
        }
        execute(association, balancer.onDispatchFinished(association, dispatch, outcome, isFinished, now), now);
        if (isFinished) {
            associations.remove(id);
        }
    }

    /** The client is gone. */
    void onClientLeft(long id, long now) {
        Association association = associations.remove(id);
        if (association != null) {
            balancer.onClientDisconnected(association, now);
        }
    }

    /** The timer fired. {@link #onBatchFinished} then executes what is due. */
    void onTimer(long now) {
        if (nextTimerAt <= now) {
            nextTimerAt = Long.MAX_VALUE;
        }
    }

    /** Writes the balancer's decision to the reply, or lets the association wait. */
    private void execute(Association association, Decision decision, long now) {
        switch (decision.kind) {
            case SEND -> reply.addDispatch(number, association.id, decision.backend, decision.time / NANOS_PER_MICRO);
                // The simulator's roster counts as known when it is delivered, so no decision awaits it.
            case WAIT, AWAIT_ROSTER -> delayedAssociations.add(
                    new DelayedAssociation(decision.time, nextSequence++, association));
            case SHED -> {
                reply.addRecordWithLongAndInt(
                        WireFormat.PUSH_BACK, number, association.id, decision.time / NANOS_PER_MICRO);
                associations.remove(association.id);
            }
            case FORFEIT -> {
                reply.addRecordWithLong(WireFormat.SURRENDER, number, association.id);
                associations.remove(association.id);
            }
            case NOTHING -> {}
        }
    }

    /** Decides on associations whose wait is over, executes the balancer's due actions and sets the next timer. */
    void onBatchFinished(long now) {
        while (!delayedAssociations.isEmpty() && delayedAssociations.peek().resumeAt <= now) {
            Association association = delayedAssociations.poll().association;
            if (associations.get(association.id) == association) {
                execute(association, balancer.selectBackend(association, now), now);
            }
        }
        DueActions dueActions = balancer.pollDueActions(now);
        switch (dueActions.rosterCall) {
            case WATCH -> reply.addRecordWithByte(WireFormat.TRACK, number, 1);
            case FETCH -> reply.addRecord(WireFormat.GET_LIST, number);
            case NONE -> {}
        }
        for (int i = 0; i < dueActions.backendsToProbe.size(); i++) {
            reply.addRecordWithBackendId(WireFormat.INSPECT, number, dueActions.backendsToProbe.get(i));
        }
        for (int i = 0; i < dueActions.connectionsToMove.size(); i++) {
            reply.addRecordWithLong(WireFormat.EVICT, number, dueActions.connectionsToMove.get(i).id);
        }
        for (int i = 0; i < dueActions.logMessages.size(); i++) {
            reply.addRecordWithText(WireFormat.EMIT, number, dueActions.logMessages.get(i));
        }
        if (dueActions.peerMessage != null) {
            reply.addPeerMessage(number, dueActions.peerMessage);
        }
        long wakeAt = delayedAssociations.isEmpty()
                ? dueActions.wakeAt
                : Math.min(dueActions.wakeAt, delayedAssociations.peek().resumeAt);
        if (wakeAt < nextTimerAt) {
            nextTimerAt = wakeAt;
            // Rounded up to microseconds.
            reply.addRecordWithLongAndInt(
                    WireFormat.SET_TIMER, number, (wakeAt + (NANOS_PER_MICRO - 1)) / NANOS_PER_MICRO, 0);
        }
    }

    /** Reports the exception, with its first stack frame, to the simulator. From then on, events are ignored. */
    void reportCrash(RuntimeException failure) {
        isCrashed = true;
        StackTraceElement[] stackTrace = failure.getStackTrace();
        reply.addRecordWithText(
                WireFormat.CRASH, number, failure + (stackTrace.length > 0 ? " at " + stackTrace[0] : ""));
    }
}
