package org.gooseberryhill.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SegmentFolderTest {
    private static final byte[] CONTENT = "line one\nline two\n".getBytes(StandardCharsets.UTF_8);

    @TempDir
    private Path folder;

    private SegmentFolder segments;

    @BeforeEach
    void open() {
        segments = new SegmentFolder(folder);
    }

    @Test
    void aSegmentIsReadAsItWasWrittenAlsoAfterARestart() throws IOException {
        segments.put("items.a.b.0.x", CONTENT);

        assertThat(new SegmentFolder(folder).get("items.a.b.0.x")).contains(CONTENT);
        assertThat(segments.names()).containsExactly("items.a.b.0.x");
    }

    /** The file is truncated at each length: the segment counts as missing and is never read as a shorter one. */
    @Test
    void aTruncatedSegmentCountsAsMissing() throws IOException {
        segments.put("s", CONTENT);
        Path file = folder.resolve("s.segment");
        byte[] intactFile = Files.readAllBytes(file);
        for (int length = 0; length < intactFile.length; length++) {
            Files.write(file, Arrays.copyOf(intactFile, length));
            assertThat(segments.get("s")).as("%d bytes left", length).isEmpty();
        }
    }

    @Test
    void aDeletedSegmentIsGoneAlsoAfterARestart() throws IOException {
        segments.put("s", CONTENT);

        segments.delete("s");
        segments.delete("s");

        assertThat(new SegmentFolder(folder).names()).isEmpty();
        assertThat(segments.get("s")).isEmpty();
    }

    /**
     * A process crashes during a write: its temporary file would take disk space forever if the next process did not
     * delete it.
     */
    @Test
    void temporaryFilesOfACrashedProcessAreDeleted() throws IOException {
        Files.write(folder.resolve("s.1.tmp"), CONTENT);

        new SegmentFolder(folder);

        assertThat(folder.resolve("s.1.tmp")).doesNotExist();
    }

    /** A single byte is corrupted on the disk, at each position in turn; such a segment must never be returned. */
    @Test
    void aDamagedSegmentCountsAsMissingAndIsRenamed() throws IOException {
        segments.put("s", CONTENT);
        Path file = folder.resolve("s.segment");
        byte[] intactFile = Files.readAllBytes(file);
        for (int position = 0; position < intactFile.length; position++) {
            byte[] damaged = intactFile.clone();
            damaged[position] ^= 0x20;
            Files.write(file, damaged);
            assertThat(segments.get("s")).as("byte %d changed", position).isEmpty();
            assertThat(segments.has("s")).isFalse();
        }
    }

    @Test
    void aDamagedSegmentIsReplacedByACopy() throws IOException {
        segments.put("s", CONTENT);
        Files.write(folder.resolve("s.segment"), new byte[] {1, 2, 3});
        segments.get("s");
        segments.put("s", CONTENT);

        assertThat(segments.get("s")).contains(CONTENT);
    }

    /** The process was killed during a write: its temporary file does not count as a segment. */
    @Test
    void aTemporaryFileIsNotASegment() throws IOException {
        Files.write(folder.resolve("s.1.tmp"), new byte[] {1});

        assertThat(segments.names()).isEmpty();
        assertThat(segments.has("s")).isFalse();
    }

    @Test
    void aNameWithAPathOutsideTheFolderIsRefused() {
        assertThatThrownBy(() -> segments.put("../s", CONTENT)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> segments.get("/etc/passwd")).isInstanceOf(IllegalArgumentException.class);
    }
}
