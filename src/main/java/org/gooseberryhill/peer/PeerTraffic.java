package org.gooseberryhill.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes that a process exchanges with others, including the length field of each frame. Thread-safe. */
public final class PeerTraffic {
    private final LongAdder sent = new LongAdder();
    private final LongAdder received = new LongAdder();

    /** Returns the number of bytes sent so far. */
    public long sentBytes() {
        return sent.sum();
    }

    /** Returns the number of bytes received so far. */
    public long receivedBytes() {
        return received.sum();
    }

    void addSent(int bytes) {
        sent.add(bytes);
    }

    void addReceived(int bytes) {
        received.add(bytes);
    }
}
