package ambertrestle.relay.wire;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.util.concurrent.ThreadFactory;

/**
 * Accepts on the one event loop. Danger: Vert.x accepts on a thread of its own, which takes descriptor after descriptor
 * while the loop, with part of a core and a crowd at the door, has not yet turned the first ones away; past the limit
 * neither accepting nor dialling works. So the rest waits in the backlog.
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
            private EventLoopGroup loop;

            @Override
            public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
                if (loop == null) {
                    loop = super.eventLoopGroup(type, 1, factory, ioRatio);
                }
                return loop;
            }
        };
    }
}
