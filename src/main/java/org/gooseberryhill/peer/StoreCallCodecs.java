package org.gooseberryhill.peer;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.external.ExternalServiceException.Kind;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Transaction;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Defines the compact codecs of key-value store calls that one host relays for another. Stateless. */
final class StoreCallCodecs {
    private StoreCallCodecs() {}

    static List<CompactCodec<?>> all() {
        return List.of(
                new CompactCodec<>(
                        21, GatewayMessage.StoreCall.class, StoreCallCodecs::writeCall, StoreCallCodecs::readCall),
                new CompactCodec<>(
                        22,
                        GatewayMessage.StoreAnswer.class,
                        StoreCallCodecs::writeAnswer,
                        StoreCallCodecs::readAnswer));
    }

    private static void writeCall(GatewayMessage.StoreCall call, MessagePacker packer) throws IOException {
        CompactFields.writeOptional(packer, call.readKey(), MessagePacker::packString);
        CompactFields.writeOptional(packer, call.listPrefix(), MessagePacker::packString);
        packer.packBoolean(call.mayBeStale());
        CompactFields.writeOptional(packer, call.write(), StoreCallCodecs::writeTransaction);
        CompactFields.writeOptional(packer, call.grantTtlMillis(), MessagePacker::packLong);
        CompactFields.writeOptional(packer, call.renewLeaseId(), MessagePacker::packLong);
    }

    private static GatewayMessage.StoreCall readCall(MessageUnpacker unpacker) throws IOException {
        return new GatewayMessage.StoreCall(
                CompactFields.readOptional(unpacker, MessageUnpacker::unpackString),
                CompactFields.readOptional(unpacker, MessageUnpacker::unpackString),
                unpacker.unpackBoolean(),
                CompactFields.readOptional(unpacker, StoreCallCodecs::readTransaction),
                CompactFields.readOptional(unpacker, MessageUnpacker::unpackLong),
                CompactFields.readOptional(unpacker, MessageUnpacker::unpackLong));
    }

    private static void writeTransaction(MessagePacker packer, Transaction transaction) throws IOException {
        CompactFields.writeList(packer, transaction.conditions(), StoreCallCodecs::writeCondition);
        CompactFields.writeList(packer, transaction.writes(), StoreCallCodecs::writeWrite);
    }

    private static Transaction readTransaction(MessageUnpacker unpacker) throws IOException {
        List<Transaction.Condition> conditions = CompactFields.readList(unpacker, StoreCallCodecs::readCondition);
        return new Transaction(conditions, CompactFields.readList(unpacker, StoreCallCodecs::readWrite));
    }

    private static void writeCondition(MessagePacker packer, Transaction.Condition condition) throws IOException {
        packer.packString(condition.key()).packString(condition.target().name()).packLong(condition.revision());
    }

    private static Transaction.Condition readCondition(MessageUnpacker unpacker) throws IOException {
        String key = unpacker.unpackString();
        return new Transaction.Condition(
                key, Transaction.Target.valueOf(unpacker.unpackString()), unpacker.unpackLong());
    }

    private static void writeWrite(MessagePacker packer, Transaction.Write write) throws IOException {
        packer.packString(write.key());
        CompactFields.writeOptional(packer, write.value(), CompactFields::writeBytes);
        CompactFields.writeOptional(packer, write.leaseId(), MessagePacker::packLong);
    }

    private static Transaction.Write readWrite(MessageUnpacker unpacker) throws IOException {
        String key = unpacker.unpackString();
        Optional<byte[]> value = CompactFields.readOptional(unpacker, CompactFields::readBytes);
        return new Transaction.Write(key, value, CompactFields.readOptional(unpacker, MessageUnpacker::unpackLong));
    }

