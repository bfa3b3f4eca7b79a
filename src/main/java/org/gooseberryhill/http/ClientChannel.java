package org.gooseberryhill.http;

import io.netty.channel.socket.nio.NioSocketChannel;
import io.vavr.Lazy;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.logging.LazyLoggers;

/** A client connection that can tell whether its peer has reset it. Used like any other channel; {@link #isReset} on its event loop. */
final class ClientChannel extends NioSocketChannel {
    private static final Lazy<Logger> LOG = LazyLoggers.of(ClientChannel.class);

    /**
     * Returns whether the peer has reset the connection, also after it has ended its own direction, when reading still reports only
     * that end.
     */
    boolean isReset() {
        // The operating system reports an error as readiness for everything, and a connected channel is never ready to
        // connect.
        try (Selector selector = Selector.open()) {
            SelectionKey key = javaChannel().register(selector, SelectionKey.OP_CONNECT);
            selector.selectNow();
            return key.isConnectable();
        } catch (IOException e) {
            LOG.get().warn("can't tell whether a connection was reset", e);
            return true;
        }
    }
}
