package org.gooseberryhill.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.ExternalServiceException.Kind;
import org.gooseberryhill.external.PollingKeyValueStore;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;

/**
 * Key-value store client for a host whose calls the store may refuse: a call that fails directly is relayed through
 * another host that reaches the store. Thread-safe.
 *
 * <p>Invariant: every acknowledgement comes from the store itself, whichever host relayed the call. A write whose
 * answer was lost may be repeated through another host, because it takes effect only if the keys still have the
 * revisions that it names; a write without conditions is repeated with the same content.
 */
final class RelayingKeyValueStore implements PollingKeyValueStore {
    private static final long RELAY_TIMEOUT_MILLIS = 900;

    /** A query that shows whether the store answers again must not wait there for a change. */
    private static final long UNREACHED_WAIT_MILLIS = 50;

    private final PollingKeyValueStore directStore;
    private final PollingKeyValueStore storeForPeers;
    private final StoreReachability storeReachability;
    private final Relay relay;
    private final ReachabilityListener reachabilityListener;

    RelayingKeyValueStore(
            CountedKeyValueStore directStore,
            StoreReachability storeReachability,
            Relay relay,
            ReachabilityListener reachabilityListener) {
        this.directStore = directStore;
        this.storeForPeers = directStore.forOtherHosts();
        this.storeReachability = storeReachability;
        this.relay = relay;
        this.reachabilityListener = reachabilityListener;
    }

    @Override
    public long callCount() {
        return directStore.callCount();
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        return callOrRelay(
                () -> directStore.read(key),
                readCall(Optional.of(key), Optional.empty(), false),
                GatewayMessage.StoreAnswer::read);
    }

    @Override
    public CompletableFuture<Listing> list(String prefix, boolean mayBeStale) {
        return callOrRelay(
                () -> directStore.list(prefix, mayBeStale),
                readCall(Optional.empty(), Optional.of(prefix), mayBeStale),
                GatewayMessage.StoreAnswer::listing);
    }

    /** Not relayed: the hosts that reach the store forward all changes anyway. */
    @Override
    public CompletableFuture<Changes> changesAfter(String prefix, long revision, long waitMillis) {
        if (!storeReachability.tryCallDirectly(System.nanoTime())) {
            return CompletableFuture.failedFuture(new ExternalServiceException(
                    Kind.NOT_DONE, "direct calls to the key-value store are suspended after a failed call"));
        }
        long allowedWaitMillis =
                storeReachability.isReachable() ? waitMillis : Math.min(waitMillis, UNREACHED_WAIT_MILLIS);
        return callDirectly(() -> directStore.changesAfter(prefix, revision, allowedWaitMillis));
    }

    @Override
    public CompletableFuture<WriteResult> write(Transaction transaction) {
        GatewayMessage.StoreCall call = new GatewayMessage.StoreCall(
                Optional.empty(),
                Optional.empty(),
                false,
                Optional.of(transaction),
                Optional.empty(),
                Optional.empty());
        return callOrRelay(() -> directStore.write(transaction), call, GatewayMessage.StoreAnswer::written);
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
        return callOrRelay(
                () -> directStore.grantLease(ttlMillis),
                leaseCall(Optional.of(ttlMillis), Optional.empty()),
                GatewayMessage.StoreAnswer::lease);
    }

    @Override
    public CompletableFuture<Long> renewLease(long leaseId) {
        return callOrRelay(
                () -> directStore.renewLease(leaseId),
                leaseCall(Optional.empty(), Optional.of(leaseId)),
                GatewayMessage.StoreAnswer::lease);
    }

    @Override
    public CompletableFuture<Void> revokeLease(long leaseId) {
        return directStore.revokeLease(leaseId);
    }

    @Override
    public void close() {
        // The store's connections belong to the client that was passed in.
    }

    /** Makes a call on behalf of another host, directly and without relaying it further. */
    CompletableFuture<PeerMessage> callForPeer(GatewayMessage.StoreCall call) {
        if (call.readKey().isPresent()) {
            return toStoreAnswer(
                    storeForPeers.read(call.readKey().get()),
                    read -> new GatewayMessage.StoreAnswer(
                            Optional.empty(), Optional.of(read), Optional.empty(), Optional.empty(), Optional.empty()));
        }
        if (call.listPrefix().isPresent()) {
            return toStoreAnswer(
                    storeForPeers.list(call.listPrefix().get(), call.mayBeStale()),
                    listing -> new GatewayMessage.StoreAnswer(
                            Optional.empty(),
                            Optional.empty(),
                            Optional.of(listing),
                            Optional.empty(),
                            Optional.empty()));
        }
        if (call.write().isPresent()) {
            return toStoreAnswer(
                    storeForPeers.write(call.write().get()),
                    written -> new GatewayMessage.StoreAnswer(
                            Optional.empty(),
                            Optional.empty(),
                            Optional.empty(),
                            Optional.of(written),
                            Optional.empty()));
        }
        CompletableFuture<Long> lease = call.grantTtlMillis().isPresent()
                ? storeForPeers.grantLease(call.grantTtlMillis().get())
                : storeForPeers.renewLease(call.renewLeaseId().orElseThrow());
        return toStoreAnswer(
                lease,
                value -> new GatewayMessage.StoreAnswer(
                        Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.of(value)));
    }

