package ambertrestle.simhost;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ambertrestle.decide.BalancerFixture;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** The simulator's protocol, byte by byte: batches that a host reads and replies that it writes. */
class SimHostTest {
    /** The batch's clock, in microseconds. */
    private static final String CLOCK_HEX = "5a5c800000000000";
    /** Hex digits of one event record: two for each of its 56 bytes. */
    private static final int RECORD_HEX_DIGITS = 112;
    /** A ready backend, started long ago, with weight 1. */
    private static final String ROSTER_ENTRY_HEX = "0000000000000000 0000 01 0a124a07 8b13 0000803f 0000 0000";

    private final BalancerFixture fixture = new BalancerFixture();

    private static byte[] parseHex(String hex) {
        return HexFormat.of().parseHex(hex.replace(" ", ""));
    }

    private static String toLittleEndianHex(int value) {
        return HexFormat.of().toHexDigits(Integer.reverseBytes(value));
    }

    /** Returns the frame of a batch with these records, each padded to 56 bytes, and this tail. Both are in hex. */
    private static byte[] encodeBatch(String tail, String... records) {
        StringBuilder body = new StringBuilder(CLOCK_HEX + toLittleEndianHex(records.length));
        for (String record : records) {
            String hex = record.replace(" ", "");
            body.append(hex).append("0".repeat(RECORD_HEX_DIGITS - hex.length()));
        }
        body.append(tail);
        return parseHex(toLittleEndianHex(body.toString().replace(" ", "").length() / 2) + body);
    }

    /** Runs a host on these frames and returns its replies in hex. */
    private String runSimHost(byte[]... batches) throws Exception {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        for (byte[] batch : batches) {
            in.write(batch);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimHost(new ByteArrayInputStream(in.toByteArray()), out).run();
        return HexFormat.of().formatHex(out.toByteArray());
    }

    /** The fixture's settings as the simulator writes them, with its names and microseconds, and an unknown key. */
    private String encodeSettings() {
        StringBuilder text = new StringBuilder("strange.key=1\n");
        fixture.settings.forEach((name, value) -> text.append(name.replace("rules.", "guarantees.")
                        .replace("relays", "siblings")
                        .replace("limits.dispatches", "limits.mostDispatches")
                        .replaceAll("(goalTime|cutOff|window|messageAim|maxRetryAfter|drainGrace|cold|fall)$", "$1Us")
                        .replace(".effect", ".repeat")
                        .replace(".scope", ".dedupScope"))
                .append('=')
                .append(value.replaceAll("000$", "")
                        .replace("retriable", "idempotent")
                        .replace("fingerprinted", "deduplicated")
                        .replace("binding", "at_most_once"))
                .append('\n'));
        return text.toString();
    }

    /** A batch that starts instance 3 with these settings and gives it a cached roster of one backend. */
    private byte[] encodeStartBatch(String settings) {
        String hex = HexFormat.of().formatHex(settings.getBytes(StandardCharsets.UTF_8));
        int length = hex.length() / 2;
        return encodeBatch(
                hex + ROSTER_ENTRY_HEX,
                "0b 0300 0100000000000000 00000000" + toLittleEndianHex(length),
                "05 0300 02 29000000" + toLittleEndianHex(length) + "01000000");
    }

    /** The simulator reads replies by position, so no field may move. */
    @Test
    void answersEmptyBatchAndArrival() throws Exception {
        String arrival = "01 0300 c4913a5d3a380500 0000 00000000 640ad2557c3bf091 da05a40000000000 e02e0000 "
                + "107cf3d901648e2b 01";
        String[] records = runSimHost(encodeBatch(""), encodeStartBatch(encodeSettings()), encodeBatch("", arrival))
                .split("(?<=\\G.{16})", 2);
        fixture.appendToTrace("empty batch: " + records[0]);
        fixture.appendToTrace("start, then arrival: " + records[1].replaceAll("(.{16})", "$1 "));
        fixture.assertTraceMatches("wire");
    }

    /** At the end of a batch, an instance that has stopped must not be polled for due actions any more. */
    @Test
    void startAndStopInOneBatchProduceNoRecords() throws Exception {
        byte[] batch = encodeBatch(
                HexFormat.of().formatHex(encodeSettings().getBytes(StandardCharsets.UTF_8)),
                "0b 0300 0100000000000000 00000000"
                        + toLittleEndianHex(encodeSettings().length()),
                "00 0300");
        assertThat(runSimHost(batch)).isEqualTo("0000000000000000");
    }

    /** Invalid settings of one instance must not end the process, which hosts the other instances, too. */
    @Test
    void reportsInvalidSettingsInCrashRecord() throws Exception {
        String reply = runSimHost(encodeStartBatch(encodeSettings().replaceAll("(drainGraceUs)=\\d+", "$1=soon")));
        assertThat(new String(parseHex(reply), StandardCharsets.UTF_8))
                .contains("rules.drainGrace is not a number: soon");
    }

    /** Without these checks, malformed input would end the process with an exception that does not name the record. */
    @Test
    void reportsMalformedInputInOneLine() {
        assertThatThrownBy(() -> runSimHost(parseHex("0c000000 5a5c")))
                .isInstanceOf(WireFormatException.class)
                .hasMessage("frame 0 is cut short: 2 of 12 bytes");
        assertThatThrownBy(() -> runSimHost(encodeBatch("", "01 0300")))
                .hasMessage("batch at clock 8412250, record 0 (event 1, instance 3): this instance is not up");
        assertThatThrownBy(() -> runSimHost(encodeBatch("", "4f 0300"))).hasMessageEndingWith("no such event");
        assertThatThrownBy(() -> runSimHost(encodeBatch("", "0b 0300 0100000000000000 00000000 ff000000")))
                .hasMessageContaining("refers to tail bytes 0 to 255 but the tail holds 0");
    }
}
