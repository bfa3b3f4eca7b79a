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
 * What the system's processes say to each other. Immutable.
 *
 * <p>On the wire a message is an array of its fields in their order, since names would be most of a small message's
 * bytes. A field that is added goes to the end: an older process passes over it, a newer one reads its absence.
 *
 * <p>Requests and their replies: each message names its reply; where none is named it is {@link Ack}.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Ack.class, name = "ack"),
    @JsonSubTypes.Type(value = PeerMessage.Failed.class, name = "fail"),
    @JsonSubTypes.Type(value = PeerMessage.ConnectionProbe.class, name = "probe"),
    @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "hb"),
    @JsonSubTypes.Type(value = PeerMessage.ProbeThrough.class, name = "via"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigurationPush.class, name = "cfg"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigurationChange.class, name = "cfg+"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigurationAsk.class, name = "cfg?"),
    @JsonSubTypes.Type(value = PeerMessage.OnlineLoad.class, name = "load"),
    @JsonSubTypes.Type(value = PeerMessage.EndpointLoads.class, name = "loads"),
    @JsonSubTypes.Type(value = PeerMessage.LeavingNotice.class, name = "leave"),
    @JsonSubTypes.Type(value = PeerMessage.CrashNotice.class, name = "crash"),
    @JsonSubTypes.Type(value = PeerMessage.SuspectPermitAsk.class, name = "permit?"),
    @JsonSubTypes.Type(value = PeerMessage.SuspectPermit.class, name = "permit"),
    @JsonSubTypes.Type(value = PeerMessage.SuspectRelease.class, name = "release"),
    @JsonSubTypes.Type(value = PeerMessage.JobNotice.class, name = "job"),
    @JsonSubTypes.Type(value = PeerMessage.WorkNotice.class, name = "work"),
    @JsonSubTypes.Type(value = PeerMessage.ItemsAsk.class, name = "items?"),
    @JsonSubTypes.Type(value = PeerMessage.Items.class, name = "items"),
    @JsonSubTypes.Type(value = PeerMessage.ItemReport.class, name = "item"),
    @JsonSubTypes.Type(value = PeerMessage.ItemsCancel.class, name = "stop"),
    @JsonSubTypes.Type(value = PeerMessage.ItemsHeldAsk.class, name = "held?"),
    @JsonSubTypes.Type(value = PeerMessage.ItemsHeld.class, name = "held"),
    @JsonSubTypes.Type(value = PeerMessage.SegmentPut.class, name = "put"),
    @JsonSubTypes.Type(value = PeerMessage.SegmentAsk.class, name = "get"),
    @JsonSubTypes.Type(value = PeerMessage.Segment.class, name = "seg"),
    @JsonSubTypes.Type(value = PeerMessage.SegmentHave.class, name = "have?"),
    @JsonSubTypes.Type(value = GatewayMessage.InFlightReport.class, name = "use"),
    @JsonSubTypes.Type(value = GatewayMessage.ViewChanges.class, name = "view+"),
    @JsonSubTypes.Type(value = GatewayMessage.ViewAsk.class, name = "view?"),
    @JsonSubTypes.Type(value = GatewayMessage.ViewListing.class, name = "view"),
    @JsonSubTypes.Type(value = GatewayMessage.BatchNotice.class, name = "batch"),
    @JsonSubTypes.Type(value = GatewayMessage.ResultsAsk.class, name = "results?"),
    @JsonSubTypes.Type(value = GatewayMessage.Results.class, name = "results"),
    @JsonSubTypes.Type(value = GatewayMessage.ItemBodyAsk.class, name = "body?"),
    @JsonSubTypes.Type(value = GatewayMessage.ItemBody.class, name = "body"),
    @JsonSubTypes.Type(value = GatewayMessage.BatchEndAsk.class, name = "end?"),
    @JsonSubTypes.Type(value = GatewayMessage.BatchEnded.class, name = "ended"),
    @JsonSubTypes.Type(value = GatewayMessage.BatchHandOver.class, name = "over"),
    @JsonSubTypes.Type(value = OutboxMessage.Put.class, name = "outbox+"),
    @JsonSubTypes.Type(value = OutboxMessage.Kept.class, name = "outbox"),
    @JsonSubTypes.Type(value = OutboxMessage.Drop.class, name = "outbox-"),
    @JsonSubTypes.Type(value = OutboxMessage.StateAsk.class, name = "outbox?"),
    @JsonSubTypes.Type(value = OutboxMessage.State.class, name = "outbox="),
    @JsonSubTypes.Type(value = GatewayMessage.StoreCall.class, name = "kv?"),
    @JsonSubTypes.Type(value = GatewayMessage.StoreAnswer.class, name = "kv")
})
public interface PeerMessage {
    /** A request was taken in. */
    record Ack() implements PeerMessage {}

    /**
     * Asks whether the connection is alive. The other process's traffic thread answers it: what the process decides, and how
     * long that takes, says nothing of the connection.
     */
    record ConnectionProbe() implements PeerMessage {}

    /**
     * A request could not be served.
     *
     * @param reason a short text for logs
     */
    record Failed(String reason) implements PeerMessage {}

    /**
     * A sign of life with what is new; the reply is another heartbeat.
     *
     * @param incarnation grows when the host refutes a suspicion against itself
     * @param leaving whether the host is stopping as planned
     * @param configurationRevision the revision in force on the host
     * @param rumors what the host has heard of others lately, bounded
     * @param work services for which the host owns waiting items, with the earliest due time in epoch milliseconds
     */
    record Heartbeat(
            long incarnation, boolean leaving, long configurationRevision, List<Rumor> rumors, Map<String, Long> work)
            implements PeerMessage {}

