package org.gooseberryhill.http;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.gooseberryhill.link.Address;

/**
 * A listening socket that exists before the server that will serve it. Immutable; its channel is thread-safe.
 *
 * <p>Failure: all processes of a system are lost at once and start again, and callers that come before the server is there
 * are refused, twice in the time that a start takes. A process that opens its socket first lets them wait instead.
 *
 * @param address where it listens
 * @param channel the socket
 */
public record ListeningSocket(Address address, ServerSocketChannel channel) implements Closeable {
    /** Connections that may wait to be accepted. */
    static final int BACKLOG = 1024;

    /** Begins to listen; fails with {@link UncheckedIOException} if the address is taken. */
    public static ListeningSocket open(Address address) {
        try {
            ServerSocketChannel channel = ServerSocketChannel.open();
            channel.bind(new InetSocketAddress(address.ip(), address.port()), BACKLOG);
            return new ListeningSocket(address, channel);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
