package org.gooseberryhill.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.Optional;

/**
 * Closes connections from this side, with the reason noted on them. Stateless.
 *
 * <p>An exchange whose connection ends can say by it whether this side or the other one closed the connection.
 */
final class LocalClose {
    private static final AttributeKey<String> REASON = AttributeKey.valueOf("localCloseReason");

    private LocalClose() {}

    /** Closes a connection; the first reason stays. */
    static void close(Channel channel, String reason) {
        channel.attr(REASON).setIfAbsent(reason);
        channel.close();
    }

    /** Why this side closed a connection; empty if it did not. */
    static Optional<String> reason(Channel channel) {
        return Optional.ofNullable(channel.attr(REASON).get());
    }
}
