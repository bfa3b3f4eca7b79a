package org.gooseberryhill.timeline;

import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes events to a separate file, for a system that is embedded in another program. Thread-safe.
 *
 * <p>Invariant: each line is written whole and flushed. The first disk error is logged, and later events are dropped; no
 * request fails because of it.
 */
public final class FileSink implements EventSink, Closeable {
    private static final Logger LOG = LogManager.getLogger(FileSink.class);

    private final BufferedWriter writer;
    private boolean failed;

    /**
     * Creates a sink that appends to {@code timeline-<process>.jsonl} in a folder, which is created if it is missing.
     */
    public FileSink(Path folder, String process) {
        try {
            Files.createDirectories(folder);
            writer = Files.newBufferedWriter(
                    folder.resolve("timeline-" + process + ".jsonl"),
                    StandardCharsets.UTF_8,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void accept(TimelineEvent event) {
        if (failed) {
            return;
        }
        try {
            writer.write(TimelineLineFormat.format(event) + "\n");
            writer.flush();
        } catch (IOException e) {
            failed = true;
            LOG.warn("cannot write the timeline; later events are dropped: {}", e.toString());
        }
    }

    @Override
    public synchronized void close() throws IOException {
        failed = true;
        writer.close();
    }
}
