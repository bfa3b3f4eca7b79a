package org.gooseberryhill.logging;

import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.async.AsyncQueueFullPolicy;
import org.apache.logging.log4j.core.async.EventRoute;

/**
 * Drops and counts lines while the log's ring is full. Thread-safe.
 *
 * <p>Failure: nobody reads standard output, its writer waits, the ring fills, and the control thread waits with it: a host
 * that serves nothing since its log is blocked. Lines are lost instead, and their number is told afterwards.
 */
public final class DroppingQueueFullPolicy implements AsyncQueueFullPolicy {
    private static final LongAdder DROPPED = new LongAdder();

    /** How many lines were dropped so far. */
    public static long dropped() {
        return DROPPED.sum();
    }

    @Override
    public EventRoute getRoute(long backgroundThreadId, Level level) {
        DROPPED.increment();
        return EventRoute.DISCARD;
    }
}
