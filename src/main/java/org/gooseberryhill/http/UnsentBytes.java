package org.gooseberryhill.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * What a connection has yet to send. Two that differ, with nothing written between them, show that bytes have gone out.
 * Immutable.
 *
 * @param waitingBytes all messages that are not sent whole, each with its full size
 * @param sentOfFirstBytes the part of the first of them that is sent
 */
record UnsentBytes(long waitingBytes, long sentOfFirstBytes) {
    private static final UnsentBytes NONE = new UnsentBytes(0, 0);

    /** Read on the connection's event loop. */
    static UnsentBytes of(Channel connection) {
        ChannelOutboundBuffer unsent = connection.unsafe().outboundBuffer();
        if (unsent == null) {
            return NONE;
        }
        return new UnsentBytes(unsent.totalPendingWriteBytes(), unsent.currentProgress());
    }
}
