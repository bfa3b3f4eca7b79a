package org.gooseberryhill.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.decision.share.AccountUse;
import org.gooseberryhill.decision.share.AccountUseReport;
import org.gooseberryhill.decision.share.ServiceUse;
import org.gooseberryhill.decision.share.ShareFacts;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Compact codecs of what coordinators tell each other of the use of slots by client account. Stateless. */
final class AccountShareCodecs {
    private AccountShareCodecs() {}

    static List<CompactCodec<?>> all() {
        return List.of(new CompactCodec<>(
                50,
                CoordinationMessage.AccountUse.class,
                (message, packer) -> writeReport(packer, message.report()),
                unpacker -> new CoordinationMessage.AccountUse(readReport(unpacker))));
    }

    /** Writes the figures at the end of a message, where earlier versions do not look for them. */
    static void writeFacts(MessagePacker packer, Optional<ShareFacts> facts) throws IOException {
        CompactFields.writeOptional(
                packer,
                facts,
                (fields, share) -> fields.packDouble(share.askedPerSecond())
                        .packDouble(share.placedPerSecond())
                        .packDouble(share.sharePerSecond())
                        .packInt(share.freeSlots())
                        .packInt(share.keptSlots()));
    }

    /** Reads the figures at the end of a message; earlier versions do not write them. */
    static Optional<ShareFacts> readFacts(MessageUnpacker unpacker) throws IOException {
        if (!unpacker.hasNext()) {
            return Optional.empty();
        }
        return CompactFields.readOptional(
                unpacker,
                fields -> new ShareFacts(
                        fields.unpackDouble(),
                        fields.unpackDouble(),
                        fields.unpackDouble(),
                        fields.unpackInt(),
                        fields.unpackInt()));
    }

    private static void writeReport(MessagePacker packer, AccountUseReport report) throws IOException {
        packer.packMapHeader(report.byService().size());
        for (Map.Entry<String, ServiceUse> entry : report.byService().entrySet()) {
            ServiceUse use = entry.getValue();
            packer.packString(entry.getKey())
                    .packLong(use.observedMillis())
                    .packMapHeader(use.byAccount().size());
            for (Map.Entry<String, AccountUse> account : use.byAccount().entrySet()) {
                writeUse(packer.packString(account.getKey()), account.getValue());
            }
            writeUse(packer, use.others());
        }
    }

    private static AccountUseReport readReport(MessageUnpacker unpacker) throws IOException {
        Map<String, ServiceUse> byService = new HashMap<>();
        int services = unpacker.unpackMapHeader();
        for (int service = 0; service < services; service++) {
            String name = unpacker.unpackString();
            long observedMillis = unpacker.unpackLong();
            Map<String, AccountUse> byAccount = new HashMap<>();
            int accounts = unpacker.unpackMapHeader();
            for (int account = 0; account < accounts; account++) {
                byAccount.put(unpacker.unpackString(), readUse(unpacker));
            }
            byService.put(name, new ServiceUse(observedMillis, byAccount, readUse(unpacker)));
        }
        return new AccountUseReport(byService);
    }

    private static void writeUse(MessagePacker packer, AccountUse use) throws IOException {
        packer.packFloat((float) use.askedPerSecond())
                .packFloat((float) use.placedPerSecond())
                .packFloat((float) use.usualPerSecond());
    }

    private static AccountUse readUse(MessageUnpacker unpacker) throws IOException {
        return new AccountUse(unpacker.unpackFloat(), unpacker.unpackFloat(), unpacker.unpackFloat());
    }
}
