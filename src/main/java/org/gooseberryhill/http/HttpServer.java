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
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.gooseberryhill.link.Address;

/** An HTTP/1.1 server. Thread-safe. */
public final class HttpServer implements Closeable {
    private static final int LOW_WATER_BYTES = 64 * 1024;

    /** Rounds that accept nobody before listening ends: a connection is made for its caller a little before it can be accepted. */
    private static final int QUIET_ROUNDS = 20;

    /** Callers may come all the while: after so many rounds all have been accepted that waited at the beginning. */
    private static final int MAX_ROUNDS = QUIET_ROUNDS + ListeningSocket.BACKLOG;

    private final Channel listener;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicBoolean listeningEnds = new AtomicBoolean();
    private volatile boolean closingConnections;

    /** How many connections were accepted; on the listening socket's event loop only. */
    private long accepted;

    private HttpServer(EventLoopGroup group, ListeningSocket socket, Supplier<HttpLimits> limits, HttpHandler handler) {
        listener = new ServerBootstrap()
                .group(group)
                .channelFactory(() -> new NioServerSocketChannel(socket.channel()))
                .handler(new AcceptedConnections())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        HttpLimits now = limits.get();
                        channel.config()
                                .setWriteBufferWaterMark(
                                        new WriteBufferWaterMark(LOW_WATER_BYTES, now.maxPendingWriteBytes()));
                        channel.pipeline()
                                .addLast(codec(now))
                                .addLast(new ServerConnectionHandler(
                                        handler, now, () -> closingConnections, unanswered));
                    }
                })
                .register()
                .syncUninterruptibly()
                .channel();
    }

    /** How a connection reads requests. */
    static HttpServerCodec codec(HttpLimits limits) {
        HttpDecoderConfig decoder = new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxRequestLineBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes());
        // No bound of its own, which would cut the answer in progress: the connection's handler stops reading.
        return new HttpServerCodec(decoder, Integer.MAX_VALUE);
    }

    /** Starts listening; throws the bind's failure if the address is taken. */
    public static HttpServer start(EventLoopGroup group, Address address, HttpLimits limits, HttpHandler handler) {
        return new HttpServer(group, ListeningSocket.open(address), () -> limits, handler);
    }

    /** Serves a socket that listens already; each new connection is held to the limits of its moment. */
    public static HttpServer start(
            EventLoopGroup group, ListeningSocket socket, Supplier<HttpLimits> limits, HttpHandler handler) {
        return new HttpServer(group, socket, limits, handler);
    }

    /** From now on each answer tells the caller that its connection closes after it. */
    public void closeAfterAnswers() {
        closingConnections = true;
    }

    /** Closes the connections on which no request is in progress; a request that has arrived is read before, and answered. */
    public void closeIdle() {
        for (Channel connection : connections) {
            ServerConnectionHandler handler = connection.pipeline().get(ServerConnectionHandler.class);
            if (handler != null) {
                RecentRead.thenRun(connection.eventLoop(), () -> handler.closeIfIdle(connection));
            }
        }
    }

    /** How many connections are open. */
    public int openConnections() {
        return connections.size();
    }

    /** How many requests have begun to come in whose whole answer has not been handed to their connection yet. */
    public int unanswered() {
        return unanswered.get();
    }

    /** Begins to close the listening socket; those who have connected before are accepted, and connections go on. */
    public void stopListening() {
        if (listeningEnds.compareAndSet(false, true)) {
            listener.eventLoop().execute(() -> closeWhenNobodyWaits(0, MAX_ROUNDS));
        }
    }

    /** Whether nothing can come in any more and nothing is unanswered: the socket and all connections are closed. */
    public boolean isDrained() {
        return !listener.isOpen() && connections.isEmpty() && unanswered.get() == 0;
    }

    /** Closes the listening socket and cuts all connections. */
    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    /** Closes the listening socket after enough rounds of its event loop in a row that have accepted nobody. */
    private void closeWhenNobodyWaits(int quietRounds, int roundsLeft) {
        if (quietRounds >= QUIET_ROUNDS || roundsLeft == 0) {
            listener.close();
            return;
        }
        long acceptedBefore = accepted;
        RecentRead.thenRun(
                listener.eventLoop(),
                () -> closeWhenNobodyWaits(accepted == acceptedBefore ? quietRounds + 1 : 0, roundsLeft - 1));
    }

    /** Knows each connection from its acceptance on: before the listening socket can be seen as closed. */
    private final class AcceptedConnections extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object connection) {
            accepted++;
            connections.add((Channel) connection);
            context.fireChannelRead(connection);
        }
    }
}
