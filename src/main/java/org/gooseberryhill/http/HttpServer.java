package org.gooseberryhill.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.gooseberryhill.link.Address;

/** An HTTP/1.1 server. Thread-safe. */
public final class HttpServer implements Closeable {
    private static final int LOW_WATER_BYTES = 64 * 1024;

    /**
     * Consecutive event loop iterations without an accepted connection before the listening socket closes. One is not enough:
     * the kernel establishes a connection for the caller shortly before it can be accepted.
     */
    private static final int EMPTY_ACCEPT_ITERATIONS = 20;

    /**
     * Maximum number of event loop iterations before the listening socket closes, since callers may keep connecting. By then
     * every connection that was in the backlog at the beginning has been accepted.
     */
    private static final int MAX_ACCEPT_ITERATIONS = EMPTY_ACCEPT_ITERATIONS + ListeningSocket.BACKLOG;

    private final Channel serverChannel;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final ConnectionLimiter limiter = new ConnectionLimiter();
    private final AtomicInteger requestsInProgress = new AtomicInteger();
    private final LongAdder timedOutRequests = new LongAdder();
    private final AtomicBoolean stopListeningRequested = new AtomicBoolean();
    private volatile boolean announceClose;

    /** The number of accepted connections; accessed only on the listening socket's event loop. */
    private long acceptedCount;

    private HttpServer(
            EventLoopGroup group,
            ListeningSocket socket,
            Supplier<HttpLimits> limits,
            HeldBytes heldBytes,
            HttpHandler handler) {
        serverChannel = new ServerBootstrap()
                .group(group)
                .channelFactory(() -> new NioServerSocketChannel(socket.channel()))
                .handler(new ConnectionRegistrar(limits))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        HttpLimits currentLimits = limits.get();
                        channel.config()
                                .setWriteBufferWaterMark(new WriteBufferWaterMark(
                                        LOW_WATER_BYTES, currentLimits.maxPendingWriteBytes()));
                        channel.pipeline()
                                .addLast(newCodec(currentLimits))
                                .addLast(new ServerConnectionHandler(
                                        handler,
                                        currentLimits,
                                        () -> announceClose,
                                        requestsInProgress,
                                        timedOutRequests,
                                        heldBytes));
                    }
                })
                .register()
                .syncUninterruptibly()
                .channel();
    }

    /** Creates the codec of a connection, with the size limits of requests. */
    static HttpServerCodec newCodec(HttpLimits limits) {
        HttpDecoderConfig decoder = new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxRequestLineBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes());
        // The codec's own limit on pipelined requests would cut off the response in progress. ServerConnectionHandler
        // stops reading instead.
        return new HttpServerCodec(decoder, Integer.MAX_VALUE);
    }

    /** Starts a server on a new listening socket; throws the bind failure if the address is in use. */
    public static HttpServer start(EventLoopGroup group, Address address, HttpLimits limits, HttpHandler handler) {
        return start(group, ListeningSocket.open(address), () -> limits, handler);
    }

    /**
     * Starts a server on an open listening socket.
     *
     * @param limits queried for each new connection, which keeps the limits in force at that time
     */
    public static HttpServer start(
            EventLoopGroup group, ListeningSocket socket, Supplier<HttpLimits> limits, HttpHandler handler) {
        return start(group, socket, limits, HeldBytes.unbounded(), handler);
    }

    /**
     * Starts a server on an open listening socket, whose connections count the bytes that they hold.
     *
     * @param limits queried for each new connection, which keeps the limits in force at that time
     * @param heldBytes counts the bytes that the connections hold
     */
    public static HttpServer start(
            EventLoopGroup group,
            ListeningSocket socket,
            Supplier<HttpLimits> limits,
            HeldBytes heldBytes,
            HttpHandler handler) {
        return new HttpServer(group, socket, limits, heldBytes, handler);
    }

    /** Makes each further response announce that its connection closes ({@code Connection: close}). */
    public void closeAfterResponses() {
        announceClose = true;
    }

    /** Closes the connections without a request in progress; a request that has already arrived is still read and answered. */
    public void closeIdle() {
        for (Channel connection : connections) {
            ServerConnectionHandler handler = connection.pipeline().get(ServerConnectionHandler.class);
            if (handler != null) {
                AfterRead.run(connection.eventLoop(), () -> handler.closeIfIdle(connection));
            }
        }
    }

    /** Runs an action with each call that has no complete response, on the event loop of its connection. */
    public void forEachOpenCall(Consumer<HttpCall> action) {
        for (Channel connection : connections) {
            ServerConnectionHandler handler = connection.pipeline().get(ServerConnectionHandler.class);
            if (handler != null) {
                connection.eventLoop().execute(() -> handler.openCall().ifPresent(action));
            }
        }
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /**
     * Returns the number of requests in progress: their head has been received, and their complete response has not been handed
     * to the connection yet.
     */
    public int requestsInProgress() {
        return requestsInProgress.get();
    }

    /** Returns the number of connections closed at once because of {@link ConnectionLimits}. */
    public long refusedConnections() {
        return limiter.refusedCount();
    }

    /** Returns the number of requests whose head, or next part of the body, did not arrive in time. */
    public long timedOutRequests() {
        return timedOutRequests.sum();
    }

    /** Starts closing the listening socket; pending connections are still accepted, and open ones stay open. */
    public void stopListening() {
        if (stopListeningRequested.compareAndSet(false, true)) {
            serverChannel.eventLoop().execute(() -> closeWhenBacklogIsEmpty(0, MAX_ACCEPT_ITERATIONS));
        }
    }

    /** Returns whether the listening socket and all connections are closed and no request is in progress. */
    public boolean isDrained() {
        return !serverChannel.isOpen() && connections.isEmpty() && requestsInProgress.get() == 0;
    }

    /** Closes the listening socket and all connections immediately. */
    @Override
    public void close() {
        serverChannel.close().syncUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    /** Closes the listening socket after enough consecutive event loop iterations without an accepted connection. */
    private void closeWhenBacklogIsEmpty(int emptyIterations, int iterationsLeft) {
        if (emptyIterations >= EMPTY_ACCEPT_ITERATIONS || iterationsLeft == 0) {
            serverChannel.close();
            return;
        }
        long acceptedBefore = acceptedCount;
        AfterRead.run(
                serverChannel.eventLoop(),
                () -> closeWhenBacklogIsEmpty(
                        acceptedCount == acceptedBefore ? emptyIterations + 1 : 0, iterationsLeft - 1));
    }

    /**
     * Registers each connection as soon as it is accepted, so that {@link #isDrained} can't see the listening socket as closed
     * and miss a connection that was accepted before. Closes those beyond the limits.
     */
    private final class ConnectionRegistrar extends ChannelInboundHandlerAdapter {
        private final Supplier<HttpLimits> limits;

        ConnectionRegistrar(Supplier<HttpLimits> limits) {
            this.limits = limits;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            SocketChannel connection = (SocketChannel) message;
            acceptedCount++;
            InetSocketAddress remoteAddress = connection.remoteAddress();
            if (remoteAddress == null) {
                // The client has closed the connection before it was accepted.
                connection.unsafe().closeForcibly();
                return;
            }
            InetAddress client = remoteAddress.getAddress();
            if (!limiter.tryAcquire(client, limits.get().connections())) {
                connection.unsafe().closeForcibly();
                return;
            }
            connection.closeFuture().addListener(closed -> limiter.release(client));
            connections.add(connection);
            context.fireChannelRead(connection);
        }
    }
}
