package org.gooseberryhill.peer;

import java.util.List;
import java.util.Optional;
import org.gooseberryhill.decision.access.BatchAccess;
import org.gooseberryhill.decision.continuation.OriginReport;
import org.gooseberryhill.decision.continuation.StreamOrigin;
import org.gooseberryhill.decision.requestbatch.BatchPage;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.ItemCheckpoint;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.host.HostId;

/** Messages between gateways. The reply is {@link PeerMessage.Ack} unless a message names another. */
public interface GatewayMessage extends PeerMessage {
    /**
     * Reports that a host is alive, to the hosts that watch it. Each report is complete, so the next one makes up for a lost
     * one.
     *
     * @param processStart identifies the host's current process, as opposed to an earlier one
     * @param leaving whether the host is in a planned stop
     * @param storeReached whether the key-value store answered the host's latest call
     */
    record HostHeartbeat(String processStart, boolean leaving, boolean storeReached) implements GatewayMessage {}

    /** Tells a host that it does not watch the sender any more: the sender reports to others from now on. */
    record WatchEnd() implements GatewayMessage {}

    /**
     * Tells that the sender does not hear hosts that it watches.
     *
     * @param hosts the hosts
     */
    record SilenceNotice(List<HostId> hosts) implements GatewayMessage {}

    /**
     * Forwards changes that a host read from the key-value store.
     *
     * @param prefix the prefix of the keys
     * @param fromRevision the revision after which the changes are complete, exclusive
     * @param toRevision the revision up to which the changes are complete, inclusive
     * @param changes the changes
     * @param ageMillis time since the changes were read
     */
    record ViewChanges(String prefix, long fromRevision, long toRevision, List<KeyChange> changes, long ageMillis)
            implements GatewayMessage {}

    /**
     * Requests all keys that a host knows under a prefix; the reply is {@link ViewListing}.
     *
     * @param prefix the prefix
     */
    record ViewRequest(String prefix) implements GatewayMessage {}

    /**
     * Lists all keys that a host knows under a prefix.
     *
     * @param prefix the prefix
     * @param revision the revision as of which the list is complete; 0 if the host has no data yet
     * @param entries the keys
     * @param ageMillis time since the host last read the store
     */
    record ViewListing(String prefix, long revision, List<KeyChange> entries, long ageMillis)
            implements GatewayMessage {}

    /**
     * Announces that the sender now owns a request batch.
     *
     * @param batch the batch's id
     */
    record BatchNotice(String batch) implements GatewayMessage {}

    /**
     * Requests results from the owner of a request batch; the reply is {@link Results}.
     *
     * @param batch the batch's id
     * @param after the position of the first requested result in the batch's list of results, counted from 0
     * @param waitMillis how long the owner may wait for a result before it replies
     * @param access whether the caller may see the batch
     */
    record ResultsRequest(String batch, int after, long waitMillis, BatchAccess access) implements GatewayMessage {}

    /**
     * Returns results of a request batch.
     *
     * @param page the results; empty if the host does not own the batch
     */
    record Results(Optional<BatchPage> page) implements GatewayMessage {}

    /**
     * Requests the body of an item from the owner of its batch; the reply is {@link ItemBody}.
     *
     * @param batch the batch's id
     * @param item the item's id
     * @param access whether the caller may see the batch
     */
    record ItemBodyRequest(String batch, String item, BatchAccess access) implements GatewayMessage {}

    /**
     * Returns the body of an item.
     *
     * @param owned whether the host owns the batch
     * @param body the body; present only if the item is not listed yet
     */
    record ItemBody(boolean owned, Optional<byte[]> body) implements GatewayMessage {}

    /**
     * Asks the owner of a request batch to end it; the reply is {@link BatchEnded}.
     *
     * @param batch the batch's id
     * @param access whether the caller may end the batch
     */
    record BatchEndRequest(String batch, BatchAccess access) implements GatewayMessage {}

    /**
     * Tells whether a batch was ended or, in reply to {@link BatchHandOver}, taken over.
     *
     * @param ended false if the host does not own the batch or, in reply to {@link BatchHandOver}, did not take it over
     */
    record BatchEnded(boolean ended) implements GatewayMessage {}

    /**
     * Hands over a batch from a stopping host to another; the reply is {@link BatchEnded}, which tells whether the
     * other host took it.
     *
     * @param batch the batch's id
     * @param revision the revision of the batch's record
     * @param record the batch's record
     * @param progress what the open items have generated so far
     */
    record BatchHandOver(String batch, long revision, BatchRecord record, List<ItemCheckpoint> progress)
            implements GatewayMessage {}

    /**
     * Tells at which versions streams began. Sent without a reply.
     *
     * @param origins the streams
     */
    record StreamOriginNotice(List<StreamOrigin> origins) implements GatewayMessage {}

    /**
     * Asks what the receiver knows of the version that began a stream; the reply is {@link StreamOriginReply}.
     *
     * @param firstRequestId id of the client attempt that brought the first event; empty if the client does not name it
     * @param service the service that the stream must have begun at; empty if there are several
     */
    record StreamOriginRequest(Optional<String> firstRequestId, Optional<String> service) implements GatewayMessage {}

    /**
     * Returns what a host knows of the version that began a stream.
     *
     * @param report what it knows
     */
    record StreamOriginReply(OriginReport report) implements GatewayMessage {}

    /**
     * Asks the receiver to call the key-value store on behalf of a host that the store rejects; the reply is
     * {@link StoreAnswer}. One of the optional components is present.
     *
     * @param readKey the key to read
     * @param listPrefix the prefix to list
     * @param mayBeStale whether a listing may be seconds old
     * @param write the transaction to execute
     * @param grantTtlMillis the time to live of a lease to grant, in milliseconds
     * @param renewLeaseId the id of a lease to renew
     */
    record StoreCall(
            Optional<String> readKey,
            Optional<String> listPrefix,
            boolean mayBeStale,
            Optional<Transaction> write,
            Optional<Long> grantTtlMillis,
            Optional<Long> renewLeaseId)
            implements GatewayMessage {}

    /**
     * Returns the answer of the key-value store to a {@link StoreCall}. One of the components is present.
     *
     * @param failure the kind of failure if the call was not answered
     * @param read the result of a read
     * @param listing the result of a listing
     * @param written the result of a transaction
     * @param lease the id of a granted lease, or the remaining time of a renewed one in milliseconds
     */
    record StoreAnswer(
            Optional<ExternalServiceException.Kind> failure,
            Optional<KeyValueStore.ReadResult> read,
            Optional<KeyValueStore.Listing> listing,
            Optional<KeyValueStore.WriteResult> written,
            Optional<Long> lease)
            implements GatewayMessage {}
}
