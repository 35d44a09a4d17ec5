package ambertrestle.simhost;

import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.Decision;
import ambertrestle.decide.DispatchOutcome;
import ambertrestle.decide.DueActions;
import java.util.HashMap;
import java.util.PriorityQueue;

/** One instance: its module, the associations it holds, and its timers. */
final class Instance {
    private record DelayedAssociation(long until, long order, Association association) {}

    final int number;
    final HashMap<Long, Association> associations = new HashMap<>();
    Balancer balancer;
    boolean isInBatch;
    boolean stopped;
    boolean crashed;
    private final WireFormat.Reply reply;
    private final PriorityQueue<DelayedAssociation> waiting = new PriorityQueue<>(
            (x, y) -> x.until != y.until ? Long.compare(x.until, y.until) : Long.compare(x.order, y.order));
    private long nextOrder;
    /** The earliest timer that is set and has not fired, in nanoseconds. */
    private long nextTimerAt = Long.MAX_VALUE;

    Instance(int number, WireFormat.Reply reply) {
        this.number = number;
        this.reply = reply;
    }

    void onArrival(Association a, long now) {
        associations.put(a.id, a);
        execute(a, balancer.selectBackend(a, now), now);
    }

    void onAttemptFinished(long id, int dispatch, DispatchOutcome outcome, boolean finished, long now) {
        Association a = associations.get(id);
        if (a == null) {
            return;
        }
        execute(a, balancer.onDispatchFinished(a, dispatch, outcome, finished, now), now);
        if (finished) {
            associations.remove(id);
        }
    }

    void onClientLeft(long id, long now) {
        Association a = associations.remove(id);
        if (a != null) {
            balancer.onClientDisconnected(a, now);
        }
    }

    void onTimer(long now) {
        if (nextTimerAt <= now) {
            nextTimerAt = Long.MAX_VALUE;
        }
    }

    private void execute(Association a, Decision answer, long now) {
        switch (answer.kind) {
            case SEND -> reply.addDispatch(number, a.id, answer.backend, answer.time / 1000);
            case WAIT -> waiting.add(new DelayedAssociation(answer.time, nextOrder++, a));
            case SHED -> {
                reply.addRecordWithId(WireFormat.PUSH_BACK, number, a.id, answer.time / 1000);
                associations.remove(a.id);
            }
            case FORFEIT -> {
                reply.addRecordWithId(WireFormat.SURRENDER, number, a.id);
                associations.remove(a.id);
            }
            case NOTHING -> {}
        }
    }

    /** Asks again for those that waited, does the chores that are due, and sets the next timer. */
    void onBatchFinished(long now) {
        while (!waiting.isEmpty() && waiting.peek().until <= now) {
            Association a = waiting.poll().association;
            if (associations.get(a.id) == a) {
                execute(a, balancer.selectBackend(a, now), now);
            }
        }
        DueActions chores = balancer.pollDueActions(now);
        switch (chores.rosterCall) {
            case WATCH -> reply.addRecordWithByte(WireFormat.TRACK, number, 1);
            case FETCH -> reply.addRecord(WireFormat.GET_LIST, number);
            case NONE -> {}
        }
        for (int i = 0; i < chores.backendsToProbe.size(); i++) {
            reply.addRecordWithBackend(WireFormat.INSPECT, number, chores.backendsToProbe.get(i));
        }
        for (int i = 0; i < chores.connectionsToMove.size(); i++) {
            reply.addRecordWithId(WireFormat.EVICT, number, chores.connectionsToMove.get(i).id);
        }
        for (int i = 0; i < chores.logMessages.size(); i++) {
            reply.addRecordWithText(WireFormat.EMIT, number, chores.logMessages.get(i));
        }
        if (chores.peerMessage != null) {
            reply.addPublish(number, chores.peerMessage);
        }
        long next = waiting.isEmpty() ? chores.wakeAt : Math.min(chores.wakeAt, waiting.peek().until);
        if (next < nextTimerAt) {
            nextTimerAt = next;
            reply.addRecordWithId(WireFormat.SET_TIMER, number, (next + 999) / 1000, 0);
        }
    }

    void reportCrash(RuntimeException e) {
        crashed = true;
        StackTraceElement[] trace = e.getStackTrace();
        reply.addRecordWithText(WireFormat.CRASH, number, e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
}
