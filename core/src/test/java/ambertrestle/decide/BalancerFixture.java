package ambertrestle.decide;

import static org.assertj.core.api.Assertions.assertThat;

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
public final class BalancerFixture {
    public static final long MILLISECOND = 1_000_000L;
    public final Map<String, String> settings = new HashMap<>();
    public final Map<String, Association> associations = new HashMap<>();
    public final StringBuilder trace = new StringBuilder();
    public long now = 1_000_000 * MILLISECOND;
    private final long start = now;
    private Balancer balancer;
    private long lastId;

    public BalancerFixture() {
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
            settings.put(line.substring(0, line.indexOf('=')), line.substring(line.indexOf('=') + 1));
        }
    }

    public Balancer balancer() {
        if (balancer == null) {
            balancer = new Balancer(settings, 7, now);
        }
        return balancer;
    }

    public BalancerFixture atMillis(long ms) {
        now = start + ms * MILLISECOND;
        return this;
    }

    public void appendToTrace(String text) {
        trace.append(String.format("%5d ms  %s%n", (now - start) / MILLISECOND, text));
    }

    /** Backends as "1 2 3*2@5000=draining": id, weight, start in ms, stage; zone is the id's parity. */
    public BalancerFixture updateRoster(String lines) {
        appendToTrace("roster " + lines);
        List<RosterEntry> list = new ArrayList<>();
        for (String line : lines.split(" ")) {
            String[] stage = line.split("=");
            String[] begun = stage[0].split("@");
            String[] size = begun[0].split("\\*");
            int id = Integer.parseInt(size[0]);
            list.add(new RosterEntry(
                    id,
                    RosterEntry.Stage.valueOf(stage.length > 1 ? stage[1].toUpperCase() : "READY"),
                    begun.length > 1 ? start + Long.parseLong(begun[1]) * MILLISECOND : 0,
                    0,
                    size.length > 1 ? Double.parseDouble(size[1]) : 1,
                    id % 2,
                    0));
        }
        balancer().onRosterUpdate(list, true, false, now);
        return this;
    }

    /** Asks where for a new association of the group. */
    public Decision selectBackend(String name, long group, int useCase, boolean midFlow) {
        long client = group == 0 ? 0 : 1001 + lastId;
        associations.put(
                name,
                new Association(++lastId, useCase, 0, client, group, now + 2000 * MILLISECOND, 0, midFlow, false));
        return selectBackend(name);
    }

    public Decision selectBackend(String name, long group) {
        return selectBackend(name, group, 0, false);
    }

    public Decision selectBackend(String name) {
        return recordDecision(name, balancer().selectBackend(associations.get(name), now));
    }

    /** Asks where and lets the connection stand at once. */
    public Decision openConnection(String name, long group) {
        Decision answer = selectBackend(name, group);
        if (answer.kind == Decision.Kind.SEND) {
            establish(name);
        }
        return answer;
    }

    public void establish(String name) {
        balancer()
                .onConnectionEstablished(
                        associations.get(name), associations.get(name).dispatchCount - 1, 10 * MILLISECOND, now);
    }

    public Decision finishDispatch(String name, DispatchOutcome outcome, boolean finished) {
        Association a = associations.get(name);
        appendToTrace(name + " on " + a.sentTo[a.dispatchCount - 1] + " " + outcome + (finished ? ", finished" : ""));
        return recordDecision(name, balancer().onDispatchFinished(a, a.dispatchCount - 1, outcome, finished, now));
    }

    public DueActions pollDueActions() {
        DueActions chores = balancer().pollDueActions(now);
        StringBuilder text = new StringBuilder("chores:");
        chores.connectionsToMove.forEach(a -> associations.forEach((n, x) -> text.append(x == a ? " move " + n : "")));
        text.append(chores.rosterCall == DueActions.RosterCall.NONE ? "" : " " + chores.rosterCall);
        chores.logMessages.forEach(line -> text.append(" log '").append(line).append("'"));
        text.append(chores.backendsToProbe.isEmpty() ? "" : " probe " + chores.backendsToProbe);
        appendToTrace(text.toString());
        return chores;
    }

    private Decision recordDecision(String name, Decision answer) {
        appendToTrace(name + ": " + answer.kind
                + switch (answer.kind) {
                    case SEND -> " to " + answer.backend + " within " + answer.time / MILLISECOND + " ms";
                    case WAIT -> " until " + (answer.time - start) / MILLISECOND + " ms";
                    case SHED -> ", back in " + answer.time / MILLISECOND + " ms";
                    default -> "";
                });
        return answer;
    }

    public void assertTraceMatches(String name) throws IOException {
        Path out = Path.of("target", "traces", name + ".txt");
        Files.createDirectories(out.getParent());
        Files.writeString(out, trace);
        try (InputStream kept = BalancerFixture.class.getResourceAsStream("/traces/" + name + ".txt")) {
            assertThat(kept).as("the kept trace " + name).isNotNull();
            assertThat(trace.toString()).isEqualTo(new String(kept.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
