package org.gooseberryhill.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.HybridTimestamp;

/**
 * One frame on a peer connection. Immutable.
 *
 * @param number pairs a reply with its request on the same connection
 * @param reply whether it is a reply
 * @param at the sender's clock
 * @param from the sender
 * @param message what is said
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record PeerFrame(long number, boolean reply, HybridTimestamp at, HostId from, PeerMessage message) {
    /** The number of a message that has no reply. */
    static final long NO_REPLY = 0;
}
