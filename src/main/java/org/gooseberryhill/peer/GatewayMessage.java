package org.gooseberryhill.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.decision.dispatch.InFlight;
import org.gooseberryhill.decision.requestbatch.BatchPage;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.ItemCheckpoint;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Transaction;

/** What gateways say to each other; each message names its reply, and where none is named it is {@link PeerMessage.Ack}. */
public interface GatewayMessage extends PeerMessage {
    /**
     * What a host has in flight at endpoints: the whole, so that a lost report is made good by the next.
     *
     * @param processStart tells the host's process from an earlier one
     * @param leaving whether the host is stopping as planned
     * @param storeReached whether the key-value store answered the host's latest call
     * @param inFlight by endpoint
     */
    record InFlightReport(
            String processStart, boolean leaving, boolean storeReached, Map<EndpointKey, InFlight> inFlight)
            implements GatewayMessage {}

    /**
     * Changes that a host read from the key-value store, passed on.
     *
     * @param prefix the prefix of the keys
     * @param fromRevision the changes are complete after this revision
     * @param toRevision up to this one
     * @param changes the changes
     * @param ageMillis how long ago they were read
     */
    record ViewChanges(String prefix, long fromRevision, long toRevision, List<KeyChange> changes, long ageMillis)
            implements GatewayMessage {}

    /**
     * Asks for all keys that a host knows under a prefix; the reply is {@link ViewListing}.
     *
     * @param prefix the prefix
     */
    record ViewAsk(String prefix) implements GatewayMessage {}

    /**
     * All keys that a host knows under a prefix.
     *
     * @param prefix the prefix
     * @param revision as of which they are complete; 0 if the host knows nothing yet
     * @param entries the keys
     * @param ageMillis how long ago the host last read the store
     */
    record ViewListing(String prefix, long revision, List<KeyChange> entries, long ageMillis)
            implements GatewayMessage {}

    /**
     * A host owns a request batch from now on.
     *
     * @param batch its id
     */
    record BatchNotice(String batch) implements GatewayMessage {}

    /**
     * Reads results at the owner of a request batch; the reply is {@link Results}.
     *
     * @param batch its id
     * @param after the first position asked for
     * @param waitMillis how long the reply may wait for a result
     */
    record ResultsAsk(String batch, int after, long waitMillis) implements GatewayMessage {}

    /**
     * Results of a request batch.
     *
     * @param page the results; empty if the host does not own the batch
     */
    record Results(Optional<BatchPage> page) implements GatewayMessage {}

    /**
     * Reads the body of an item at the owner of its batch; the reply is {@link ItemBody}.
     *
     * @param batch the batch's id
     * @param item the item's id
     */
    record ItemBodyAsk(String batch, String item) implements GatewayMessage {}

    /**
     * The body of an item.
     *
     * @param owned whether the host owns the batch
     * @param body the body of an item that is not listed yet
     */
    record ItemBody(boolean owned, Optional<byte[]> body) implements GatewayMessage {}

    /**
     * Ends a request batch at its owner; the reply is {@link BatchEnded}.
     *
     * @param batch its id
     */
    record BatchEndAsk(String batch) implements GatewayMessage {}

    /**
     * Whether a batch is ended now.
     *
     * @param ended false if the host does not own the batch
     */
    record BatchEnded(boolean ended) implements GatewayMessage {}

    /**
     * A host that stops gives a batch to another; the reply is {@link BatchEnded}, which says whether it was taken.
     *
     * @param batch its id
     * @param revision the revision of its record
     * @param record its record
     * @param progress what its open items have generated so far
     */
    record BatchHandOver(String batch, long revision, BatchRecord record, List<ItemCheckpoint> progress)
            implements GatewayMessage {}

    /**
     * A call of the key-value store for a host that the store turns away; the reply is {@link StoreAnswer}. One of its
     * parts is present.
     *
     * @param readKey a key to read
     * @param listPrefix a prefix to list
     * @param mayBeStale whether a listing may be seconds old
     * @param write a transaction
     * @param grantMillis a lease to grant, by its time
     * @param renewLease a lease to renew, by its id
     */
    record StoreCall(
            Optional<String> readKey,
            Optional<String> listPrefix,
            boolean mayBeStale,
            Optional<Transaction> write,
            Optional<Long> grantMillis,
            Optional<Long> renewLease)
            implements GatewayMessage {}

    /**
     * What the store answered. One of its parts is present.
     *
     * @param failure why there is no answer
     * @param read the answer to a reading
     * @param listing the answer to a listing
     * @param written the answer to a transaction
     * @param lease a granted lease's id, or a renewed one's remaining time
     */
    record StoreAnswer(
            Optional<ExternalServiceException.Kind> failure,
            Optional<KeyValueStore.ReadResult> read,
            Optional<KeyValueStore.Listing> listing,
            Optional<KeyValueStore.WriteResult> written,
            Optional<Long> lease)
            implements GatewayMessage {}
}
