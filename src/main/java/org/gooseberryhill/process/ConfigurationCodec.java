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
 * Encodes a configuration for the key-value store as gzip-compressed JSON. Stateless.
 *
 * <p>Each watcher receives the whole value on each change; uncompressed, at the planned size, that would use up the
 * 13 KB/s that a node may spend (docs/CAPACITY.md).
 */
public final class ConfigurationCodec {
    /** Limit on the decompressed size, as a guard against values that this system did not write. */
    private static final int MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024;

    private ConfigurationCodec() {}

    /** Encodes a record. */
    public static byte[] encode(ConfigurationRecord record) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
            gzip.write(Json.bytes(record));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Decodes a record; the failure tells what is wrong with the value. */
    public static Try<ConfigurationRecord> decode(byte[] value) {
        return Try.of(() -> {
                    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(value))) {
                        return gzip.readNBytes(MAX_DECOMPRESSED_BYTES);
                    }
                })
                .flatMap(json -> Json.read(json, ConfigurationRecord.class));
    }
}
