package org.gooseberryhill.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;
import org.gooseberryhill.decision.access.BatchAccess;
import org.gooseberryhill.decision.configuration.TextChange;
import org.gooseberryhill.decision.continuation.OriginReport;
import org.gooseberryhill.decision.continuation.RegisteredVersions;
import org.gooseberryhill.decision.continuation.StreamOrigin;
import org.gooseberryhill.decision.coordination.GroupLoad;
import org.gooseberryhill.decision.coordination.HostWork;
import org.gooseberryhill.decision.coordination.ItemStart;
import org.gooseberryhill.decision.coordination.ItemTiming;
import org.gooseberryhill.decision.coordination.PlacementReply;
import org.gooseberryhill.decision.coordination.WaitingItems;
import org.gooseberryhill.decision.dispatch.Admission;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.AttemptTiming;
import org.gooseberryhill.decision.dispatch.OverloadFacts;
import org.gooseberryhill.decision.dispatch.PlacementAnswer;
import org.gooseberryhill.decision.dispatch.PlacementFacts;
import org.gooseberryhill.decision.dispatch.PlacementQuery;
import org.gooseberryhill.decision.job.ItemEnd;
import org.gooseberryhill.decision.job.WorkItem;
import org.gooseberryhill.decision.membership.HostState;
import org.gooseberryhill.decision.membership.Rumor;
import org.gooseberryhill.decision.promptpart.IsolationPermit;
import org.gooseberryhill.decision.promptpart.PromptPartKey;
import org.gooseberryhill.decision.quota.AccountActivity;
import org.gooseberryhill.decision.quota.QuotaReport;
import org.gooseberryhill.decision.requestbatch.BatchPage;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.ItemCheckpoint;
import org.gooseberryhill.decision.requestbatch.ItemResult;
import org.gooseberryhill.decision.requestbatch.ItemState;
import org.gooseberryhill.decision.share.AccountUse;
import org.gooseberryhill.decision.share.AccountUseReport;
import org.gooseberryhill.decision.share.ServiceUse;
import org.gooseberryhill.decision.share.ShareFacts;
import org.gooseberryhill.decision.zone.GroupRoom;
import org.gooseberryhill.decision.zone.RoomAnswer;
import org.gooseberryhill.decision.zone.RoomQuery;
import org.gooseberryhill.decision.zone.ZoneLoad;
import org.gooseberryhill.decision.zone.ZonePair;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.HybridTimestamp;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class PeerCodecTest {
    private static final HostId HOST = new HostId("h");

    static Stream<PeerMessage> messages() {
        return Stream.of(
                new PeerMessage.Ack(),
                new PeerMessage.Failed("why"),
                new PeerMessage.ConnectionProbe(),
                new PeerMessage.Heartbeat(3, true, 9, List.of(new Rumor(HOST, HostState.SUSPECT, 4)), Map.of("s", 5L)),
                new PeerMessage.IndirectProbe(HOST),
                new PeerMessage.ConfigurationPush(7, "text\n"),
                new PeerMessage.ConfigurationChange(6, 7, TextChange.between("a\nb", "a\nc")),
                new PeerMessage.ConfigurationRequest(6),
                new PeerMessage.OnlineLoad(Map.of("e", 2), List.of("e")),
                new PeerMessage.EndpointLoads(Map.of("e", 2), Map.of("e", 1), List.of("x")),
                new PeerMessage.LeavingNotice("e", true),
                new PeerMessage.CrashNotice("e", List.of("f")),
                new PeerMessage.SuspectPermitRequest("s", "f", List.of("e")),
                new PeerMessage.SuspectPermit(Optional.of("e")),
                new PeerMessage.SuspectPermit(Optional.empty()),
                new PeerMessage.SuspectRelease("s", "f", true),
                new PeerMessage.JobNotice("c/j", false),
                new PeerMessage.WorkNotice("s", 8),
                new PeerMessage.ItemsRequest("s", 4),
                new PeerMessage.Items(List.of(new WorkItem("c/j", 1, 2, 3, "{}", "so far", 2, true))),
                new PeerMessage.ItemReport("c/j", 1, 2, 3, ItemEnd.YIELDED, "so far", 2),
                new PeerMessage.JobItemsCancel("c/j", 2),
                new PeerMessage.HeldHandoutsRequest("c/j", 2),
                new PeerMessage.HeldHandouts(List.of(3L)),
                new PeerMessage.SegmentRequest("n"),
                new PeerMessage.Segment(Optional.empty()),
                new PeerMessage.MissingSegments(List.of("n")));
    }

    static Stream<PeerMessage> gatewayMessages() {
        return Stream.of(
                new GatewayMessage.HostHeartbeat("start", true, false),
                new GatewayMessage.SilenceNotice(List.of(HOST)),
                new GatewayMessage.WatchEnd(),
                new GatewayMessage.ViewChanges("p/", 3, 9, List.of(KeyChange.deleted("p/k", 9)), 12),
                new GatewayMessage.ViewRequest("p/"),
                new GatewayMessage.ViewListing("p/", 9, List.of(), 40),
                new GatewayMessage.BatchNotice("b"),
                new GatewayMessage.ResultsRequest("b", 4, 1000, new BatchAccess(Optional.of("studio"))),
                new GatewayMessage.Results(Optional.empty()),
                new GatewayMessage.Results(Optional.of(new BatchPage(
                        9,
                        4,
                        List.of(
                                new ItemResult("i", ItemState.DONE, "text\nwith \u00e4 line"),
                                new ItemResult("j", ItemState.GIVEN_UP, ""))))),
                new GatewayMessage.ItemBodyRequest("b", "i", BatchAccess.UNCHECKED),
                new GatewayMessage.ItemBody(true, Optional.empty()),
                new GatewayMessage.BatchEndRequest("b", BatchAccess.UNCHECKED),
                new GatewayMessage.BatchEnded(true),
                new GatewayMessage.BatchHandOver(
                        "b",
                        5,
                        new BatchRecord(
                                "h", "/t", "hash", "o", "s", 1, 1, 9, false, List.of(0, 4), 6, Optional.empty()),
                        List.of(
                                new ItemCheckpoint("i", 3, "so far", Optional.of(new ServiceVersion("s", "v1"))),
                                new ItemCheckpoint("j", 4, "so far", Optional.empty(), 2))),
                new GatewayMessage.StreamOriginNotice(List.of(new StreamOrigin("r", new ServiceVersion("s", "v1")))),
                new GatewayMessage.StreamOriginRequest(Optional.of("r"), Optional.empty()),
                new GatewayMessage.StreamOriginRequest(Optional.empty(), Optional.of("s")),
                new GatewayMessage.StreamOriginReply(new OriginReport(
                        Set.of(new ServiceVersion("s", "v1"), new ServiceVersion("s", "v2")),
                        new RegisteredVersions(Set.of("v1", "v2"), true))),
                new OutboxMessage.Stored(true),
                new OutboxMessage.Drop(
                        "b",
                        new BatchRecord("h", "/t", "hash", "o", "s", 1, 1, 9, false, List.of(), 0, Optional.empty())),
                new OutboxMessage.StateRequest(),
                new OutboxMessage.State(3),
                new GatewayMessage.StoreCall(
                        Optional.of("k"), Optional.empty(), false, Optional.empty(), Optional.empty(), Optional.of(3L)),
                new GatewayMessage.StoreAnswer(
                        Optional.of(ExternalServiceException.Kind.NOT_DONE),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.of(4L)));
    }

    static Stream<PeerMessage> coordinationMessages() {
        EndpointKey key = new EndpointKey("e", 7);
        EndpointGroup group = new EndpointGroup("s", 2);
        ItemTiming timing = new ItemTiming(-5, 900, 5000, true);
        ItemStart start = new ItemStart(8, 9, key, timing);
        Prompt prompt = new Prompt("m", 450, 40, List.of(new PromptPart("a", 200), new PromptPart("b", 250)));
        PlacementFacts facts = new PlacementFacts(3, 2, 1, 7, 40);
        return Stream.of(
                new CoordinationMessage.PlacementRequest(
                        group,
                        new PlacementQuery(
                                "s",
                                new AvailabilityZone("z"),
                                Optional.of(prompt),
                                Set.of(key),
                                Set.of(),
                                300,
                                5000,
                                true,
                                false,
                                Optional.of("studio"))),
                new CoordinationMessage.PlacementRequest(
                        group,
                        new PlacementQuery(
                                "s",
                                new AvailabilityZone("z"),
                                Optional.empty(),
                                Set.of(),
                                Set.of(key),
                                300,
                                5000,
                                false,
                                true,
                                Optional.empty())),
                new CoordinationMessage.Placement(new PlacementReply(5, new PlacementAnswer.Placed(key, facts))),
                new CoordinationMessage.Placement(new PlacementReply(0, new PlacementAnswer.Elsewhere(group))),
                new CoordinationMessage.Placement(
                        new PlacementReply(0, new PlacementAnswer.Overloaded(30, new OverloadFacts(4, 3, 700)))),
                new CoordinationMessage.Placement(new PlacementReply(0, new PlacementAnswer.NoEndpoint())),
                new CoordinationMessage.OnlineStarted(key),
                new CoordinationMessage.OnlineEnded(
                        key, AttemptEnd.CUT, new AttemptTiming(12_000_000_000L, 29_000_000L)),
                new CoordinationMessage.ItemStarted(start),
                new CoordinationMessage.ItemEnded(9, AttemptEnd.ABANDONED),
                new CoordinationMessage.GrantReturned(8),
                new CoordinationMessage.WorkReport(new HostWork(8, Map.of(key, 3), List.of(start))),
                new CoordinationMessage.ItemsWaiting(new WaitingItems("s", 8, List.of(timing))),
                new CoordinationMessage.SlotGrant(8, key, 1.25),
                new CoordinationMessage.ItemsYield(List.of(9L, 10L)),
                new CoordinationMessage.GroupLoads(
                        List.of(new GroupLoad(group, 49, 12)),
                        new QuotaReport(true, Map.of("studio", new AccountActivity(4, 3, -1.5)))),
                new CoordinationMessage.AdmissionRequest("studio"),
                new CoordinationMessage.AdmissionReply(new Admission(Optional.of(12L))),
                new CoordinationMessage.AdmissionReturned("studio"));
    }

    static Stream<PeerMessage> zoneMessages() {
        return Stream.of(
                new CoordinationMessage.RoomRequest(new RoomQuery(
                        new ZonePair("s", new AvailabilityZone("a"), new AvailabilityZone("b")),
                        new ZoneLoad(168, 150))),
                new CoordinationMessage.RoomReply(RoomAnswer.DENIED),
                new CoordinationMessage.RoomReply(
                        new RoomAnswer(true, List.of(new GroupRoom(new EndpointGroup("s", 1000), 7)))));
    }

    static List<PeerMessage> accountUseMessages() {
        return List.of(
                new CoordinationMessage.AccountUse(new AccountUseReport(Map.of(
                        "s", new ServiceUse(1200, Map.of("", new AccountUse(4, 2, 0.5)), new AccountUse(1, 1, 1.5))))),
                new CoordinationMessage.Placement(new PlacementReply(
                        0,
                        new PlacementAnswer.Overloaded(
                                30, new OverloadFacts(4, 3, 700, Optional.of(new ShareFacts(90, 40, 38.5, 2, 5)))))));
    }

    static Stream<PeerMessage> quarantineMessages() {
        EndpointKey key = new EndpointKey("e", 5);
        PromptPartKey part = new PromptPartKey(new ServiceVersion("s", "v1"), "m", "p");
        return Stream.of(
                new QuarantineMessage.EndpointCrashNotice(
                        key, 12, List.of(new QuarantineMessage.Run(Set.of(part), 130))),
                new QuarantineMessage.ServedPartsNotice(List.of(new QuarantineMessage.Served(part, 700))),
                new QuarantineMessage.PermitRequest(Set.of(part), true, List.of(key)),
                new QuarantineMessage.Permit(true, Optional.of(key)),
                new QuarantineMessage.Permit(true, Optional.empty()),
                new QuarantineMessage.Permit(false, Optional.empty()),
                new QuarantineMessage.PermitReturned(new IsolationPermit(Set.of(part), Optional.of(key))),
                new QuarantineMessage.PermitReturned(new IsolationPermit(Set.of(part), Optional.empty())));
    }

    @ParameterizedTest
    @MethodSource({
        "messages",
        "gatewayMessages",
        "coordinationMessages",
        "accountUseMessages",
        "zoneMessages",
        "quarantineMessages"
    })
    void aMessageSurvivesARoundTrip(PeerMessage message) throws IOException {
        PeerFrame frame = new PeerFrame(5, true, HybridTimestamp.ofMillis(1000), HOST, message);

        assertThat(PeerCodec.decode(PeerCodec.encode(frame))).isEqualTo(frame);
    }

    /** Guards against hosts of this version that can't read what hosts of the last one send during an update. */
    @Test
    void theEndOfARequestIsReadWithoutTheTimeBetweenItsEvents() throws IOException {
        PeerMessage message = new CoordinationMessage.OnlineEnded(
                new EndpointKey("e", 1), AttemptEnd.ANSWERED, AttemptTiming.ofDuration(12));
        PeerFrame frame = new PeerFrame(5, true, HybridTimestamp.ofMillis(1000), HOST, message);
        byte[] bytes = PeerCodec.encode(frame);

        byte[] earlier = Arrays.copyOf(bytes, bytes.length - 1);

        assertThat(PeerCodec.decode(earlier)).isEqualTo(frame);
    }

    /** Records that contain arrays are not equal to their copies, so the contents are compared one by one. */
    @Test
    void theBytesOfKeysAndBodiesSurviveARoundTrip() throws IOException {
        byte[] value = {0, 1, -1, 127};
        GatewayMessage.ViewListing listing = (GatewayMessage.ViewListing)
                roundTrip(new GatewayMessage.ViewListing("p/", 9, List.of(KeyChange.written("p/k", value, 8)), 1));
        GatewayMessage.ItemBody body =
                (GatewayMessage.ItemBody) roundTrip(new GatewayMessage.ItemBody(true, Optional.of(value)));

        assertThat(listing.entries().get(0).value().orElseThrow()).isEqualTo(value);
        assertThat(listing.entries().get(0).revision()).isEqualTo(8);
        assertThat(body.body().orElseThrow()).isEqualTo(value);
    }

    @Test
    void aSubmissionSurvivesARoundTrip() throws IOException {
        BatchRecord record =
                new BatchRecord("h", "/t", "hash", "o", "s", 1, 1, 9, false, List.of(), 0, Optional.empty());
        byte[] value = {0, 1, -1, 127};

        OutboxMessage.Put put = (OutboxMessage.Put) roundTrip(new OutboxMessage.Put("b", record, value));

        assertThat(put.batch()).isEqualTo("b");
        assertThat(put.record()).isEqualTo(record);
        assertThat(put.body()).isEqualTo(value);
    }

    /** Guards against callers that wait for the mapper's first use: a third of a second of processor time. */
    @ParameterizedTest
    @MethodSource({"gatewayMessages", "accountUseMessages", "quarantineMessages"})
    void gatewayMessagesHaveACompactCodec(PeerMessage message) {
        assertThat(CompactCodecs.of(message)).isPresent();
    }

    @Test
    void aRelayedTransactionSurvivesARoundTrip() throws IOException {
        byte[] value = {0, 1, -1, 127};
        Transaction transaction = Transaction.builder()
                .ifAbsent("a")
                .ifRevisionIs("b", 7)
                .put("c", value)
                .putUnderLease("d", value, 9)
                .delete("e")
                .build();

        GatewayMessage.StoreCall call = (GatewayMessage.StoreCall) roundTrip(new GatewayMessage.StoreCall(
                Optional.empty(),
                Optional.of("p/"),
                true,
                Optional.of(transaction),
                Optional.of(4000L),
                Optional.empty()));

        Transaction read = call.write().orElseThrow();
        assertThat(call.listPrefix()).contains("p/");
        assertThat(call.mayBeStale()).isTrue();
        assertThat(call.grantTtlMillis()).contains(4000L);
        assertThat(read.conditions()).isEqualTo(transaction.conditions());
        assertThat(read.writes()).extracting(Transaction.Write::key).containsExactly("c", "d", "e");
        assertThat(read.writes().get(0).value().orElseThrow()).isEqualTo(value);
        assertThat(read.writes().get(1).leaseId()).contains(9L);
        assertThat(read.writes().get(2).value()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(ExternalServiceException.Kind.class)
    void eachKindOfFailureSurvivesARoundTrip(ExternalServiceException.Kind kind) throws IOException {
        GatewayMessage.StoreAnswer answer = new GatewayMessage.StoreAnswer(
                Optional.of(kind), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());

        assertThat(roundTrip(answer)).isEqualTo(answer);
    }

    @Test
    void aStoreAnswerSurvivesARoundTrip() throws IOException {
        byte[] value = {0, 1, -1, 127};
        GatewayMessage.StoreAnswer answer = (GatewayMessage.StoreAnswer) roundTrip(new GatewayMessage.StoreAnswer(
                Optional.empty(),
                Optional.of(new KeyValueStore.ReadResult(9, List.of(new KeyValueStore.Entry("k", value, 3, 8)), true)),
                Optional.of(new KeyValueStore.Listing(7, List.of(KeyChange.written("p/k", value, 6)))),
                Optional.of(new KeyValueStore.WriteResult(true, 5)),
                Optional.empty()));

        KeyValueStore.Entry entry = answer.read().orElseThrow().first().orElseThrow();
        assertThat(entry.key()).isEqualTo("k");
        assertThat(entry.value()).isEqualTo(value);
        assertThat(entry.modRevision()).isEqualTo(8);
        assertThat(answer.read().orElseThrow().more()).isTrue();
        assertThat(answer.listing().orElseThrow().entries().get(0).value().orElseThrow())
                .isEqualTo(value);
        assertThat(answer.written()).contains(new KeyValueStore.WriteResult(true, 5));
    }

    /** A process of another version may send a message that this one does not know; the connection has to fail. */
    @Test
    void aFrameWithAnUnknownCodeIsRefused() {
        assertThatThrownBy(() -> PeerCodec.decode(new byte[] {99, 1, -62, 1, -95, 'h'}))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("99");
    }

    private static PeerMessage roundTrip(PeerMessage message) throws IOException {
        PeerFrame frame = new PeerFrame(5, true, HybridTimestamp.ofMillis(1000), HOST, message);
        return PeerCodec.decode(PeerCodec.encode(frame)).message();
    }
}
