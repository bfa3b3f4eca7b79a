package org.gooseberryhill.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.process.HostSettings;

/**
 * The process of the program {@code gooseberry-store}, which stores segments. Thread-safe; disk access runs on separate
 * threads.
 */
public final class StoreProcess implements Closeable {
    private static final Logger LOG = LogManager.getLogger(StoreProcess.class);
    private static final int DISK_THREADS = 4;
    private static final long STOP_CHECK_PERIOD_MILLIS = 200;

    private final HostProcess process;
    private final SegmentFolder folder;
    private final SegmentRepair repair;
    private final ExecutorService diskExecutor = Executors.newFixedThreadPool(DISK_THREADS, task -> {
        Thread thread = new Thread(task, "disk");
        thread.setDaemon(true);
        return thread;
    });
    private int requestsInProgress;

    /** Creates a process that is not started, and opens its data folder. */
    public StoreProcess(HostSettings settings, Path dataFolder, long repairPeriodMillis, long seed) {
        process = new HostProcess(settings, seed);
        folder = new SegmentFolder(dataFolder);
        repair = new SegmentRepair(process, folder, diskExecutor, repairPeriodMillis);
        process.setRoleHandler(this::handle);
    }

    /** Starts serving requests and repairing segments. */
    public void start() {
        process.start();
        repair.start();
        process.loop().every(STOP_CHECK_PERIOD_MILLIS, this::advanceStop);
    }

    /** Returns the part of the process that all roles have in common. */
    public HostProcess process() {
        return process;
    }

    @Override
    public void close() {
        process.close();
        diskExecutor.shutdownNow();
    }

    /**
     * Advances the planned stop. The disk is lost when the store ends, so the process ends only when the other stores
     * have copies of its segments.
     */
    private void advanceStop() {
        if (process.plannedStop().phase() != PlannedStop.Phase.SERVING) {
            repair.startRound();
        }
        process.advanceStop(requestsInProgress + (repair.isHandOverComplete() ? 0 : 1), false);
    }

    private CompletableFuture<PeerMessage> handle(HostId from, PeerMessage message) {
        requestsInProgress++;
        CompletableFuture<PeerMessage> reply = CompletableFuture.supplyAsync(() -> serve(message), diskExecutor);
        reply.whenComplete((done, failure) -> process.loop().execute(() -> requestsInProgress--));
        return reply;
    }

    private PeerMessage serve(PeerMessage message) {
        try {
            if (message instanceof PeerMessage.SegmentPut put) {
                if (!SegmentNames.matchesHash(put.name(), put.bytes())) {
                    return new PeerMessage.Failed("the content does not fit the name " + put.name());
                }
                folder.put(put.name(), put.bytes());
                return new PeerMessage.Ack();
            }
            if (message instanceof PeerMessage.SegmentRequest request) {
                return new PeerMessage.Segment(folder.get(request.name()));
            }
            if (message instanceof PeerMessage.MissingSegments request) {
                List<String> missingNames = request.names().stream()
                        .filter(name -> !folder.has(name))
                        .toList();
                return new PeerMessage.MissingSegments(missingNames);
            }
            return new PeerMessage.Ack();
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("failed to serve a request for a segment: {}", e.toString());
            return new PeerMessage.Failed(e.toString());
        }
    }
}
