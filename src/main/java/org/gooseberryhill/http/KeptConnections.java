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
 * Connections kept for later exchanges, by address. Thread-safe.
 *
 * <p>Invariant: a connection is handed out only while the other side's idle timeout, where it told one, is far enough
 * away that a request sent now can't cross its closing.
 */
final class KeptConnections {
    private static final int MAX_KEPT_PER_ADDRESS = 64;

    /** Before the other side's timeout: the clocks may differ, and the request needs its time on the link. */
    private static final long TIMEOUT_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final AttributeKey<Long> IDLE_SINCE = AttributeKey.valueOf("idleSinceNanos");
    private static final AttributeKey<Long> IDLE_LIMIT = AttributeKey.valueOf("idleLimitNanos");

    private final Map<Address, ConcurrentLinkedDeque<Channel>> byAddress = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /** Notes what an answer says of how long its connection may be idle. */
    static void noteTimeout(Channel channel, HttpHeaders answer) {
        String value = answer.get("keep-alive");
        if (value == null) {
            return;
        }
        KeepAliveTimeout.seconds(value).ifPresent(seconds -> {
            long nanos = TimeUnit.SECONDS.toNanos(seconds);
            channel.attr(IDLE_LIMIT).set(Math.max(0, nanos - TIMEOUT_MARGIN_NANOS));
        });
    }

    /** Keeps a connection whose answer was whole. */
    void keep(Address address, Channel channel, long nowNanos) {
        ConcurrentLinkedDeque<Channel> channels =
                byAddress.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
        if (closed || channels.size() >= MAX_KEPT_PER_ADDRESS) {
            channel.close();
            return;
        }
        channel.attr(IDLE_SINCE).set(nowNanos);
        channels.addFirst(channel);
    }

    /** The connection used last that has been idle for no longer than a time in milliseconds; null if there is none. */
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
                // Too old for this request, and so is every other: the youngest comes first.
                channels.addFirst(channel);
                return null;
            }
            channel.close();
            channel = channels.pollFirst();
        }
        return null;
    }

    /** Whether an idle connection to an address is kept; it may be closing. */
    boolean has(Address address) {
        ConcurrentLinkedDeque<Channel> channels = byAddress.get(address);
        Channel latest = channels == null ? null : channels.peekFirst();
        return latest != null && latest.isActive();
    }

    /** Closes the connections to an address: who answers there now is another. */
    void drop(Address address) {
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
        Long limit = channel.attr(IDLE_LIMIT).get();
        return limit != null && idleNanos(channel, nowNanos) > limit;
    }

    private static long idleNanos(Channel channel, long nowNanos) {
        Long since = channel.attr(IDLE_SINCE).get();
        return since == null ? 0 : nowNanos - since;
    }
}
