import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
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
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the record, the relay process, the discovery service, and lines over sockets. JDK only. */
final class StandIn {
    static final long STARTED_AT = System.nanoTime();
    /** Set to 0, a case does the same without its disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static PrintWriter record;
    private static final List<Process> PROCESSES = new ArrayList<>();

    private StandIn() {}

    /** A case: gets the root of the checkout and a temporary folder, and finishes with {@link #end}. */
    interface Case {
        void run(Path root, Path folder) throws Exception;
    }

    /** Runs a case with the arguments root, record file and temporary folder; an unexpected failure ends it with 2. */
    static void run(String[] args, Case body) {
        try {
            begin(args[1]);
            body.run(Path.of(args[0]), Path.of(args[2]));
            end(2, "the case ended without a verdict");
        } catch (Exception e) {
            e.printStackTrace();
            end(2, "could not run: " + e);
        }
    }

    /** Opens the record; every process that is started through this class ends with this JVM. */
    private static void begin(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
        Runtime.getRuntime().addShutdownHook(new Thread(StandIn::endProcesses));
        note("disruption: " + (TROUBLE ? "on" : "off"));
    }

    static double seconds() {
        return (System.nanoTime() - STARTED_AT) / 1e9;
    }

    static synchronized void note(String text) {
        record.printf("%8.3f %s%n", seconds(), text);
        record.flush();
    }

    /** Writes the verdict and ends this process: 0 the rule held, 1 it was broken, 2 the case could not run. */
    static void end(int code, String verdict) {
        note("verdict " + code + ": " + verdict);
        System.out.println(verdict);
        endProcesses();
        Runtime.getRuntime().halt(code);
    }

