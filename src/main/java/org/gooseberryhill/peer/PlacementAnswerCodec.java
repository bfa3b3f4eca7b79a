package org.gooseberryhill.peer;

import java.io.IOException;
import org.gooseberryhill.decision.coordination.PlacementReply;
import org.gooseberryhill.decision.dispatch.OverloadFacts;
import org.gooseberryhill.decision.dispatch.PlacementAnswer;
import org.gooseberryhill.decision.dispatch.PlacementFacts;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads a coordinator's reply: its reservation, a code for the kind of the answer, and the answer. Stateless. */
final class PlacementAnswerCodec {
    private static final int PLACED = 0;
    private static final int ELSEWHERE = 1;
    private static final int OVERLOADED = 2;
    private static final int NO_ENDPOINT = 3;
    private static final int OVER_QUOTA = 4;

    private PlacementAnswerCodec() {}

    static void write(MessagePacker packer, PlacementReply reply) throws IOException {
        packer.packLong(reply.reservation());
        if (reply.answer() instanceof PlacementAnswer.Placed placed) {
            PlacementFacts facts = placed.facts();
            CoordinationCodecs.writeKey(packer.packInt(PLACED), placed.endpoint());
            packer.packInt(facts.usable())
                    .packInt(facts.online())
                    .packInt(facts.batch())
                    .packInt(facts.slots())
                    .packLong(facts.waitMillis());
        } else if (reply.answer() instanceof PlacementAnswer.Elsewhere elsewhere) {
            CoordinationCodecs.writeGroup(packer.packInt(ELSEWHERE), elsewhere.group());
        } else if (reply.answer() instanceof PlacementAnswer.Overloaded overloaded) {
            OverloadFacts facts = overloaded.facts();
            packer.packInt(OVERLOADED)
                    .packLong(overloaded.retryAfterMillis())
                    .packLong(facts.waitMillis())
                    .packLong(facts.longestWaitMillis())
                    .packLong(facts.meanRunMillis());
            AccountShareCodecs.writeFacts(packer, facts.share());
        } else if (reply.answer() instanceof PlacementAnswer.OverQuota overQuota) {
            packer.packInt(OVER_QUOTA).packLong(overQuota.retryAfterMillis());
        } else {
            packer.packInt(NO_ENDPOINT);
        }
    }

    static PlacementReply read(MessageUnpacker unpacker) throws IOException {
        return new PlacementReply(unpacker.unpackLong(), readAnswer(unpacker));
    }

    private static PlacementAnswer readAnswer(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        return switch (kind) {
            case PLACED ->
                new PlacementAnswer.Placed(
                        CoordinationCodecs.readKey(unpacker),
                        new PlacementFacts(
                                unpacker.unpackInt(),
                                unpacker.unpackInt(),
                                unpacker.unpackInt(),
                                unpacker.unpackInt(),
                                unpacker.unpackLong()));
            case ELSEWHERE -> new PlacementAnswer.Elsewhere(CoordinationCodecs.readGroup(unpacker));
            case OVERLOADED ->
                new PlacementAnswer.Overloaded(
                        unpacker.unpackLong(),
                        new OverloadFacts(
                                unpacker.unpackLong(),
                                unpacker.unpackLong(),
                                unpacker.unpackLong(),
                                AccountShareCodecs.readFacts(unpacker)));
            case OVER_QUOTA -> new PlacementAnswer.OverQuota(unpacker.unpackLong());
            case NO_ENDPOINT -> new PlacementAnswer.NoEndpoint();
            default -> throw new IOException("unknown kind of placement: " + kind);
        };
    }
}
