package org.gooseberryhill.stored;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.decision.continuation.VersionRecord;
import org.gooseberryhill.decision.membership.ListedHost;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.ItemCheckpoint;
import org.gooseberryhill.decision.requestbatch.ItemResult;
import org.gooseberryhill.decision.requestbatch.ItemState;
import org.gooseberryhill.decision.requestbatch.WriteId;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Encodes and decodes the values in the key-value store, as JSON. Stateless.
 *
 * <p>Invariant: every host can read what any other host wrote, also a host of an earlier version. A value that lacks a field
 * is unreadable, except for fields that earlier versions did not write; unknown fields are ignored.
 */
public final class StoredValueCodec {
    /** Far more values than the items of a batch are split into; each of them is listed by its key when a batch is deleted. */
    private static final int MAX_BODY_PARTS = 10_000;

    private StoredValueCodec() {}

    /** Encodes the entry of a live host. */
    public static byte[] write(ListedHost listed) {
        ObjectNode json =
                Json.object().put("processStart", listed.processStart()).put("messageSet", listed.messageSet());
        json.putObject("host")
                .put("id", listed.host().id().value())
                .put("role", listed.host().role().name())
                .put("zone", listed.host().zone().name())
                .put("address", listed.host().address().toString())
                .put("leaving", listed.host().leaving());
        return Json.bytes(json);
    }

    /** Decodes the entry of a live host. */
    public static Try<ListedHost> readHost(byte[] value) {
        return Json.tree(value).mapTry(json -> {
            JsonNode host = json.required("host");
            return new ListedHost(
                    new Host(
                            new HostId(JsonFields.text(host, "id")),
                            Role.valueOf(JsonFields.text(host, "role")),
                            new AvailabilityZone(JsonFields.text(host, "zone")),
                            Address.of(JsonFields.text(host, "address")),
                            JsonFields.flag(host, "leaving")),
                    JsonFields.text(json, "processStart"),
                    json.path("messageSet").asInt(ListedHost.FIRST_MESSAGE_SET));
        });
    }

    /** Encodes the record of software versions. */
    public static byte[] write(VersionRecord record) {
        ObjectNode json = Json.object().put("sinceMillis", record.sinceMillis());
        ArrayNode registered = json.putArray("registered");
        record.registered().forEach(version -> putVersion(registered.addObject(), version));
        ArrayNode gone = json.putArray("gone");
        record.goneAtMillis()
                .forEach((version, millis) ->
                        putVersion(gone.addObject(), version).put("atMillis", millis));
        return Json.bytes(json);
    }

    /** Decodes the record of software versions. */
    public static Try<VersionRecord> readVersions(byte[] value) {
        return Json.tree(value).mapTry(json -> {
            Set<ServiceVersion> registered = new HashSet<>();
            JsonFields.list(json, "registered").forEach(version -> registered.add(readVersion(version)));
            Map<ServiceVersion, Long> gone = new HashMap<>();
            JsonFields.list(json, "gone")
                    .forEach(version -> gone.put(readVersion(version), JsonFields.longNumber(version, "atMillis")));
            return new VersionRecord(JsonFields.longNumber(json, "sinceMillis"), registered, gone);
        });
    }

    private static ObjectNode putVersion(ObjectNode json, ServiceVersion version) {
        return json.put("service", version.service()).put("version", version.softwareVersion());
    }

    private static ServiceVersion readVersion(JsonNode json) {
        return new ServiceVersion(JsonFields.text(json, "service"), JsonFields.text(json, "version"));
    }

    /** Encodes a batch's record. */
    public static byte[] write(BatchRecord record) {
        return Json.bytes(recordFields(record));
    }

    /** Encodes a batch's record together with the id of the write that stores it. */
    public static byte[] write(BatchRecord record, WriteId writeId) {
        return Json.bytes(recordFields(record).put("write", writeId.value()));
    }

    private static ObjectNode recordFields(BatchRecord record) {
        ObjectNode json = Json.object()
                .put("host", record.host())
                .put("target", record.target())
                .put("bodyHash", record.bodyHash())
                .put("owner", record.owner())
                .put("ownerStart", record.ownerStart())
                .put("acceptedAtMillis", record.acceptedAtMillis())
                .put("bodyParts", record.bodyParts())
                .put("items", record.items())
                .put("ended", record.ended())
                .put("listed", record.listed());
        ArrayNode chunks = json.putArray("chunks");
        record.chunks().forEach(chunks::add);
        record.account().ifPresent(account -> json.put("account", account));
        return json;
    }

