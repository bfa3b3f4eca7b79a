package org.gooseberryhill.outbox;

import io.vavr.Lazy;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.logging.LazyLoggers;
import org.gooseberryhill.store.SegmentFolder;

/**
 * Stores submissions on one host's disk. Thread-safe: a single thread performs all disk operations, in the order of the
 * calls.
 *
 * <p>Invariants: once {@link #put} has completed, the submission survives a power failure. A damaged submission is
 * treated as missing and keeps no other from being read.
 */
final class Outbox implements Closeable {
    private static final Lazy<Logger> LOG = LazyLoggers.of(Outbox.class);

    private final SegmentFolder folder;
    private final ExecutorService disk = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "disk");
        thread.setDaemon(true);
        return thread;
    });

    Outbox(Path folder) {
        this.folder = new SegmentFolder(folder);
    }

    /** Stores a submission; completes when it is durable. */
    CompletableFuture<Void> put(OutboxEntry entry) {
        return onDisk(() -> {
            folder.put(entry.name(), OutboxEntryCodec.write(entry));
            return null;
        });
    }

    /** Deletes a submission; completes when the deletion is durable. */
    CompletableFuture<Void> delete(String name) {
        return onDisk(() -> {
            folder.delete(name);
            return null;
        });
    }

    /** Reads a submission; empty if it does not exist or its file is damaged. */
    CompletableFuture<Optional<OutboxEntry>> read(String name) {
        return onDisk(() -> readEntry(name));
    }

    /** Reads all undamaged submissions; logs the others. */
    CompletableFuture<List<OutboxEntry>> readAll() {
        return onDisk(() -> {
            List<OutboxEntry> entries = new ArrayList<>();
            for (String name : folder.names()) {
                readLogged(name).ifPresent(entries::add);
            }
            return entries;
        });
    }

    @Override
    public void close() {
        disk.shutdown();
    }

    private Optional<OutboxEntry> readLogged(String name) {
        try {
            return readEntry(name);
        } catch (IOException | RuntimeException e) {
            LOG.get().warn("the submission {} can't be read: {}", name, e.toString());
            return Optional.empty();
        }
    }

    private Optional<OutboxEntry> readEntry(String name) throws IOException {
        return folder.get(name)
                .flatMap(content -> OutboxEntryCodec.read(content)
                        .onFailure(
                                failure -> LOG.get().warn("the submission {} is invalid: {}", name, failure.toString()))
                        .toJavaOptional());
    }

    private <T> CompletableFuture<T> onDisk(DiskOperation<T> operation) {
        Supplier<T> supplier = () -> {
            try {
                return operation.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
        return CompletableFuture.supplyAsync(supplier, disk);
    }

    /** An operation that blocks on the disk. */
    @FunctionalInterface
    private interface DiskOperation<T> {
        T run() throws IOException;
    }
}
