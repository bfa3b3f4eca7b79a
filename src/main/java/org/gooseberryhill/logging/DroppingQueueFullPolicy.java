package org.gooseberryhill.logging;

import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.async.AsyncQueueFullPolicy;
import org.apache.logging.log4j.core.async.EventRoute;

/**
 * Drops and counts log messages while the ring buffer of the asynchronous loggers is full. Thread-safe.
 *
 * <p>Guards against a host that stops serving because its log is blocked: if nobody reads standard output, its writer
 * blocks, the ring buffer fills, and the control thread would block on it. Messages are dropped instead, and their
 * number can be queried.
 */
public final class DroppingQueueFullPolicy implements AsyncQueueFullPolicy {
    private static final LongAdder DROPPED = new LongAdder();

    /** Returns the number of messages dropped so far. */
    public static long droppedCount() {
        return DROPPED.sum();
    }

    @Override
    public EventRoute getRoute(long backgroundThreadId, Level level) {
        DROPPED.increment();
        return EventRoute.DISCARD;
    }
}
