package ambertrestle.simhost;

import ambertrestle.decide.Answer;
import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.Chores;
import ambertrestle.decide.Outcome;
import java.util.HashMap;
import java.util.PriorityQueue;

/** One instance: its module, the associations it holds, and its timers. */
final class Instance {
    private record Waiting(long until, long order, Association association) {}

    final int number;
    final HashMap<Long, Association> held = new HashMap<>();
    Balancer balancer;
    boolean touched;
    boolean stopped;
    boolean crashed;
    private final Wire.Reply reply;
    private final PriorityQueue<Waiting> waiting = new PriorityQueue<>(
            (x, y) -> x.until != y.until ? Long.compare(x.until, y.until) : Long.compare(x.order, y.order));
    private long orders;
    /** The earliest timer that is set and has not fired, in nanoseconds. */
    private long armed = Long.MAX_VALUE;

    Instance(int number, Wire.Reply reply) {
        this.number = number;
        this.reply = reply;
    }

    void arrived(Association a, long now) {
        held.put(a.id, a);
        carryOut(a, balancer.where(a, now), now);
    }

    void settled(long id, int dispatch, Outcome outcome, boolean finished, long now) {
        Association a = held.get(id);
        if (a == null) {
            return;
        }
        carryOut(a, balancer.after(a, dispatch, outcome, finished, now), now);
        if (finished) {
            held.remove(id);
        }
    }

    void clientLeft(long id, long now) {
        Association a = held.remove(id);
        if (a != null) {
            balancer.clientLeft(a, now);
        }
    }

    void fired(long now) {
        if (armed <= now) {
            armed = Long.MAX_VALUE;
        }
    }

    private void carryOut(Association a, Answer answer, long now) {
        switch (answer.kind) {
            case SEND -> reply.handOff(number, a.id, answer.backend, answer.time / 1000);
            case WAIT -> waiting.add(new Waiting(answer.time, orders++, a));
            case SHED -> {
                reply.withId(Wire.PUSH_BACK, number, a.id, answer.time / 1000);
                held.remove(a.id);
            }
            case FORFEIT -> {
                reply.withId(Wire.SURRENDER, number, a.id);
                held.remove(a.id);
            }
            case NOTHING -> {}
        }
    }

    /** Asks again for those that waited, does the chores that are due, and sets the next timer. */
    void afterBatch(long now) {
        while (!waiting.isEmpty() && waiting.peek().until <= now) {
            Association a = waiting.poll().association;
            if (held.get(a.id) == a) {
                carryOut(a, balancer.where(a, now), now);
            }
        }
        Chores chores = balancer.howLong(now);
        switch (chores.rosterCall) {
            case WATCH -> reply.withByte(Wire.TRACK, number, 1);
            case FETCH -> reply.plain(Wire.GET_LIST, number);
            case NONE -> {}
        }
        for (int i = 0; i < chores.probes.size(); i++) {
            reply.withBackend(Wire.INSPECT, number, chores.probes.get(i));
        }
        for (int i = 0; i < chores.moves.size(); i++) {
            reply.withId(Wire.EVICT, number, chores.moves.get(i).id);
        }
        for (int i = 0; i < chores.log.size(); i++) {
            reply.text(Wire.EMIT, number, chores.log.get(i));
        }
        if (chores.message != null) {
            reply.publish(number, chores.message);
        }
        long next = waiting.isEmpty() ? chores.wakeAt : Math.min(chores.wakeAt, waiting.peek().until);
        if (next < armed) {
            armed = next;
            reply.withId(Wire.SET_TIMER, number, (next + 999) / 1000, 0);
        }
    }

    void crash(RuntimeException e) {
        crashed = true;
        StackTraceElement[] trace = e.getStackTrace();
        reply.text(Wire.CRASH, number, e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
}
