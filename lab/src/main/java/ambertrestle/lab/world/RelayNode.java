package ambertrestle.lab.world;

import ambertrestle.relay.durable.Hand;
import ambertrestle.relay.durable.Mirror;
import ambertrestle.relay.durable.Recovery;
import ambertrestle.relay.durable.Recovery.Beginning;
import ambertrestle.relay.durable.StateFile;
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

/** One relay: the real reducer with its decisions, and what life and sockets do for it, in virtual time. */
final class RelayNode extends RelayEnd {
    private static final long MS = 1_000_000L;
    /** A longer line is none. */
    private static final int LONGEST = 4096;

    private static final String ROSTER_AT = "roster:1";
    /** A list heard no longer ago stands as it is; the daemon's default. */
    private static final long SURE = 2_000 * MS;

    private static final FromClient LINE = new FromClient.Text(ClientLink.LINE);

    private final Model model;
    /** Counts its starts; what was meant for an earlier one finds nobody. */
    int life;
    /** Told to stop; ends by itself or is killed. */
    private boolean stopping;

    private Model.Program program;
    private long wakes;
    private long accepted;
    private final Map<Long, ClientEnd> clients = new LinkedHashMap<>();
    private final Map<Long, ModelBackLink> backs = new LinkedHashMap<>();
    private final HeardRoster roster = new HeardRoster();
    private long watch;
    private Watch watching;
    /** Its folder: what it kept, taken whole at an instant; null before it kept anything. */
    private byte[] file;

    private Mirror mirror;
    private Hand hand;
    private long listHeardAt;
    private boolean heardOnce;

    RelayNode(Model model, int number) {
        super(model, number);
        this.model = model;
    }

    Model model() {
        return model;
    }

    @Override
    protected void start(Runnable ready) {
        life++;
        up = true;
        stopping = false;
        accepted = 0;
        heardOnce = false;
        if (roster.isEmpty()) {
            roster.take(world.roster.whole(), world.now());
        }
        program = model.program(beginning());
        if (life > 1) {
            starts();
        }
        apply(new Event.Woke());
        if (world.scenario.relays().kept()) {
            keep(life);
        }
        ready.run();
    }

    private Beginning beginning() {
        RosterMessage known = listed(life, roster);
        if (!world.scenario.relays().kept()) {
            return Beginning.known(known);
        }
        try {
            Beginning beginning =
                    Recovery.begin(known, file == null ? null : StateFile.decode(file), ROSTER_AT, SURE, world.now());
            mirror = new Mirror(name);
            mirror.begin(ROSTER_AT, beginning.heardAt(), beginning.list());
            hand = new Hand();
            listHeardAt = beginning.heardAt();
            return beginning;
        } catch (StateFile.Refused e) {
            throw new IllegalStateException(e);
        }
    }

    /** As the daemon's: twice an interval, in parts, each with the time between that the loop gets. */
    private void keep(int mine) {
        if (up && life == mine) {
            apply(new Event.Keep());
            world.clock.after(world.scenario.relays().interval() / 2, () -> keep(mine));
        }
    }

    private void kept(Effect.Keep keep) {
        hand.take(keep.part());
        int mine = life;
        if (keep.part().more()) {
            world.clock.after(MS, () -> {
                if (up && life == mine) {
                    apply(new Event.Keep());
                }
            });
            return;
        }
        // An empty line that says that the list stands comes every 2 s; the model leaves it out.
        listHeardAt = watching != null && heardOnce && world.roster.down() == null ? world.now() : listHeardAt;
        hand.into(mirror);
        hand = new Hand();
        mirror.heard(ROSTER_AT, listHeardAt);
        file = StateFile.encode(mirror.picture(world.now()));
    }

    long drainTold(String backend) {
        return roster.drainTold(backend);
    }

    @Override
    protected void kill() {
        up = false;
        life++;
        watch++;
        unwatch();
        List<ClientEnd> left = new ArrayList<>(clients.values());
        List<ModelBackLink> right = new ArrayList<>(backs.values());
        clients.clear();
        backs.clear();
        left.forEach(l -> world.clock.after(l.way, () -> l.relayDied()));
        right.forEach(l -> l.relayDied());
    }

