package org.gooseberryhill.outbox;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the storage of submissions on a disk. */
class OutboxTest {
    @TempDir
    Path folder;

    private Outbox outbox;

    @AfterEach
    void close() {
        outbox.close();
    }

    @Test
    void aStoredSubmissionIsThereAfterARestart() {
        open();
        outbox.put(entry("b", "owner")).join();
        outbox.close();

        open();

        OutboxEntry found = outbox.readAll().join().get(0);
        assertThat(found.batch()).isEqualTo("b");
        assertThat(found.record()).isEqualTo(record("owner"));
        assertThat(found.storedAtMillis()).isEqualTo(77);
        assertThat(found.body()).isEqualTo("items".getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void aDeletedSubmissionIsGone() {
        open();
        outbox.put(entry("b", "owner")).join();

        outbox.delete(entry("b", "owner").name()).join();

        assertThat(outbox.readAll().join()).isEmpty();
        assertThat(outbox.read(entry("b", "owner").name()).join()).isEmpty();
    }

    /** A deletion that is requested while the write is still in progress must not overtake it. */
    @Test
    void aDeletionRequestedDuringAWriteIsDoneAfterIt() {
        open();
        outbox.put(entry("b", "owner"));

        outbox.delete(entry("b", "owner").name()).join();

        assertThat(outbox.readAll().join()).isEmpty();
    }

    /** If two gateways accept the same batch, both run it until the key-value store decides which of them owns it. */
    @Test
    void theSameBatchFromTwoGatewaysIsStoredTwice() {
        open();
        outbox.put(entry("b", "one")).join();
        outbox.put(entry("b", "two")).join();

        assertThat(outbox.readAll().join()).hasSize(2);
    }

    /** A power failure during a write may leave a truncated file. */
    @Test
    void aDamagedSubmissionCountsAsMissing() throws IOException {
        open();
        outbox.put(entry("a", "owner")).join();
        outbox.put(entry("b", "owner")).join();
        Path file = files().get(0);
        byte[] content = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(content, content.length - 3));

        assertThat(outbox.readAll().join()).hasSize(1);
    }

    /** Guards against submissions that are not recovered, and a host that does not start, because of a file beside them. */
    @Test
    void filesThatCantBeReadKeepNoOtherFromBeingRead() throws IOException {
        open();
        outbox.put(entry("b", "owner")).join();
        outbox.close();
        for (String name : List.of("!invalid.segment", "a.segment", "z.segment", "left.tmp")) {
            Files.createDirectories(folder.resolve(name).resolve("not-empty"));
        }

        open();

        assertThat(outbox.readAll().join()).extracting(OutboxEntry::batch).containsExactly("b");
    }

    private void open() {
        outbox = new Outbox(folder);
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(".segment")).toList();
        }
    }

    private static OutboxEntry entry(String batch, String owner) {
        return new OutboxEntry(batch, record(owner), "items".getBytes(StandardCharsets.UTF_8), 77);
    }

    private static BatchRecord record(String owner) {
        return new BatchRecord("h", "/b/1", "hash", owner, "1", 5, 1, 3, false, List.of(), 0, Optional.empty());
    }
}
