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
 * <p>Invariant: a store that is said to have a segment has it on its disk; {@link #put} succeeds only with copies in
 * two availability zones, or on two hosts where all stores are in one zone.
 */
public final class SegmentClient {
    private static final long PUT_TIMEOUT_MILLIS = 10_000;
    private static final long GET_TIMEOUT_MILLIS = 5_000;

    private final PeerClient peers;
    private final Supplier<List<Host>> stores;

    /** A client over the stores that are present now, as the supplier says. */
    public SegmentClient(PeerClient peers, Supplier<List<Host>> stores) {
        this.peers = peers;
        this.stores = stores;
    }

    /** Stores a segment durably; fails with {@link PeerException} if too few stores took it. */
    public CompletableFuture<Void> put(String name, byte[] content) {
        List<Host> all = stores.get();
        List<Host> order = new ArrayList<>(SegmentNames.placement(name, all));
        Ownership.rank(name, all).stream().filter(host -> !order.contains(host)).forEach(order::add);
        long zones = all.stream().map(Host::zone).distinct().count();
        return putNext(new Put(name, content, order, zones), new ArrayList<>(), 0);
    }

    /** Fetches a segment from whichever store has it; empty if none that answers has. */
    public CompletableFuture<Optional<byte[]>> get(String name) {
        return getNext(name, Ownership.rank(name, stores.get()), 0);
    }

    private CompletableFuture<Void> putNext(Put put, List<Host> taken, int next) {
        if (put.isDurable(taken)) {
            return CompletableFuture.completedFuture(null);
        }
        if (next >= put.order.size()) {
            return CompletableFuture.failedFuture(
                    new PeerException("only " + taken.size() + " stores took segment " + put.name));
        }
        Host store = put.order.get(next);
        boolean wasted = put.zones >= SegmentNames.COPIES
                && taken.stream().anyMatch(other -> other.zone().equals(store.zone()));
        if (wasted) {
            return putNext(put, taken, next + 1);
        }
        PeerMessage message = new PeerMessage.SegmentPut(put.name, put.content);
        return peers.ask(store.address(), PeerLane.BULK, message, PUT_TIMEOUT_MILLIS)
                .handle((reply, failure) -> {
                    if (failure == null) {
                        taken.add(store);
                    }
                    return putNext(put, taken, next + 1);
                })
                .thenCompose(result -> result);
    }

    private CompletableFuture<Optional<byte[]>> getNext(String name, List<Host> order, int next) {
        if (next >= order.size()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return peers.ask(order.get(next).address(), PeerLane.BULK, new PeerMessage.SegmentAsk(name), GET_TIMEOUT_MILLIS)
                .handle((reply, failure) -> content(name, reply))
                .thenCompose(found ->
                        found.isPresent() ? CompletableFuture.completedFuture(found) : getNext(name, order, next + 1));
    }

    private static Optional<byte[]> content(String name, PeerMessage reply) {
        if (reply instanceof PeerMessage.Segment segment) {
            return segment.bytes().filter(bytes -> SegmentNames.fits(name, bytes));
        }
        return Optional.empty();
    }

    /** A segment to store. */
    private record Put(String name, byte[] content, List<Host> order, long zones) {
        boolean isDurable(List<Host> taken) {
            Set<Object> takenZones = new HashSet<>();
            taken.forEach(host -> takenZones.add(host.zone()));
            long needed = SegmentNames.COPIES;
            return taken.size() >= needed && takenZones.size() >= Math.min(zones, needed);
        }
    }
}