    private static synchronized void endProcesses() {
        for (Process process : PROCESSES) {
            process.destroyForcibly();
        }
        PROCESSES.clear();
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    static void sleepMillis(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread spawn(String name, Body body) {
        Thread thread = new Thread(
                () -> {
                    try {
                        body.run();
                    } catch (Exception e) {
                        note(name + " ended: " + e);
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Body {
        void run() throws Exception;
    }

    /** One end of a connection that speaks lines with CRLF. */
    static final class Line implements AutoCloseable {
        final Socket socket;
        private final InputStream in;
        private final OutputStream out;

        Line(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            out = socket.getOutputStream();
        }

        static Line connect(String host, int port) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(host, port), 3000);
            return new Line(socket);
        }

        void send(String text) throws IOException {
            sendRaw(text + "\r\n");
        }

        void sendRaw(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** Reads what has arrived, at least one byte; returns the count, or -1 at the end of the stream. */
        int readSome(byte[] buffer) throws IOException {
            return in.read(buffer);
        }

        /** Returns the next line without CRLF; null at the end of the stream. */
        String read() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b >= 0; b = in.read()) {
                if (b == '\n') {
                    String text = line.toString(StandardCharsets.UTF_8);
                    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                }
                line.write(b);
            }
            return null;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** A listening stand-in; every connection is handled by a thread of its own. */
    static final class Server {
        final ServerSocket listener;
        final String host;

        interface Handler {
            void handle(Line line) throws Exception;
        }

        Server(String name, String host, Handler handler) throws IOException {
            this.host = host;
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress(host, 0), 512);
            spawn(name, () -> {
                while (true) {
                    Socket socket = listener.accept();
                    spawn(name, () -> {
                        try (Line line = new Line(socket)) {
                            handler.handle(line);
                        } catch (IOException e) {
                            // The peer closed or reset the connection.
                        }
                    });
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return host + ":" + port();
        }
    }

    /** An entry of the list of backends, in discovery's form. */
    static String entry(String name, String address, String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"lowell\""
                + ",\"type\":\"std\",\"group\":0,\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":0}";
    }

    static String list(List<String> entries) {
        return "{\"index\":41,\"snapshot\":true,\"endpoints\":[" + String.join(",", entries) + "]}";
    }

    private static volatile String changedEntry;

    /** Lets discovery tell one change of the list; at most one in a case. */
    static void change(String entry) {
        changedEntry = entry;
        note("discovery tells " + entry);
    }

    /** Discovery: the whole list at once, the change if there is one, and an empty line every 2 s. */
    static Server discovery(String host, List<String> entries) throws IOException {
        return new Server("discovery", host, line -> {
            String request = line.read();
            for (String header = line.read(); header != null && !header.isEmpty(); header = line.read()) {}
            if (request == null) {
                return;
            }
            String body = list(entries) + "\n";
            if (!request.contains("stream=1")) {
                line.sendRaw("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body);
                return;
            }
            line.sendRaw("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
            sendChunk(line, body);
            boolean isChangeTold = false;
            for (int turn = 1; ; turn++) {
                sleepMillis(100);
                if (changedEntry != null && !isChangeTold) {
                    isChangeTold = true;
                    sendChunk(line, "{\"index\":42,\"snapshot\":false,\"endpoints\":[" + changedEntry + "]}\n");
                } else if (turn % 20 == 0) {
                    sendChunk(line, "\n");
                }
            }
        });
    }

    private static void sendChunk(Line line, String text) throws IOException {
        line.sendRaw(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** One relay, started with the command `run` of deploy/balancer.toml from the root of the checkout. */
    static final class Relay {
        final String host;
        final int port;
        final Process process;

        Relay(Path root, Path folder, String name, String host, String discovery, List<String> entries,
                int memoryMegabytes, String settings)
                throws IOException {
            this.host = host;
            port = freePort(host);
            Path config = folder.resolve(name + ".json");
            Files.writeString(
                    config,
                    "{\"name\":\"" + name + "\",\"listen\":\"" + host + ":" + port + "\",\"discovery\":\"" + discovery
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMegabytes + ","
                            + "\"sockets\":1024},\"known\":" + list(entries) + ",\"settings\":" + settings + "}");
            Path temporary = Files.createDirectories(folder.resolve("tmp-" + name));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand(root, "run"));
            builder.directory(root.toFile());
            builder.environment().put("BALANCER_NAME", name);
            builder.environment().put("BALANCER_LISTEN", host + ":" + port);
            builder.environment().put("BALANCER_DISCOVERY", discovery);
            builder.environment().put("BALANCER_CONFIG", config.toString());
            builder.environment().put("TMPDIR", temporary.toString());
            builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
            process = builder.start();
            synchronized (StandIn.class) {
                PROCESSES.add(process);
            }
            note("relay " + name + " started, process " + process.pid());
        }

        /** The value of a key of deploy/balancer.toml, a basic string. */
        private static String deployCommand(Path root, String key) throws IOException {
            Matcher matcher = Pattern.compile("(?m)^" + key + " = \"((?:[^\"\\\\]|\\\\.)*)\"")
                    .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!matcher.find()) {
                throw new IOException("no " + key + " in deploy/balancer.toml");
            }
            return matcher.group(1)
                    .replace("\\t", "\t")
                    .replace("\\\"", "\"")
                    .replace("\\\\", "\\");
        }

        /** Waits until the relay answers PING; ends the case with 2 if it does not within 30 s. */
        void awaitReady() throws Exception {
            for (int i = 0; i < 150 && process.isAlive(); i++) {
                try (Line line = Line.connect(host, port)) {
                    line.socket.setSoTimeout(2000);
                    line.send("PING");
                    if ("PONG".equals(line.read())) {
                        note("relay ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                sleepMillis(200);
            }
            end(2, "the relay did not become ready");
        }

        /** Sends a signal such as TERM or STOP with the shell's own kill. */
        void signal(String signal) throws Exception {
            note("SIG" + signal + " to the relay");
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                    .start()
                    .waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Settings in the form of a small deployment whose clients may repeat everything. */
    static String settings(String useCases, String messageAims) {
        return "{\"siblings\":2,\"discovery\":\"on_request\",\"weights\":\"nominal\","
                + "\"family\":\"conn\",\"zones\":[\"lowell\"],\"machineTypes\":[\"std\"],"
                + "\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":10.0,\"share\":1.0}],"
                + "\"useCases\":[" + useCases + "],"
                + "\"limits\":{\"mostDispatches\":4,\"secondCopies\":false,\"retryAfter\":false,"
                + "\"cancel\":true,\"connectTimeoutUs\":150000,\"maxRetryAfterUs\":1500000},"
                + "\"guarantees\":{\"answerSlackUs\":8000,\"askWithinUs\":10000000,\"drainGraceUs\":1000000,"
                + "\"coldFrom\":0.14,\"coldUs\":22000000,\"fallMultiple\":3.0,\"fallUs\":3000000},"
                + "\"familyInfo\":{\"mode\":\"pass\",\"groups\":false,\"tellsLoad\":true,\"tellsDelay\":true,"
                + "\"messageAimUs\":[" + messageAims + "],\"tenantQuotaConnections\":[500.0]}}";
    }

    static String useCase(String name, int goalMillis, int cutOffMillis) {
        return "{\"name\":\"" + name + "\",\"goalTimeUs\":" + goalMillis * 1000L + ",\"cutOffUs\":"
                + cutOffMillis * 1000L + ",\"repeat\":\"idempotent\",\"dedupScope\":\"all\","
                + "\"windowUs\":5000000,\"benefit\":1.0,\"streaming\":true}";
    }

    /** The key of a client, in hex. */
    static String key(int number) {
        return Long.toHexString(0x9e3779b97f4a7c15L * (number + 1));
    }
}
