package org.gooseberryhill.timeline;

/** Receives the events of one process. Thread-safe; never blocks on a disk, a reader or a long-held lock. */
@FunctionalInterface
public interface EventSink {
    /** Accepts an event. */
    void accept(TimelineEvent event);

    /** Writes buffered events; must be called several times a second. */
    default void flush() {
        // A sink without a buffer has nothing to flush.
    }
}
