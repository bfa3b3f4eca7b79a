package org.gooseberryhill.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.HybridTimestamp;

/**
 * A frame on a peer connection. Immutable.
 *
 * @param number matches a reply with its request on the same connection
 * @param reply whether the message is a reply
 * @param at the sender's hybrid clock at the time of sending
 * @param from the sending host
 * @param message the payload
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record PeerFrame(long number, boolean reply, HybridTimestamp at, HostId from, PeerMessage message) {
    /** Number of a message that expects no reply. */
    static final long NO_REPLY = 0;

    /** Returns this frame with another message. */
    PeerFrame withMessage(PeerMessage newMessage) {
        return new PeerFrame(number, reply, at, from, newMessage);
    }
}
