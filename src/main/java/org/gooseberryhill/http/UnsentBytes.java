package org.gooseberryhill.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Snapshot of the outbound buffer of a connection. If two snapshots differ and nothing was written between them, bytes have
 * been sent. Immutable.
 *
 * @param pendingBytes total size of all messages that are not completely sent, each counted in full
 * @param firstMessageSentBytes bytes of the first of them that are already sent
 */
record UnsentBytes(long pendingBytes, long firstMessageSentBytes) {
    private static final UnsentBytes NONE = new UnsentBytes(0, 0);

    /** Takes a snapshot; must be called on the connection's event loop. */
    static UnsentBytes of(Channel connection) {
        ChannelOutboundBuffer unsent = connection.unsafe().outboundBuffer();
        if (unsent == null) {
            return NONE;
        }
        return new UnsentBytes(unsent.totalPendingWriteBytes(), unsent.currentProgress());
    }
}
