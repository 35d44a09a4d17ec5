package ambertrestle.lab.world;

import ambertrestle.decide.Listed;
import ambertrestle.relay.memory.Effect;
import ambertrestle.relay.memory.Event;
import ambertrestle.relay.wire.Ask;
import ambertrestle.relay.wire.FromBackend;
import ambertrestle.relay.wire.FromClient;
import ambertrestle.relay.wire.Heard;
import ambertrestle.relay.wire.RosterMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One relay: the real reducer with its decisions, and what life and sockets do for it, in virtual time. */
final class RelayNode {
    private static final long MS = 1_000_000L;

    final World world;
    final int number;
    final String name;
    /** Counts its starts; what was meant for an earlier one finds nobody. */
    int life;
    boolean up;
    /** Told to stop; ends by itself or is killed. */
    private boolean stopping;
    private World.Program program;
    private long wakes;
    private long accepted;
    private final Map<Long, ClientEnd> clients = new LinkedHashMap<>();
    private final Map<Long, BackLink> backs = new LinkedHashMap<>();
    /** The roster as it last heard it, and when it heard of each that it drains or is gone. */
    private final TreeMap<String, RosterMessage.Line> heard = new TreeMap<>();
    private final TreeMap<String, Long> drainHeardAt = new TreeMap<>();
    private long heardIndex;
    private long watch;

    RelayNode(World world, int number) {
        this.world = world;
        this.number = number;
        this.name = "relay-" + number;
    }

    /** Starts, or starts again, with the roster as it last had it. */
    void start(RosterMessage known) {
        life++;
        up = true;
        stopping = false;
        accepted = 0;
        take(known);
        program = world.program(new RosterMessage(heardIndex, true, List.copyOf(heard.values())));
        apply(new Event.Woke());
    }

    private void take(RosterMessage message) {
        if (message == null) {
            return;
        }
        if (message.whole()) {
            heard.keySet().removeIf(n -> message.lines().stream().noneMatch(l -> l.name().equals(n)));
        }
        heardIndex = message.index();
        for (RosterMessage.Line line : message.lines()) {
            if (line.stage() == Listed.Stage.READY) {
                drainHeardAt.remove(line.name());
            } else {
                drainHeardAt.putIfAbsent(line.name(), world.now());
            }
            if (line.stage() == Listed.Stage.GONE) {
                heard.remove(line.name());
            } else {
                heard.put(line.name(), line);
            }
        }
    }

    /** A kill: what it held is reset, and it answers nothing until it starts again. */
    void kill() {
        up = false;
        life++;
        watch++;
        world.roster.unwatch(this);
        List<ClientEnd> left = new ArrayList<>(clients.values());
        List<BackLink> right = new ArrayList<>(backs.values());
        clients.clear();
        backs.clear();
        left.forEach(l -> world.agenda.after(l.way, () -> l.relayDied()));
        right.forEach(l -> l.relayDied());
    }

    void tellToStop() {
        if (up && !stopping) {
            stopping = true;
            int mine = life;
            world.agenda.after(4_000 * MS, () -> endNow(mine));
            apply(new Event.ToldToStop());
        }
    }

    /** The platform's kill, or its own end: what is still open is cut off. */
    private void endNow(int mine) {
        if (up && life == mine) {
            clients.values().forEach(ClientEnd::relayEndsProcess);
            kill();
        }
    }

    // ---- what happens to it

    /** A client's connection arrives; false where nobody listens. */
    boolean accept(ClientEnd link) {
        if (!up) {
            return false;
        }
        link.socket = ++accepted;
        link.relayLife = life;
        clients.put(link.socket, link);
        tell(new Heard.Accepted(link.socket));
        return true;
    }

    private boolean holds(ClientEnd link) {
        return up && link.relayLife == life && clients.get(link.socket) == link;
    }

    void clientSaid(ClientEnd link, FromClient line) {
        if (holds(link)) {
            tell(new Heard.ClientSaid(link.socket, line));
        }
    }

    void clientGarbled(ClientEnd link) {
        if (holds(link)) {
            tell(new Heard.Garbled(link.socket));
        }
    }

