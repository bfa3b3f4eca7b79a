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

/** The program {@code gooseberry-store}. Thread-safe; the disk is used by threads of its own. */
public final class StoreProcess implements Closeable {
    private static final Logger LOG = LogManager.getLogger(StoreProcess.class);
    private static final int DISK_THREADS = 4;
    private static final long STOP_CHECK_MILLIS = 200;

    private final HostProcess process;
    private final SegmentFolder folder;
    private final SegmentRepair repair;
    private final ExecutorService disk = Executors.newFixedThreadPool(DISK_THREADS, task -> {
        Thread thread = new Thread(task, "disk");
        thread.setDaemon(true);
        return thread;
    });
    private int inProgress;

    /** A process that is not started yet, with its data folder. */
    public StoreProcess(HostSettings settings, Path dataFolder, long repairPeriodMillis, long seed) {
        process = new HostProcess(settings, seed);
        folder = new SegmentFolder(dataFolder);
        repair = new SegmentRepair(process, folder, disk, repairPeriodMillis);
        process.roleHandler(this::handle);
    }

    /** Starts serving. */
    public void start() {
        process.start();
        repair.start();
        process.loop().every(STOP_CHECK_MILLIS, this::advanceStop);
    }

    /** The common part of the process. */
    public HostProcess process() {
        return process;
    }

    @Override
    public void close() {
        process.close();
        disk.shutdownNow();
    }

    /** A store that leaves takes its disk with it: it ends only when the others have what it has. */
    private void advanceStop() {
        if (process.stop().phase() != PlannedStop.Phase.SERVING) {
            repair.roundNow();
        }
        process.advanceStop(inProgress + (repair.isHandedOver() ? 0 : 1), false);
    }

    private CompletableFuture<PeerMessage> handle(HostId from, PeerMessage message) {
        inProgress++;
        CompletableFuture<PeerMessage> reply = CompletableFuture.supplyAsync(() -> serve(message), disk);
        reply.whenComplete((done, failure) -> process.loop().execute(() -> inProgress--));
        return reply;
    }

    private PeerMessage serve(PeerMessage message) {
        try {
            if (message instanceof PeerMessage.SegmentPut put) {
                if (!SegmentNames.fits(put.name(), put.bytes())) {
                    return new PeerMessage.Failed("the content does not fit the name " + put.name());
                }
                folder.put(put.name(), put.bytes());
                return new PeerMessage.Ack();
            }
            if (message instanceof PeerMessage.SegmentAsk question) {
                return new PeerMessage.Segment(folder.get(question.name()));
            }
            if (message instanceof PeerMessage.SegmentHave question) {
                List<String> lacking = question.names().stream()
                        .filter(name -> !folder.has(name))
                        .toList();
                return new PeerMessage.SegmentHave(lacking);
            }
            return new PeerMessage.Ack();
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("a segment could not be served: {}", e.toString());
            return new PeerMessage.Failed(e.toString());
        }
    }
}