    private <T> CompletableFuture<T> callOrRelay(
            Supplier<CompletableFuture<T>> directCall,
            GatewayMessage.StoreCall call,
            Function<GatewayMessage.StoreAnswer, Optional<T>> extractResult) {
        if (!storeReachability.tryCallDirectly(System.nanoTime())) {
            return callThroughRelay(
                    call,
                    extractResult,
                    new ExternalServiceException(
                            Kind.NOT_DONE, "direct calls to the key-value store are suspended after a failed call"));
        }
        return callDirectly(directCall)
                .handle((result, failure) -> {
                    if (failure == null) {
                        return CompletableFuture.completedFuture(result);
                    }
                    Kind kind = ExternalServiceException.kindOf(failure);
                    return isAnswer(kind)
                            ? CompletableFuture.<T>failedFuture(failure)
                            : callThroughRelay(
                                    call,
                                    extractResult,
                                    new ExternalServiceException(kind, String.valueOf(failure.getMessage())));
                })
                .thenCompose(future -> future);
    }

    private <T> CompletableFuture<T> callDirectly(Supplier<CompletableFuture<T>> directCall) {
        long sentNanos = System.nanoTime();
        return directCall.get().whenComplete((result, failure) -> {
            Kind kind = failure == null ? null : ExternalServiceException.kindOf(failure);
            boolean unanswered = kind != null && !isAnswer(kind);
            if (unanswered && storeReachability.recordFailure(sentNanos, System.nanoTime())) {
                reachabilityListener.reachabilityChanged(false, String.valueOf(failure.getMessage()));
            } else if (!unanswered && storeReachability.recordAnswer(sentNanos)) {
                reachabilityListener.reachabilityChanged(true, "");
            }
        });
    }

    /**
     * Relays a call whose direct attempt failed or was skipped. If the write of the direct attempt may have taken
     * effect, the resulting failure says so, whatever the failure of the relayed call is.
     */
    private <T> CompletableFuture<T> callThroughRelay(
            GatewayMessage.StoreCall call,
            Function<GatewayMessage.StoreAnswer, Optional<T>> extractResult,
            ExternalServiceException directFailure) {
        return relay.ask(call, RELAY_TIMEOUT_MILLIS).handle((reply, failure) -> {
            if (reply instanceof GatewayMessage.StoreAnswer answer) {
                Optional<T> found = extractResult.apply(answer);
                if (found.isPresent()) {
                    return found.get();
                }
                throw combineFailures(directFailure, answer.failure().orElse(Kind.UNKNOWN));
            }
            boolean noRelayFound = failure != null && ExternalServiceException.kindOf(failure) == Kind.NOT_DONE;
            throw combineFailures(directFailure, noRelayFound ? Kind.NOT_DONE : Kind.UNKNOWN);
        });
    }

    private static ExternalServiceException combineFailures(ExternalServiceException directFailure, Kind relayFailure) {
        if (relayFailure == Kind.LEASE_GONE) {
            return new ExternalServiceException(relayFailure, "the lease has ended");
        }
        if (relayFailure == Kind.REJECTED) {
            return new ExternalServiceException(relayFailure, "refused as invalid through another host");
        }
        boolean notDone = directFailure.kind() == Kind.NOT_DONE && relayFailure == Kind.NOT_DONE;
        return new ExternalServiceException(notDone ? Kind.NOT_DONE : Kind.UNKNOWN, directFailure.getMessage());
    }

    /** Returns whether the key-value store has decided on the call. */
    private static boolean isAnswer(Kind kind) {
        return kind == Kind.LEASE_GONE || kind == Kind.HISTORY_GONE || kind == Kind.REJECTED;
    }

    private static <T> CompletableFuture<PeerMessage> toStoreAnswer(
            CompletableFuture<T> call, Function<T, GatewayMessage.StoreAnswer> wrapResult) {
        return call.handle((result, failure) -> failure == null
                ? wrapResult.apply(result)
                : new GatewayMessage.StoreAnswer(
                        Optional.of(ExternalServiceException.kindOf(failure)),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty()));
    }

    private static GatewayMessage.StoreCall readCall(
            Optional<String> key, Optional<String> prefix, boolean mayBeStale) {
        return new GatewayMessage.StoreCall(
                key, prefix, mayBeStale, Optional.empty(), Optional.empty(), Optional.empty());
    }

    private static GatewayMessage.StoreCall leaseCall(Optional<Long> grantMillis, Optional<Long> renew) {
        return new GatewayMessage.StoreCall(
                Optional.empty(), Optional.empty(), false, Optional.empty(), grantMillis, renew);
    }

    /** Notified when the store stops or starts answering this host. Called from any thread. */
    @FunctionalInterface
    interface ReachabilityListener {
        void reachabilityChanged(boolean reachable, String reason);
    }

    /**
     * Sends a call through a host that reaches the store; fails with kind NOT_DONE if there is none. Called from any
     * thread.
     */
    @FunctionalInterface
    interface Relay {
        CompletableFuture<PeerMessage> ask(GatewayMessage.StoreCall call, long timeoutMillis);
    }
}