    @Override
    protected void tellToStop() {
        if (up && !stopping) {
            stopping = true;
            int mine = life;
            world.clock.after(4_000 * MS, () -> endNow(mine));
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

    @Override
    protected void connect(ClientEnd link) {
        link.way = model.clientWay(number, link.key());
        world.clock.after(link.way, () -> {
            boolean taken = up;
            if (taken) {
                link.socket = ++accepted;
                link.relayLife = life;
                clients.put(link.socket, link);
                tell(new Heard.Accepted(link.socket));
            }
            world.clock.after(link.way, taken ? link::accepted : link::refused);
        });
    }

    @Override
    protected void send(ClientEnd link, byte[] raw) {
        FromClient line = raw == ClientLink.LINE ? LINE : raw.length > LONGEST ? null : model.decode(raw);
        world.clock.after(link.way, () -> {
            if (holds(link)) {
                tell(line == null ? new Heard.Garbled(link.socket) : new Heard.ClientSaid(link.socket, line));
            }
        });
    }

    @Override
    protected void end(ClientEnd link) {
        world.clock.after(link.way, () -> {
            if (holds(link)) {
                tell(new Heard.Ended(link.socket));
            }
        });
    }

    private boolean holds(ClientEnd link) {
        return up && link.relayLife == life && clients.get(link.socket) == link;
    }

    private boolean holds(ModelBackLink link) {
        return up && link.relayLife == life && backs.get(link.socket) == link;
    }

    void connected(ModelBackLink link) {
        if (holds(link)) {
            world.sent(this, link.there());
            tell(new Heard.Connected(link.socket));
            if (holds(link)) {
                tell(new Heard.Written(link.socket));
            }
        }
    }

    void backendSaid(ModelBackLink link, FromBackend line) {
        if (holds(link)) {
            tell(new Heard.BackendSaid(link.socket, line));
        }
    }

    void backendEnded(ModelBackLink link) {
        if (holds(link)) {
            tell(new Heard.Ended(link.socket));
        }
    }

    void backendGone(ModelBackLink link, boolean reset) {
        if (holds(link)) {
            backs.remove(link.socket);
            tell(new Heard.Gone(link.socket, reset));
        }
    }

    /** One watch on the roster: what it is told takes the way to here, and is nothing to a later watch. */
    private final class Watch implements RosterNode.Watcher {
        private final long mine = ++watch;

        private void later(Runnable thing) {
            world.clock.after(model.rosterWay(number), () -> {
                if (up && mine == watch) {
                    thing.run();
                }
            });
        }

        void ask(long from) {
            world.clock.after(2 * model.rosterWay(number), () -> {
                if (up && mine == watch && !world.roster.watch(this, from)) {
                    broke("not connected");
                }
            });
        }

        @Override
        public void told(RosterMessage message) {
            later(() -> {
                roster.take(message, world.now());
                tell(new Heard.Roster(message));
            });
        }

        @Override
        public void cutOff() {
            broke("cut off");
        }

        private void broke(String why) {
            later(() -> {
                watch++;
                tell(new Heard.RosterBroke(why));
            });
        }
    }

    private void unwatch() {
        if (watching != null) {
            world.roster.unwatch(watching);
            watching = null;
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
            world.clock.after(delay, () -> {
                if (up && mine == wakes) {
                    apply(new Event.Woke());
                }
            });
        } else if (effect instanceof Effect.Keep keep) {
            kept(keep);
        } else if (effect instanceof Effect.KeepRoster keep) {
            heardOnce = true;
            hand.take(keep.message());
        } else if (effect instanceof Effect.Stop) {
            int mine = life;
            if (world.scenario.relays().kept()) {
                apply(new Event.Keep());
            }
            world.clock.after(200 * MS, () -> endNow(mine));
        }
    }

    private void carryOut(Ask ask) {
        if (ask instanceof Ask.Dial dial) {
            ModelBackLink link = new ModelBackLink(this, dial.socket(), dial.line());
            backs.put(dial.socket(), link);
            link.dial(dial.address());
        } else if (ask instanceof Ask.Write write) {
            if (write.socket() > 0) {
                ClientEnd link = clients.get(write.socket());
                if (link != null) {
                    world.clock.after(link.way, () -> link.said(write.line()));
                }
            } else {
                ModelBackLink link = backs.get(write.socket());
                if (link != null) {
                    link.write();
                }
            }
        } else if (ask instanceof Ask.Finish finish) {
            if (finish.socket() > 0) {
                ClientEnd link = clients.get(finish.socket());
                if (link != null) {
                    world.clock.after(link.way, () -> link.ended(false));
                }
            } else {
                ModelBackLink link = backs.get(finish.socket());
                if (link != null) {
                    link.finish();
                }
            }
        } else if (ask instanceof Ask.Close close) {
            drop(close.socket(), false);
        } else if (ask instanceof Ask.Reset reset) {
            drop(reset.socket(), true);
        } else if (ask instanceof Ask.Watch from) {
            unwatch();
            watching = new Watch();
            watching.ask(from.index());
        }
    }

    private void drop(long socket, boolean reset) {
        int mine = life;
        if (socket > 0) {
            ClientEnd link = clients.remove(socket);
            if (link != null) {
                world.clock.after(link.way, () -> link.ended(reset));
                world.clock.after(0, () -> gone(mine, socket));
            }
        } else {
            ModelBackLink link = backs.get(socket);
            if (link != null && link.dropped(reset)) {
                backs.remove(socket);
                world.clock.after(0, () -> gone(mine, socket));
            }
        }
    }

    private void gone(int mine, long socket) {
        if (up && life == mine) {
            tell(new Heard.Gone(socket, false));
        }
    }
}
