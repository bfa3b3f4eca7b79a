package org.gooseberryhill.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.external.KeyChange;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads the field types that several compact codecs share. Stateless. */
final class CompactFields {
    private CompactFields() {}

    static void writeBytes(MessagePacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackBinaryHeader();
        // The array is allocated before its content is read, and a damaged header may announce gigabytes.
        if (size > PeerCodec.MAX_FRAME_BYTES) {
            throw new IOException("a frame cannot contain " + size + " bytes");
        }
        return unpacker.readPayload(size);
    }

    static <T> void writeOptional(MessagePacker packer, Optional<T> value, Writer<T> writer) throws IOException {
        if (value.isEmpty()) {
            packer.packNil();
            return;
        }
        writer.write(packer, value.get());
    }

    /** Reads an optional value; nil means absent, so the reader's type must never be encoded as nil. */
    static <T> Optional<T> readOptional(MessageUnpacker unpacker, Reader<T> reader) throws IOException {
        return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(reader.read(unpacker));
    }

    static <T> void writeList(MessagePacker packer, Collection<T> values, Writer<T> writer) throws IOException {
        packer.packArrayHeader(values.size());
        for (T value : values) {
            writer.write(packer, value);
        }
    }

    static <T> List<T> readList(MessageUnpacker unpacker, Reader<T> reader) throws IOException {
        int size = unpacker.unpackArrayHeader();
        List<T> values = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            values.add(reader.read(unpacker));
        }
        return values;
    }

    static void writeKeyChange(MessagePacker packer, KeyChange change) throws IOException {
        packer.packString(change.key()).packLong(change.revision());
        writeOptional(packer, change.value(), CompactFields::writeBytes);
    }

    static KeyChange readKeyChange(MessageUnpacker unpacker) throws IOException {
        String key = unpacker.unpackString();
        long revision = unpacker.unpackLong();
        return new KeyChange(key, readOptional(unpacker, CompactFields::readBytes), revision);
    }

    /** Writes one value. */
    @FunctionalInterface
    interface Writer<T> {
        void write(MessagePacker packer, T value) throws IOException;
    }

    /** Reads one value. */
    @FunctionalInterface
    interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }
}