    void clientEnded(ClientEnd link) {
        if (holds(link)) {
            tell(new Heard.Ended(link.socket));
        }
    }

    private boolean holds(BackLink link) {
        return up && link.relayLife == life && backs.get(link.socket) == link;
    }

    void connected(BackLink link) {
        if (holds(link)) {
            world.judge.sent(link.backend.name, drainHeardAt.getOrDefault(link.backend.name, -1L), world.now());
            tell(new Heard.Connected(link.socket));
            if (holds(link)) {
                tell(new Heard.Written(link.socket));
            }
        }
    }

    void backendSaid(BackLink link, FromBackend line) {
        if (holds(link)) {
            tell(new Heard.BackendSaid(link.socket, line));
        }
    }

    void backendEnded(BackLink link) {
        if (holds(link)) {
            tell(new Heard.Ended(link.socket));
        }
    }

    void backendGone(BackLink link, boolean reset) {
        if (holds(link)) {
            backs.remove(link.socket);
            tell(new Heard.Gone(link.socket, reset));
        }
    }

    void rosterSaid(long mine, RosterMessage message) {
        if (up && mine == watch) {
            take(message);
            tell(new Heard.Roster(message));
        }
    }

    void rosterBroke(long mine, String why) {
        if (up && mine == watch) {
            watch++;
            tell(new Heard.RosterBroke(why));
        }
    }

    private void tell(Heard heard) {
        apply(new Event.OnWire(heard));
    }

    private void apply(Event event) {
        for (Effect effect : program.apply(event, world.now())) {
            carryOut(effect);
        }
    }

    // ---- what it asks for

    private void carryOut(Effect effect) {
        if (effect instanceof Effect.OnWire wire) {
            carryOut(wire.ask());
        } else if (effect instanceof Effect.WakeAt wake) {
            long mine = ++wakes;
            // As the daemon's timer: whole milliseconds, rounded up, one at least.
            long delay = Math.max(1, (Math.min(wake.time(), Long.MAX_VALUE / 2) - world.now() + MS - 1) / MS) * MS;
            world.agenda.after(delay, () -> {
                if (up && mine == wakes) {
                    apply(new Event.Woke());
                }
            });
        } else if (effect instanceof Effect.Stop) {
            int mine = life;
            world.agenda.after(200 * MS, () -> endNow(mine));
        }
    }

    private void carryOut(Ask ask) {
        if (ask instanceof Ask.Dial dial) {
            BackLink link = new BackLink(this, dial.socket(), dial.line());
            backs.put(dial.socket(), link);
            link.dial(dial.address());
        } else if (ask instanceof Ask.Write write) {
            if (write.socket() > 0) {
                ClientEnd link = clients.get(write.socket());
                if (link != null) {
                    world.agenda.after(link.way, () -> link.said(write.line()));
                }
            } else {
                BackLink link = backs.get(write.socket());
                if (link != null) {
                    link.write();
                }
            }
        } else if (ask instanceof Ask.Finish finish) {
            if (finish.socket() > 0) {
                ClientEnd link = clients.get(finish.socket());
                if (link != null) {
                    world.agenda.after(link.way, () -> link.ended(false));
                }
            } else {
                BackLink link = backs.get(finish.socket());
                if (link != null) {
                    link.finish();
                }
            }
        } else if (ask instanceof Ask.Close close) {
            drop(close.socket(), false);
        } else if (ask instanceof Ask.Reset reset) {
            drop(reset.socket(), true);
        } else if (ask instanceof Ask.Watch from) {
            world.roster.watch(this, ++watch, from.index());
        }
    }

    private void drop(long socket, boolean reset) {
        int mine = life;
        if (socket > 0) {
            ClientEnd link = clients.remove(socket);
            if (link != null) {
                world.agenda.after(link.way, () -> link.ended(reset));
                world.agenda.after(0, () -> gone(mine, socket));
            }
        } else {
            BackLink link = backs.get(socket);
            if (link != null && link.dropped(reset)) {
                backs.remove(socket);
                world.agenda.after(0, () -> gone(mine, socket));
            }
        }
    }

    private void gone(int mine, long socket) {
        if (up && life == mine) {
            tell(new Heard.Gone(socket, false));
        }
    }
}
