package org.gooseberryhill.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes one message type field by field. Immutable.
 *
 * @param <M> the message type
 * @param code identifies the type in frames; never reused for another type
 * @param type the class of the message type
 * @param writer writes the fields
 * @param reader reads the fields in the same order
 */
record CompactCodec<M extends PeerMessage>(int code, Class<M> type, Writer<M> writer, Reader<M> reader) {
    /** Writes the fields of a message, which must be of this type. */
    void write(PeerMessage message, MessagePacker packer) throws IOException {
        writer.write(type.cast(message), packer);
    }

    /** Writes the fields of a message. */
    @FunctionalInterface
    interface Writer<M> {
        void write(M message, MessagePacker packer) throws IOException;
    }

    /** Reads the fields of a message. */
    @FunctionalInterface
    interface Reader<M> {
        M read(MessageUnpacker unpacker) throws IOException;
    }
}
