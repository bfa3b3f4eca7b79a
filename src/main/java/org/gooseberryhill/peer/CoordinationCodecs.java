package org.gooseberryhill.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;
import org.gooseberryhill.decision.coordination.GroupLoad;
import org.gooseberryhill.decision.coordination.HostWork;
import org.gooseberryhill.decision.coordination.ItemStart;
import org.gooseberryhill.decision.coordination.ItemTiming;
import org.gooseberryhill.decision.coordination.WaitingItems;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.AttemptTiming;
import org.gooseberryhill.decision.dispatch.PlacementQuery;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.zone.AvailabilityZone;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Compact codecs of the messages between coordinators and the hosts that use their endpoints. Stateless. */
final class CoordinationCodecs {
    private CoordinationCodecs() {}

    static List<CompactCodec<?>> all() {
        List<CompactCodec<?>> codecs = new ArrayList<>(requestCodecs());
        codecs.addAll(itemCodecs());
        codecs.addAll(ZoneCodecs.all());
        return codecs;
    }

    private static List<CompactCodec<?>> requestCodecs() {
        return List.of(
                new CompactCodec<>(
                        25,
                        CoordinationMessage.PlacementRequest.class,
                        CoordinationCodecs::writeRequest,
                        CoordinationCodecs::readRequest),
                new CompactCodec<>(
                        26,
                        CoordinationMessage.Placement.class,
                        (message, packer) -> PlacementAnswerCodec.write(packer, message.reply()),
                        unpacker -> new CoordinationMessage.Placement(PlacementAnswerCodec.read(unpacker))),
                new CompactCodec<>(
                        27,
                        CoordinationMessage.OnlineStarted.class,
                        (message, packer) -> writeKey(packer, message.endpoint()),
                        unpacker -> new CoordinationMessage.OnlineStarted(readKey(unpacker))),
                new CompactCodec<>(
                        28,
                        CoordinationMessage.OnlineEnded.class,
                        (message, packer) -> {
                            writeKey(packer, message.endpoint());
                            packer.packString(message.end().name())
                                    .packLong(message.timing().nanos())
                                    .packLong(message.timing().eventNanos());
                        },
                        unpacker -> new CoordinationMessage.OnlineEnded(
                                readKey(unpacker),
                                AttemptEnd.valueOf(unpacker.unpackString()),
                                readAttemptTiming(unpacker))),
                new CompactCodec<>(
                        32,
                        CoordinationMessage.WorkReport.class,
                        (message, packer) -> writeWork(packer, message.work()),
                        unpacker -> new CoordinationMessage.WorkReport(readWork(unpacker))),
                new CompactCodec<>(
                        36,
                        CoordinationMessage.GroupLoads.class,
                        (message, packer) -> {
                            CompactFields.writeList(packer, message.loads(), CoordinationCodecs::writeLoad);
                            QuotaCodecs.writeReport(packer, message.quotaReport());
                        },
                        unpacker -> new CoordinationMessage.GroupLoads(
                                CompactFields.readList(unpacker, CoordinationCodecs::readLoad),
                                QuotaCodecs.readReport(unpacker))));
    }

    /** Reads a timing; hosts of earlier message sets don't send the time between events. */
    private static AttemptTiming readAttemptTiming(MessageUnpacker unpacker) throws IOException {
        return new AttemptTiming(unpacker.unpackLong(), unpacker.hasNext() ? unpacker.unpackLong() : 0);
    }

