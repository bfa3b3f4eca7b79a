package org.gooseberryhill.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.HybridTimestamp;

/** Computes the size of messages on the wire, including the frame and its length field. Stateless. */
public final class PeerMessageSize {
    private static final int LENGTH_BYTES = 4;
    private static final HostId SAMPLE_SENDER = new HostId("steward-0123");
    private static final HybridTimestamp SAMPLE_TIME = HybridTimestamp.ofMillis(1_796_256_000_000L);
    private static final long SAMPLE_NUMBER = 100_000;

    private PeerMessageSize() {}

    /** Returns the size of a message in bytes, without the overhead of TCP and IP. */
    public static int encodedBytes(PeerMessage message) {
        try {
            return LENGTH_BYTES
                    + PeerCodec.encode(new PeerFrame(SAMPLE_NUMBER, false, SAMPLE_TIME, SAMPLE_SENDER, message)).length;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
