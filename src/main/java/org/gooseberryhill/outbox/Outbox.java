package org.gooseberryhill.outbox;

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
import org.gooseberryhill.store.SegmentFolder;

/**
 * Stores submissions on one host's disk. Thread-safe: a single thread performs all disk operations, in the order of the
 * calls.
 *
 * <p>Invariants: once {@link #put} has completed, the submission survives a power failure. A damaged submission is
 * treated as missing.
 */
final class Outbox implements Closeable {
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

    /** Reads all undamaged submissions. */
    CompletableFuture<List<OutboxEntry>> readAll() {
        return onDisk(() -> {
            List<OutboxEntry> entries = new ArrayList<>();
            for (String name : folder.names()) {
                readEntry(name).ifPresent(entries::add);
            }
            return entries;
        });
    }

    @Override
    public void close() {
        disk.shutdown();
    }

    private Optional<OutboxEntry> readEntry(String name) throws IOException {
        return folder.get(name)
                .flatMap(content -> OutboxEntryCodec.read(content).toJavaOptional());
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
