package org.gooseberryhill.peer;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.gooseberryhill.decision.promptpart.IsolationPermit;
import org.gooseberryhill.decision.promptpart.PromptPartKey;
import org.gooseberryhill.directory.EndpointKey;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Compact codecs of what hosts tell each other of parts of prompts that may crash endpoints. Stateless. */
final class QuarantineCodecs {
    private QuarantineCodecs() {}

    static List<CompactCodec<?>> all() {
        return List.of(
                new CompactCodec<>(
                        45,
                        QuarantineMessage.EndpointCrashNotice.class,
                        (notice, packer) -> CompactFields.writeList(
                                packer.packString(notice.endpoint().toString()).packLong(notice.ageMillis()),
                                notice.runs(),
                                QuarantineCodecs::writeRun),
                        unpacker -> new QuarantineMessage.EndpointCrashNotice(
                                readEndpoint(unpacker),
                                unpacker.unpackLong(),
                                CompactFields.readList(unpacker, QuarantineCodecs::readRun))),
                new CompactCodec<>(
                        46,
                        QuarantineMessage.ServedPartsNotice.class,
                        (notice, packer) ->
                                CompactFields.writeList(packer, notice.parts(), QuarantineCodecs::writeServed),
                        unpacker -> new QuarantineMessage.ServedPartsNotice(
                                CompactFields.readList(unpacker, QuarantineCodecs::readServed))),
                new CompactCodec<>(
                        47,
                        QuarantineMessage.PermitRequest.class,
                        (request, packer) -> {
                            writeParts(packer, request.parts());
                            packer.packBoolean(request.confined());
                            CompactFields.writeList(packer, request.endpoints(), QuarantineCodecs::writeEndpoint);
                        },
                        unpacker -> new QuarantineMessage.PermitRequest(
                                readParts(unpacker),
                                unpacker.unpackBoolean(),
                                CompactFields.readList(unpacker, QuarantineCodecs::readEndpoint))),
                new CompactCodec<>(
                        48,
                        QuarantineMessage.Permit.class,
                        (permit, packer) -> CompactFields.writeOptional(
                                packer.packBoolean(permit.granted()),
                                permit.endpoint(),
                                QuarantineCodecs::writeEndpoint),
                        unpacker -> new QuarantineMessage.Permit(
                                unpacker.unpackBoolean(),
                                CompactFields.readOptional(unpacker, QuarantineCodecs::readEndpoint))),
                new CompactCodec<>(
                        49,
                        QuarantineMessage.PermitReturned.class,
                        (returned, packer) -> {
                            writeParts(packer, returned.permit().parts());
                            CompactFields.writeOptional(
                                    packer, returned.permit().endpoint(), QuarantineCodecs::writeEndpoint);
                        },
                        unpacker -> new QuarantineMessage.PermitReturned(new IsolationPermit(
                                readParts(unpacker),
                                CompactFields.readOptional(unpacker, QuarantineCodecs::readEndpoint)))));
    }

    private static void writeRun(MessagePacker packer, QuarantineMessage.Run run) throws IOException {
        writeParts(packer, run.parts());
        packer.packLong(run.ranMillis());
    }

    private static QuarantineMessage.Run readRun(MessageUnpacker unpacker) throws IOException {
        return new QuarantineMessage.Run(readParts(unpacker), unpacker.unpackLong());
    }

    private static void writeServed(MessagePacker packer, QuarantineMessage.Served served) throws IOException {
        writePart(packer, served.part());
        packer.packLong(served.sentAgeMillis());
    }

    private static QuarantineMessage.Served readServed(MessageUnpacker unpacker) throws IOException {
        return new QuarantineMessage.Served(readPart(unpacker), unpacker.unpackLong());
    }

    private static void writeParts(MessagePacker packer, Set<PromptPartKey> parts) throws IOException {
        CompactFields.writeList(packer, parts, QuarantineCodecs::writePart);
    }

    private static Set<PromptPartKey> readParts(MessageUnpacker unpacker) throws IOException {
        return Set.copyOf(CompactFields.readList(unpacker, QuarantineCodecs::readPart));
    }

    private static void writePart(MessagePacker packer, PromptPartKey part) throws IOException {
        StreamOriginCodecs.writeVersion(packer, part.version());
        packer.packString(part.model()).packString(part.part());
    }

    private static PromptPartKey readPart(MessageUnpacker unpacker) throws IOException {
        return new PromptPartKey(
                StreamOriginCodecs.readVersion(unpacker), unpacker.unpackString(), unpacker.unpackString());
    }

    private static void writeEndpoint(MessagePacker packer, EndpointKey endpoint) throws IOException {
        packer.packString(endpoint.toString());
    }

    private static EndpointKey readEndpoint(MessageUnpacker unpacker) throws IOException {
        return EndpointKey.of(unpacker.unpackString());
    }
}
