package org.gooseberryhill.http;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.gooseberryhill.link.Address;

/**
 * A listening socket that is opened before the server that accepts its connections. Immutable; its channel is thread-safe.
 *
 * <p>Guards against refused connections when all processes of a system fail at once and restart: a caller that connects
 * before the server exists would be refused, and may be refused twice while a process starts. With a socket that is opened
 * first, callers wait in its backlog instead.
 *
 * @param address the address it is bound to
 * @param channel the socket
 */
public record ListeningSocket(Address address, ServerSocketChannel channel) implements Closeable {
    /** Maximum number of connections waiting to be accepted. */
    static final int BACKLOG = 1024;

    /** Opens a listening socket; throws {@link UncheckedIOException} if the address is in use. */
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
