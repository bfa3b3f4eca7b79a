package org.gooseberryhill.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.vavr.Lazy;
import java.io.Closeable;
import java.net.InetSocketAddress;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.HybridClock;
import org.gooseberryhill.logging.LazyLoggers;

/** Accepts connections from other processes and passes their messages to a handler. Thread-safe. */
public final class PeerServer implements Closeable {
    private static final Lazy<Logger> LOG = LazyLoggers.of(PeerServer.class);

    private final HostId self;
    private final HybridClock clock;
    private final PeerHandler handler;
    private final Channel serverChannel;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /** Binds the address and starts accepting connections; throws the bind exception if the address is in use. */
    public PeerServer(
            EventLoopGroup group,
            HostId self,
            Address address,
            HybridClock clock,
            PeerTraffic traffic,
            PeerHandler handler) {
        this.self = self;
        this.clock = clock;
        this.handler = handler;
        serverChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connections.add(channel);
                        PeerCodec.addTo(channel.pipeline(), traffic);
                        channel.pipeline().addLast(new RequestHandler());
                    }
                })
                .bind(new InetSocketAddress(address.ip(), address.port()))
                .syncUninterruptibly()
                .channel();
    }

    @Override
    public void close() {
        serverChannel.close().syncUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    /** Handles the messages of one connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<PeerFrame> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            clock.observe(frame.at());
            if (frame.message() instanceof PeerMessage.ConnectionProbe) {
                reply(context, frame, new PeerMessage.Ack());
                return;
            }
            if (frame.message() instanceof PeerMessage.Failed) {
                reply(context, frame, frame.message());
                return;
            }
            handler.handle(frame.from(), frame.message()).whenComplete((reply, failure) -> {
                if (frame.number() == PeerFrame.NO_REPLY) {
                    return;
                }
                reply(context, frame, failure == null ? reply : new PeerMessage.Failed(String.valueOf(failure)));
            });
        }

        private void reply(ChannelHandlerContext context, PeerFrame request, PeerMessage message) {
            context.writeAndFlush(new PeerFrame(request.number(), true, clock.now(), self, message));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.get().debug("peer connection failed: {}", cause.toString());
            context.close();
        }
    }
}
