import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins and helpers that the scripts of this review share: relays started by the `run` line of the deploy file, a
 * discovery service, backends and clients, all on loopback addresses. Written from the operators' protocol page.
 */
final class Rig {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Ends the case with exit code 2. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String reason) {
            super(reason);
        }
    }

    private static final long STARTED = System.nanoTime();
    private static PrintWriter recordFile;
    private static final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
    private static Path temporary;

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    interface Body {
        int run() throws Exception;
    }

    /** Runs a case: opens its record, ends all processes afterwards, and exits with the result. */
    static void main(String[] arguments, Body body) throws Exception {
        recordFile = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0], "record.txt")), true);
        temporary = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(Rig::cleanUp));
        int result;
        try {
            record("trouble: " + hasTrouble());
            result = body.run();
        } catch (Exception e) {
            record("the case could not run: " + e);
            e.printStackTrace();
            result = COULD_NOT_RUN;
        }
        record("exit code " + result + (result == BROKEN ? ": the rule was broken" : result == HELD ? ": the rule held" : ""));
        System.exit(result);
    }

    private static void cleanUp() {
        for (Process process : new ArrayList<>(processes)) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        for (Process process : new ArrayList<>(processes)) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        deleteTree(temporary.toFile());
    }

    private static void deleteTree(File file) {
        File[] files = file.listFiles();
        for (File inner : files == null ? new File[0] : files) {
            deleteTree(inner);
        }
        file.delete();
    }

    /** Milliseconds since the case began. */
    static double millis() {
        return (System.nanoTime() - STARTED) / 1e6;
    }

    static synchronized void record(String text) {
        String line = String.format("%10.1f  %s", millis(), text);
        recordFile.println(line);
        System.out.println(line);
    }

    static void sleep(double millis) {
        try {
            TimeUnit.NANOSECONDS.sleep((long) (Math.max(0, millis) * 1e6));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread start(String name, Body body) {
        Thread thread = new Thread(
                () -> {
                    try {
                        body.run();
                    } catch (IOException e) {
                        // The other side ended the connection.
                    } catch (Exception e) {
                        record(name + " failed: " + e);
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(host, 0));
            return socket.getLocalPort();
        }
    }

    // ---- lines

    /** A connection that speaks lines ended by CRLF. */
    static final class Lines implements AutoCloseable {
        final Socket socket;
        private final InputStream in;
        private final OutputStream out;

        Lines(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static Lines connect(String address) throws IOException {
            return connect(address, null);
        }

        /** Connects from this loopback address, or from any if it is null. */
        static Lines connect(String address, String from) throws IOException {
            int colon = address.lastIndexOf(':');
            Socket socket = new Socket();
            if (from != null) {
                socket.bind(new InetSocketAddress(from, 0));
            }
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    2000);
            return new Lines(socket);
        }

        synchronized void raw(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void send(String line) throws IOException {
            raw(line + "\r\n");
        }

        /** The next line without CRLF; null at the end of the input. A reset throws IOException. */
        String read() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c >= 0; c = in.read()) {
                line.append((char) c);
                int length = line.length();
                if (c == '\n' && length > 1 && line.charAt(length - 2) == '\r') {
                    return line.substring(0, length - 2);
                }
            }
            return null;
        }

        /** The next line; "(end)" at the end of the input, "(reset)" after a reset, "(nothing)" after the time. */
        String read(int millis) throws IOException {
            socket.setSoTimeout(Math.max(1, millis));
            try {
                String line = read();
                return line == null ? "(end)" : line;
            } catch (java.net.SocketTimeoutException e) {
                return "(nothing)";
            } catch (IOException e) {
                return "(reset)";
            } finally {
                if (!socket.isClosed()) {
                    socket.setSoTimeout(0);
                }
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    // ---- discovery

    /** One backend as discovery lists it. */
    record Entry(String name, String address, String status, int group, long sinceMillis) {
        Entry as(String newStatus) {
            return new Entry(name, address, newStatus, group, sinceMillis);
        }

        String json() {
            return "{\"name\":\"" + name + "\",\"address\":\"" + address
                    + "\",\"zone\":\"a\",\"type\":\"m\",\"group\":" + group + ",\"status\":\"" + status
                    + "\",\"weight\":1.0,\"since_ms\":" + sinceMillis + "}";
        }
    }

    static String list(long index, boolean snapshot, Iterable<Entry> entries) {
        StringBuilder json = new StringBuilder("{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[");
        String separator = "";
        for (Entry entry : entries) {
            json.append(separator).append(entry.json());
            separator = ",";
        }
        return json.append("]}").toString();
    }

    /** Discovery, with one list for all relays that ask this address. */
    static final class Discovery {
        final String address;
        private final ServerSocket server;
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        private final List<Watch> watches = new ArrayList<>();
        private long index = 1;
        private boolean isDown;
        /** Time of the last call that failed because discovery was down; 0 before. */
        volatile double lastFailedCallAt;
        volatile int failedCalls;
        /** How long a call waits for its turn before it is answered. */
        volatile int answerDelayMillis;

        private final class Watch {
            final OutputStream out;
            final Socket socket;

            Watch(Socket socket) throws IOException {
                this.socket = socket;
                out = socket.getOutputStream();
            }

            void chunk(String text) throws IOException {
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
                out.write(bytes);
                out.write("\r\n".getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }

        Discovery(String host) throws IOException {
            server = new ServerSocket();
            server.bind(new InetSocketAddress(host, 0), 200);
            address = host + ":" + server.getLocalPort();
            Rig.start("discovery", () -> {
                while (true) {
                    Socket socket = server.accept();
                    Rig.start("discovery call", () -> serve(socket));
                }
            });
        }

        synchronized void set(Entry... changed) {
            index++;
            for (Entry entry : changed) {
                entries.put(entry.name(), entry);
            }
            tell(list(index, false, List.of(changed)) + "\n");
        }

        private void tell(String text) {
            for (Watch watch : new ArrayList<>(watches)) {
                try {
                    watch.chunk(text);
                } catch (IOException e) {
                    watches.remove(watch);
                }
            }
        }

        /** While down, calls end with 503, and going down ends the watches. */
        synchronized void setDown(boolean down) throws IOException {
            isDown = down;
            if (down) {
                for (Watch watch : watches) {
                    watch.socket.close();
                }
                watches.clear();
            }
        }

        synchronized int watchCount() {
            return watches.size();
        }

        synchronized String known() {
            return list(index, true, entries.values());
        }

        private int serve(Socket socket) throws Exception {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String request = reader.readLine();
            for (String header = reader.readLine(); header != null && !header.isEmpty(); header = reader.readLine()) {
                // Headers are of no interest.
            }
            Watch watch = new Watch(socket);
            sleep(answerDelayMillis);
            synchronized (this) {
                if (isDown) {
                    lastFailedCallAt = millis();
                    failedCalls++;
                    watch.out.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.UTF_8));
                    watch.out.flush();
                    socket.close();
                    return 0;
                }
                String all = list(index, true, entries.values()) + "\n";
                if (!request.contains("stream=1")) {
                    watch.out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + all.length()
                                    + "\r\nConnection: close\r\n\r\n" + all)
                            .getBytes(StandardCharsets.UTF_8));
                    watch.out.flush();
                    socket.close();
                    return 0;
                }
                watch.out.write(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                                .getBytes(StandardCharsets.UTF_8));
                watch.chunk(all);
                watches.add(watch);
            }
            while (true) {
                sleep(2000);
                synchronized (this) {
                    if (!watches.contains(watch)) {
                        return 0;
                    }
                    watch.chunk("\n");
                }
            }
        }
    }

    // ---- backends

    /** What a backend does with a connection after its first line has arrived. */
    interface Service {
        void serve(Backend backend, Lines connection, String firstLine) throws Exception;
    }

    static final class Backend {
        final String name;
        final String address;
        final ServerSocket server;

        Backend(String name, String host, Service service) throws IOException {
            this.name = name;
            server = new ServerSocket();
            server.bind(new InetSocketAddress(host, 0), 500);
            address = host + ":" + server.getLocalPort();
            Rig.start(name, () -> {
                while (true) {
                    Socket socket = server.accept();
                    Rig.start(name + " connection", () -> {
                        try (Lines lines = new Lines(socket)) {
                            String first = lines.read();
                            if (first != null) {
                                service.serve(this, lines, first);
                            }
                        }
                        return 0;
                    });
                }
            });
        }

        Entry entry(int group) {
            return new Entry(name, address, "in_service", group, 0);
        }

        /** A sound backend: UP at once, then one line back for each line. */
        static void echo(Lines connection, String receipt) throws IOException {
            connection.send("UP " + receipt);
            for (String line = connection.read(); line != null; line = connection.read()) {
                connection.send("R " + line);
            }
        }
    }

    // ---- relays

    static final class Relay {
        final String name;
        final String address;
        final Path folder;
        private final String discovery;
        Process process;

        Relay(String name, String host, String discovery) throws IOException {
            this.name = name;
            this.discovery = discovery;
            address = host + ":" + freePort(host);
            folder = Files.createDirectory(temporary.resolve(name));
        }

        void configure(String discoveryAddress, String known, String settings, int memoryMegabytes, int sockets)
                throws IOException {
            Path file = folder.resolve("config.json");
            Path next = folder.resolve("config.json.new");
            Files.writeString(
                    next,
                    "{\"name\":\"" + name + "\",\"listen\":\"" + address + "\",\"discovery\":\"" + discoveryAddress
                            + "\",\"seed\":\"" + Long.toHexString(System.nanoTime() ^ name.hashCode() * 0x9e3779b97f4a7c15L)
                            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMegabytes + ",\"sockets\":" + sockets
                            + "},\"known\":" + known + ",\"settings\":" + settings + "}");
            Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        void start() throws IOException {
            Path tmp = Files.createDirectories(folder.resolve("tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployLine("run"));
            builder.directory(root().toFile());
            Map<String, String> environment = builder.environment();
            environment.put("BALANCER_NAME", name);
            environment.put("BALANCER_LISTEN", address);
            environment.put("BALANCER_DISCOVERY", discovery);
            environment.put("BALANCER_CONFIG", folder.resolve("config.json").toString());
            environment.put("TMPDIR", tmp.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
            process = builder.start();
            processes.add(process);
        }

        Path log() {
            return folder.resolve("log.txt");
        }

        /** Waits until the relay answers PING with PONG. */
        void awaitReady() {
            double until = millis() + 30_000;
            while (millis() < until && process.isAlive()) {
                try (Lines lines = Lines.connect(address)) {
                    lines.send("PING");
                    if ("PONG".equals(lines.read(1000))) {
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                sleep(50);
            }
            throw new CannotRun("relay " + name + " is not ready");
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        /** Copies the relay's log into the record. */
        void recordLog(int most) throws IOException {
            List<String> lines = Files.readAllLines(log());
            record("log of relay " + name + ", last " + Math.min(most, lines.size()) + " of " + lines.size() + " lines:");
            lines.subList(Math.max(0, lines.size() - most), lines.size()).forEach(line -> record("    " + line));
        }
    }

    static Path root() {
        return Path.of(System.getProperty("root")).toAbsolutePath();
    }

    /** A value of deploy/balancer.toml: a basic string on one line. */
    static String deployLine(String key) throws IOException {
        for (String line : Files.readAllLines(root().resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                StringBuilder value = new StringBuilder();
                for (int i = line.indexOf('"') + 1; line.charAt(i) != '"'; i++) {
                    char c = line.charAt(i);
                    if (c == '\\') {
                        c = line.charAt(++i);
                        value.append(c == 't' ? '\t' : c == 'n' ? '\n' : c);
                    } else {
                        value.append(c);
                    }
                }
                return value.toString();
            }
        }
        throw new CannotRun("deploy/balancer.toml has no " + key);
    }

    /** Settings in the simulator's form, as nested JSON; the figures that a case turns on are its parameters. */
    static String settings(
            int siblings,
            String mode,
            int mostDispatches,
            int connectTimeoutMillis,
            int drainGraceMillis,
            String moreGuarantees,
            String... useCases) {
        return "{\"siblings\":" + siblings + ",\"me\":0,\"myZone\":0,\"discovery\":\"on_request\",\"weights\":\"none\","
                + "\"zones\":[\"a\"],\"machineTypes\":[\"m\"],\"tenants\":[{\"name\":\"t\"}],"
                + "\"useCases\":[" + String.join(",", useCases) + "],"
                + "\"limits\":{\"mostDispatches\":" + mostDispatches
                + ",\"secondCopies\":false,\"retryAfter\":false,\"connectTimeoutUs\":" + connectTimeoutMillis * 1000L + "},"
                + "\"guarantees\":{\"answerSlackUs\":8000,\"drainGraceUs\":" + drainGraceMillis * 1000L
                + ",\"coldFrom\":0.2,\"coldUs\":10000000,\"fallMultiple\":3.0,\"fallUs\":3000000" + moreGuarantees + "},"
                + "\"familyInfo\":{\"mode\":\"" + mode + "\",\"groups\":true,\"tellsLoad\":true,\"tellsDelay\":true,"
                + "\"messageAimUs\":[100000.0]}}";
    }

    static String useCase(String name, String repeat, int goalMillis, int cutOffMillis, String more) {
        return "{\"name\":\"" + name + "\",\"repeat\":\"" + repeat + "\",\"goalTimeUs\":" + goalMillis * 1000L
                + ",\"cutOffUs\":" + cutOffMillis * 1000L + ",\"benefit\":1.0,\"streaming\":true" + more + "}";
    }

    static String hex(long value) {
        return String.format("%016x", value);
    }

    private Rig() {}
}
