package ambertrestle.relay.wire;

/** A TCP address; `host` is a host name or an IP address. Its text form is `host:port`. */
public record Address(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
