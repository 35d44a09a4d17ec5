package ambertrestle;

import ambertrestle.decide.Balancer;
import ambertrestle.decide.Kept;
import ambertrestle.decide.Listed.Stage;
import ambertrestle.relay.durable.Recovery;
import ambertrestle.relay.memory.Effect;
import ambertrestle.relay.memory.Event;
import ambertrestle.relay.memory.Reducer;
import ambertrestle.relay.memory.RunValues;
import ambertrestle.relay.wire.Address;
import ambertrestle.relay.wire.Ask;
import ambertrestle.relay.wire.FromBackend;
import ambertrestle.relay.wire.FromClient;
import ambertrestle.relay.wire.Heard;
import ambertrestle.relay.wire.Names;
import ambertrestle.relay.wire.RosterMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Events in, effects out; no socket. Sockets 1, 2 ... are clients', -1, -2 ... dialled. */
class ReducerTest {
    private static final Names NAMES = new Names(List.of("read", "mark", "pay"), List.of("x"));
    private final Scene s = new Scene();
    private boolean packetsPass = true;
    private int mostSockets = 100;
    private Reducer reducer;

    private static RosterMessage list(long index, boolean whole, String... names) {
        List<RosterMessage.Line> lines = new ArrayList<>();
        for (String name : names) {
            String[] parts = name.split("=");
            lines.add(new RosterMessage.Line(
                    parts[0],
                    parts[0] + ":80",
                    parts.length < 2 ? Stage.READY : Stage.valueOf(parts[1]),
                    "west",
                    "m2",
                    0,
                    1,
                    0));
        }
        return new RosterMessage(index, whole, lines);
    }

    private void start(String... names) {
        s.ticket.put("familyInfo.tellsDelay", "unseen");
        reducer = new Reducer(
                new RunValues(
                        s.ticket,
                        7,
                        List.of(2000 * Scene.MS, 2000 * Scene.MS, 2000 * Scene.MS),
                        List.of("west"),
                        List.of("m2"),
                        100 * Scene.MS,
                        mostSockets,
                        150 * Scene.MS,
                        packetsPass,
                        new Address("r", 1)),
                list(3, true, names),
                s.now);
        happens("start", new Event.Woke());
    }

    private void startKept(Recovery.Beginning beginning) {
        s.ticket.put("familyInfo.tellsDelay", "unseen");
        reducer = new Reducer(
                new RunValues(
                        s.ticket,
                        7,
                        List.of(2000 * Scene.MS, 2000 * Scene.MS, 2000 * Scene.MS),
                        List.of("west"),
                        List.of("m2"),
                        100 * Scene.MS,
                        mostSockets,
                        150 * Scene.MS,
                        packetsPass,
                        new Address("r", 1)),
                beginning,
                true,
                Balancer::new,
                s.now);
        happens("start", new Event.Woke());
    }

    /** An hour old: it names one that is gone and one that drains; the roster is away for 2 s. */
    @Test
    void anOldListIsServedWithCareUntilTheRosterIsHeard() throws Exception {
        Kept kept = new Kept(0, new Kept.Whole(300, 10_000 * Scene.MS, 0, 0, 0, 0), List.of(), List.of(), false);
        startKept(new Recovery.Beginning(
                Recovery.From.KEPT,
                list(3, true, "s-1", "s-2", "s-3", "s-4"),
                s.now - 3_600_000 * Scene.MS,
                true,
                true,
                kept,
                List.of()));
        wire("roster service refuses", new Heard.RosterBroke("not connected"));
        s.at(300);
        opens(1, "c=pay,d=2000,g=a1");
        wire("no connection", new Heard.Gone(-1, true));
        up(-2);
        s.at(2000);
        wire("roster: 1 gone, 2 drains", new Heard.Roster(list(9, false, "s-1=GONE", "s-2=DRAINING", "s-3")));
        happens("keep", new Event.Keep());
        opens(2, "c=pay,d=2000,g=a1");
        wake(5_001);
        s.matches("oldlist");
    }

