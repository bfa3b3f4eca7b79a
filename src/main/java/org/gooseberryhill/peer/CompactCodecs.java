package org.gooseberryhill.peer;

import io.vavr.Lazy;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.gooseberryhill.host.HostId;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Registry of the compact codecs, which cover the messages that gateways and hosts with a disk exchange. Stateless.
 *
 * <p>The Jackson mapper can encode any message, but the type introspection at its first use takes a third of a second
 * of processor time. Callers wait meanwhile, whenever it happens: at startup, when the key-value store rejects a host
 * and another host relays its calls, or when a stopping host hands over its batches.
 */
final class CompactCodecs {
    private static final Map<Class<?>, CompactCodec<?>> BY_TYPE = new ConcurrentHashMap<>();
    private static final Map<Integer, CompactCodec<?>> BY_CODE = new ConcurrentHashMap<>();

    /** Codecs of rarer messages, added when a message needs one, since creating each of them delays the start. */
    private static final Lazy<Boolean> RARE = Lazy.of(CompactCodecs::addRare);

    static {
        coreCodecs().forEach(CompactCodecs::add);
        CoordinationCodecs.all().forEach(CompactCodecs::add);
    }

    private CompactCodecs() {}

    /** Returns the codec of a message; empty if the Jackson mapper encodes it. */
    static Optional<CompactCodec<?>> of(PeerMessage message) {
        CompactCodec<?> codec = BY_TYPE.get(message.getClass());
        if (codec == null && RARE.get()) {
            codec = BY_TYPE.get(message.getClass());
        }
        return Optional.ofNullable(codec);
    }

    /** Returns the codec with the given code; throws if the code is unknown. */
    static CompactCodec<?> of(int code) throws IOException {
        CompactCodec<?> codec = BY_CODE.get(code);
        if (codec == null && RARE.get()) {
            codec = BY_CODE.get(code);
        }
        if (codec == null) {
            throw new IOException("unknown message code: " + code);
        }
        return codec;
    }

    private static boolean addRare() {
        BatchCodecs.all().forEach(CompactCodecs::add);
        SubmissionCodecs.all().forEach(CompactCodecs::add);
        StoreCallCodecs.all().forEach(CompactCodecs::add);
        QuotaCodecs.all().forEach(CompactCodecs::add);
        AccountShareCodecs.all().forEach(CompactCodecs::add);
        StreamOriginCodecs.all().forEach(CompactCodecs::add);
        QuarantineCodecs.all().forEach(CompactCodecs::add);
        return true;
    }

    private static void add(CompactCodec<?> codec) {
        BY_TYPE.put(codec.type(), codec);
        BY_CODE.put(codec.code(), codec);
    }

    private static List<CompactCodec<?>> coreCodecs() {
        return List.of(
                new CompactCodec<>(1, PeerMessage.Ack.class, (ack, packer) -> {}, unpacker -> new PeerMessage.Ack()),
                new CompactCodec<>(
                        2,
                        GatewayMessage.HostHeartbeat.class,
                        CompactCodecs::writeHeartbeat,
                        CompactCodecs::readHeartbeat),
                new CompactCodec<>(
                        3, GatewayMessage.ViewChanges.class, CompactCodecs::writeChanges, CompactCodecs::readChanges),
                new CompactCodec<>(
                        4,
                        GatewayMessage.ViewRequest.class,
                        (request, packer) -> packer.packString(request.prefix()),
                        unpacker -> new GatewayMessage.ViewRequest(unpacker.unpackString())),
                new CompactCodec<>(
                        5, GatewayMessage.ViewListing.class, CompactCodecs::writeListing, CompactCodecs::readListing),
                new CompactCodec<>(
                        13,
                        PeerMessage.CrashNotice.class,
                        (notice, packer) -> CompactFields.writeList(
                                packer.packString(notice.endpoint()), notice.fingerprints(), MessagePacker::packString),
                        unpacker -> new PeerMessage.CrashNotice(
                                unpacker.unpackString(),
                                CompactFields.readList(unpacker, MessageUnpacker::unpackString))),
                new CompactCodec<>(
                        14,
                        PeerMessage.SuspectRelease.class,
                        (release, packer) -> packer.packString(release.service())
                                .packString(release.fingerprint())
                                .packBoolean(release.completed()),
                        unpacker -> new PeerMessage.SuspectRelease(
                                unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackBoolean())),
                new CompactCodec<>(
                        38,
                        GatewayMessage.WatchEnd.class,
                        (end, packer) -> {},
                        unpacker -> new GatewayMessage.WatchEnd()),
                new CompactCodec<>(
                        37,
                        GatewayMessage.SilenceNotice.class,
                        (notice, packer) -> CompactFields.writeList(
                                packer, notice.hosts(), (hosts, host) -> hosts.packString(host.value())),
                        unpacker -> new GatewayMessage.SilenceNotice(
                                CompactFields.readList(unpacker, hosts -> new HostId(hosts.unpackString())))),
                new CompactCodec<>(
                        23,
                        PeerMessage.Failed.class,
                        (failed, packer) -> packer.packString(failed.reason()),
                        unpacker -> new PeerMessage.Failed(unpacker.unpackString())),
                new CompactCodec<>(
                        24,
                        PeerMessage.ConnectionProbe.class,
                        (probe, packer) -> {},
                        unpacker -> new PeerMessage.ConnectionProbe()));
    }

    /** An empty list follows, in which earlier versions sent their requests in flight. */
    private static void writeHeartbeat(GatewayMessage.HostHeartbeat heartbeat, MessagePacker packer)
            throws IOException {
        packer.packString(heartbeat.processStart())
                .packBoolean(heartbeat.leaving())
                .packBoolean(heartbeat.storeReached())
                .packArrayHeader(0);
    }

    private static GatewayMessage.HostHeartbeat readHeartbeat(MessageUnpacker unpacker) throws IOException {
        return new GatewayMessage.HostHeartbeat(
                unpacker.unpackString(), unpacker.unpackBoolean(), unpacker.unpackBoolean());
    }

    private static void writeChanges(GatewayMessage.ViewChanges changes, MessagePacker packer) throws IOException {
        packer.packString(changes.prefix()).packLong(changes.fromRevision()).packLong(changes.toRevision());
        CompactFields.writeList(packer, changes.changes(), CompactFields::writeKeyChange);
        packer.packLong(changes.ageMillis());
    }

    private static GatewayMessage.ViewChanges readChanges(MessageUnpacker unpacker) throws IOException {
        return new GatewayMessage.ViewChanges(
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                CompactFields.readList(unpacker, CompactFields::readKeyChange),
                unpacker.unpackLong());
    }

    private static void writeListing(GatewayMessage.ViewListing listing, MessagePacker packer) throws IOException {
        packer.packString(listing.prefix()).packLong(listing.revision());
        CompactFields.writeList(packer, listing.entries(), CompactFields::writeKeyChange);
        packer.packLong(listing.ageMillis());
    }

    private static GatewayMessage.ViewListing readListing(MessageUnpacker unpacker) throws IOException {
        return new GatewayMessage.ViewListing(
                unpacker.unpackString(),
                unpacker.unpackLong(),
                CompactFields.readList(unpacker, CompactFields::readKeyChange),
                unpacker.unpackLong());
    }
}
