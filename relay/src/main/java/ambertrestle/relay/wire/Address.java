package ambertrestle.relay.wire;

/** Where something listens. */
public record Address(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