    /**
     * Asks a third host to send a heartbeat to another; the reply is Ack if that one answered.
     *
     * @param target the host to probe
     */
    record ProbeThrough(HostId target) implements PeerMessage {}

    /**
     * A configuration, pushed on or given on request.
     *
     * @param revision the revision that the key-value service gave it
     * @param text the operators' text
     */
    record ConfigurationPush(long revision, String text) implements PeerMessage {}

    /**
     * What a new configuration changes, pushed on; a host that has another base asks for the whole.
     *
     * @param baseRevision the revision that the change was made from
     * @param revision the revision of the new text
     * @param change the change
     */
    record ConfigurationChange(long baseRevision, long revision, TextChange change) implements PeerMessage {}

    /**
     * Asks for a newer configuration; the reply is a push or Ack if there is none.
     *
     * @param haveRevision the revision that the asking host has
     */
    record ConfigurationAsk(long haveRevision) implements PeerMessage {}

    /**
     * An entry tells a steward the online requests that it has in flight; the reply is {@link EndpointLoads}.
     *
     * @param inFlight count by endpoint, for the endpoints of that steward
     * @param slowEndpoints endpoints whose latest tokens came slower than the class target
     */
    record OnlineLoad(Map<String, Integer> inFlight, List<String> slowEndpoints) implements PeerMessage {}

    /**
     * A steward's sum over all entries.
     *
     * @param online online requests in flight by endpoint
     * @param batch batch items in flight by endpoint
     * @param leaving the endpoints that the steward knows to be leaving
     */
    record EndpointLoads(Map<String, Integer> online, Map<String, Integer> batch, List<String> leaving)
            implements PeerMessage {}

    /**
     * A steward tells entries that one of its endpoints is leaving, or is not any more.
     *
     * @param endpoint the endpoint
     * @param leaving whether it is leaving
     */
    record LeavingNotice(String endpoint, boolean leaving) implements PeerMessage {}

    /**
     * An endpoint broke off requests; their fingerprints are suspects on all hosts.
     *
     * @param endpoint the endpoint
     * @param fingerprints the requests in flight
     */
    record CrashNotice(String endpoint, List<String> fingerprints) implements PeerMessage {}

    /**
     * Asks to run a suspect apart from other suspects; the reply is {@link SuspectPermit}.
     *
     * @param service the service
     * @param fingerprint the suspect
     * @param endpoints endpoints that would do, best first
     */
    record SuspectPermitAsk(String service, String fingerprint, List<String> endpoints) implements PeerMessage {}

    /**
     * Where a suspect may run.
     *
     * @param endpoint the endpoint; empty if it has to wait
     */
    record SuspectPermit(Optional<String> endpoint) implements PeerMessage {}

    /**
     * A suspect's run is over.
     *
     * @param service the service
     * @param fingerprint the suspect
     * @param completed whether it got its answer, which clears it
     */
    record SuspectRelease(String service, String fingerprint, boolean completed) implements PeerMessage {}

    /**
     * A job was submitted or cancelled.
     *
     * @param job the job as {@code caller/id}
     * @param cancelled whether it was cancelled
     */
    record JobNotice(String job, boolean cancelled) implements PeerMessage {}

    /**
     * An owner has items that wait.
     *
     * @param service the service
     * @param earliestDueMillis the earliest due time, in epoch milliseconds
     */
    record WorkNotice(String service, long earliestDueMillis) implements PeerMessage {}

    /**
     * A steward with free batch slots asks a job owner for items; the reply is {@link Items}.
     *
     * @param service the service
     * @param max how many it can run now
     */
    record ItemsAsk(String service, int max) implements PeerMessage {}

    /**
     * Items handed out to a steward.
     *
     * @param items the items
     */
    record Items(List<WorkItem> items) implements PeerMessage {}

    /**
     * How the run of an item ended.
     *
     * @param job the job as {@code caller/id}
     * @param index the item's place in the job, from 0
     * @param fence the owner's claim that the hand-out belongs to
     * @param handout the number of this hand-out; an older one is ignored
     * @param kind how it ended
     * @param text the result for a completed item, what was generated so far for a yielded one, else the reason
     * @param tokens how many tokens the text has
     */
    record ItemReport(String job, int index, long fence, long handout, ItemEnd kind, String text, int tokens)
            implements PeerMessage {}

    /**
     * An owner takes back all items of a job.
     *
     * @param job the job as {@code caller/id}
     * @param fence the owner's claim under which they were handed out; another owner's items go on
     */
    record ItemsCancel(String job, long fence) implements PeerMessage {}

    /**
     * An owner asks a steward which of its hand-outs it has; the reply is {@link ItemsHeld}.
     *
     * @param job the job as {@code caller/id}
     * @param fence the owner's claim
     */
    record ItemsHeldAsk(String job, long fence) implements PeerMessage {}

    /**
     * The hand-outs that a steward has and whose ends the owner has not taken.
     *
     * @param handouts their numbers
     */
    record ItemsHeld(List<Long> handouts) implements PeerMessage {}

    /**
     * Stores a segment durably.
     *
     * @param name its name
     * @param bytes its content
     */
    record SegmentPut(String name, byte[] bytes) implements PeerMessage {}

    /**
     * Asks for a segment; the reply is {@link Segment}.
     *
     * @param name its name
     */
    record SegmentAsk(String name) implements PeerMessage {}

    /**
     * A segment, if the store has it whole.
     *
     * @param bytes its content
     */
    record Segment(Optional<byte[]> bytes) implements PeerMessage {}

    /**
     * Asks which of these segments a store lacks; the reply is another one with those.
     *
     * @param names the names
     */
    record SegmentHave(List<String> names) implements PeerMessage {}
}
