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

/**
 * A balancer with a manual clock. Inputs and decisions are recorded as a text trace, which tests compare with an
 * expected one in {@code src/test/resources/traces}.
 */
public final class BalancerFixture {
    /** In nanoseconds, the unit of all times. */
    public static final long MILLISECOND = 1_000_000L;

    /** Settings of the balancer; changes take effect only before the balancer is first used. */
    public final Map<String, String> settings = new HashMap<>();

    /** Associations by the name that the test gave them. */
    public final Map<String, Association> associations = new HashMap<>();

    /** The recorded lines; times in them are in milliseconds since the fixture was created. */
    public final StringBuilder trace = new StringBuilder();
    /** Current time in nanoseconds. */
    public long now = 1_000_000 * MILLISECOND;

    private final long startedAt = now;
    private Balancer balancer;
    private long lastId;

    public BalancerFixture() {
        String defaults = "discovery=pushed weights=nominal relays=1 useCases.count=3 limits.dispatches=4 "
                + "limits.secondCopies=false limits.retryAfter=true limits.maxRetryAfter=1500000000 "
                + "rules.drainGrace=1000000000 rules.coldFrom=0.2 rules.cold=10000000000 "
                + "rules.fallMultiple=3 rules.fall=3000000000 familyInfo.messageAim=100000000 ";
        String[] effects = {"retriable", "fingerprinted", "binding"};
        for (int u = 0; u < 3; u++) {
            defaults += "useCases.U.goalTime=400000000 useCases.U.cutOff=2000000000 useCases.U.scope=zone "
                            .replace("U", "" + u)
                    + "useCases." + u + ".window=500000000 useCases." + u + ".effect="
                    + effects[u] + " ";
        }
        for (String setting : defaults.split(" ")) {
            settings.put(setting.substring(0, setting.indexOf('=')), setting.substring(setting.indexOf('=') + 1));
        }
    }

    /** Returns the balancer; the first call creates it from the settings. */
    public Balancer balancer() {
        if (balancer == null) {
            balancer = new Balancer(settings, 7, now);
        }
        return balancer;
    }

    /** Sets the clock, in milliseconds since the fixture was created. */
    public BalancerFixture atMillis(long millis) {
        now = startedAt + millis * MILLISECOND;
        return this;
    }

    /** Appends a line with the current time. */
    public void appendToTrace(String text) {
        trace.append(String.format("%5d ms  %s%n", (now - startedAt) / MILLISECOND, text));
    }

    /**
     * Delivers a complete roster, for example {@code "1 2 3*2@5000=draining"}: id, optionally weight, start in ms, and
     * stage. The zone is the id modulo 2.
     */
    public BalancerFixture updateRoster(String entries) {
        appendToTrace("roster " + entries);
        List<RosterEntry> roster = new ArrayList<>();
        for (String entry : entries.split(" ")) {
            String[] stageParts = entry.split("=");
            String[] startParts = stageParts[0].split("@");
            String[] weightParts = startParts[0].split("\\*");
            int id = Integer.parseInt(weightParts[0]);
            roster.add(new RosterEntry(
                    id,
                    RosterEntry.Stage.valueOf(stageParts.length > 1 ? stageParts[1].toUpperCase() : "READY"),
                    startParts.length > 1 ? startedAt + Long.parseLong(startParts[1]) * MILLISECOND : 0,
                    0,
                    weightParts.length > 1 ? Double.parseDouble(weightParts[1]) : 1,
                    id % 2,
                    0));
        }
        balancer().onRosterUpdate(roster, true, false, now);
        return this;
    }

    /**
     * Creates an association with a cut-off in 2 s and asks for a backend. With group key 0 it has neither a group nor
     * a client key.
     */
    public Decision selectBackend(String name, long groupKey, int useCase, boolean isMidFlow) {
        long clientKey = groupKey == 0 ? 0 : 1001 + lastId;
        associations.put(
                name,
                new Association(
                        ++lastId, useCase, 0, clientKey, groupKey, now + 2000 * MILLISECOND, 0, isMidFlow, false));
        return selectBackend(name);
    }

    /** Creates an association of use case 0 that is not mid-flow and asks for a backend. */
    public Decision selectBackend(String name, long groupKey) {
        return selectBackend(name, groupKey, 0, false);
    }

    /** Asks again for a backend for an existing association. */
    public Decision selectBackend(String name) {
        return recordDecision(name, balancer().selectBackend(associations.get(name), now));
    }

    /** Creates an association, asks for a backend and, if it gets one, establishes the connection at once. */
    public Decision openConnection(String name, long groupKey) {
        Decision decision = selectBackend(name, groupKey);
        if (decision.kind == Decision.Kind.SEND) {
            establish(name);
        }
        return decision;
    }

    /** Reports that the connection of the last dispatch was established after 10 ms. */
    public void establish(String name) {
        balancer()
                .onConnectionEstablished(
                        associations.get(name), associations.get(name).dispatchCount - 1, 10 * MILLISECOND, now);
    }

    /** Reports the outcome of the last dispatch. */
    public Decision finishDispatch(String name, DispatchOutcome outcome, boolean finished) {
        Association association = associations.get(name);
        appendToTrace(name + " on " + association.sentTo[association.dispatchCount - 1] + " " + outcome
                + (finished ? ", finished" : ""));
        return recordDecision(
                name,
                balancer().onDispatchFinished(association, association.dispatchCount - 1, outcome, finished, now));
    }

    /** Polls the balancer and appends the due actions to the trace. */
    public DueActions pollDueActions() {
        DueActions dueActions = balancer().pollDueActions(now);
        StringBuilder text = new StringBuilder("chores:");
        dueActions.connectionsToMove.forEach(association ->
                associations.forEach((name, other) -> text.append(other == association ? " move " + name : "")));
        text.append(dueActions.rosterCall == DueActions.RosterCall.NONE ? "" : " " + dueActions.rosterCall);
        dueActions.logMessages.forEach(
                message -> text.append(" log '").append(message).append("'"));
        text.append(dueActions.backendsToProbe.isEmpty() ? "" : " probe " + dueActions.backendsToProbe);
        appendToTrace(text.toString());
        return dueActions;
    }

    private Decision recordDecision(String name, Decision decision) {
        appendToTrace(name + ": " + decision.kind
                + switch (decision.kind) {
                    case SEND -> " to " + decision.backend + " within " + decision.time / MILLISECOND + " ms";
                    case WAIT -> " until " + (decision.time - startedAt) / MILLISECOND + " ms";
                    case SHED -> ", back in " + decision.time / MILLISECOND + " ms";
                    default -> "";
                });
        return decision;
    }

    /** Compares the trace with the expected one; the actual trace is written to {@code target/traces}. */
    public void assertTraceMatches(String name) throws IOException {
        Path actualFile = Path.of("target", "traces", name + ".txt");
        Files.createDirectories(actualFile.getParent());
        Files.writeString(actualFile, trace);
        try (InputStream expected = BalancerFixture.class.getResourceAsStream("/traces/" + name + ".txt")) {
            assertThat(expected).as("expected trace " + name).isNotNull();
            assertThat(trace.toString()).isEqualTo(new String(expected.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
