package ambertrestle.relay.wire;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.util.concurrent.ThreadFactory;

/**
 * A transport with a single event loop, which also accepts connections.
 *
 * <p>By default, Vert.x accepts on a separate thread. When many clients connect at once and the event loop has only
 * part of a core, that thread opens file descriptors faster than the event loop rejects connections. At the limit of
 * file descriptors, neither accepting nor connecting works. With a single event loop, connections that can't be handled
 * yet wait in the listen backlog.
 */
public final class SingleEventLoopTransport implements Transport {
    @Override
    public String name() {
        return "one loop";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public io.vertx.core.spi.transport.Transport implementation() {
        return new NioTransport() {
            /** Shared by the acceptor and the workers; null until Vert.x asks for the first group. */
            private EventLoopGroup sharedGroup;

            @Override
            public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
                if (sharedGroup == null) {
                    sharedGroup = super.eventLoopGroup(type, 1, factory, ioRatio);
                }
                return sharedGroup;
            }
        };
    }
}
