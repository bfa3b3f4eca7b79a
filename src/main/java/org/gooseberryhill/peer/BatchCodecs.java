package org.gooseberryhill.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.decision.access.BatchAccess;
import org.gooseberryhill.decision.requestbatch.BatchPage;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.ItemCheckpoint;
import org.gooseberryhill.decision.requestbatch.ItemResult;
import org.gooseberryhill.decision.requestbatch.ItemState;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Defines the compact codecs of messages about request batches. Stateless. */
final class BatchCodecs {
    private BatchCodecs() {}

    static List<CompactCodec<?>> all() {
        return List.of(
                new CompactCodec<>(
                        6,
                        GatewayMessage.BatchNotice.class,
                        (notice, packer) -> packer.packString(notice.batch()),
                        unpacker -> new GatewayMessage.BatchNotice(unpacker.unpackString())),
                new CompactCodec<>(
                        7,
                        GatewayMessage.ResultsRequest.class,
                        (request, packer) -> writeAccess(
                                packer.packString(request.batch())
                                        .packInt(request.after())
                                        .packLong(request.waitMillis()),
                                request.access()),
                        unpacker -> new GatewayMessage.ResultsRequest(
                                unpacker.unpackString(),
                                unpacker.unpackInt(),
                                unpacker.unpackLong(),
                                readAccess(unpacker))),
                new CompactCodec<>(
                        8,
                        GatewayMessage.Results.class,
                        (results, packer) ->
                                CompactFields.writeOptional(packer, results.page(), BatchCodecs::writePage),
                        unpacker -> new GatewayMessage.Results(
                                CompactFields.readOptional(unpacker, BatchCodecs::readPage))),
                new CompactCodec<>(
                        9,
                        GatewayMessage.ItemBodyRequest.class,
                        (request, packer) -> writeAccess(
                                packer.packString(request.batch()).packString(request.item()), request.access()),
                        unpacker -> new GatewayMessage.ItemBodyRequest(
                                unpacker.unpackString(), unpacker.unpackString(), readAccess(unpacker))),
                new CompactCodec<>(
                        10,
                        GatewayMessage.ItemBody.class,
                        (body, packer) -> CompactFields.writeOptional(
                                packer.packBoolean(body.owned()), body.body(), CompactFields::writeBytes),
                        unpacker -> new GatewayMessage.ItemBody(
                                unpacker.unpackBoolean(),
                                CompactFields.readOptional(unpacker, CompactFields::readBytes))),
                new CompactCodec<>(
                        11,
                        GatewayMessage.BatchEndRequest.class,
                        (request, packer) -> writeAccess(packer.packString(request.batch()), request.access()),
                        unpacker -> new GatewayMessage.BatchEndRequest(unpacker.unpackString(), readAccess(unpacker))),
                new CompactCodec<>(
                        12,
                        GatewayMessage.BatchEnded.class,
                        (reply, packer) -> packer.packBoolean(reply.ended()),
                        unpacker -> new GatewayMessage.BatchEnded(unpacker.unpackBoolean())),
                new CompactCodec<>(
                        15, GatewayMessage.BatchHandOver.class, BatchCodecs::writeHandOver, BatchCodecs::readHandOver));
    }

    private static void writePage(MessagePacker packer, BatchPage page) throws IOException {
        packer.packInt(page.total()).packInt(page.after());
        CompactFields.writeList(packer, page.results(), BatchCodecs::writeResult);
    }

    private static BatchPage readPage(MessageUnpacker unpacker) throws IOException {
        int total = unpacker.unpackInt();
        int after = unpacker.unpackInt();
        return new BatchPage(total, after, CompactFields.readList(unpacker, BatchCodecs::readResult));
    }

    private static void writeResult(MessagePacker packer, ItemResult result) throws IOException {
        packer.packString(result.id()).packString(result.state().name()).packString(result.text());
    }

    private static ItemResult readResult(MessageUnpacker unpacker) throws IOException {
        String id = unpacker.unpackString();
        return new ItemResult(id, ItemState.valueOf(unpacker.unpackString()), unpacker.unpackString());
    }

    private static void writeHandOver(GatewayMessage.BatchHandOver handOver, MessagePacker packer) throws IOException {
        packer.packString(handOver.batch()).packLong(handOver.revision());
        writeRecord(packer, handOver.record());
        CompactFields.writeList(packer, handOver.progress(), BatchCodecs::writeCheckpoint);
        writeAccount(packer, handOver.record());
        writeVersions(packer, handOver.progress());
        writeErrorAnswers(packer, handOver.progress());
    }

