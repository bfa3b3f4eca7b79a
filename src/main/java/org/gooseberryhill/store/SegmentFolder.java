package org.gooseberryhill.store;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Stores segments as files in one data folder. Thread-safe.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A segment is on the disk when {@link #put} returns.
 *   <li>A segment is visible either complete or not at all: it is written to a temporary file, synced, and moved to its
 *       final name atomically.
 *   <li>A segment whose checksum does not match is renamed and counts as missing, so that a copy from another
 *       availability zone can replace it.
 *   <li>The content of a name never changes.
 * </ul>
 */
public final class SegmentFolder {
    private static final Logger LOG = LogManager.getLogger(SegmentFolder.class);
    private static final Pattern VALID_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_.-]{0,250}");

    /** The first four bytes of a segment's file: "GBS1" in ASCII. */
    private static final int MAGIC = 0x47425331;

    /** Size of the header: magic number, length of the content and checksum. */
    private static final int HEADER_BYTES = 4 + 4 + 8;

    private static final String SEGMENT_SUFFIX = ".segment";
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private final Path folder;
    private final AtomicLong temporaryFileCounter = new AtomicLong();

    /** Opens a data folder, creates it if it is missing, and deletes the temporary files in it. */
    public SegmentFolder(Path folder) {
        this.folder = folder;
        try {
            Files.createDirectories(folder);
            deleteTemporaryFiles();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns whether a text is a valid segment name, which is safe as a file name. */
    public static boolean isValidName(String name) {
        return VALID_NAME.matcher(name).matches();
    }

    /** Stores a segment durably; does nothing if a segment of this name exists. */
    public void put(String name, byte[] content) throws IOException {
        requireValid(name);
        if (Files.exists(path(name))) {
            return;
        }
        Path temporary = folder.resolve(name + "." + temporaryFileCounter.incrementAndGet() + TEMPORARY_SUFFIX);
        try (FileChannel channel =
                FileChannel.open(temporary, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            ByteBuffer buffer = frame(content);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(true);
        }
        Files.move(temporary, path(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncDirectory();
    }

    /** Returns the content of a segment; empty if the segment is missing or damaged. */
    public Optional<byte[]> get(String name) throws IOException {
        requireValid(name);
        byte[] file;
        try {
            file = Files.readAllBytes(path(name));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        }
        Optional<byte[]> content = unframe(file);
        if (content.isEmpty()) {
            LOG.warn("segment {} is damaged; its file is renamed to {}.damaged", name, name);
            Files.move(path(name), folder.resolve(name + ".damaged"), StandardCopyOption.REPLACE_EXISTING);
        }
        return content;
    }

    /** Deletes a segment durably; does nothing if it does not exist. */
    public void delete(String name) throws IOException {
        requireValid(name);
        if (Files.deleteIfExists(path(name))) {
            syncDirectory();
        }
    }

    /** Returns whether the file of a segment exists; does not verify its checksum. */
    public boolean has(String name) {
        return isValidName(name) && Files.exists(path(name));
    }

    /** Returns the names of all segments, sorted. */
    public List<String> names() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(SEGMENT_SUFFIX))
                    .map(name -> name.substring(0, name.length() - SEGMENT_SUFFIX.length()))
                    .sorted()
                    .toList();
        }
    }

    /**
     * Syncs the directory. Without this, a power loss may undo the creation or deletion of a file although its content
     * was synced.
     */
    private void syncDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    /** Deletes files that a crashed process did not finish writing; they were never reported as stored. */
    private void deleteTemporaryFiles() throws IOException {
        List<Path> temporaryFiles;
        try (Stream<Path> files = Files.list(folder)) {
            temporaryFiles = files.filter(file -> file.getFileName().toString().endsWith(TEMPORARY_SUFFIX))
                    .toList();
        }
        for (Path file : temporaryFiles) {
            try {
                Files.deleteIfExists(file);
            } catch (IOException e) {
                // It takes up space, but no segment has its name.
                LOG.warn("the temporary file {} can't be deleted: {}", file.getFileName(), e.toString());
            }
        }
    }

    private Path path(String name) {
        return folder.resolve(name + SEGMENT_SUFFIX);
    }

    private static ByteBuffer frame(byte[] content) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + content.length);
        buffer.putInt(MAGIC).putInt(content.length).putLong(checksum(content, 0, content.length));
        buffer.put(content).flip();
        return buffer;
    }

    private static Optional<byte[]> unframe(byte[] file) {
        if (file.length < HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(file);
        boolean headerFits = buffer.getInt() == MAGIC && buffer.getInt() == file.length - HEADER_BYTES;
        if (!headerFits || buffer.getLong() != checksum(file, HEADER_BYTES, file.length - HEADER_BYTES)) {
            return Optional.empty();
        }
        byte[] content = new byte[file.length - HEADER_BYTES];
        buffer.get(content);
        return Optional.of(content);
    }

    private static long checksum(byte[] bytes, int offset, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, offset, length);
        return checksum.getValue();
    }

    private static void requireValid(String name) {
        if (!isValidName(name)) {
            throw new IllegalArgumentException("not a segment's name: " + name);
        }
    }
}
