package org.gooseberryhill.peer;

import java.io.IOException;
import java.util.List;
import org.gooseberryhill.decision.zone.GroupRoom;
import org.gooseberryhill.decision.zone.RoomAnswer;
import org.gooseberryhill.decision.zone.RoomQuery;
import org.gooseberryhill.decision.zone.ZoneLoad;
import org.gooseberryhill.decision.zone.ZonePair;
import org.gooseberryhill.zone.AvailabilityZone;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Compact codecs of the messages on the room that zones have for requests of each other. Stateless. */
final class ZoneCodecs {
    private ZoneCodecs() {}

    static List<CompactCodec<?>> all() {
        return List.of(
                new CompactCodec<>(
                        60,
                        CoordinationMessage.RoomRequest.class,
                        (message, packer) -> writeQuery(packer, message.query()),
                        unpacker -> new CoordinationMessage.RoomRequest(readQuery(unpacker))),
                new CompactCodec<>(
                        61,
                        CoordinationMessage.RoomReply.class,
                        (message, packer) -> CompactFields.writeList(
                                packer.packBoolean(message.answer().granted()),
                                message.answer().rooms(),
                                ZoneCodecs::writeRoom),
                        unpacker -> new CoordinationMessage.RoomReply(new RoomAnswer(
                                unpacker.unpackBoolean(), CompactFields.readList(unpacker, ZoneCodecs::readRoom)))));
    }

    private static void writeQuery(MessagePacker packer, RoomQuery query) throws IOException {
        packer.packString(query.pair().service())
                .packString(query.pair().from().name())
                .packString(query.pair().to().name())
                .packInt(query.load().slots())
                .packInt(query.load().online());
    }

    private static RoomQuery readQuery(MessageUnpacker unpacker) throws IOException {
        ZonePair pair = new ZonePair(
                unpacker.unpackString(),
                new AvailabilityZone(unpacker.unpackString()),
                new AvailabilityZone(unpacker.unpackString()));
        return new RoomQuery(pair, new ZoneLoad(unpacker.unpackInt(), unpacker.unpackInt()));
    }

    private static void writeRoom(MessagePacker packer, GroupRoom room) throws IOException {
        CoordinationCodecs.writeGroup(packer, room.group());
        packer.packInt(room.requests());
    }

    private static GroupRoom readRoom(MessageUnpacker unpacker) throws IOException {
        return new GroupRoom(CoordinationCodecs.readGroup(unpacker), unpacker.unpackInt());
    }
}
