package ambertrestle.lab.world;

import ambertrestle.lab.scenario.Scenario;

/**
 * What one client wants: to be up for a time. It comes back, by its scenario's patience, over as many connections as it
 * takes.
 */
final class Visit {
    private static final long MS = 1_000_000L;
    private static final int MOST_REFUSALS = 50;

    final World world;
    final Scenario.Work work;
    final long client;
    final long group;
    private final long wantedAt;
    private final long life;
    /** When it is served to its end; 0 until it was up once. */
    private long endsAt;

    private int tries;
    private int refusals;
    private boolean credited;

    Visit(World world, Scenario.Work work, long client, long group, long life) {
        this.world = world;
        this.work = work;
        this.client = client;
        this.group = group;
        this.life = life;
        this.wantedAt = world.now();
    }

    void begin() {
        Meter meter = world.meter;
        meter.add(Meter.Series.OFFERED, work.benefit(), wantedAt);
        for (long due = wantedAt + work.every(); due < wantedAt + life; due += work.every()) {
            meter.add(Meter.Series.OFFERED, work.lineBenefit(), due);
        }
        connect(false);
    }

    private void connect(boolean returning) {
        if (endsAt != 0 && world.now() >= endsAt) {
            return;
        }
        world.meter.add(returning ? Meter.Series.RETURNS : Meter.Series.OPENS, 1, world.now());
        new ClientLink(this, returning, tries > 0).connect();
    }

    /** How long its backend has still to serve it. */
    long left() {
        return endsAt == 0 ? life : Math.max(MS, endsAt - world.now());
    }

    void cameUp() {
        world.meter.add(Meter.Series.UP, 1, world.now());
        if (!credited) {
            credited = true;
            endsAt = world.now() + life;
            long took = world.now() - wantedAt;
            world.meter.took(world.meter.opening, took, world.now());
            double share = took <= work.goal()
                    ? 1
                    : Math.max(0, 1 - (double) (took - work.goal()) / (work.cutOff() - work.goal()));
            world.meter.add(Meter.Series.BENEFIT, share * work.benefit(), world.now());
        }
        tries = 0;
    }

    /** Its relay could not be reached: the client tries the front again at once. */
    void refused() {
        world.meter.add(Meter.Series.REFUSED, 1, world.now());
        if (refusals++ < MOST_REFUSALS) {
            world.clock.after(50 * MS + world.chance.nextLong(50 * MS), () -> connect(endsAt != 0));
        }
    }

    void shed(long backIn) {
        again(backIn);
    }

    /** Failed, or heard nothing: what may have run is asked for again only where that does no harm. */
    void failed() {
        if (work.effect() != Scenario.Effect.BINDING) {
            again(0);
        }
    }

    private void again(long least) {
        Scenario.Clients how = world.scenario.clients();
        if (tries < how.retries()) {
            long wait = Math.max(1, how.backOff() << Math.min(tries, 6));
            tries++;
            world.clock.after(Math.max(least, wait / 2) + world.chance.nextLong(wait), () -> connect(endsAt != 0));
        }
    }

    /** Its connection broke, or it was sent away. */
    void cutShort() {
        if (world.scenario.clients().returns()) {
            world.clock.after(
                    world.chance.nextLong(Math.max(1, world.scenario.clients().returnWithin())), () -> connect(true));
        }
    }
}
