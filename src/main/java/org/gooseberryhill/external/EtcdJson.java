package org.gooseberryhill.external;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.link.Json;

/**
 * Encodes requests and decodes responses in the published JSON mapping of the etcd v3 protocol: Base64 for keys and
 * values, strings for 64-bit numbers.
 * Stateless.
 */
public final class EtcdJson {
    private EtcdJson() {}

    /** Encodes a text, as UTF-8, in Base64. */
    public static String encode(String text) {
        return encode(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Encodes bytes in Base64. */
    public static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    /** Decodes a Base64 node to bytes; an absent node yields an empty array. */
    public static byte[] decode(JsonNode node) {
        return Base64.getDecoder().decode(node.asText(""));
    }

    /** Decodes a Base64 node to text. */
    public static String decodeText(JsonNode node) {
        return new String(decode(node), StandardCharsets.UTF_8);
    }

    /** Returns the first key after all keys with the prefix, in Base64; the prefix must not be empty. */
    public static String encodeRangeEnd(String prefix) {
        byte[] bytes = prefix.getBytes(StandardCharsets.UTF_8);
        bytes[bytes.length - 1]++;
        return encode(bytes);
    }

    static ObjectNode encodeTransaction(Transaction transaction) {
        ObjectNode body = Json.object();
        ArrayNode compare = body.putArray("compare");
        for (Transaction.Condition condition : transaction.conditions()) {
            boolean create = condition.target() == Transaction.Target.CREATE;
            compare.addObject()
                    .put("key", encode(condition.key()))
                    .put("target", create ? "CREATE" : "MOD")
                    .put("result", "EQUAL")
                    .put(create ? "create_revision" : "mod_revision", Long.toString(condition.revision()));
        }
        ArrayNode success = body.putArray("success");
        for (Transaction.Write write : transaction.writes()) {
            if (write.value().isPresent()) {
                ObjectNode put = success.addObject().putObject("request_put");
                put.put("key", encode(write.key()));
                put.put("value", encode(write.value().get()));
                write.leaseId().ifPresent(lease -> put.put("lease", Long.toString(lease)));
            } else {
                success.addObject().putObject("request_delete_range").put("key", encode(write.key()));
            }
        }
        return body;
    }

    static KeyValueStore.ReadResult decodeReadResult(JsonNode answer) {
        List<KeyValueStore.Entry> entries = new ArrayList<>();
        answer.path("kvs").forEach(node -> entries.add(decodeEntry(node)));
        return new KeyValueStore.ReadResult(
                revision(answer), entries, answer.path("more").asBoolean(false));
    }

    static KeyValueStore.Entry decodeEntry(JsonNode node) {
        return new KeyValueStore.Entry(
                decodeText(node.path("key")),
                decode(node.path("value")),
                node.path("create_revision").asLong(),
                node.path("mod_revision").asLong());
    }

    /** Decodes an event of a watch to the entry that was written; empty if the key was deleted. */
    static Optional<KeyValueStore.Entry> decodeEvent(JsonNode event) {
        boolean deleted = event.path("type").asText("PUT").equals("DELETE");
        return deleted ? Optional.empty() : Optional.of(decodeEntry(event.path("kv")));
    }

    static long revision(JsonNode answer) {
        return answer.path("header").path("revision").asLong();
    }
}
