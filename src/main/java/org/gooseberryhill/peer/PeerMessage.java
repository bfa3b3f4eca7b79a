package org.gooseberryhill.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.decision.configuration.TextChange;
import org.gooseberryhill.decision.job.ItemEnd;
import org.gooseberryhill.decision.job.WorkItem;
import org.gooseberryhill.decision.membership.Rumor;
import org.gooseberryhill.host.HostId;

/**
 * Messages between the processes of the system. Immutable.
 *
 * <p>On the wire a message is an array of its fields in declaration order, because field names would make up most of
 * the size of a small message. New fields are appended: an older process ignores them, and a newer process reads them
 * as absent in messages of an older one.
 *
 * <p>The reply to a message is {@link Ack} unless the message names another.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Ack.class, name = "ack"),
    @JsonSubTypes.Type(value = PeerMessage.Failed.class, name = "fail"),
    @JsonSubTypes.Type(value = PeerMessage.ConnectionProbe.class, name = "probe"),
    @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "hb"),
    @JsonSubTypes.Type(value = PeerMessage.IndirectProbe.class, name = "via"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigurationPush.class, name = "cfg"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigurationChange.class, name = "cfg+"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigurationRequest.class, name = "cfg?"),
    @JsonSubTypes.Type(value = PeerMessage.OnlineLoad.class, name = "load"),
    @JsonSubTypes.Type(value = PeerMessage.EndpointLoads.class, name = "loads"),
    @JsonSubTypes.Type(value = PeerMessage.LeavingNotice.class, name = "leave"),
    @JsonSubTypes.Type(value = PeerMessage.CrashNotice.class, name = "crash"),
    @JsonSubTypes.Type(value = PeerMessage.SuspectPermitRequest.class, name = "permit?"),
    @JsonSubTypes.Type(value = PeerMessage.SuspectPermit.class, name = "permit"),
    @JsonSubTypes.Type(value = PeerMessage.SuspectRelease.class, name = "release"),
    @JsonSubTypes.Type(value = PeerMessage.JobNotice.class, name = "job"),
    @JsonSubTypes.Type(value = PeerMessage.WorkNotice.class, name = "work"),
    @JsonSubTypes.Type(value = PeerMessage.ItemsRequest.class, name = "items?"),
    @JsonSubTypes.Type(value = PeerMessage.Items.class, name = "items"),
    @JsonSubTypes.Type(value = PeerMessage.ItemReport.class, name = "item"),
    @JsonSubTypes.Type(value = PeerMessage.JobItemsCancel.class, name = "stop"),
    @JsonSubTypes.Type(value = PeerMessage.HeldHandoutsRequest.class, name = "held?"),
    @JsonSubTypes.Type(value = PeerMessage.HeldHandouts.class, name = "held"),
    @JsonSubTypes.Type(value = PeerMessage.SegmentPut.class, name = "put"),
    @JsonSubTypes.Type(value = PeerMessage.SegmentRequest.class, name = "get"),
    @JsonSubTypes.Type(value = PeerMessage.Segment.class, name = "seg"),
    @JsonSubTypes.Type(value = PeerMessage.MissingSegments.class, name = "have?"),
    @JsonSubTypes.Type(value = GatewayMessage.HostHeartbeat.class, name = "use"),
    @JsonSubTypes.Type(value = GatewayMessage.ViewChanges.class, name = "view+"),
    @JsonSubTypes.Type(value = GatewayMessage.ViewRequest.class, name = "view?"),
    @JsonSubTypes.Type(value = GatewayMessage.ViewListing.class, name = "view"),
    @JsonSubTypes.Type(value = GatewayMessage.BatchNotice.class, name = "batch"),
    @JsonSubTypes.Type(value = GatewayMessage.ResultsRequest.class, name = "results?"),
    @JsonSubTypes.Type(value = GatewayMessage.Results.class, name = "results"),
    @JsonSubTypes.Type(value = GatewayMessage.ItemBodyRequest.class, name = "body?"),
    @JsonSubTypes.Type(value = GatewayMessage.ItemBody.class, name = "body"),
    @JsonSubTypes.Type(value = GatewayMessage.BatchEndRequest.class, name = "end?"),
    @JsonSubTypes.Type(value = GatewayMessage.BatchEnded.class, name = "ended"),
    @JsonSubTypes.Type(value = GatewayMessage.BatchHandOver.class, name = "over"),
    @JsonSubTypes.Type(value = OutboxMessage.Put.class, name = "outbox+"),
    @JsonSubTypes.Type(value = OutboxMessage.Stored.class, name = "outbox"),
    @JsonSubTypes.Type(value = OutboxMessage.Drop.class, name = "outbox-"),
    @JsonSubTypes.Type(value = OutboxMessage.StateRequest.class, name = "outbox?"),
    @JsonSubTypes.Type(value = OutboxMessage.State.class, name = "outbox="),
    @JsonSubTypes.Type(value = GatewayMessage.StoreCall.class, name = "kv?"),
    @JsonSubTypes.Type(value = GatewayMessage.StoreAnswer.class, name = "kv")
})
public interface PeerMessage {
    /** Acknowledges a message. */
    record Ack() implements PeerMessage {}

    /**
     * Checks whether the connection is alive. The traffic thread of the other process replies directly, so that a
     * slow control thread is not mistaken for a dead connection.
     */
    record ConnectionProbe() implements PeerMessage {}

    /**
     * Reports that a message could not be processed.
     *
     * @param reason a short text for logs
     */
    record Failed(String reason) implements PeerMessage {}

    /**
     * Signals that the sender is alive, and reports its own state and recent states of other hosts; the reply is another
     * heartbeat.
     *
     * @param incarnation increased when the host refutes a suspicion against itself
     * @param leaving whether the host is in a planned stop
     * @param configurationRevision the revision of the host's active configuration
     * @param rumors recent states of other hosts, bounded in number
     * @param earliestDueMillisByService the earliest due time of the waiting items that the host owns, by service, in
     *     epoch milliseconds
     */
    record Heartbeat(
            long incarnation,
            boolean leaving,
            long configurationRevision,
            List<Rumor> rumors,
            Map<String, Long> earliestDueMillisByService)
            implements PeerMessage {}

    /**
     * Asks a host to send a heartbeat to a third host; the reply is {@link Ack} if the third host replied.
     *
     * @param target the host to probe
     */
    record IndirectProbe(HostId target) implements PeerMessage {}

    /**
     * Transfers a configuration, either pushed or on request.
     *
     * @param revision the revision that the key-value store assigned to it
     * @param text the text as the operators wrote it
     */
    record ConfigurationPush(long revision, String text) implements PeerMessage {}

    /**
     * Pushes the difference between two configurations; a host with another base revision requests the full text.
     *
     * @param baseRevision the revision that the change applies to
     * @param revision the revision of the new text
     * @param change the difference between the two texts
     */
    record ConfigurationChange(long baseRevision, long revision, TextChange change) implements PeerMessage {}

    /**
     * Requests a newer configuration; the reply is {@link ConfigurationPush}, or {@link Ack} if there is none.
     *
     * @param haveRevision the revision that the requesting host has
     */
    record ConfigurationRequest(long haveRevision) implements PeerMessage {}

    /**
     * Reports the online requests of an entry host to a steward; the reply is {@link EndpointLoads}.
     *
     * @param inFlight number of requests in flight by endpoint, for the endpoints of that steward
     * @param slowEndpoints endpoints whose latest tokens arrived more slowly than the target of their class
     */
    record OnlineLoad(Map<String, Integer> inFlight, List<String> slowEndpoints) implements PeerMessage {}

    /**
     * Returns a steward's totals over all entry hosts.
     *
     * @param online online requests in flight by endpoint
     * @param batch batch items in flight by endpoint
     * @param leaving the endpoints that the steward knows to be leaving
     */
    record EndpointLoads(Map<String, Integer> online, Map<String, Integer> batch, List<String> leaving)
            implements PeerMessage {}

    /**
     * Tells entry hosts that an endpoint of the sending steward is leaving, or no longer is.
     *
     * @param endpoint the endpoint
     * @param leaving whether the endpoint is leaving
     */
    record LeavingNotice(String endpoint, boolean leaving) implements PeerMessage {}

    /**
     * Reports that an endpoint aborted requests. All hosts then treat their fingerprints as suspects: requests that may have
     * crashed the endpoint.
     *
     * @param endpoint the endpoint
     * @param fingerprints the fingerprints of the requests in flight
     */
    record CrashNotice(String endpoint, List<String> fingerprints) implements PeerMessage {}

    /**
     * Requests permission to run a suspect isolated from other suspects; the reply is {@link SuspectPermit}.
     *
     * @param service the service
     * @param fingerprint the fingerprint of the suspect
     * @param endpoints acceptable endpoints, best first
     */
    record SuspectPermitRequest(String service, String fingerprint, List<String> endpoints) implements PeerMessage {}

    /**
     * Tells at which endpoint a suspect may run.
     *
     * @param endpoint the endpoint; empty if the suspect has to wait
     */
    record SuspectPermit(Optional<String> endpoint) implements PeerMessage {}

    /**
     * Reports the end of a suspect's run.
     *
     * @param service the service
     * @param fingerprint the fingerprint of the suspect
     * @param completed whether the run returned an answer, which clears the suspicion
     */
    record SuspectRelease(String service, String fingerprint, boolean completed) implements PeerMessage {}

    /**
     * Reports that a job was submitted or cancelled.
     *
     * @param job the job as {@code caller/id}
     * @param cancelled whether the job was cancelled
     */
    record JobNotice(String job, boolean cancelled) implements PeerMessage {}

    /**
     * Announces that the sending job owner has waiting items.
     *
     * @param service the service
     * @param earliestDueMillis the earliest due time of the items, in epoch milliseconds
     */
    record WorkNotice(String service, long earliestDueMillis) implements PeerMessage {}

    /**
     * Requests items from a job owner for a steward with free batch slots; the reply is {@link Items}.
     *
     * @param service the service
     * @param max the number of items that the steward can run now
     */
    record ItemsRequest(String service, int max) implements PeerMessage {}

    /**
     * Hands out items to a steward.
     *
     * @param items the items
     */
    record Items(List<WorkItem> items) implements PeerMessage {}

    /**
     * Reports how the run of an item ended.
     *
     * @param job the job as {@code caller/id}
     * @param index the position of the item in the job, from 0
     * @param fence the fence of the owner's claim that the hand-out belongs to
     * @param handout the number of this hand-out; reports of older hand-outs are ignored
     * @param kind how the run ended
     * @param text the result of a completed item, the text generated so far of a yielded item, otherwise the reason
     * @param tokens the number of tokens in the text
     */
    record ItemReport(String job, int index, long fence, long handout, ItemEnd kind, String text, int tokens)
            implements PeerMessage {}

    /**
     * Cancels all items of a job that the sending owner handed out.
     *
     * @param job the job as {@code caller/id}
     * @param fence the fence of the claim under which the items were handed out; items of another owner continue
     */
    record JobItemsCancel(String job, long fence) implements PeerMessage {}

    /**
     * Asks a steward which hand-outs of the sending owner it holds; the reply is {@link HeldHandouts}.
     *
     * @param job the job as {@code caller/id}
     * @param fence the fence of the owner's claim
     */
    record HeldHandoutsRequest(String job, long fence) implements PeerMessage {}

    /**
     * Lists the hand-outs that a steward holds and whose end the owner has not acknowledged.
     *
     * @param handouts the numbers of the hand-outs
     */
    record HeldHandouts(List<Long> handouts) implements PeerMessage {}

    /**
     * Stores a segment durably.
     *
     * @param name the name of the segment
     * @param bytes the content
     */
    record SegmentPut(String name, byte[] bytes) implements PeerMessage {}

    /**
     * Requests a segment; the reply is {@link Segment}.
     *
     * @param name the name of the segment
     */
    record SegmentRequest(String name) implements PeerMessage {}

    /**
     * Returns a segment.
     *
     * @param bytes the content; empty if the store has no intact copy
     */
    record Segment(Optional<byte[]> bytes) implements PeerMessage {}

    /**
     * Asks which of the given segments a store lacks; the reply is of the same type and lists the missing ones.
     *
     * @param names the names of the segments
     */
    record MissingSegments(List<String> names) implements PeerMessage {}
}
