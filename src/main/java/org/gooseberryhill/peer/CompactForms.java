package org.gooseberryhill.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.decision.dispatch.InFlight;
import org.gooseberryhill.directory.EndpointKey;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Registry of the compact encodings, which cover the messages that gateways and hosts with a disk exchange. Stateless.
 *
 * <p>The Jackson mapper can encode any message, but the type introspection at its first use takes a third of a second
 * of processor time. Callers wait meanwhile, whenever it happens: at startup, when the key-value store rejects a host
 * and another host relays its calls, or when a stopping host hands over its batches.
 */
final class CompactForms {
    private static final Map<Class<?>, CompactForm<?>> BY_TYPE = new HashMap<>();
    private static final Map<Integer, CompactForm<?>> BY_CODE = new HashMap<>();

    static {
        own().forEach(CompactForms::add);
        BatchForms.all().forEach(CompactForms::add);
        SubmissionForms.all().forEach(CompactForms::add);
        StoreCallForms.all().forEach(CompactForms::add);
    }

    private CompactForms() {}

    /** Returns the encoding of a message; empty if the Jackson mapper encodes it. */
    static Optional<CompactForm<?>> of(PeerMessage message) {
        return Optional.ofNullable(BY_TYPE.get(message.getClass()));
    }

    /** Returns the encoding with the given code; throws if the code is unknown. */
    static CompactForm<?> of(int code) throws IOException {
        CompactForm<?> form = BY_CODE.get(code);
        if (form == null) {
            throw new IOException("unknown message code: " + code);
        }
        return form;
    }

    private static void add(CompactForm<?> form) {
        BY_TYPE.put(form.type(), form);
        BY_CODE.put(form.code(), form);
    }

    private static List<CompactForm<?>> own() {
        return List.of(
                new CompactForm<>(1, PeerMessage.Ack.class, (ack, packer) -> {}, unpacker -> new PeerMessage.Ack()),
                new CompactForm<>(
                        2, GatewayMessage.InFlightReport.class, CompactForms::writeReport, CompactForms::readReport),
                new CompactForm<>(
                        3, GatewayMessage.ViewChanges.class, CompactForms::writeChanges, CompactForms::readChanges),
                new CompactForm<>(
                        4,
                        GatewayMessage.ViewAsk.class,
                        (ask, packer) -> packer.packString(ask.prefix()),
                        unpacker -> new GatewayMessage.ViewAsk(unpacker.unpackString())),
                new CompactForm<>(
                        5, GatewayMessage.ViewListing.class, CompactForms::writeListing, CompactForms::readListing),
                new CompactForm<>(
                        13,
                        PeerMessage.CrashNotice.class,
                        (notice, packer) -> CompactFields.writeList(
                                packer.packString(notice.endpoint()), notice.fingerprints(), MessagePacker::packString),
                        unpacker -> new PeerMessage.CrashNotice(
                                unpacker.unpackString(),
                                CompactFields.readList(unpacker, MessageUnpacker::unpackString))),
                new CompactForm<>(
                        14,
                        PeerMessage.SuspectRelease.class,
                        (release, packer) -> packer.packString(release.service())
                                .packString(release.fingerprint())
                                .packBoolean(release.completed()),
                        unpacker -> new PeerMessage.SuspectRelease(
                                unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackBoolean())),
                new CompactForm<>(
                        23,
                        PeerMessage.Failed.class,
                        (failed, packer) -> packer.packString(failed.reason()),
                        unpacker -> new PeerMessage.Failed(unpacker.unpackString())),
                new CompactForm<>(
                        24,
                        PeerMessage.ConnectionProbe.class,
                        (probe, packer) -> {},
                        unpacker -> new PeerMessage.ConnectionProbe()));
    }

    private static void writeReport(GatewayMessage.InFlightReport report, MessagePacker packer) throws IOException {
        packer.packString(report.processStart())
                .packBoolean(report.leaving())
                .packBoolean(report.storeReached())
                .packArrayHeader(report.inFlight().size());
        for (Map.Entry<EndpointKey, InFlight> entry : report.inFlight().entrySet()) {
            packer.packString(entry.getKey().id())
                    .packLong(entry.getKey().startedAtMillis())
                    .packInt(entry.getValue().online())
                    .packInt(entry.getValue().batch());
        }
    }

    private static GatewayMessage.InFlightReport readReport(MessageUnpacker unpacker) throws IOException {
        String processStart = unpacker.unpackString();
        boolean leaving = unpacker.unpackBoolean();
        boolean storeReached = unpacker.unpackBoolean();
        int size = unpacker.unpackArrayHeader();
        Map<EndpointKey, InFlight> inFlight = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            EndpointKey key = new EndpointKey(unpacker.unpackString(), unpacker.unpackLong());
            inFlight.put(key, new InFlight(unpacker.unpackInt(), unpacker.unpackInt()));
        }
        return new GatewayMessage.InFlightReport(processStart, leaving, storeReached, inFlight);
    }

    private static void writeChanges(GatewayMessage.ViewChanges changes, MessagePacker packer) throws IOException {
        packer.packString(changes.prefix()).packLong(changes.fromRevision()).packLong(changes.toRevision());
        CompactFields.writeList(packer, changes.changes(), CompactFields::writeKey);
        packer.packLong(changes.ageMillis());
    }

    private static GatewayMessage.ViewChanges readChanges(MessageUnpacker unpacker) throws IOException {
        return new GatewayMessage.ViewChanges(
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                CompactFields.readList(unpacker, CompactFields::readKey),
                unpacker.unpackLong());
    }

    private static void writeListing(GatewayMessage.ViewListing listing, MessagePacker packer) throws IOException {
        packer.packString(listing.prefix()).packLong(listing.revision());
        CompactFields.writeList(packer, listing.entries(), CompactFields::writeKey);
        packer.packLong(listing.ageMillis());
    }

    private static GatewayMessage.ViewListing readListing(MessageUnpacker unpacker) throws IOException {
        return new GatewayMessage.ViewListing(
                unpacker.unpackString(),
                unpacker.unpackLong(),
                CompactFields.readList(unpacker, CompactFields::readKey),
                unpacker.unpackLong());
    }
}