    private static void writeAnswer(GatewayMessage.StoreAnswer answer, MessagePacker packer) throws IOException {
        boolean rejected = answer.failure().equals(Optional.of(Kind.REJECTED));
        Optional<Kind> failure = rejected ? Optional.of(Kind.UNKNOWN) : answer.failure();
        CompactFields.writeOptional(packer, failure.map(Enum::name), MessagePacker::packString);
        CompactFields.writeOptional(packer, answer.read(), StoreCallCodecs::writeReadResult);
        CompactFields.writeOptional(packer, answer.listing(), StoreCallCodecs::writeListing);
        CompactFields.writeOptional(packer, answer.written(), StoreCallCodecs::writeWriteResult);
        CompactFields.writeOptional(packer, answer.lease(), MessagePacker::packLong);
        // At the end, where earlier versions do not look for it: they do not know this kind of failure.
        packer.packBoolean(rejected);
    }

    private static GatewayMessage.StoreAnswer readAnswer(MessageUnpacker unpacker) throws IOException {
        Optional<Kind> failure = CompactFields.readOptional(unpacker, MessageUnpacker::unpackString)
                .map(Kind::valueOf);
        Optional<KeyValueStore.ReadResult> read = CompactFields.readOptional(unpacker, StoreCallCodecs::readReadResult);
        Optional<KeyValueStore.Listing> listing = CompactFields.readOptional(unpacker, StoreCallCodecs::readListing);
        Optional<KeyValueStore.WriteResult> written =
                CompactFields.readOptional(unpacker, StoreCallCodecs::readWriteResult);
        Optional<Long> lease = CompactFields.readOptional(unpacker, MessageUnpacker::unpackLong);
        boolean rejected = unpacker.hasNext() && unpacker.unpackBoolean();
        return new GatewayMessage.StoreAnswer(
                rejected ? Optional.of(Kind.REJECTED) : failure, read, listing, written, lease);
    }

    private static void writeReadResult(MessagePacker packer, KeyValueStore.ReadResult read) throws IOException {
        packer.packLong(read.revision()).packBoolean(read.more());
        CompactFields.writeList(packer, read.entries(), StoreCallCodecs::writeEntry);
    }

    private static KeyValueStore.ReadResult readReadResult(MessageUnpacker unpacker) throws IOException {
        long revision = unpacker.unpackLong();
        boolean more = unpacker.unpackBoolean();
        return new KeyValueStore.ReadResult(
                revision, CompactFields.readList(unpacker, StoreCallCodecs::readEntry), more);
    }

    private static void writeEntry(MessagePacker packer, KeyValueStore.Entry entry) throws IOException {
        packer.packString(entry.key()).packLong(entry.createRevision()).packLong(entry.modRevision());
        CompactFields.writeBytes(packer, entry.value());
    }

    private static KeyValueStore.Entry readEntry(MessageUnpacker unpacker) throws IOException {
        String key = unpacker.unpackString();
        long createRevision = unpacker.unpackLong();
        long modRevision = unpacker.unpackLong();
        return new KeyValueStore.Entry(key, CompactFields.readBytes(unpacker), createRevision, modRevision);
    }

    private static void writeListing(MessagePacker packer, KeyValueStore.Listing listing) throws IOException {
        packer.packLong(listing.revision());
        CompactFields.writeList(packer, listing.entries(), CompactFields::writeKeyChange);
    }

    private static KeyValueStore.Listing readListing(MessageUnpacker unpacker) throws IOException {
        return new KeyValueStore.Listing(
                unpacker.unpackLong(), CompactFields.readList(unpacker, CompactFields::readKeyChange));
    }

    private static void writeWriteResult(MessagePacker packer, KeyValueStore.WriteResult written) throws IOException {
        packer.packBoolean(written.succeeded()).packLong(written.revision());
    }

    private static KeyValueStore.WriteResult readWriteResult(MessageUnpacker unpacker) throws IOException {
        return new KeyValueStore.WriteResult(unpacker.unpackBoolean(), unpacker.unpackLong());
    }
}
