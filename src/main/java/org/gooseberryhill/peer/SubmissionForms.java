package org.gooseberryhill.peer;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Defines the compact encodings of messages about submissions that hosts with a disk store. Stateless. */
final class SubmissionForms {
    private SubmissionForms() {}

    static List<CompactForm<?>> all() {
        return List.of(
                new CompactForm<>(16, OutboxMessage.Put.class, SubmissionForms::writePut, SubmissionForms::readPut),
                new CompactForm<>(
                        17,
                        OutboxMessage.Kept.class,
                        (answer, packer) -> packer.packBoolean(answer.kept()),
                        unpacker -> new OutboxMessage.Kept(unpacker.unpackBoolean())),
                new CompactForm<>(
                        18,
                        OutboxMessage.Drop.class,
                        (drop, packer) -> BatchForms.writeRecord(packer.packString(drop.batch()), drop.record()),
                        unpacker -> new OutboxMessage.Drop(unpacker.unpackString(), BatchForms.readRecord(unpacker))),
                new CompactForm<>(
                        19,
                        OutboxMessage.StateAsk.class,
                        (ask, packer) -> {},
                        unpacker -> new OutboxMessage.StateAsk()),
                new CompactForm<>(
                        20,
                        OutboxMessage.State.class,
                        (state, packer) -> packer.packInt(state.submissions()),
                        unpacker -> new OutboxMessage.State(unpacker.unpackInt())));
    }

    private static void writePut(OutboxMessage.Put put, MessagePacker packer) throws IOException {
        BatchForms.writeRecord(packer.packString(put.batch()), put.record());
        CompactFields.writeBytes(packer, put.body());
    }

    private static OutboxMessage.Put readPut(MessageUnpacker unpacker) throws IOException {
        return new OutboxMessage.Put(
                unpacker.unpackString(), BatchForms.readRecord(unpacker), CompactFields.readBytes(unpacker));
    }
}
