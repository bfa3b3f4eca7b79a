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
 * Writes a process's events to its standard output. Thread-safe.
 *
 * <p>Each hand-over wakes the thread that writes, which costs more than the lines: events of the ordinary course wait for
 * others until {@link #flush} or until they are many; any other event goes at once, and those before it with it.
 *
 * <p>Not through the logging library: its start takes a sixth of a process's start, and a process that starts again after a
 * loss has callers waiting. The library writes all messages that are no events, and starts with the first of them.
 *
 * <p>Invariant: events are written in the order in which they came.
 */
public final class LogSink implements EventSink {
    /** So many are worth a hand-over of their own. */
    static final int MANY = 64;

    private static final Set<String> ROUTINE_KINDS = Arrays.stream(EventKind.values())
            .filter(kind -> kind.importance() == Importance.ROUTINE)
            .map(EventKind::wireName)
            .collect(Collectors.toUnmodifiableSet());

    /** Levels above that of events, which is INFO. */
    private static final Set<String> LEVELS_WITHOUT_EVENTS = Set.of("WARN", "ERROR", "FATAL", "OFF");

    private final boolean written;
    private final LineOutput output;
    private final List<TimelineEvent> waiting = new ArrayList<>();

    /** A sink to this process's standard output, at the level that its environment asks for. */
    public LogSink() {
        this(
                new FileOutputStream(FileDescriptor.out),
                System.getenv().getOrDefault(LineConfiguration.LEVEL_VARIABLE, "INFO"));
    }

    /** A sink that writes nothing if the least level that is written lies above that of events. */
    LogSink(OutputStream out, String leastLevel) {
        this.written = !LEVELS_WITHOUT_EVENTS.contains(leastLevel.toUpperCase(Locale.ROOT));
        this.output = new LineOutput(out);
    }

    @Override
    public synchronized void take(TimelineEvent event) {
        if (!written) {
            return;
        }
        waiting.add(event);
        if (!ROUTINE_KINDS.contains(event.kind()) || waiting.size() >= MANY) {
            flush();
        }
    }

    @Override
    public synchronized void flush() {
        if (!waiting.isEmpty()) {
            output.write(waiting);
            waiting.clear();
        }
    }

    /** How many lines were dropped, since nobody read them. */
    public long droppedLines() {
        return output.droppedLines();
    }

    /** Writes all that was taken, in a time in milliseconds at the most: nobody may be reading. */
    public void finish(long millis) {
        flush();
        output.await(millis);
    }
}
