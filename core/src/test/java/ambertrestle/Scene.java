package ambertrestle;

import static org.assertj.core.api.Assertions.assertThat;

import ambertrestle.decide.Answer;
import ambertrestle.decide.Association;
import ambertrestle.decide.Balancer;
import ambertrestle.decide.Chores;
import ambertrestle.decide.Listed;
import ambertrestle.decide.Outcome;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One balancer with a clock in milliseconds that writes down what it is told and what it answers. */
final class Scene {
    static final long MS = 1_000_000L;
    final Map<String, String> ticket = new HashMap<>();
    final Map<String, Association> held = new HashMap<>();
    final StringBuilder trace = new StringBuilder();
    long now = 1_000_000 * MS;
    private final long start = now;
    private Balancer balancer;
    private long ids;

    Scene() {
        String lines = "discovery=pushed weights=nominal relays=1 useCases.count=3 limits.dispatches=4 "
                + "limits.secondCopies=false limits.retryAfter=true limits.maxRetryAfter=1500000000 "
                + "rules.drainGrace=1000000000 rules.coldFrom=0.2 rules.cold=10000000000 "
                + "rules.fallMultiple=3 rules.fall=3000000000 familyInfo.messageAim=100000000 ";
        String[] effects = {"retriable", "fingerprinted", "binding"};
        for (int u = 0; u < 3; u++) {
            lines += "useCases.U.goalTime=400000000 useCases.U.cutOff=2000000000 useCases.U.scope=zone "
                            .replace("U", "" + u)
                    + "useCases." + u + ".window=500000000 useCases." + u + ".effect="
                    + effects[u] + " ";
        }
        for (String line : lines.split(" ")) {
            ticket.put(line.substring(0, line.indexOf('=')), line.substring(line.indexOf('=') + 1));
        }
    }

    Balancer balancer() {
        if (balancer == null) {
            balancer = new Balancer(ticket, 7, now);
        }
        return balancer;
    }

    Scene at(long ms) {
        now = start + ms * MS;
        return this;
    }

    void say(String text) {
        trace.append(String.format("%5d ms  %s%n", (now - start) / MS, text));
    }

    /** Backends as "1 2 3*2@5000=draining": id, weight, start in ms, stage; zone is the id's parity. */
    Scene roster(String lines) {
        say("roster " + lines);
        List<Listed> list = new ArrayList<>();
        for (String line : lines.split(" ")) {
            String[] stage = line.split("=");
            String[] begun = stage[0].split("@");
            String[] size = begun[0].split("\\*");
            int id = Integer.parseInt(size[0]);
            list.add(new Listed(
                    id,
                    Listed.Stage.valueOf(stage.length > 1 ? stage[1].toUpperCase() : "READY"),
                    begun.length > 1 ? start + Long.parseLong(begun[1]) * MS : 0,
                    0,
                    size.length > 1 ? Double.parseDouble(size[1]) : 1,
                    id % 2,
                    0));
        }
        balancer().roster(list, true, false, now);
        return this;
    }

    /** Asks where for a new association of the group. */
    Answer ask(String name, long group, int useCase, boolean midFlow) {
        long client = group == 0 ? 0 : 1001 + ids;
        held.put(name, new Association(++ids, useCase, 0, client, group, now + 2000 * MS, 0, midFlow, false));
        return ask(name);
    }

    Answer ask(String name, long group) {
        return ask(name, group, 0, false);
    }

    Answer ask(String name) {
        return written(name, balancer().where(held.get(name), now));
    }

    /** Asks where and lets the connection stand at once. */
    Answer open(String name, long group) {
        Answer answer = ask(name, group);
        if (answer.kind == Answer.Kind.SEND) {
            stands(name);
        }
        return answer;
    }

    void stands(String name) {
        balancer().established(held.get(name), held.get(name).dispatches - 1, 10 * MS, now);
    }

    Answer after(String name, Outcome outcome, boolean finished) {
        Association a = held.get(name);
        say(name + " on " + a.sentTo[a.dispatches - 1] + " " + outcome + (finished ? ", finished" : ""));
        return written(name, balancer().after(a, a.dispatches - 1, outcome, finished, now));
    }

    Chores chores() {
        Chores chores = balancer().howLong(now);
        StringBuilder text = new StringBuilder("chores:");
        chores.moves.forEach(a -> held.forEach((n, x) -> text.append(x == a ? " move " + n : "")));
        text.append(chores.rosterCall == Chores.RosterCall.NONE ? "" : " " + chores.rosterCall);
        chores.log.forEach(line -> text.append(" log '").append(line).append("'"));
        text.append(chores.probes.isEmpty() ? "" : " probe " + chores.probes);
        say(text.toString());
        return chores;
    }

    private Answer written(String name, Answer answer) {
        say(name + ": " + answer.kind
                + switch (answer.kind) {
                    case SEND -> " to " + answer.backend + " within " + answer.time / MS + " ms";
                    case WAIT -> " until " + (answer.time - start) / MS + " ms";
                    case SHED -> ", back in " + answer.time / MS + " ms";
                    default -> "";
                });
        return answer;
    }

    void matches(String name) throws IOException {
        Path out = Path.of("target", "traces", name + ".txt");
        Files.createDirectories(out.getParent());
        Files.writeString(out, trace);
        try (InputStream kept = Scene.class.getResourceAsStream("/traces/" + name + ".txt")) {
            assertThat(kept).as("the kept trace " + name).isNotNull();
            assertThat(trace.toString()).isEqualTo(new String(kept.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
