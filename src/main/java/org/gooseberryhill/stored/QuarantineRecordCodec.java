package org.gooseberryhill.stored;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gooseberryhill.decision.promptpart.PromptPartKey;
import org.gooseberryhill.decision.promptpart.QuarantineRecord;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.link.Json;

/**
 * Encodes and decodes the record of blocked parts of prompts, as JSON. Stateless.
 *
 * <p>Invariant: a record that lacks a field is unreadable; unknown fields are ignored.
 */
public final class QuarantineRecordCodec {
    private QuarantineRecordCodec() {}

    /** Encodes the record. */
    public static byte[] write(QuarantineRecord record) {
        ObjectNode json = Json.object();
        ArrayNode blocks = json.putArray("blocks");
        for (QuarantineRecord.Block block : record.blocks()) {
            ObjectNode entry = blocks.addObject()
                    .put("lastCrashMillis", block.lastCrashMillis())
                    .put("beganUnserved", block.beganUnserved())
                    .put("trials", block.trials());
            ArrayNode parts = entry.putArray("parts");
            block.parts()
                    .forEach(part -> parts.addObject()
                            .put("service", part.version().service())
                            .put("version", part.version().softwareVersion())
                            .put("model", part.model())
                            .put("part", part.part()));
            ArrayNode crashes = entry.putArray("crashes");
            block.crashes()
                    .forEach(crash -> crashes.addObject()
                            .put("endpoint", crash.endpoint())
                            .put("host", crash.reporter())
                            .put("atMillis", crash.atMillis()));
        }
        return Json.bytes(json);
    }

    /** Decodes the record. */
    public static Try<QuarantineRecord> read(byte[] value) {
        return Json.tree(value).mapTry(json -> {
            List<QuarantineRecord.Block> blocks = new ArrayList<>();
            for (JsonNode block : JsonFields.list(json, "blocks")) {
                blocks.add(readBlock(block));
            }
            return new QuarantineRecord(List.copyOf(blocks));
        });
    }

    private static QuarantineRecord.Block readBlock(JsonNode json) {
        Set<PromptPartKey> parts = new HashSet<>();
        JsonFields.list(json, "parts")
                .forEach(part -> parts.add(new PromptPartKey(
                        new ServiceVersion(JsonFields.text(part, "service"), JsonFields.text(part, "version")),
                        JsonFields.text(part, "model"),
                        JsonFields.text(part, "part"))));
        List<QuarantineRecord.Crash> crashes = new ArrayList<>();
        JsonFields.list(json, "crashes")
                .forEach(crash -> crashes.add(new QuarantineRecord.Crash(
                        JsonFields.text(crash, "endpoint"),
                        JsonFields.text(crash, "host"),
                        JsonFields.longNumber(crash, "atMillis"))));
        return new QuarantineRecord.Block(
                Set.copyOf(parts),
                List.copyOf(crashes),
                JsonFields.longNumber(json, "lastCrashMillis"),
                JsonFields.flag(json, "beganUnserved"),
                JsonFields.intNumber(json, "trials"));
    }
}
