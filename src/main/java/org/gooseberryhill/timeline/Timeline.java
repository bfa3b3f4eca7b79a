package org.gooseberryhill.timeline;

import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.link.HybridClock;
import org.gooseberryhill.link.Json;

/**
 * The part of the time line that one process writes, one JSON event a line. Thread-safe.
 *
 * <p>Invariant: lines are whole and flushed one by one, so a killed process leaves all but its last event. A disk
 * error is logged once and never stops a request.
 */
public final class Timeline implements Closeable {
    private static final Logger LOG = LogManager.getLogger(Timeline.class);

    private final String process;
    private final HybridClock clock;
    private final Optional<BufferedWriter> writer;
    private boolean failed;

    private Timeline(String process, HybridClock clock, Optional<BufferedWriter> writer) {
        this.process = process;
        this.clock = clock;
        this.writer = writer;
    }

    /** A time line that appends to {@code timeline-<process>.jsonl} in a folder; without a folder it keeps nothing. */
    public static Timeline open(String process, HybridClock clock, Optional<Path> folder) {
        return new Timeline(process, clock, folder.map(path -> openWriter(path, process)));
    }

    /** Writes an event that concerns no request, job or endpoint. */
    public void event(String kind, String detail) {
        write(kind, Optional.empty(), Optional.empty(), Optional.empty(), detail);
    }

    /** Writes an event of a request. */
    public void request(String kind, String request, Optional<String> endpoint, String detail) {
        write(kind, Optional.of(request), Optional.empty(), endpoint, detail);
    }

    /** Writes an event of a job. */
    public void job(String kind, String job, Optional<String> endpoint, String detail) {
        write(kind, Optional.empty(), Optional.of(job), endpoint, detail);
    }

    /** Writes an event of an endpoint. */
    public void endpoint(String kind, String endpoint, String detail) {
        write(kind, Optional.empty(), Optional.empty(), Optional.of(endpoint), detail);
    }

    @Override
    public synchronized void close() throws IOException {
        if (writer.isPresent()) {
            writer.get().close();
        }
    }

    private synchronized void write(
            String kind, Optional<String> request, Optional<String> job, Optional<String> endpoint, String detail) {
        if (writer.isEmpty() || failed) {
            return;
        }
        TimelineEvent event = new TimelineEvent(clock.now(), process, kind, request, job, endpoint, detail);
        try {
            writer.get().write(Json.text(event) + "\n");
            writer.get().flush();
        } catch (IOException e) {
            failed = true;
            LOG.warn("the time line can't be written any more: {}", e.toString());
        }
    }

    private static BufferedWriter openWriter(Path folder, String process) {
        try {
            Files.createDirectories(folder);
            return Files.newBufferedWriter(
                    folder.resolve("timeline-" + process + ".jsonl"),
                    StandardCharsets.UTF_8,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