    private static List<CompactCodec<?>> itemCodecs() {
        return List.of(
                new CompactCodec<>(
                        29,
                        CoordinationMessage.ItemStarted.class,
                        (message, packer) -> writeStart(packer, message.start()),
                        unpacker -> new CoordinationMessage.ItemStarted(readStart(unpacker))),
                new CompactCodec<>(
                        30,
                        CoordinationMessage.ItemEnded.class,
                        (message, packer) -> packer.packLong(message.run())
                                .packString(message.end().name()),
                        unpacker -> new CoordinationMessage.ItemEnded(
                                unpacker.unpackLong(), AttemptEnd.valueOf(unpacker.unpackString()))),
                new CompactCodec<>(
                        31,
                        CoordinationMessage.GrantReturned.class,
                        (message, packer) -> packer.packLong(message.reservation()),
                        unpacker -> new CoordinationMessage.GrantReturned(unpacker.unpackLong())),
                new CompactCodec<>(
                        33,
                        CoordinationMessage.ItemsWaiting.class,
                        (message, packer) -> writeWaiting(packer, message.items()),
                        unpacker -> new CoordinationMessage.ItemsWaiting(readWaiting(unpacker))),
                new CompactCodec<>(
                        34,
                        CoordinationMessage.SlotGrant.class,
                        (message, packer) -> {
                            writeKey(packer.packLong(message.reservation()), message.endpoint());
                            packer.packDouble(message.pressure());
                        },
                        unpacker -> new CoordinationMessage.SlotGrant(
                                unpacker.unpackLong(), readKey(unpacker), unpacker.unpackDouble())),
                new CompactCodec<>(
                        35,
                        CoordinationMessage.ItemsYield.class,
                        (message, packer) -> CompactFields.writeList(packer, message.runs(), MessagePacker::packLong),
                        unpacker -> new CoordinationMessage.ItemsYield(
                                CompactFields.readList(unpacker, MessageUnpacker::unpackLong))));
    }

    static void writeKey(MessagePacker packer, EndpointKey key) throws IOException {
        packer.packString(key.id()).packLong(key.startedAtMillis());
    }

    static EndpointKey readKey(MessageUnpacker unpacker) throws IOException {
        return new EndpointKey(unpacker.unpackString(), unpacker.unpackLong());
    }

    static void writeGroup(MessagePacker packer, EndpointGroup group) throws IOException {
        packer.packString(group.service()).packInt(group.number());
    }

    static EndpointGroup readGroup(MessageUnpacker unpacker) throws IOException {
        return new EndpointGroup(unpacker.unpackString(), unpacker.unpackInt());
    }

    private static void writeRequest(CoordinationMessage.PlacementRequest request, MessagePacker packer)
            throws IOException {
        PlacementQuery query = request.query();
        writeGroup(packer, request.group());
        packer.packString(query.zone().name());
        CompactFields.writeOptional(packer, query.prompt(), CoordinationCodecs::writePrompt);
        CompactFields.writeList(packer, query.excluded(), CoordinationCodecs::writeKey);
        CompactFields.writeList(packer, query.connected(), CoordinationCodecs::writeKey);
        packer.packLong(query.targetLatencyMillis())
                .packLong(query.remainingMillis())
                .packBoolean(query.refusable())
                .packBoolean(query.redirectable());
        CompactFields.writeOptional(packer, query.account(), MessagePacker::packString);
        CompactFields.writeOptional(packer, query.sender(), MessagePacker::packString);
    }

    private static CoordinationMessage.PlacementRequest readRequest(MessageUnpacker unpacker) throws IOException {
        EndpointGroup group = readGroup(unpacker);
        AvailabilityZone zone = new AvailabilityZone(unpacker.unpackString());
        Optional<Prompt> prompt = readPrompt(unpacker);
        Set<EndpointKey> excluded = readKeys(unpacker);
        Set<EndpointKey> connected = readKeys(unpacker);
        long targetLatencyMillis = unpacker.unpackLong();
        long remainingMillis = unpacker.unpackLong();
        boolean refusable = unpacker.unpackBoolean();
        boolean redirectable = unpacker.unpackBoolean();
        Optional<String> account = readAccount(unpacker);
        // Hosts of earlier versions name the sender only if its quota is still to be checked.
        Optional<String> sender = unpacker.hasNext() ? readAccount(unpacker) : account;
        PlacementQuery query = new PlacementQuery(
                group.service(),
                zone,
                prompt,
                excluded,
                connected,
                targetLatencyMillis,
                remainingMillis,
                refusable,
                redirectable,
                account,
                sender);
        return new CoordinationMessage.PlacementRequest(group, query);
    }