    /** Decodes the id of the write that stored a batch's record; empty if an earlier version wrote it. */
    public static Try<Optional<WriteId>> readWriteId(byte[] value) {
        return Json.tree(value)
                .map(json -> Optional.ofNullable(json.path("write").textValue()).map(WriteId::new));
    }

    /** Decodes a batch's record. */
    public static Try<BatchRecord> readRecord(byte[] value) {
        return Json.tree(value).mapTry(json -> {
            int bodyParts = JsonFields.intNumber(json, "bodyParts");
            if (bodyParts < 0 || bodyParts > MAX_BODY_PARTS) {
                throw new IllegalArgumentException("bodyParts is out of range");
            }
            List<Integer> chunks = new ArrayList<>();
            JsonFields.list(json, "chunks").forEach(chunk -> chunks.add(JsonFields.intNumber(chunk)));
            return new BatchRecord(
                    JsonFields.text(json, "host"),
                    JsonFields.text(json, "target"),
                    JsonFields.text(json, "bodyHash"),
                    JsonFields.text(json, "owner"),
                    JsonFields.text(json, "ownerStart"),
                    JsonFields.longNumber(json, "acceptedAtMillis"),
                    bodyParts,
                    JsonFields.intNumber(json, "items"),
                    JsonFields.flag(json, "ended"),
                    List.copyOf(chunks),
                    JsonFields.intNumber(json, "listed"),
                    Optional.ofNullable(json.path("account").textValue()));
        });
    }

    /** Encodes a chunk of committed results. */
    public static byte[] writeResults(List<ItemResult> results) {
        ArrayNode json = Json.array();
        results.forEach(result -> json.addObject()
                .put("id", result.id())
                .put("state", result.state().name())
                .put("text", result.text()));
        return Json.bytes(json);
    }

    /**
     * Encodes a part of the text of a committed result, whose other parts are in other values. Earlier versions do not read it, so
     * that they never take a part for a result.
     */
    public static byte[] writeResultPart(ItemResult result, String part) {
        ArrayNode json = Json.array();
        json.addObject()
                .put("id", result.id())
                .put("state", result.state().name())
                .put("part", part);
        return Json.bytes(json);
    }

    /** Decodes a chunk of committed results, or a part of one. */
    public static Try<List<ItemResult>> readResults(byte[] value) {
        return Json.tree(value).mapTry(json -> {
            List<ItemResult> results = new ArrayList<>();
            for (JsonNode result : JsonFields.list(json)) {
                results.add(new ItemResult(
                        JsonFields.text(result, "id"),
                        ItemState.valueOf(JsonFields.text(result, "state")),
                        result.has("part") ? JsonFields.text(result, "part") : JsonFields.text(result, "text")));
            }
            return results;
        });
    }

    /** Encodes the checkpoints of a batch's open items. */
    public static byte[] writeCheckpoints(List<ItemCheckpoint> checkpoints) {
        ArrayNode json = Json.array();
        for (ItemCheckpoint checkpoint : checkpoints) {
            ObjectNode entry = json.addObject()
                    .put("id", checkpoint.id())
                    .put("lastEventId", checkpoint.lastEventId())
                    .put("text", checkpoint.text())
                    .put("errorAnswers", checkpoint.errorAnswers());
            checkpoint.generatedBy().ifPresent(version -> putVersion(entry, version));
        }
        return Json.bytes(json);
    }

    /** Decodes the checkpoints of a batch's open items. */
    public static Try<List<ItemCheckpoint>> readCheckpoints(byte[] value) {
        return Json.tree(value).mapTry(json -> {
            List<ItemCheckpoint> checkpoints = new ArrayList<>();
            for (JsonNode checkpoint : JsonFields.list(json)) {
                checkpoints.add(new ItemCheckpoint(
                        JsonFields.text(checkpoint, "id"),
                        JsonFields.longNumber(checkpoint, "lastEventId"),
                        JsonFields.text(checkpoint, "text"),
                        checkpoint.has("service") ? Optional.of(readVersion(checkpoint)) : Optional.empty(),
                        checkpoint.has("errorAnswers") ? JsonFields.intNumber(checkpoint, "errorAnswers") : 0));
            }
            return checkpoints;
        });
    }
}
