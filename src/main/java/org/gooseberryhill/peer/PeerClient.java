package org.gooseberryhill.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.HybridClock;

/** Sends messages to other processes, over one connection per address and lane. Thread-safe. */
public final class PeerClient implements Closeable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** Timeout of the reply to a {@link PeerMessage.ConnectionProbe}. */
    private static final long PROBE_TIMEOUT_MILLIS = 300;

    private final HostId self;
    private final HybridClock clock;
    private final Bootstrap bootstrap;
    private final Map<ConnectionKey, PeerConnection> connections = new ConcurrentHashMap<>();
    private final PeerTraffic traffic = new PeerTraffic();
    private final LongAdder sentMessages = new LongAdder();
    private final Executor probeTimeoutExecutor;

    /** Creates a client that runs on the given event loops. */
    public PeerClient(EventLoopGroup group, HostId self, HybridClock clock) {
        this(group, self, clock, CompletableFuture.delayedExecutor(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, group));
    }

    /**
     * Creates a client that runs on the given event loops.
     *
     * @param probeTimeoutExecutor runs each task when the timeout of a connection probe has passed
     */
    PeerClient(EventLoopGroup group, HostId self, HybridClock clock, Executor probeTimeoutExecutor) {
        this.self = self;
        this.clock = clock;
        this.probeTimeoutExecutor = probeTimeoutExecutor;
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Sends a message and returns the reply; fails with {@link PeerException} if the connection is lost or the peer
     * reports a failure, and with {@link TimeoutException} if no reply arrives in time.
     *
     * @param timeoutMillis how long to wait for the reply
     */
    public CompletableFuture<PeerMessage> ask(Address address, PeerLane lane, PeerMessage message, long timeoutMillis) {
        PeerConnection connection = connection(address, lane);
        return connection
                .ask(message)
                .orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .whenComplete((reply, failure) -> {
                    if (failure instanceof TimeoutException) {
                        connection.closeUnlessAlive();
                    }
                })
                .thenApply(PeerClient::throwIfFailed);
    }

    /** Sends a message without a reply; delivery is not confirmed. */
    public void post(Address address, PeerLane lane, PeerMessage message) {
        postAll(List.of(address), lane, message);
    }

    /** Sends a message without a reply to several processes; it is encoded only once. */
    public void postAll(Collection<Address> addresses, PeerLane lane, PeerMessage message) {
        if (addresses.isEmpty()) {
            return;
        }
        byte[] frame = encode(new PeerFrame(PeerFrame.NO_REPLY, false, clock.now(), self, message));
        addresses.forEach(address -> connection(address, lane).post(frame));
    }

    /** Returns the byte counters, which this process's server shares. */
    public PeerTraffic traffic() {
        return traffic;
    }

    /** Returns the number of messages sent so far. */
    public long sentMessages() {
        return sentMessages.sum();
    }

    @Override
    public void close() {
        connections.values().forEach(PeerConnection::close);
    }

    private PeerConnection connection(Address address, PeerLane lane) {
        sentMessages.increment();
        return connections.computeIfAbsent(
                new ConnectionKey(address, lane),
                key -> new PeerConnection(bootstrap, address, self, clock, traffic, probeTimeoutExecutor));
    }

    private static byte[] encode(PeerFrame frame) {
        try {
            return PeerCodec.encode(frame);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static PeerMessage throwIfFailed(PeerMessage reply) {
        if (reply instanceof PeerMessage.Failed failed) {
            throw new PeerException(failed.reason());
        }
        return reply;
    }

    /** Key of a connection. */
    private record ConnectionKey(Address address, PeerLane lane) {
        // Explicit, since linking the generated methods at their first use adds some ten milliseconds to a host's
        // start.
        @Override
        public boolean equals(Object other) {
            return other instanceof ConnectionKey that && address.equals(that.address) && lane == that.lane;
        }

        @Override
        public int hashCode() {
            return 31 * address.hashCode() + lane.ordinal();
        }
    }
}