    /** Reads the account at the end of a message; earlier versions do not write it. */
    private static Optional<String> readAccount(MessageUnpacker unpacker) throws IOException {
        return unpacker.hasNext()
                ? CompactFields.readOptional(unpacker, MessageUnpacker::unpackString)
                : Optional.empty();
    }

    private static Set<EndpointKey> readKeys(MessageUnpacker unpacker) throws IOException {
        return new HashSet<>(CompactFields.readList(unpacker, CoordinationCodecs::readKey));
    }

    private static void writePrompt(MessagePacker packer, Prompt prompt) throws IOException {
        packer.packString(prompt.model()).packInt(prompt.promptTokens()).packInt(prompt.maxOutputTokens());
        CompactFields.writeList(
                packer,
                prompt.parts(),
                (parts, part) -> parts.packString(part.id()).packInt(part.tokens()));
    }

    private static Optional<Prompt> readPrompt(MessageUnpacker unpacker) throws IOException {
        return CompactFields.readOptional(
                unpacker,
                prompt -> new Prompt(
                        prompt.unpackString(),
                        prompt.unpackInt(),
                        prompt.unpackInt(),
                        CompactFields.readList(
                                prompt, parts -> new PromptPart(parts.unpackString(), parts.unpackInt()))));
    }

    private static void writeTiming(MessagePacker packer, ItemTiming timing) throws IOException {
        packer.packLong(timing.untilDueMillis())
                .packLong(timing.remainingMillis())
                .packLong(timing.runMillis())
                .packBoolean(timing.begun());
    }

    private static ItemTiming readTiming(MessageUnpacker unpacker) throws IOException {
        return new ItemTiming(
                unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackBoolean());
    }

    private static void writeStart(MessagePacker packer, ItemStart start) throws IOException {
        packer.packLong(start.reservation()).packLong(start.number());
        writeKey(packer, start.endpoint());
        writeTiming(packer, start.timing());
    }

    private static ItemStart readStart(MessageUnpacker unpacker) throws IOException {
        return new ItemStart(unpacker.unpackLong(), unpacker.unpackLong(), readKey(unpacker), readTiming(unpacker));
    }

    private static void writeWork(MessagePacker packer, HostWork work) throws IOException {
        packer.packLong(work.lastReservation()).packMapHeader(work.online().size());
        for (Map.Entry<EndpointKey, Integer> entry : work.online().entrySet()) {
            writeKey(packer, entry.getKey());
            packer.packInt(entry.getValue());
        }
        CompactFields.writeList(packer, work.items(), CoordinationCodecs::writeStart);
    }

    private static HostWork readWork(MessageUnpacker unpacker) throws IOException {
        long lastReservation = unpacker.unpackLong();
        int size = unpacker.unpackMapHeader();
        Map<EndpointKey, Integer> online = new HashMap<>();
        for (int i = 0; i < size; i++) {
            online.put(readKey(unpacker), unpacker.unpackInt());
        }
        return new HostWork(lastReservation, online, CompactFields.readList(unpacker, CoordinationCodecs::readStart));
    }

    private static void writeWaiting(MessagePacker packer, WaitingItems items) throws IOException {
        packer.packString(items.service()).packLong(items.lastReservation());
        CompactFields.writeList(packer, items.timings(), CoordinationCodecs::writeTiming);
    }

    private static WaitingItems readWaiting(MessageUnpacker unpacker) throws IOException {
        return new WaitingItems(
                unpacker.unpackString(),
                unpacker.unpackLong(),
                CompactFields.readList(unpacker, CoordinationCodecs::readTiming));
    }

    private static void writeLoad(MessagePacker packer, GroupLoad load) throws IOException {
        writeGroup(packer, load.group());
        packer.packInt(load.slots()).packInt(load.online());
    }

    private static GroupLoad readLoad(MessageUnpacker unpacker) throws IOException {
        return new GroupLoad(readGroup(unpacker), unpacker.unpackInt(), unpacker.unpackInt());
    }
}
