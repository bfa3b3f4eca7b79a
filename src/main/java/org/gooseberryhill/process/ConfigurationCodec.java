package org.gooseberryhill.process;

import io.vavr.control.Try;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.gooseberryhill.decision.configuration.ConfigurationRecord;
import org.gooseberryhill.link.Json;

/**
 * The form in which the key-value service holds a configuration: compressed JSON. Stateless.
 *
 * <p>Each watcher gets the whole value with each change; at the planned size the plain text would take all of the
 * 13 KB/s that a node may spend (docs/CAPACITY.md).
 */
public final class ConfigurationCodec {
    /** What decompression may bring at the most: a guard against a value that was not written by this system. */
    private static final int MAX_BYTES = 16 * 1024 * 1024;

    private ConfigurationCodec() {}

    /** Compresses a record. */
    public static byte[] encode(ConfigurationRecord record) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
            gzip.write(Json.bytes(record));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Reads a record back; a failure tells what is wrong with the value. */
    public static Try<ConfigurationRecord> decode(byte[] value) {
        return Try.of(() -> {
                    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(value))) {
                        return gzip.readNBytes(MAX_BYTES);
                    }
                })
                .flatMap(json -> Json.read(json, ConfigurationRecord.class));
    }
}
