package org.gooseberryhill.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import org.gooseberryhill.decision.memory.AnswerKind;
import org.gooseberryhill.decision.memory.SlowReader;

/**
 * Counts the bytes that one connection of a server holds. Written on the connection's event loop only; other threads may read
 * slightly old figures.
 *
 * <p>Load pattern: a write that the socket accepts at once costs one comparison and is not counted.
 *
 * <p>Invariant: after {@link #closed} the connection counts nothing, whatever is called later.
 */
final class ConnectionHold implements SlowReader {
    private final HeldBytes heldBytes;
    private final Channel connection;
    private final ChannelFutureListener sentListener = this::sent;
    private volatile AnswerKind answerKind = AnswerKind.PLAIN;
    private volatile long unsentBytes;
    private long requestBytes;
    private long bufferedBytes;
    private long queuedBytes;
    private boolean closed;
    private ChannelFuture lastWrite;
    private long acceptedDataNanos;
    private long observedFirstMessageBytes;

    ConnectionHold(HeldBytes heldBytes, Channel connection) {
        this.heldBytes = heldBytes;
        this.connection = connection;
    }

    @Override
    public AnswerKind answerKind() {
        return answerKind;
    }

    void setAnswerKind(AnswerKind kind) {
        answerKind = kind;
    }

    @Override
    public long unsentBytes() {
        return unsentBytes;
    }

    @Override
    public long acceptedDataNanos(long nowNanos) {
        long firstMessageBytes = UnsentBytes.of(connection).firstMessageSentBytes();
        if (firstMessageBytes != observedFirstMessageBytes) {
            observedFirstMessageBytes = firstMessageBytes;
            acceptedDataNanos = nowNanos;
        }
        return acceptedDataNanos;
    }

    /** Counts a part of the body of the current request. */
    void requestBytesReceived(int bytes) {
        if (!closed && bytes > 0) {
            requestBytes += bytes;
            heldBytes.add(bytes);
        }
    }

    /** Counts a part of a request that waits for the answer to an earlier one. */
    void requestQueued(int bytes) {
        if (!closed && bytes > 0) {
            queuedBytes += bytes;
            heldBytes.add(bytes);
        }
    }

    /** Releases a part of a request that no longer waits. */
    void requestDequeued(int bytes) {
        if (!closed && bytes > 0) {
            queuedBytes -= bytes;
            heldBytes.release(bytes);
        }
    }

    /** Sets how many bytes of the current answer are collected before they are written. */
    void setBufferedAnswerBytes(long bytes) {
        long added = closed ? 0 : bytes - bufferedBytes;
        bufferedBytes += added;
        if (added > 0) {
            heldBytes.add(added);
        } else if (added < 0) {
            heldBytes.release(-added);
        }
    }

    /** Releases the body of the current request and what is collected of its answer. */
    void requestEnded() {
        long released = requestBytes + bufferedBytes;
        requestBytes = 0;
        bufferedBytes = 0;
        if (released > 0) {
            heldBytes.release(released);
        }
    }

    /** Counts the unsent bytes of the connection after a write, unless all of it was sent. */
    void written(ChannelFuture write) {
        if (closed || write.isDone()) {
            return;
        }
        long pendingBytes = UnsentBytes.of(connection).pendingBytes();
        if (pendingBytes == 0) {
            return;
        }
        long nowNanos = System.nanoTime();
        if (unsentBytes == 0) {
            acceptedDataNanos = nowNanos;
            observedFirstMessageBytes = UnsentBytes.of(connection).firstMessageSentBytes();
            heldBytes.readerFellBehind(this);
        }
        acceptedDataNanos(nowNanos);
        lastWrite = write;
        write.addListener(sentListener);
        setUnsentBytes(pendingBytes);
    }

    /** Releases all counts when the connection is closed. */
    void closed() {
        if (closed) {
            return;
        }
        requestEnded();
        setUnsentBytes(0);
        heldBytes.release(queuedBytes);
        queuedBytes = 0;
        closed = true;
    }

    /** Closes the connection to free its memory. May be called from any thread. */
    void close() {
        if (connection.eventLoop().inEventLoop()) {
            connection.close();
            return;
        }
        connection.eventLoop().execute(connection::close);
    }

    private void sent(ChannelFuture write) {
        if (closed) {
            return;
        }
        acceptedDataNanos = System.nanoTime();
        observedFirstMessageBytes = 0;
        // The buffer still counts the message whose write has just completed, so it can't tell that nothing is left.
        setUnsentBytes(write == lastWrite ? 0 : UnsentBytes.of(connection).pendingBytes());
    }

    private void setUnsentBytes(long bytes) {
        long added = bytes - unsentBytes;
        unsentBytes = bytes;
        if (bytes == 0 && added < 0) {
            lastWrite = null;
            heldBytes.readerCaughtUp(this);
        }
        if (added > 0) {
            heldBytes.add(added);
        } else if (added < 0) {
            heldBytes.release(-added);
        }
    }
}
