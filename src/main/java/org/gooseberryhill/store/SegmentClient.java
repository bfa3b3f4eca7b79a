package org.gooseberryhill.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.peer.PeerClient;
import org.gooseberryhill.peer.PeerException;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.PeerMessage;

/**
 * Stores and fetches segments over the peer protocol. Thread-safe.
 *
 * <p>Invariant: a store counts as holding a segment only after it has written the segment to its disk. {@link #put}
 * succeeds only with copies in two availability zones, or on two hosts if all stores are in one zone.
 */
public final class SegmentClient {
    private static final long PUT_TIMEOUT_MILLIS = 10_000;
    private static final long GET_TIMEOUT_MILLIS = 5_000;

    private final PeerClient peers;
    private final Supplier<List<Host>> stores;

    /**
     * Creates a client.
     *
     * @param peers sends the messages
     * @param stores supplies the stores that are present now
     */
    public SegmentClient(PeerClient peers, Supplier<List<Host>> stores) {
        this.peers = peers;
        this.stores = stores;
    }

    /** Stores a segment durably; fails with {@link PeerException} if too few stores accepted it. */
    public CompletableFuture<Void> put(String name, byte[] content) {
        List<Host> all = stores.get();
        List<Host> candidates = new ArrayList<>(SegmentNames.placement(name, all));
        Ownership.rank(name, all).stream()
                .filter(host -> !candidates.contains(host))
                .forEach(candidates::add);
        long zones = all.stream().map(Host::zone).distinct().count();
        return putToNextStore(new PutRequest(name, content, candidates, zones), new ArrayList<>(), 0);
    }

    /** Fetches a segment from the first store that returns it; empty if no store that answers has it. */
    public CompletableFuture<Optional<byte[]>> get(String name) {
        return getFromNextStore(name, Ownership.rank(name, stores.get()), 0);
    }

    private CompletableFuture<Void> putToNextStore(PutRequest put, List<Host> accepted, int next) {
        if (put.isDurable(accepted)) {
            return CompletableFuture.completedFuture(null);
        }
        if (next >= put.candidates.size()) {
            return CompletableFuture.failedFuture(
                    new PeerException("only " + accepted.size() + " stores accepted segment " + put.name));
        }
        Host store = put.candidates.get(next);
        boolean zoneHasCopy = put.zones >= SegmentNames.COPIES
                && accepted.stream().anyMatch(other -> other.zone().equals(store.zone()));
        if (zoneHasCopy) {
            return putToNextStore(put, accepted, next + 1);
        }
        PeerMessage message = new PeerMessage.SegmentPut(put.name, put.content);
        return peers.ask(store.address(), PeerLane.BULK, message, PUT_TIMEOUT_MILLIS)
                .handle((reply, failure) -> {
                    if (failure == null) {
                        accepted.add(store);
                    }
                    return putToNextStore(put, accepted, next + 1);
                })
                .thenCompose(result -> result);
    }

    private CompletableFuture<Optional<byte[]>> getFromNextStore(String name, List<Host> candidates, int next) {
        if (next >= candidates.size()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return peers.ask(
                        candidates.get(next).address(),
                        PeerLane.BULK,
                        new PeerMessage.SegmentRequest(name),
                        GET_TIMEOUT_MILLIS)
                .handle((reply, failure) -> verifiedContent(name, reply))
                .thenCompose(found -> found.isPresent()
                        ? CompletableFuture.completedFuture(found)
                        : getFromNextStore(name, candidates, next + 1));
    }

    private static Optional<byte[]> verifiedContent(String name, PeerMessage reply) {
        if (reply instanceof PeerMessage.Segment segment) {
            return segment.bytes().filter(bytes -> SegmentNames.matchesHash(name, bytes));
        }
        return Optional.empty();
    }

    /**
     * A segment to store.
     *
     * @param candidates the stores in the order in which they are tried
     * @param zones the number of distinct availability zones of all stores
     */
    private record PutRequest(String name, byte[] content, List<Host> candidates, long zones) {
        boolean isDurable(List<Host> accepted) {
            Set<Object> acceptedZones = new HashSet<>();
            accepted.forEach(host -> acceptedZones.add(host.zone()));
            long needed = SegmentNames.COPIES;
            return accepted.size() >= needed && acceptedZones.size() >= Math.min(zones, needed);
        }
    }
}
