package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The messages of pipelined requests that wait for the answer to an earlier request of their connection. Used only on the
 * connection's event loop.
 *
 * <p>Invariant: the connection counts the bytes of bodies for as long as they wait here.
 */
final class QueuedMessages {
    /**
     * Reading pauses while this many messages of pipelined requests are queued. Messages that were already read may exceed it.
     */
    private static final int MAX_QUEUED_MESSAGES = 64;

    private final Queue<HttpObject> messages = new ArrayDeque<>();
    private final ConnectionHold hold;

    QueuedMessages(ConnectionHold hold) {
        this.hold = hold;
    }

    void add(HttpObject message) {
        messages.add(message);
        hold.requestQueued(bodyBytes(message));
    }

    HttpObject poll() {
        HttpObject message = messages.poll();
        hold.requestDequeued(bodyBytes(message));
        return message;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    boolean isFull() {
        return messages.size() >= MAX_QUEUED_MESSAGES;
    }

    void releaseAll() {
        while (!messages.isEmpty()) {
            ReferenceCountUtil.release(poll());
        }
    }

    private static int bodyBytes(HttpObject message) {
        return message instanceof HttpContent content ? content.content().readableBytes() : 0;
    }
}
