package ambertrestle.lab.loopback;

import ambertrestle.lab.scenario.RelayConfigurationJson;
import ambertrestle.lab.scenario.Scenario;
import ambertrestle.relay.toml.TomlDocument;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * One relay process on loopback, with backends "s-0", "s-1" ... and a roster service that the test provides. Its
 * clients have use case "view" and tenant "t".
 */
abstract class RelayProcessFixture {
    private static final Path JAR = Path.of(System.getProperty(
            "relay.jar", Path.of("..", "relay", "target", "ambertrestle.jar").toString()));

    private static final Scenario SCENARIO = readScenario();

    @TempDir
    private Path dir;

    final ExecutorService threads = Executors.newCachedThreadPool();
    Process relay;
    private int port;

    private static Scenario readScenario() {
        try {
            return Scenario.read(TomlDocument.parse(
                    "process.toml",
                    "name = \"process\"\n[relays]\ncount = 1\n[[fleet]]\nname = \"s\"\ncount = 1\n"
                            + "[[use-case]]\nname = \"view\"\n"));
        } catch (Scenario.InvalidScenarioException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Starts the relay and waits until it accepts clients.
     *
     * @param adaptSettings changes the settings object of the relay configuration
     * @param backendAddresses the backends that the relay knows at the start, all in service
     */
    void startRelay(
            String rosterAddress, Consumer<JsonObject> adaptSettings, String jvmOption, String... backendAddresses)
            throws Exception {
        port = RelayLauncher.findFreePort();
        JsonObject[] entries = new JsonObject[backendAddresses.length];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = rosterEntry(i, backendAddresses[i], "in_service");
        }
        JsonObject configuration = RelayConfigurationJson.create(
                SCENARIO,
                "n",
                RelayLauncher.HOST + ":" + port,
                rosterAddress,
                7,
                RelayConfigurationJson.createRoster(entries));
        adaptSettings.accept(configuration.getJsonObject("settings"));
        Path configurationFile = Files.writeString(dir.resolve("relay.json"), configuration.encode());
        relay = RelayLauncher.start(JAR, configurationFile, null, dir.resolve("log"), jvmOption);
        for (int attempt = 0; attempt < 100 && !readLog().contains(" serves"); attempt++) {
            Thread.sleep(100);
        }
    }

    /** Returns an entry of the roster service's lists for backend "s-" and this index. */
    static JsonObject rosterEntry(int index, String address, String status) {
        return RelayConfigurationJson.createRosterEntry(
                "s-" + index, address, SCENARIO.fleets().get(0), status, 0);
    }

    @AfterEach
    void stopRelay() throws Exception {
        relay.destroyForcibly().waitFor();
        threads.shutdownNow();
    }

    String readLog() throws IOException {
        return Files.readString(dir.resolve("log"));
    }

    static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    static void send(Socket socket, String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    /** Connects a client. */
    Socket connect() throws IOException {
        Socket socket = new Socket(RelayLauncher.HOST, port);
        socket.setTcpNoDelay(true);
        return socket;
    }
}
