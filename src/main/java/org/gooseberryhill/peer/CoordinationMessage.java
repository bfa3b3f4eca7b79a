package org.gooseberryhill.peer;

import java.util.List;
import org.gooseberryhill.decision.coordination.GroupLoad;
import org.gooseberryhill.decision.coordination.HostWork;
import org.gooseberryhill.decision.coordination.ItemStart;
import org.gooseberryhill.decision.coordination.PlacementReply;
import org.gooseberryhill.decision.coordination.WaitingItems;
import org.gooseberryhill.decision.dispatch.Admission;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.AttemptTiming;
import org.gooseberryhill.decision.dispatch.PlacementQuery;
import org.gooseberryhill.decision.quota.QuotaReport;
import org.gooseberryhill.decision.share.AccountUseReport;
import org.gooseberryhill.decision.zone.RoomAnswer;
import org.gooseberryhill.decision.zone.RoomQuery;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointKey;

/**
 * Messages between the coordinators of endpoints and the hosts that use these. Sent without a reply unless a message names
 * one; a host's next {@link WorkReport} makes up for a lost message.
 */
public interface CoordinationMessage extends PeerMessage {
    /**
     * Asks the coordinator of a group for an endpoint; the reply is {@link Placement}.
     *
     * @param group the group
     * @param query what the choice depends on
     */
    record PlacementRequest(EndpointGroup group, PlacementQuery query) implements CoordinationMessage {}

    /**
     * Returns where a request is to be sent.
     *
     * @param reply the coordinator's reply
     */
    record Placement(PlacementReply reply) implements CoordinationMessage {}

    /**
     * Tells that the sender has sent an online request to an endpoint without asking.
     *
     * @param endpoint the endpoint
     */
    record OnlineStarted(EndpointKey endpoint) implements CoordinationMessage {}

    /**
     * Tells that an online request of the sender has ended, or that an assigned slot is not used.
     *
     * @param endpoint the endpoint
     * @param end how it ended
     * @param timing how long the request was in flight; the time between its events is not known to earlier hosts
     */
    record OnlineEnded(EndpointKey endpoint, AttemptEnd end, AttemptTiming timing) implements CoordinationMessage {}

    /**
     * Asks a coordinator whether the quota of a client account allows a request that the sender places itself; the reply is
     * {@link AdmissionReply}.
     *
     * @param account name of the account
     */
    record AdmissionRequest(String account) implements CoordinationMessage {}

    /**
     * Returns whether a request may run.
     *
     * @param admission the answer
     */
    record AdmissionReply(Admission admission) implements CoordinationMessage {}

    /**
     * Tells the coordinator that admitted a request that it did not run.
     *
     * @param account name of the account
     */
    record AdmissionReturned(String account) implements CoordinationMessage {}

    /**
     * Tells that the sender has started an item.
     *
     * @param start the run
     */
    record ItemStarted(ItemStart start) implements CoordinationMessage {}

    /**
     * Tells that a run of an item of the sender has ended.
     *
     * @param run the number of the run
     * @param end how it ended
     */
    record ItemEnded(long run, AttemptEnd end) implements CoordinationMessage {}

    /**
     * Tells that the sender has no item for a grant.
     *
     * @param reservation the number of the grant
     */
    record GrantReturned(long reservation) implements CoordinationMessage {}

    /**
     * Reports all requests that the sender has in flight at the endpoints of the receiver.
     *
     * @param work the requests
     */
    record WorkReport(HostWork work) implements CoordinationMessage {}

    /**
     * Announces the items of the sender that wait for a slot.
     *
     * @param items the items
     */
    record ItemsWaiting(WaitingItems items) implements CoordinationMessage {}

    /**
     * Grants the receiver a slot for one of its items.
     *
     * @param reservation the number of the grant
     * @param endpoint the endpoint
     * @param pressure the pressure by which the receiver chooses the item
     */
    record SlotGrant(long reservation, EndpointKey endpoint, double pressure) implements CoordinationMessage {}

    /**
     * Asks the receiver to stop runs of items.
     *
     * @param runs the numbers of the runs
     */
    record ItemsYield(List<Long> runs) implements CoordinationMessage {}

    /**
     * Asks a coordinator whether its groups take requests of another zone; the reply is {@link RoomReply}. Sent only to hosts
     * whose message set contains it.
     *
     * @param query the question
     */
    record RoomRequest(RoomQuery query) implements CoordinationMessage {}

    /**
     * Returns how many requests of another zone the sender's groups take.
     *
     * @param answer the answer
     */
    record RoomReply(RoomAnswer answer) implements CoordinationMessage {}

    /**
     * Tells the coordinators of other groups how loaded the sender's groups are, and which requests of client accounts the sender
     * was asked to admit.
     *
     * @param loads the loads
     * @param quotaReport the requests since the last message
     */
    record GroupLoads(List<GroupLoad> loads, QuotaReport quotaReport) implements CoordinationMessage {}

    /**
     * Tells the coordinators of other groups which client accounts use the sender's slots; sent while slots are contended.
     *
     * @param report the use of slots by account, in place of that of the last message
     */
    record AccountUse(AccountUseReport report) implements CoordinationMessage {}
}
