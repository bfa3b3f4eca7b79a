package org.gooseberryhill.timeline;

import java.util.Map;
import java.util.function.LongSupplier;
import org.gooseberryhill.link.HybridClock;

/**
 * Records the timeline events of one process. Thread-safe.
 *
 * <p>Invariant: writing never blocks; events dropped by the rate limit are counted and reported in a separate event.
 */
public final class Timeline {
    private final String process;
    private final HybridClock clock;
    private final EventSink sink;
    private final LongSupplier nowNanos;
    private final EventLimiter limiter = new EventLimiter();

    /** Creates the timeline of a process. */
    public Timeline(String process, HybridClock clock, EventSink sink) {
        this(process, clock, sink, System::nanoTime);
    }

    Timeline(String process, HybridClock clock, EventSink sink, LongSupplier nowNanos) {
        this.process = process;
        this.clock = clock;
        this.sink = sink;
        this.nowNanos = nowNanos;
    }

    /** Begins an event, which is recorded when {@link EventBuilder#write} is called. */
    public EventBuilder event(EventKind kind) {
        return new EventBuilder(kind, this::recordEvent);
    }

    private void recordEvent(EventBuilder event) {
        Map<EventKind, Integer> dropped;
        boolean withinLimit;
        synchronized (limiter) {
            long now = nowNanos.getAsLong();
            dropped = limiter.drainDropped(now);
            withinLimit = limiter.tryAcquire(event.kind(), now);
        }
        if (!dropped.isEmpty()) {
            EventBuilder droppedEvent = new EventBuilder(EventKind.LINES_DROPPED, this::recordEvent);
            dropped.forEach((kind, count) -> droppedEvent.with(kind.wireName(), count));
            sink.accept(droppedEvent.build(clock.now(), process));
        }
        if (withinLimit) {
            sink.accept(event.build(clock.now(), process));
        }
    }
}
