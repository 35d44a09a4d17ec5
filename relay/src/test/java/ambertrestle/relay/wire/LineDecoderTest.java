package ambertrestle.relay.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class LineDecoderTest {
    private static final ConfiguredNames NAMES = new ConfiguredNames(List.of("read"), List.of());
    private static final int REQUESTS = 1_000;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** TCP may split a stream anywhere, also between CR and LF. */
    @Test
    void linesAreTheSameHoweverTheStreamIsSplit() {
        List<String> lines = List.of("OPEN 1", "", "a\nb", "c\rd", "x".repeat(LineDecoder.MAX_LINE_BYTES - 2), "last");
        byte[] stream = bytes(String.join("\r\n", lines) + "\r\n");
        SplittableRandom random = new SplittableRandom(7);
        for (int trial = 0; trial < 200; trial++) {
            LineDecoder decoder = new LineDecoder();
            List<String> taken = new ArrayList<>();
            int maxChunk = 1 + trial * trial;
            for (int at = 0, length; at < stream.length; at += length) {
                length = Math.min(stream.length - at, 1 + random.nextInt(maxChunk));
                decoder.append(java.util.Arrays.copyOfRange(stream, at, at + length));
                for (byte[] raw = decoder.takeLine(); raw != null; raw = decoder.takeLine()) {
                    taken.add(LineDecoder.decodeText(raw));
                }
                assertThat(decoder.isLineTooLong()).isFalse();
            }
            assertThat(taken).isEqualTo(lines);
            assertThat(decoder.isEmpty()).isTrue();
        }
    }

    /** A line that never ends must not fill the memory. */
    @Test
    void lineOverTheLimitIsReported() {
        LineDecoder decoder = new LineDecoder();
        decoder.append(bytes("x".repeat(LineDecoder.MAX_LINE_BYTES - 1)));
        assertThat(decoder.takeLine()).isNull();
        assertThat(decoder.isLineTooLong()).isFalse();
        decoder.append(bytes("x\r\n"));
        assertThat(decoder.takeLine()).isNull();
        assertThat(decoder.isLineTooLong()).isTrue();
    }

    /**
     * Guards against a heap filled by few clients: a line of 4 KiB with hundreds of short parameters held over 100 KiB
     * as long as its connection was open.
     */
    @Test
    void requestWithManyParametersHoldsLittleMoreThanItsLine() {
        byte[] line = lineWithManyParameters();
        List<ClientMessage> requests = new ArrayList<>();
        long before = usedHeap();
        for (int i = 0; i < REQUESTS; i++) {
            requests.add(ClientMessage.decode(line.clone(), NAMES));
        }
        long bytesPerRequest = (usedHeap() - before) / REQUESTS;
        assertThat(requests).allMatch(request -> request instanceof ClientMessage.OpenRequest);
        assertThat(bytesPerRequest).isLessThan(2 * LineDecoder.MAX_LINE_BYTES);
    }

    private static byte[] lineWithManyParameters() {
        StringBuilder line = new StringBuilder("OPEN 1 2 c=read,d=2000");
        for (int key = 0; line.length() < LineDecoder.MAX_LINE_BYTES - 10; key++) {
            line.append(",z").append(Integer.toString(key, Character.MAX_RADIX)).append("=");
        }
        return bytes(line + "\r\n");
    }

    private static long usedHeap() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