    private static GatewayMessage.BatchHandOver readHandOver(MessageUnpacker unpacker) throws IOException {
        String batch = unpacker.unpackString();
        long revision = unpacker.unpackLong();
        BatchRecord record = readRecord(unpacker);
        List<ItemCheckpoint> progress = CompactFields.readList(unpacker, BatchCodecs::readCheckpoint);
        BatchRecord recordWithAccount = readAccount(unpacker, record);
        List<ItemCheckpoint> withVersions = readVersions(unpacker, progress);
        return new GatewayMessage.BatchHandOver(
                batch, revision, recordWithAccount, readErrorAnswers(unpacker, withVersions));
    }

    private static void writeCheckpoint(MessagePacker packer, ItemCheckpoint checkpoint) throws IOException {
        packer.packString(checkpoint.id()).packLong(checkpoint.lastEventId()).packString(checkpoint.text());
    }

    private static ItemCheckpoint readCheckpoint(MessageUnpacker unpacker) throws IOException {
        return new ItemCheckpoint(
                unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackString(), Optional.empty());
    }

    /** Writes the versions of checkpoints at the end of a message, where earlier versions do not look for them. */
    private static void writeVersions(MessagePacker packer, List<ItemCheckpoint> checkpoints) throws IOException {
        for (ItemCheckpoint checkpoint : checkpoints) {
            CompactFields.writeOptional(packer, checkpoint.generatedBy(), StreamOriginCodecs::writeVersion);
        }
    }

    /** Reads the versions of checkpoints at the end of a message; earlier versions do not write them. */
    private static List<ItemCheckpoint> readVersions(MessageUnpacker unpacker, List<ItemCheckpoint> checkpoints)
            throws IOException {
        if (!unpacker.hasNext()) {
            return checkpoints;
        }
        List<ItemCheckpoint> complete = new ArrayList<>();
        for (ItemCheckpoint checkpoint : checkpoints) {
            complete.add(new ItemCheckpoint(
                    checkpoint.id(),
                    checkpoint.lastEventId(),
                    checkpoint.text(),
                    CompactFields.readOptional(unpacker, StreamOriginCodecs::readVersion)));
        }
        return complete;
    }

    /** Writes the failed attempts of checkpoints at the end of a message, where earlier versions do not look for them. */
    private static void writeErrorAnswers(MessagePacker packer, List<ItemCheckpoint> checkpoints) throws IOException {
        for (ItemCheckpoint checkpoint : checkpoints) {
            packer.packInt(checkpoint.errorAnswers());
        }
    }

    /** Reads the failed attempts of checkpoints at the end of a message; earlier versions do not write them. */
    private static List<ItemCheckpoint> readErrorAnswers(MessageUnpacker unpacker, List<ItemCheckpoint> checkpoints)
            throws IOException {
        if (!unpacker.hasNext()) {
            return checkpoints;
        }
        List<ItemCheckpoint> complete = new ArrayList<>();
        for (ItemCheckpoint checkpoint : checkpoints) {
            complete.add(checkpoint.withErrorAnswers(unpacker.unpackInt()));
        }
        return complete;
    }

    /** Writes the account of a record at the end of a message, where earlier versions do not look for it. */
    static void writeAccount(MessagePacker packer, BatchRecord record) throws IOException {
        CompactFields.writeOptional(packer, record.account(), MessagePacker::packString);
    }

    /** Reads the account of a record at the end of a message; earlier versions do not write it. */
    static BatchRecord readAccount(MessageUnpacker unpacker, BatchRecord record) throws IOException {
        return unpacker.hasNext()
                ? record.withAccount(CompactFields.readOptional(unpacker, MessageUnpacker::unpackString))
                : record;
    }

    private static void writeAccess(MessagePacker packer, BatchAccess access) throws IOException {
        CompactFields.writeOptional(packer, access.requiredAccount(), MessagePacker::packString);
    }

    /** Reads the access at the end of a message; earlier versions do not write it, as they know no accounts. */
    private static BatchAccess readAccess(MessageUnpacker unpacker) throws IOException {
        return unpacker.hasNext()
                ? new BatchAccess(CompactFields.readOptional(unpacker, MessageUnpacker::unpackString))
                : BatchAccess.UNCHECKED;
    }

    /** Writes a record without its account, which follows at the end of the message. */
    static void writeRecord(MessagePacker packer, BatchRecord record) throws IOException {
        packer.packString(record.host())
                .packString(record.target())
                .packString(record.bodyHash())
                .packString(record.owner())
                .packString(record.ownerStart())
                .packLong(record.acceptedAtMillis())
                .packInt(record.bodyParts())
                .packInt(record.items())
                .packBoolean(record.ended());
        CompactFields.writeList(packer, record.chunks(), MessagePacker::packInt);
        packer.packInt(record.listed());
    }

    static BatchRecord readRecord(MessageUnpacker unpacker) throws IOException {
        return new BatchRecord(
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackBoolean(),
                CompactFields.readList(unpacker, MessageUnpacker::unpackInt),
                unpacker.unpackInt(),
                Optional.empty());
    }
}
