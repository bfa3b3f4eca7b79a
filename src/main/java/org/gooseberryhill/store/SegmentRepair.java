package org.gooseberryhill.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.timeline.EventKind;

/**
 * Restores missing copies of segments automatically after a store is lost, damaged or replaced.
 *
 * <p>For each segment that it holds, a store asks the other stores that should hold the segment whether they have it,
 * and sends them those that they lack. A store keeps its copy of a segment that it should not hold; this costs disk
 * space but never loses a result. Runs on the control thread and the disk threads.
 */
final class SegmentRepair {
    private static final Logger LOG = LogManager.getLogger(SegmentRepair.class);
    private static final int NAMES_PER_REQUEST = 500;
    private static final long REQUEST_TIMEOUT_MILLIS = 10_000;

    private final HostProcess process;
    private final SegmentFolder folder;
    private final Executor diskExecutor;
    private final long periodMillis;
    private final AtomicInteger missingCopies = new AtomicInteger();
    private boolean roundInProgress;
    private boolean handOverComplete;

    SegmentRepair(HostProcess process, SegmentFolder folder, Executor diskExecutor, long periodMillis) {
        this.process = process;
        this.folder = folder;
        this.diskExecutor = diskExecutor;
        this.periodMillis = periodMillis;
    }

    void start() {
        process.loop().every(periodMillis, this::startRound);
    }

    /** Starts a round that looks for missing copies, unless one is in progress. */
    void startRound() {
        if (roundInProgress) {
            return;
        }
        roundInProgress = true;
        boolean leaving = process.plannedStop().phase() != PlannedStop.Phase.SERVING;
        List<Host> stores = process.presentHosts(Role.STORE);
        missingCopies.set(0);
        CompletableFuture.supplyAsync(() -> expectedNames(stores), diskExecutor)
                .thenCompose(this::repairAll)
                .whenComplete((done, failure) -> process.loop().execute(() -> {
                    roundInProgress = false;
                    handOverComplete = leaving && failure == null && missingCopies.get() == 0;
                }));
    }

    /** Returns whether the latest ended round began after the planned stop was requested and found no copy missing. */
    boolean isHandOverComplete() {
        return handOverComplete;
    }

    private Map<Host, List<String>> expectedNames(List<Host> stores) {
        Map<Host, List<String>> namesByStore = new HashMap<>();
        try {
            for (String name : folder.names()) {
                for (Host store : SegmentNames.placement(name, stores)) {
                    if (!process.isSelf(store)) {
                        namesByStore
                                .computeIfAbsent(store, key -> new ArrayList<>())
                                .add(name);
                    }
                }
            }
        } catch (IOException e) {
            LOG.warn("failed to list the segments: {}", e.toString());
        }
        return namesByStore;
    }

    private CompletableFuture<Void> repairAll(Map<Host, List<String>> namesByStore) {
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (Map.Entry<Host, List<String>> entry : namesByStore.entrySet()) {
            List<String> names = entry.getValue();
            for (int from = 0; from < names.size(); from += NAMES_PER_REQUEST) {
                List<String> page = names.subList(from, Math.min(names.size(), from + NAMES_PER_REQUEST));
                all = all.thenCompose(done -> repairPage(entry.getKey(), List.copyOf(page)));
            }
        }
        return all;
    }

    private CompletableFuture<Void> repairPage(Host store, List<String> names) {
        return process.peerClient()
                .ask(store.address(), PeerLane.BULK, new PeerMessage.MissingSegments(names), REQUEST_TIMEOUT_MILLIS)
                .handle((reply, failure) -> {
                    boolean answered = reply instanceof PeerMessage.MissingSegments;
                    List<String> missingNames =
                            answered ? ((PeerMessage.MissingSegments) reply).names() : List.<String>of();
                    missingCopies.addAndGet(answered ? missingNames.size() : names.size());
                    return missingNames;
                })
                .thenCompose(missingNames -> sendCopies(store, missingNames));
    }

    private CompletableFuture<Void> sendCopies(Host store, List<String> names) {
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (String name : names) {
            all = all.thenCompose(done -> sendCopy(store, name));
        }
        return all;
    }

    private CompletableFuture<Void> sendCopy(Host store, String name) {
        return CompletableFuture.supplyAsync(() -> readSegment(name), diskExecutor)
                .thenCompose(content -> {
                    if (content.isEmpty()) {
                        return CompletableFuture.completedFuture(null);
                    }
                    PeerMessage put = new PeerMessage.SegmentPut(name, content.get());
                    return process.peerClient()
                            .ask(store.address(), PeerLane.BULK, put, REQUEST_TIMEOUT_MILLIS)
                            .handle((reply, failure) -> {
                                if (failure == null) {
                                    process.timeline()
                                            .event(EventKind.SEGMENT_COPIED)
                                            .with("segment", name)
                                            .with("to", store.id())
                                            .write();
                                }
                                return null;
                            });
                });
    }

    private Optional<byte[]> readSegment(String name) {
        try {
            return folder.get(name);
        } catch (IOException e) {
            LOG.warn("failed to read segment {}: {}", name, e.toString());
            return Optional.empty();
        }
    }
}
