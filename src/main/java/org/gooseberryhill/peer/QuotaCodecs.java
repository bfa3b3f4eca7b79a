package org.gooseberryhill.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gooseberryhill.decision.dispatch.Admission;
import org.gooseberryhill.decision.quota.AccountActivity;
import org.gooseberryhill.decision.quota.QuotaReport;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Compact codecs of what hosts tell each other of the quotas of client accounts. Stateless. */
final class QuotaCodecs {
    private QuotaCodecs() {}

    static List<CompactCodec<?>> all() {
        return List.of(
                new CompactCodec<>(
                        39,
                        CoordinationMessage.AdmissionRequest.class,
                        (request, packer) -> packer.packString(request.account()),
                        unpacker -> new CoordinationMessage.AdmissionRequest(unpacker.unpackString())),
                new CompactCodec<>(
                        40,
                        CoordinationMessage.AdmissionReply.class,
                        (reply, packer) -> CompactFields.writeOptional(
                                packer, reply.admission().retryAfterMillis(), MessagePacker::packLong),
                        unpacker -> new CoordinationMessage.AdmissionReply(
                                new Admission(CompactFields.readOptional(unpacker, MessageUnpacker::unpackLong)))),
                new CompactCodec<>(
                        41,
                        CoordinationMessage.AdmissionReturned.class,
                        (message, packer) -> packer.packString(message.account()),
                        unpacker -> new CoordinationMessage.AdmissionReturned(unpacker.unpackString())));
    }

    /** Writes a report at the end of a message, where earlier versions do not look for it. */
    static void writeReport(MessagePacker packer, QuotaReport report) throws IOException {
        packer.packBoolean(report.settled()).packMapHeader(report.activities().size());
        for (Map.Entry<String, AccountActivity> entry : report.activities().entrySet()) {
            AccountActivity activity = entry.getValue();
            packer.packString(entry.getKey())
                    .packInt(activity.asked())
                    .packInt(activity.admitted())
                    .packDouble(activity.tokens());
        }
    }

    /** Reads the report at the end of a message; earlier versions do not write it. */
    static QuotaReport readReport(MessageUnpacker unpacker) throws IOException {
        if (!unpacker.hasNext()) {
            return QuotaReport.EMPTY;
        }
        boolean settled = unpacker.unpackBoolean();
        int size = unpacker.unpackMapHeader();
        Map<String, AccountActivity> activities = new HashMap<>();
        for (int entry = 0; entry < size; entry++) {
            String account = unpacker.unpackString();
            activities.put(
                    account, new AccountActivity(unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackDouble()));
        }
        return new QuotaReport(settled, activities);
    }
}
