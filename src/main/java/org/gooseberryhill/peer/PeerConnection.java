package org.gooseberryhill.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.HybridClock;

/**
 * A connection to one process, re-established on the next use after it was lost. Thread-safe.
 *
 * <p>Invariant: each request either receives its reply or fails when its connection is closed; none waits on a lost
 * connection.
 */
final class PeerConnection {
    private final Bootstrap bootstrap;
    private final Address address;
    private final HostId self;
    private final HybridClock clock;
    private final PeerTraffic traffic;
    private final Executor probeTimeoutExecutor;
    private final AtomicLong lastRequestNumber = new AtomicLong();
    private ChannelFuture connectFuture;

    /**
     * Creates a connection that is established on first use.
     *
     * @param probeTimeoutExecutor runs each task when the timeout of a {@link PeerMessage.ConnectionProbe} has passed
     */
    PeerConnection(
            Bootstrap bootstrap,
            Address address,
            HostId self,
            HybridClock clock,
            PeerTraffic traffic,
            Executor probeTimeoutExecutor) {
        this.bootstrap = bootstrap.clone().handler(new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                PeerCodec.addTo(channel.pipeline(), traffic);
                channel.pipeline().addLast(new ReplyHandler());
            }
        });
        this.address = address;
        this.self = self;
        this.clock = clock;
        this.traffic = traffic;
        this.probeTimeoutExecutor = probeTimeoutExecutor;
    }

    CompletableFuture<PeerMessage> ask(PeerMessage message) {
        CompletableFuture<PeerMessage> future = new CompletableFuture<>();
        ChannelFuture current = connectIfNeeded();
        current.addListener(done -> {
            if (!done.isSuccess()) {
                future.completeExceptionally(new PeerException("no connection to " + address));
                return;
            }
            send(current.channel(), message, future);
        });
        return future;
    }

    /** Sends an encoded frame that has no reply. */
    void post(byte[] frame) {
        ChannelFuture current = connectIfNeeded();
        current.addListener(done -> {
            if (done.isSuccess()) {
                traffic.addSent(PeerCodec.LENGTH_BYTES + frame.length);
                current.channel().writeAndFlush(Unpooled.wrappedBuffer(frame));
            }
        });
    }

    /**
     * Probes the connection and closes it if the probe gets no reply in time. A single request that times out must not
     * fail the other requests on the connection.
     *
     * <p>Failure guarded against: an open connection stops delivering data without a reset, and every later request on
     * it times out although a new connection would work.
     */
    void closeUnlessAlive() {
        latestConnectFuture()
                .ifPresent(latest -> latest.addListener(done -> {
                    if (done.isSuccess()) {
                        probe(latest.channel());
                    }
                }));
    }

    void close() {
        latestConnectFuture().ifPresent(latest -> latest.channel().close());
    }

    private void probe(Channel channel) {
        CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
        send(channel, new PeerMessage.ConnectionProbe(), reply);
        probeTimeoutExecutor.execute(() -> {
            if (!reply.isDone()) {
                channel.close();
            }
        });
    }

    private void send(Channel channel, PeerMessage message, CompletableFuture<PeerMessage> future) {
        ReplyHandler replyHandler = channel.pipeline().get(ReplyHandler.class);
        if (replyHandler == null) {
            future.completeExceptionally(new PeerException("lost the connection to " + address));
            return;
        }
        long number = lastRequestNumber.incrementAndGet();
        replyHandler.pendingRequests.put(number, future);
        future.whenComplete((reply, failure) -> replyHandler.pendingRequests.remove(number));
        channel.writeAndFlush(new PeerFrame(number, false, clock.now(), self, message))
                .addListener(written -> {
                    if (!written.isSuccess()) {
                        future.completeExceptionally(new PeerException("lost the connection to " + address));
                    }
                });
    }

    private synchronized Optional<ChannelFuture> latestConnectFuture() {
        return Optional.ofNullable(connectFuture);
    }

    private synchronized ChannelFuture connectIfNeeded() {
        boolean usable = connectFuture != null
                && (!connectFuture.isDone() || connectFuture.channel().isActive());
        if (!usable) {
            connectFuture = bootstrap.connect(new InetSocketAddress(address.ip(), address.port()));
        }
        return connectFuture;
    }

    /** Matches replies with pending requests. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<PeerFrame> {
        private final Map<Long, CompletableFuture<PeerMessage>> pendingRequests = new ConcurrentHashMap<>();

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            clock.observe(frame.at());
            CompletableFuture<PeerMessage> future = pendingRequests.remove(frame.number());
            if (future != null) {
                future.complete(frame.message());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            PeerException lost = new PeerException("lost the connection to " + address);
            pendingRequests.values().forEach(future -> future.completeExceptionally(lost));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
