package org.gooseberryhill.stored;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
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
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StoredValueCodecTest {
    private static final BatchRecord RECORD = new BatchRecord(
            "host", "/b/1?x=\"y\"", "hash", "owner", "start", 1L << 40, 2, 9, true, List.of(0, 4), 6, Optional.empty());

    @Test
    void encodedValuesAreDecodedUnchanged() {
        ListedHost listed = new ListedHost(
                new Host(new HostId("h"), Role.GATEWAY, new AvailabilityZone("z"), new Address("10.0.0.1", 80), false),
                "start");
        List<ItemResult> results = List.of(
                new ItemResult("i", ItemState.DONE, "a\nb \u00e4 \"c\""), new ItemResult("j", ItemState.GIVEN_UP, ""));
        List<ItemCheckpoint> checkpoints = List.of(
                new ItemCheckpoint("i", 1L << 33, "so far", Optional.of(new ServiceVersion("s", "v1"))),
                new ItemCheckpoint("j", 1, "so far", Optional.empty(), 2));

        VersionRecord versions = new VersionRecord(
                1L << 40,
                Set.of(new ServiceVersion("s", "v1"), new ServiceVersion("t", "v1")),
                Map.of(new ServiceVersion("s", "v0"), 1L << 41));

        assertThat(StoredValueCodec.readHost(StoredValueCodec.write(listed)).get())
                .isEqualTo(listed);
        assertThat(StoredValueCodec.readVersions(StoredValueCodec.write(versions))
                        .get())
                .isEqualTo(versions);
        assertThat(StoredValueCodec.readRecord(StoredValueCodec.write(RECORD)).get())
                .isEqualTo(RECORD);
        byte[] written = StoredValueCodec.write(RECORD, new WriteId("p-1"));
        assertThat(StoredValueCodec.readRecord(written).get()).isEqualTo(RECORD);
        assertThat(StoredValueCodec.readWriteId(written).get()).contains(new WriteId("p-1"));
        assertThat(StoredValueCodec.readWriteId(StoredValueCodec.write(RECORD)).get())
                .isEmpty();
        assertThat(StoredValueCodec.readResults(StoredValueCodec.writeResults(results))
                        .get())
                .isEqualTo(results);
        assertThat(StoredValueCodec.readCheckpoints(StoredValueCodec.writeCheckpoints(checkpoints))
                        .get())
                .isEqualTo(checkpoints);
    }

    /** Guards against messages that a host of an earlier version does not understand: it did not register a set. */
    @Test
    void aHostThatRegisteredNoMessageSetUnderstandsTheFirst() {
        ListedHost listed = new ListedHost(
                new Host(new HostId("h"), Role.GATEWAY, new AvailabilityZone("z"), new Address("10.0.0.1", 80), false),
                "start");
        String json = new String(StoredValueCodec.write(listed), StandardCharsets.UTF_8);
        byte[] earlier = json.replaceAll(",?\"messageSet\":\\d+", "").getBytes(StandardCharsets.UTF_8);

        assertThat(StoredValueCodec.readHost(earlier).get().messageSet()).isEqualTo(ListedHost.FIRST_MESSAGE_SET);
    }

    /** A later version of the system may write additional fields; this version reads those that it knows. */
    @Test
    void anUnknownFieldIsIgnored() {
        String json = new String(StoredValueCodec.write(RECORD), StandardCharsets.UTF_8);
        String withUnknownField = json.replaceFirst("\\{", "{\"later\":[1],");

        assertThat(StoredValueCodec.readRecord(withUnknownField.getBytes(StandardCharsets.UTF_8))
                        .get())
                .isEqualTo(RECORD);
    }

    @Test
    void aValueThatLacksAFieldOrIsNoJsonIsRejected() {
        String json = new String(StoredValueCodec.write(RECORD), StandardCharsets.UTF_8);
        String withoutOwner = json.replace("\"owner\"", "\"other\"");

        assertThat(StoredValueCodec.readRecord(withoutOwner.getBytes(StandardCharsets.UTF_8))
                        .isFailure())
                .isTrue();
        assertThat(StoredValueCodec.readRecord(new byte[] {1, 2}).isFailure()).isTrue();
        assertThat(StoredValueCodec.readRecord(new byte[0]).isFailure()).isTrue();
    }

    /** Guards against a record that is taken with other content than was written: texts without value, wrapped numbers. */
    @ParameterizedTest
    @CsvSource({
        "owner, 7",
        "host, null",
        "items, 4294967301",
        "bodyParts, 2147483647",
        "bodyParts, -1",
        "acceptedAtMillis, 18446744073709551621",
        "ended, 1",
        "chunks, {}",
        "chunks, [4294967301]",
    })
    void aRecordWithAValueOfAnotherTypeOrRangeIsRejected(String field, String value) {
        String json = new String(StoredValueCodec.write(RECORD), StandardCharsets.UTF_8);
        String odd = json.replaceFirst("\"" + field + "\":(\\[[^]]*]|\"[^\"]*\"|[^,}]*)", "\"" + field + "\":" + value);

        assertThat(odd).isNotEqualTo(json);
        assertThat(StoredValueCodec.readRecord(odd.getBytes(StandardCharsets.UTF_8))
                        .isFailure())
                .isTrue();
    }

    /** Guards against values that the key-value store refuses because their size was underestimated. */
    @Test
    void resultsAndCheckpointsTakeNoMoreBytesThanTheySay() {
        Optional<ServiceVersion> version = Optional.of(new ServiceVersion("service-\u0639", "v\"1\""));
        for (String text : List.of("", "a", "\u0639", "\u8a9e", "\ud83d\ude00", "\n\"\u0001")) {
            ItemResult result = new ItemResult("item-" + text, ItemState.GIVEN_UP, text.repeat(100));
            ItemCheckpoint checkpoint =
                    new ItemCheckpoint("item-" + text, Long.MAX_VALUE, text.repeat(100), version, Integer.MAX_VALUE);

            assertThat(StoredValueCodec.writeResults(List.of(result, result)).length)
                    .isLessThanOrEqualTo(2 * result.encodedBytes());
            assertThat(StoredValueCodec.writeCheckpoints(List.of(checkpoint, checkpoint)).length)
                    .isLessThanOrEqualTo(2 * checkpoint.encodedBytes());
        }
    }
}
