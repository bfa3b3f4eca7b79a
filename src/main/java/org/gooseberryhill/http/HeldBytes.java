package org.gooseberryhill.http;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.gooseberryhill.decision.memory.AnswerKind;
import org.gooseberryhill.decision.memory.HeldBytesLevel;
import org.gooseberryhill.decision.memory.HeldBytesPolicy;
import org.gooseberryhill.decision.memory.UnboundedHeldBytes;

/**
 * Counts the bytes that the connections of a process hold, and closes connections when there are too many. Thread-safe.
 *
 * <p>Load pattern: a connection that accepts its data at once counts nothing but the body of its request, with one addition
 * when it arrives and one when its answer ends. Readers are tracked only while they have unsent bytes.
 *
 * <p>Invariant: each holder releases what it added when its request ends, fails or loses its connection; otherwise the process
 * would refuse requests permanently.
 */
public final class HeldBytes {
    private final HeldBytesPolicy policy;
    private final AtomicLong bytes = new AtomicLong();
    private final Set<ConnectionHold> readers = ConcurrentHashMap.newKeySet();
    private final Map<AnswerKind, LongAdder> closedConnections = Map.of(
            AnswerKind.BATCH_READ, new LongAdder(),
            AnswerKind.STREAM, new LongAdder(),
            AnswerKind.PLAIN, new LongAdder());
    private final LongAdder closedBytes = new LongAdder();
    private final LongAdder refusedRequests = new LongAdder();
    private final LongAdder refusedBodies = new LongAdder();

    /** Creates counts of zero. */
    public HeldBytes(HeldBytesPolicy policy) {
        this.policy = policy;
    }

    /** Creates counts that nothing depends on. */
    public static HeldBytes unbounded() {
        return new HeldBytes(new UnboundedHeldBytes());
    }

    /** Returns what is decided on these counts. */
    public HeldBytesPolicy policy() {
        return policy;
    }

    /** Returns the number of held bytes. */
    public long bytes() {
        return bytes.get();
    }

    /** Returns the level at the current number of held bytes. */
    public HeldBytesLevel level() {
        return policy.level(bytes.get());
    }

    /** Returns the number of connections with unsent bytes. */
    public int slowReaders() {
        return readers.size();
    }

    /** Returns the number of connections of a kind that were closed to free memory. */
    public long closedConnections(AnswerKind kind) {
        return closedConnections.get(kind).sum();
    }

    /** Returns the unsent bytes of all connections that were closed to free memory. */
    public long closedBytes() {
        return closedBytes.sum();
    }

    /** Counts a request that is refused because of the held bytes; {@code insideBody} tells whether its body had begun. */
    public void countRefusal(boolean insideBody) {
        (insideBody ? refusedBodies : refusedRequests).increment();
    }

    /** Returns how many requests were refused before their body was received. */
    public long refusedRequests() {
        return refusedRequests.sum();
    }

    /** Returns how many requests were refused while their body was received. */
    public long refusedBodies() {
        return refusedBodies.sum();
    }

    /** Adds bytes, and closes connections if there are too many now. */
    void add(long added) {
        long total = bytes.addAndGet(added);
        if (policy.level(total) == HeldBytesLevel.CLOSING) {
            closeReaders(total);
        }
    }

    /** Releases bytes that were added before. */
    void release(long released) {
        bytes.addAndGet(-released);
    }

    /** Tracks a connection that has unsent bytes. */
    void readerFellBehind(ConnectionHold reader) {
        readers.add(reader);
    }

    /** Ends the tracking of a connection whose bytes are all sent, or that is closed. */
    void readerCaughtUp(ConnectionHold reader) {
        readers.remove(reader);
    }

    private void closeReaders(long total) {
        for (ConnectionHold reader : policy.connectionsToClose(total, readers, System.nanoTime())) {
            closedConnections.get(reader.answerKind()).increment();
            closedBytes.add(reader.unsentBytes());
            reader.close();
        }
    }
}
