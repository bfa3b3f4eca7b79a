package org.gooseberryhill.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AttributeKey;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.link.Address;

/**
 * Pool of idle connections by address. Thread-safe.
 *
 * <p>Invariant: a connection is handed out only if the idle timeout that the peer announced, if any, is far enough away that
 * a request sent now can't cross with the close of the connection.
 */
final class IdleConnectionPool {
    private static final int MAX_IDLE_PER_ADDRESS = 64;

    /** Safety margin before the peer's idle timeout, for clock differences and the time that the request is in transit. */
    private static final long TIMEOUT_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final AttributeKey<Long> IDLE_SINCE_NANOS = AttributeKey.valueOf("idleSinceNanos");
    private static final AttributeKey<Long> IDLE_LIMIT_NANOS = AttributeKey.valueOf("idleLimitNanos");

    private final Map<Address, ConcurrentLinkedDeque<Channel>> byAddress = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /** Records the idle timeout that a response announces for its connection, if any. */
    static void recordIdleTimeout(Channel channel, HttpHeaders answer) {
        String value = answer.get("keep-alive");
        if (value == null) {
            return;
        }
        KeepAliveTimeout.seconds(value).ifPresent(seconds -> {
            long nanos = TimeUnit.SECONDS.toNanos(seconds);
            channel.attr(IDLE_LIMIT_NANOS).set(Math.max(0, nanos - TIMEOUT_MARGIN_NANOS));
        });
    }

    /** Adds a connection after a complete response; closes it if the pool is closed or full for this address. */
    void add(Address address, Channel channel, long nowNanos) {
        ConcurrentLinkedDeque<Channel> channels =
                byAddress.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
        if (closed || channels.size() >= MAX_IDLE_PER_ADDRESS) {
            channel.close();
            return;
        }
        channel.attr(IDLE_SINCE_NANOS).set(nowNanos);
        channels.addFirst(channel);
    }

    /** Takes the most recently used connection if it has been idle for at most {@code maxIdleMillis}; null if there is none. */
    Channel take(Address address, int maxIdleMillis, long nowNanos) {
        ConcurrentLinkedDeque<Channel> channels = byAddress.get(address);
        if (channels == null || maxIdleMillis <= 0) {
            return null;
        }
        Channel channel = channels.pollFirst();
        while (channel != null) {
            if (channel.isActive() && !isExpired(channel, nowNanos)) {
                if (idleNanos(channel, nowNanos) <= TimeUnit.MILLISECONDS.toNanos(maxIdleMillis)) {
                    return channel;
                }
                // Idle for too long for this request, and so are all others: the most recently used comes first.
                channels.addFirst(channel);
                return null;
            }
            channel.close();
            channel = channels.pollFirst();
        }
        return null;
    }

    /** Returns whether there is an idle connection to an address; the peer may be closing it. */
    boolean hasIdle(Address address) {
        ConcurrentLinkedDeque<Channel> channels = byAddress.get(address);
        Channel latest = channels == null ? null : channels.peekFirst();
        return latest != null && latest.isActive();
    }

    /** Closes all idle connections to an address; called when another process has taken over the address. */
    void closeAll(Address address) {
        ConcurrentLinkedDeque<Channel> channels = byAddress.remove(address);
        if (channels != null) {
            channels.forEach(Channel::close);
        }
    }

    void close() {
        closed = true;
        byAddress.values().forEach(channels -> channels.forEach(Channel::close));
    }

    private static boolean isExpired(Channel channel, long nowNanos) {
        Long idleLimitNanos = channel.attr(IDLE_LIMIT_NANOS).get();
        return idleLimitNanos != null && idleNanos(channel, nowNanos) > idleLimitNanos;
    }

    private static long idleNanos(Channel channel, long nowNanos) {
        Long idleSinceNanos = channel.attr(IDLE_SINCE_NANOS).get();
        return idleSinceNanos == null ? 0 : nowNanos - idleSinceNanos;
    }
}
