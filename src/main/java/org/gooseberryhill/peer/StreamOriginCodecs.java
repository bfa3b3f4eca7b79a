package org.gooseberryhill.peer;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.gooseberryhill.decision.continuation.OriginReport;
import org.gooseberryhill.decision.continuation.RegisteredVersions;
import org.gooseberryhill.decision.continuation.StreamOrigin;
import org.gooseberryhill.directory.ServiceVersion;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Compact codecs of what hosts tell each other of the versions that began streams. Stateless. */
final class StreamOriginCodecs {
    private StreamOriginCodecs() {}

    static List<CompactCodec<?>> all() {
        return List.of(
                new CompactCodec<>(
                        42,
                        GatewayMessage.StreamOriginNotice.class,
                        (notice, packer) ->
                                CompactFields.writeList(packer, notice.origins(), StreamOriginCodecs::writeOrigin),
                        unpacker -> new GatewayMessage.StreamOriginNotice(
                                CompactFields.readList(unpacker, StreamOriginCodecs::readOrigin))),
                new CompactCodec<>(
                        43,
                        GatewayMessage.StreamOriginRequest.class,
                        (request, packer) -> {
                            CompactFields.writeOptional(packer, request.firstRequestId(), MessagePacker::packString);
                            CompactFields.writeOptional(packer, request.service(), MessagePacker::packString);
                        },
                        unpacker -> new GatewayMessage.StreamOriginRequest(
                                CompactFields.readOptional(unpacker, MessageUnpacker::unpackString),
                                CompactFields.readOptional(unpacker, MessageUnpacker::unpackString))),
                new CompactCodec<>(
                        44,
                        GatewayMessage.StreamOriginReply.class,
                        (reply, packer) -> writeReport(packer, reply.report()),
                        unpacker -> new GatewayMessage.StreamOriginReply(readReport(unpacker))));
    }

    static void writeVersion(MessagePacker packer, ServiceVersion version) throws IOException {
        packer.packString(version.service()).packString(version.softwareVersion());
    }

    static ServiceVersion readVersion(MessageUnpacker unpacker) throws IOException {
        return new ServiceVersion(unpacker.unpackString(), unpacker.unpackString());
    }

    private static void writeOrigin(MessagePacker packer, StreamOrigin origin) throws IOException {
        writeVersion(packer.packString(origin.firstRequestId()), origin.beganAt());
    }

    private static StreamOrigin readOrigin(MessageUnpacker unpacker) throws IOException {
        return new StreamOrigin(unpacker.unpackString(), readVersion(unpacker));
    }

    private static void writeReport(MessagePacker packer, OriginReport report) throws IOException {
        CompactFields.writeList(packer, report.origins(), StreamOriginCodecs::writeVersion);
        CompactFields.writeList(packer, report.registered().versions(), MessagePacker::packString);
        packer.packBoolean(report.registered().complete());
    }

    private static OriginReport readReport(MessageUnpacker unpacker) throws IOException {
        Set<ServiceVersion> origins = Set.copyOf(CompactFields.readList(unpacker, StreamOriginCodecs::readVersion));
        Set<String> versions = Set.copyOf(CompactFields.readList(unpacker, MessageUnpacker::unpackString));
        return new OriginReport(origins, new RegisteredVersions(versions, unpacker.unpackBoolean()));
    }
}
