package ambertrestle.simhost;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ambertrestle.decide.BalancerFixture;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

class SimHostTest {
    private static final String CLOCK = "5a5c800000000000";
    private static final String ROSTER = "0000000000000000 0000 01 0a124a07 8b13 0000803f 0000 0000";
    private final BalancerFixture s = new BalancerFixture();

    private static byte[] bytes(String hex) {
        return HexFormat.of().parseHex(hex.replace(" ", ""));
    }

    private static String le(int value) {
        return HexFormat.of().toHexDigits(Integer.reverseBytes(value));
    }

    /** A batch of the records, each padded to its 56 bytes, with the tail. */
    private static byte[] batch(String tail, String... records) {
        StringBuilder body = new StringBuilder(CLOCK + le(records.length));
        for (String record : records) {
            String bare = record.replace(" ", "");
            body.append(bare).append("0".repeat(112 - bare.length()));
        }
        body.append(tail);
        return bytes(le(body.toString().replace(" ", "").length() / 2) + body);
    }

    private String reply(byte[]... batches) throws Exception {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        for (byte[] batch : batches) {
            in.write(batch);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimHost(new ByteArrayInputStream(in.toByteArray()), out).run();
        return HexFormat.of().formatHex(out.toByteArray());
    }

    private String settings() {
        StringBuilder text = new StringBuilder("strange.key=1\n");
        s.settings.forEach((name, value) -> text.append(name.replace("rules.", "guarantees.")
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

    private byte[] up(String settings) {
        String hex = HexFormat.of().formatHex(settings.getBytes(StandardCharsets.UTF_8));
        int length = hex.length() / 2;
        return batch(
                hex + ROSTER,
                "0b 0300 0100000000000000 00000000" + le(length),
                "05 0300 02 29000000" + le(length) + "01000000");
    }

    @Test
    void answersEmptyBatchAndArrival() throws Exception {
        String arrival = "01 0300 c4913a5d3a380500 0000 00000000 640ad2557c3bf091 da05a40000000000 e02e0000 "
                + "107cf3d901648e2b 01";
        String[] records = reply(batch(""), up(settings()), batch("", arrival)).split("(?<=\\G.{16})", 2);
        s.appendToTrace("empty batch: " + records[0]);
        s.appendToTrace("start, then arrival: " + records[1].replaceAll("(.{16})", "$1 "));
        s.assertTraceMatches("wire");
    }

    @Test
    void startAndStopInOneBatchProduceNoRecords() throws Exception {
        byte[] both = batch(
                HexFormat.of().formatHex(settings().getBytes(StandardCharsets.UTF_8)),
                "0b 0300 0100000000000000 00000000" + le(settings().length()),
                "00 0300");
        assertThat(reply(both)).isEqualTo("0000000000000000");
    }

    @Test
    void reportsInvalidSettingsInCrashRecord() throws Exception {
        String reply = reply(up(settings().replaceAll("(drainGraceUs)=\\d+", "$1=soon")));
        assertThat(new String(bytes(reply), StandardCharsets.UTF_8)).contains("rules.drainGrace is not a number: soon");
    }

    @Test
    void reportsMalformedInputInOneLine() {
        assertThatThrownBy(() -> reply(bytes("0c000000 5a5c")))
                .isInstanceOf(WireFormatException.class)
                .hasMessage("frame 0 is cut short: 2 of 12 bytes");
        assertThatThrownBy(() -> reply(batch("", "01 0300")))
                .hasMessage("batch at clock 8412250, record 0 " + "(event 1, instance 3): this instance is not up");
        assertThatThrownBy(() -> reply(batch("", "4f 0300"))).hasMessageEndingWith("no such event");
        assertThatThrownBy(() -> reply(batch("", "0b 0300 0100000000000000 00000000 ff000000")))
                .hasMessageContaining("refers to tail bytes 0 to 255 but the tail holds 0");
    }
}
