package org.gooseberryhill.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.gooseberryhill.timeline.EventKind;
import org.gooseberryhill.timeline.EventSink;
import org.gooseberryhill.timeline.Importance;
import org.gooseberryhill.timeline.TimelineEvent;

/**
 * Writes a process's events to standard output. Thread-safe.
 *
 * <p>Waking the writer thread costs more than formatting a line. Routine events are therefore buffered until
 * {@link #flush} or until the buffer reaches a threshold; any other event is written at once, together with the events
 * before it.
 *
 * <p>Events bypass the logging library, whose initialization takes one sixth of a process's start-up time, while
 * callers wait for a restarted process. The library writes all other messages and is initialized with the first of
 * them.
 *
 * <p>Invariant: events are written in the order in which they were accepted.
 */
public final class StandardOutputSink implements EventSink {
    /** The number of buffered events at which {@link #accept} flushes the buffer. */
    static final int FLUSH_THRESHOLD = 64;

    private static final Set<String> ROUTINE_KINDS = Arrays.stream(EventKind.values())
            .filter(kind -> kind.importance() == Importance.ROUTINE)
            .map(EventKind::wireName)
            .collect(Collectors.toUnmodifiableSet());

    /** The levels above INFO, the level of events. */
    private static final Set<String> LEVELS_WITHOUT_EVENTS = Set.of("WARN", "ERROR", "FATAL", "OFF");

    private final boolean enabled;
    private final AsyncLineWriter writer;
    private final List<TimelineEvent> buffer = new ArrayList<>();

    /** Creates a sink to standard output with the minimum level set in the environment. */
    public StandardOutputSink() {
        this(
                new FileOutputStream(FileDescriptor.out),
                System.getenv().getOrDefault(LineConfiguration.LEVEL_VARIABLE, "INFO"));
    }

    /** Creates a sink that writes nothing if the minimum level is above that of events. */
    StandardOutputSink(OutputStream stream, String minimumLevel) {
        this.enabled = !LEVELS_WITHOUT_EVENTS.contains(minimumLevel.toUpperCase(Locale.ROOT));
        this.writer = new AsyncLineWriter(stream);
    }

    @Override
    public synchronized void accept(TimelineEvent event) {
        if (!enabled) {
            return;
        }
        buffer.add(event);
        if (!ROUTINE_KINDS.contains(event.kind()) || buffer.size() >= FLUSH_THRESHOLD) {
            flush();
        }
    }

    @Override
    public synchronized void flush() {
        if (!buffer.isEmpty()) {
            writer.enqueue(buffer);
            buffer.clear();
        }
    }

    /** Returns the number of lines dropped because nobody read standard output. */
    public long droppedLines() {
        return writer.droppedLines();
    }

    /** Writes all accepted events; gives up after a timeout in milliseconds, since nobody may be reading. */
    public void flushAndAwait(long timeoutMillis) {
        flush();
        writer.awaitWritten(timeoutMillis);
    }
}