    private void happens(String what, Event event) {
        s.say(what);
        for (Effect effect : reducer.apply(event, s.now)) {
            String text = told(effect);
            if (!text.isEmpty()) {
                s.trace.append("             ").append(text).append(System.lineSeparator());
            }
        }
    }

    private String told(Effect effect) {
        if (effect instanceof Effect.OnWire wire) {
            Ask ask = wire.ask();
            return ask instanceof Ask.Dial d
                    ? "dial " + d.socket() + " " + d.address() + " " + text(d.line())
                    : ask instanceof Ask.Write w
                            ? "write " + w.socket() + " " + text(w.line())
                            : ask instanceof Ask.Close c
                                    ? "close " + c.socket()
                                    : ask instanceof Ask.Reset r
                                            ? "reset " + r.socket()
                                            : ask instanceof Ask.Finish f
                                                    ? "finish " + f.socket()
                                                    : ask instanceof Ask.Watch w
                                                            ? "watch " + w.at() + " from " + w.index()
                                                            : "";
        }
        if (effect instanceof Effect.Keep keep) {
            return "keep " + keep.part().backends().size() + " judged, "
                    + keep.part().pins().size() + " pins";
        }
        return effect instanceof Effect.KeepRoster keep
                ? "keep roster " + keep.message().index()
                : effect instanceof Effect.Note note
                        ? "note " + note.line()
                        : effect instanceof Effect.Stop ? "stop" : "";
    }

    private static String text(byte[] raw) {
        return new String(raw, StandardCharsets.UTF_8).replace("\r\n", "");
    }

