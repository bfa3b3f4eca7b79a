package org.gooseberryhill.outbox;

import io.vavr.control.Try;
import java.io.IOException;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.stored.StoredValueCodec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes submissions on disk, as MessagePack. Stateless. */
final class OutboxEntryCodec {
    private OutboxEntryCodec() {}

    static byte[] write(OutboxEntry entry) throws IOException {
        byte[] record = StoredValueCodec.write(entry.record());
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString(entry.batch()).packLong(entry.storedAtMillis());
            packer.packBinaryHeader(record.length).writePayload(record);
            packer.packBinaryHeader(entry.body().length).writePayload(entry.body());
            return packer.toByteArray();
        }
    }

    static Try<OutboxEntry> read(byte[] content) {
        return Try.of(() -> {
            try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
                String batch = unpacker.unpackString();
                long storedAtMillis = unpacker.unpackLong();
                BatchRecord record = StoredValueCodec.readRecord(readBytes(unpacker, content.length))
                        .get();
                byte[] body = readBytes(unpacker, content.length);
                return new OutboxEntry(batch, record, body, storedAtMillis);
            }
        });
    }

    private static byte[] readBytes(MessageUnpacker unpacker, int maxBytes) throws IOException {
        int size = unpacker.unpackBinaryHeader();
        // The array is allocated before its content is read.
        if (size > maxBytes) {
            throw new IOException("a field of " + size + " bytes exceeds its file");
        }
        return unpacker.readPayload(size);
    }
}
