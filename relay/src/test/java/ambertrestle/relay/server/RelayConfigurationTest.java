package ambertrestle.relay.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ambertrestle.decide.RosterEntry.Stage;
import ambertrestle.relay.wire.Address;
import ambertrestle.relay.wire.ConfiguredNames;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RelayConfigurationTest {
    private static final String GOOD =
            """
        {"name":"n3","listen":"127.0.0.1:80","discovery":"127.0.0.2:85","seed":"ff00000000000001",
         "limits":{"sockets":200},"strange":1,
         "known":{"index":4,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.9:1","zone":"west",
           "type":"m2","group":3,"status":"terminating","weight":2,"since_ms":5}]},
         "settings":{"siblings":4,"familyInfo":{"mode":"pass","messageAimUs":[90.5,60.0],"tellsDelay":true},
           "zones":["west"],"machineTypes":["m2"],"limits":{"connectTimeoutUs":150000},
           "useCases":[{"name":"read it","cutOffUs":2000,"repeat":"idempotent"}],"tenants":[{"name":"x"}]}}
        """;

    @TempDir
    private Path dir;

    private RelayConfiguration read(String json) throws Exception {
        return RelayConfiguration.read(Map.of(
                "BALANCER_CONFIG",
                Files.writeString(dir.resolve("c.json"), json).toString(),
                "BALANCER_LISTEN",
                "127.0.0.5:81"));
    }

    @Test
    void readsValidConfiguration() throws Exception {
        RelayConfiguration sheet = read(GOOD);
        assertThat(sheet.listenAddress()).isEqualTo(new Address("127.0.0.5", 81));
        assertThat(sheet.connectTimeoutMillis()).isEqualTo(150);
        assertThat(sheet.initialRoster().entries().get(0).stage()).isEqualTo(Stage.DRAINING);
        assertThat(sheet.reducerConfiguration().seed()).isEqualTo(0xff00000000000001L);
        assertThat(sheet.names()).isEqualTo(new ConfiguredNames(List.of("read it"), List.of("x")));
        assertThat(sheet.reducerConfiguration().cutOffs()).containsExactly(2_000_000L);
        assertThat(sheet.reducerConfiguration().messageGoalTime()).isEqualTo(60_000);
        assertThat(sheet.reducerConfiguration().maxSockets()).isEqualTo(136);
        assertThat(sheet.reducerConfiguration().isPassThrough()).isTrue();
        assertThat(sheet.reducerConfiguration().settings())
                .containsEntry("relays", "4")
                .containsEntry("useCases.count", "1")
                .containsEntry("useCases.0.effect", "retriable")
                .containsEntry("useCases.0.name", "read_it")
                .containsEntry("familyInfo.tellsDelay", "unseen")
                .containsEntry("familyInfo.messageAim", "90500,60000");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"seed\":\"ff00000000000001\" | \"seed\":\"xyz\" | seed is malformed: expected 64 bits of hex, got xyz",
                "\"settings\": | \"other\": | settings is missing: expected an object",
                "\"terminating\" | \"asleep\" | known is malformed: status of s-1 is not known",
                "\"connectTimeoutUs\":150000 | \"connectTimeoutUs\":\"soon\" "
                        + "| settings: limits.connectTimeout is malformed: expected a number, got soon",
                "\"sockets\":200 | \"sockets\":\"many\" | limits.sockets is malformed: expected a whole number, got many",
                "\"discovery\":\"127.0.0.2:85\" | \"discovery\":\"here\" "
                        + "| discovery is malformed: expected an address and port, got here"
            })
    void reportsFaultyKey(String part, String broken, String message) {
        assertThat(GOOD).contains(part);
        assertThatThrownBy(() -> read(GOOD.replace(part, broken))).hasMessage(message);
    }

    @Test
    void reloadTakesRosterAddressFromFileAndListsKeysNeedingRestart() throws Exception {
        RelayConfiguration first = read(GOOD);
        String moved = GOOD.replace("127.0.0.2:85", "127.0.0.3:86").replace("\"sockets\":200", "\"sockets\":300");
        Map<String, String> environment = Map.of(
                "BALANCER_DISCOVERY",
                "127.0.0.2:85",
                "BALANCER_LISTEN",
                "127.0.0.5:81",
                "BALANCER_CONFIG",
                Files.writeString(dir.resolve("d.json"), moved).toString());
        RelayConfiguration later = RelayConfiguration.read(environment);
        assertThat(later.reducerConfiguration().rosterAddress()).isEqualTo(new Address("127.0.0.3", 86));
        assertThat(later.reducerConfiguration().maxSockets()).isEqualTo(236);
        assertThat(first.keysNeedingRestart(later)).isEmpty();
        assertThat(first.keysNeedingRestart(
                        read(GOOD.replace("\"siblings\":4", "\"siblings\":5").replace("n3", "n4"))))
                .containsExactly("name", "settings");
    }

    @Test
    void reportsMissingVariableAndInvalidJson() {
        assertThatThrownBy(() -> RelayConfiguration.read(Map.of()))
                .hasMessageStartingWith("BALANCER_CONFIG is missing");
        assertThatThrownBy(() -> read("{")).hasMessageEndingWith("which is not JSON");
        assertThatThrownBy(() -> read("null")).hasMessageEndingWith("which is not JSON");
    }
}