    private static byte[] raw(String line) {
        return (line + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    private void wire(String what, Heard heard) {
        happens(what, new Event.OnWire(heard));
    }

    private void client(long socket, String line) {
        wire("client " + socket + ": " + line, new Heard.ClientSaid(socket, FromClient.decode(raw(line), NAMES)));
    }

    private void backend(long socket, String line) {
        wire("backend " + socket + ": " + line, new Heard.BackendSaid(socket, FromBackend.decode(raw(line))));
    }

    private void opens(long socket, String list) {
        reducer.apply(new Event.OnWire(new Heard.Accepted(socket)), s.now);
        client(socket, "OPEN " + socket + "f 0 t=x," + list);
    }

    private void written(long socket) {
        reducer.apply(new Event.OnWire(new Heard.Connected(socket)), s.now);
        reducer.apply(new Event.OnWire(new Heard.Written(socket)), s.now);
    }

    private void up(long socket) {
        written(socket);
        backend(socket, "UP r" + -socket);
    }

    private void gone(long socket, boolean reset) {
        wire("socket " + socket + (reset ? " broke" : " closed"), new Heard.Gone(socket, reset));
    }

    private void wake(long ms) {
        s.at(ms);
        happens("time", new Event.Woke());
    }

    @Test
    void lifeOfAConnection() throws Exception {
        start("s-1");
        reducer.apply(new Event.OnWire(new Heard.Accepted(1)), s.now);
        client(1, "PING");
        opens(2, "c=read,d=2000,g=5c,z=9");
        client(2, "M 1 early");
        up(-1);
        client(2, "M 2");
        backend(-1, "LOAD 1200.5");
        backend(-1, "M 2 back");
        backend(-1, "BYE");
        wire("socket -1 ends its sending", new Heard.Ended(-1));
        gone(2, false);
        gone(-1, false);
        s.matches("life");
    }

    @Test
    void outcomesOfDispatches() throws Exception {
        start("s-1", "s-2", "s-3");
        opens(1, "c=pay,d=2000");
        gone(-1, true);
        written(-2);
        backend(-2, "BUSY");
        written(-3);
        gone(-3, true);
        opens(2, "c=read,d=2000");
        written(-4);
        wake(201);
        wake(202);
        backend(-4, "UP late");
        up(-5);
        s.matches("outcomes");
    }

    @Test
    void oneAnswerWhateverComesTogether() throws Exception {
        start("s-1");
        opens(1, "c=pay,d=120");
        written(-1);
        wake(101);
        wake(102);
        gone(-1, true);
        gone(1, false);
        opens(2, "c=read,d=2000");
        gone(2, true);
        backend(-2, "UP late");
        gone(-2, false);
        s.matches("once");
    }

    @Test
    void whatIsNoOpeningIsAnsweredAndNotSentOn() throws Exception {
        start("s-1");
        String[] bad = {
            "HELLO",
            "OPEN",
            "OPEN 1",
            "OPEN x 1 c=read",
            "OPEN 1 1 t=x,c=read,d=-5",
            "OPEN 1 1 c=read,t=y",
            "OPEN 1 1 t=x,c=other,d=9",
            "OPEN 1 1 =read",
            "OPEN 1 1 c=read,c=read",
            "OPEN 1 1 c=read,h=x",
            "OPEN 1 1 c=\ufffd",
            "OPEN 1 1 c=read,t=x,d=",
            "OPEN 1 1 c=read,t=x,d=99999999999"
        };
        for (int i = 0; i < bad.length; i++) {
            reducer.apply(new Event.OnWire(new Heard.Accepted(i + 1)), s.now);
            client(i + 1, bad[i]);
        }
        reducer.apply(new Event.OnWire(new Heard.Accepted(20)), s.now);
        wire("socket 20 sends no line", new Heard.Garbled(20));
        reducer.apply(new Event.OnWire(new Heard.Accepted(21)), s.now);
        wake(1000);
        wake(2000);
        wake(6000);
        s.matches("garbage");
    }

    @Test
    void anIdThatIsOpenAndCommandsBeforeAnAnswerAreTurnedAway() throws Exception {
        start("s-1");
        opens(1, "c=read,d=2000");
        reducer.apply(new Event.OnWire(new Heard.Accepted(2)), s.now);
        client(2, "OPEN 1f 77 c=read,t=x,d=2000");
        up(-1);
        reducer.apply(new Event.OnWire(new Heard.Accepted(3)), s.now);
        client(3, "OPEN 1f 77 c=read,t=x,d=2000,mid=1");
        gone(1, false);
        reducer.apply(new Event.OnWire(new Heard.Accepted(4)), s.now);
        client(4, "OPEN 1f 77 c=read,t=x,d=2000");
        client(4, "OPEN 5f 77 c=read,t=x,d=2000");
        opens(5, "c=read,d=2000");
        wire("socket 5 sends no line", new Heard.Garbled(5));
        wake(1000);
        s.matches("misuse");
    }

    @Test
    void thoseWhoAskAndStayOrSayNothingMakeRoom() throws Exception {
        mostSockets = 3;
        start("s-1");
        for (int i = 1; i < 5; i++) {
            wire("accepted " + i, new Heard.Accepted(i));
            client(i, "PING");
        }
        client(2, "PING");
        wake(600);
        for (int i = 1; i < 5; i++) {
            reducer.apply(new Event.OnWire(new Heard.Gone(i, false)), s.now);
        }
        opens(5, "c=read,d=2000");
        up(-1);
        gone(-1, false);
        wake(3600);
        s.matches("silence");
    }

    @Test
    void socketsRunOut() throws Exception {
        mostSockets = 3;
        start("s-1");
        opens(1, "c=read,d=2000");
        opens(2, "c=pay,d=2000");
        gone(2, false);
        opens(3, "c=read,d=2000");
        s.matches("sockets");
    }

    @Test
    void itsOwnDelayIsNotItsBackends() throws Exception {
        start("s-1", "s-2");
        opens(1, "c=read,d=2000");
        s.at(140);
        written(-1);
        wake(300);
        wake(345);
        backend(-1, "UP r1");
        opens(2, "c=read,d=2000");
        wake(496);
        wake(497);
        s.matches("delayed");
    }

    @Test
    void standingAndMidFlow() throws Exception {
        start("s-1", "s-2");
        opens(1, "c=read,d=3000,at=s-2");
        gone(-1, true);
        wake(250);
        up(-2);
        opens(2, "c=read,d=2000,mid=1,g=5c");
        opens(3, "c=read,d=2000,at=s-9");
        s.matches("standing");
    }

    /** One entry that cannot be read must not pass for a backend that is gone. */
    @Test
    void whatWasKnownOfAFaultyEntryStands() throws Exception {
        start("s-1", "s-2");
        wire(
                "whole list, s-2 faulty",
                new Heard.Roster(
                        list(4, true, "s-1=DRAINING"),
                        new TreeMap<>(
                                Map.of("s-2", "status of s-2 is not known", "s-9", "address of s-9 is missing"))));
        for (int i = 1; i < 5; i++) {
            s.at(1500);
            opens(i, "c=read,d=2000");
        }
        s.matches("faulty");
    }

    @Test
    void rosterIsWatchedAndAskedAnew() throws Exception {
        s.ticket.put("discovery", "pushed");
        start("s-1");
        wire("roster 4", new Heard.Roster(list(4, false, "s-2")));
        wire("roster 2", new Heard.Roster(list(2, false, "s-1=GONE")));
        wire("roster 2, whole", new Heard.Roster(list(2, true, "s-2")));
        wire("watch broke", new Heard.RosterBroke("silent"));
        wake(500);
        s.matches("watch");
    }

    @Test
    void aNewConfigurationMovesTheWatchOnceAndTheOldRetryIsNotAskedFor() throws Exception {
        start("s-1");
        opens(1, "c=read,d=2000");
        up(-1);
        wire("watch broke", new Heard.RosterBroke("cut off"));
        happens("read again", new Event.Reread(new Address("q", 2), 100));
        wake(500);
        happens("read again, unchanged", new Event.Reread(new Address("q", 2), 100));
        wire("roster 4", new Heard.Roster(list(4, false, "s-2")));
        wire("watch broke", new Heard.RosterBroke("ended"));
        wake(1000);
        client(1, "M 1");
        s.matches("reread");
    }

    @Test
    void hungBackendAndDeadConnection() throws Exception {
        start("s-1", "s-2");
        opens(1, "c=read,d=2000,g=1");
        up(-1);
        opens(2, "c=read,d=2000,g=1");
        up(-2);
        s.at(100);
        client(1, "M 1");
        s.at(400);
        client(2, "M 1");
        for (int ms = 500; ms <= 2000; ms += 500) {
            wake(ms);
        }
        gone(-1, false);
        s.matches("silent");
    }

    @Test
    void oneDeadConnectionBesideSoundOnes() throws Exception {
        start("s-1");
        opens(1, "c=read,d=2000");
        up(-1);
        opens(2, "c=read,d=2000");
        up(-2);
        client(1, "M 1");
        FromClient said = FromClient.decode(raw("M"), NAMES);
        FromBackend back = FromBackend.decode(raw("M"));
        for (int ms = 10; ms < 5500; ms += 10) {
            s.at(ms);
            reducer.apply(new Event.OnWire(new Heard.ClientSaid(2, said)), s.now);
            reducer.apply(new Event.OnWire(new Heard.BackendSaid(-2, back)), s.now);
        }
        wake(5500);
        s.matches("dead");
    }

    @Test
    void stopSettlesWhatWasTaken() throws Exception {
        packetsPass = false;
        start("s-1");
        opens(1, "c=read,d=2000");
        up(-1);
        happens("told to stop", new Event.ToldToStop());
        s.at(305);
        opens(2, "c=read,d=2000");
        wake(501);
        up(-2);
        wake(806);
        s.matches("stop");
    }

    @Test
    void whatIsOpenIsHandedOverUnlessAnotherRelayIsAwayToo() throws Exception {
        start("s-1");
        for (int i = 1; i < 7; i++) {
            opens(i, "c=read,d=2000");
            up(-i);
        }
        happens("told to stop", new Event.ToldToStop());
        wake(501);
        wake(564);
        wake(627);
        start("s-1");
        s.at(10_000);
        opens(1, "c=read,d=2000,again=1");
        up(-1);
        happens("told to stop", new Event.ToldToStop());
        wake(10_501);
        client(1, "M 1");
        backend(-1, "M 1");
        wake(13_200);
        wake(13_300);
        s.matches("passing");
    }
}
