package org.gooseberryhill.peer;

import java.io.IOException;
import java.util.List;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Defines the compact codecs of messages about submissions that hosts with a disk store. Stateless. */
final class SubmissionCodecs {
    private SubmissionCodecs() {}

    static List<CompactCodec<?>> all() {
        return List.of(
                new CompactCodec<>(16, OutboxMessage.Put.class, SubmissionCodecs::writePut, SubmissionCodecs::readPut),
                new CompactCodec<>(
                        17,
                        OutboxMessage.Stored.class,
                        (reply, packer) -> packer.packBoolean(reply.stored()),
                        unpacker -> new OutboxMessage.Stored(unpacker.unpackBoolean())),
                new CompactCodec<>(
                        18,
                        OutboxMessage.Drop.class,
                        (drop, packer) -> BatchCodecs.writeRecord(packer.packString(drop.batch()), drop.record()),
                        unpacker -> new OutboxMessage.Drop(unpacker.unpackString(), BatchCodecs.readRecord(unpacker))),
                new CompactCodec<>(
                        19,
                        OutboxMessage.StateRequest.class,
                        (request, packer) -> {},
                        unpacker -> new OutboxMessage.StateRequest()),
                new CompactCodec<>(
                        20,
                        OutboxMessage.State.class,
                        (state, packer) -> packer.packInt(state.submissions()),
                        unpacker -> new OutboxMessage.State(unpacker.unpackInt())));
    }

    private static void writePut(OutboxMessage.Put put, MessagePacker packer) throws IOException {
        BatchCodecs.writeRecord(packer.packString(put.batch()), put.record());
        CompactFields.writeBytes(packer, put.body());
        BatchCodecs.writeAccount(packer, put.record());
    }

    private static OutboxMessage.Put readPut(MessageUnpacker unpacker) throws IOException {
        String batch = unpacker.unpackString();
        BatchRecord record = BatchCodecs.readRecord(unpacker);
        byte[] body = CompactFields.readBytes(unpacker);
        return new OutboxMessage.Put(batch, BatchCodecs.readAccount(unpacker, record), body);
    }
}
