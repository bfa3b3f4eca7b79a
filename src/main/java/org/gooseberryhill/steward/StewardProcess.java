package org.gooseberryhill.steward;

import java.io.Closeable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.decision.quarantine.SuspectArbiter;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.process.HostSettings;
import org.gooseberryhill.process.LeaseManager;
import org.gooseberryhill.process.MessageHandler;

/**
 * The process of the program {@code gooseberry-steward}, which owns jobs and sends batch items and model orders to
 * endpoints. Thread-safe.
 */
public final class StewardProcess implements Closeable {
    private static final long STOP_CHECK_PERIOD_MILLIS = 200;
    private static final long SUSPECT_GRANT_MILLIS = 30_000;
    private static final long SUSPECT_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);
    private static final int MAX_SUSPECTS = 10_000;

    private final HostProcess process;
    private final LeaseManager leaseManager;
    private final BatchDriver batch;
    private final JobOwner jobs;
    private final OpenJobScanner jobScanner;
    private final OrderDriver orders;
    private final CrashSuspects suspects = new CrashSuspects(SUSPECT_RETENTION_MILLIS, MAX_SUSPECTS);
    private final Map<String, SuspectArbiter> arbiters = new HashMap<>();
    private boolean leaseReleaseStarted;
    private boolean leaseReleased;

    /** Creates a process without starting it. */
    public StewardProcess(HostSettings hostSettings, StewardSettings settings, long seed) {
        process = new HostProcess(hostSettings, seed);
        leaseManager = new LeaseManager(process);
        jobs = new JobOwner(process, leaseManager, settings);
        batch = new BatchDriver(process, settings);
        orders = new OrderDriver(process, leaseManager, settings, batch);
        jobScanner = new OpenJobScanner(process, settings, jobs);
        process.setRoleHandler(this::handleMessage);
        process.setWaitingWorkExchange(jobs::waitingWork, batch::onHeartbeatWork);
    }

    /** Starts the process and its parts. */
    public void start() {
        // The listeners must be registered before the process reports its first membership and configuration changes.
        process.loop().execute(() -> {
            leaseManager.start();
            jobs.start();
            jobScanner.start();
            batch.start();
            orders.start();
        });
        process.start();
        process.loop().every(STOP_CHECK_PERIOD_MILLIS, this::advanceStop);
    }

    /** Returns the part of the process that all roles have in common. */
    public HostProcess process() {
        return process;
    }

    /**
     * Returns the number of items in flight at endpoints and of item reports that their owners have not acknowledged
     * yet. Must not be called on the control thread, since it waits for that thread.
     */
    public int itemsInProgress() {
        CompletableFuture<Integer> count = new CompletableFuture<>();
        process.loop().execute(() -> count.complete(batch.itemsInProgress()));
        return count.join();
    }

    @Override
    public void close() {
        process.close();
    }

    private void advanceStop() {
        if (process.plannedStop().phase() == PlannedStop.Phase.SERVING) {
            return;
        }
        // Batch items resume elsewhere from their partial results, so the stop need not wait for them to complete here.
        batch.yieldAllItems();
        if (!leaseReleaseStarted && jobs.handOver()) {
            leaseReleaseStarted = true;
            leaseManager.release(() -> leaseReleased = true);
        }
        process.advanceStop(batch.itemsInProgress() + (leaseReleased ? 0 : 1), false);
    }

    private CompletableFuture<PeerMessage> handleMessage(HostId from, PeerMessage message) {
        if (message instanceof PeerMessage.OnlineLoad load) {
            return MessageHandler.reply(batch.onOnlineLoad(from, load));
        }
        if (message instanceof PeerMessage.ItemsRequest request) {
            return MessageHandler.reply(new PeerMessage.Items(jobs.handOutItems(from, request)));
        }
        if (message instanceof PeerMessage.SuspectPermitRequest request) {
            Optional<String> endpoint = arbiter(request.service())
                    .tryAcquire(
                            new Fingerprint(request.fingerprint()),
                            request.endpoints(),
                            process.loop().nowNanos());
            return MessageHandler.reply(new PeerMessage.SuspectPermit(endpoint));
        }
        if (message instanceof PeerMessage.HeldHandoutsRequest request) {
            return MessageHandler.reply(
                    new PeerMessage.HeldHandouts(batch.heldHandouts(request.job(), request.fence())));
        }
        handleNotification(from, message);
        return MessageHandler.reply(new PeerMessage.Ack());
    }

    private void handleNotification(HostId from, PeerMessage message) {
        if (message instanceof PeerMessage.ItemReport report) {
            jobs.onItemReport(report);
        } else if (message instanceof PeerMessage.JobNotice notice) {
            jobs.onJobNotice(notice);
        } else if (message instanceof PeerMessage.WorkNotice notice) {
            batch.onWorkNotice(from, notice);
        } else if (message instanceof PeerMessage.JobItemsCancel cancel) {
            batch.cancelItems(cancel.job(), cancel.fence());
        } else if (message instanceof PeerMessage.CrashNotice notice) {
            onCrashNotice(notice);
        } else if (message instanceof PeerMessage.SuspectRelease release) {
            onSuspectRelease(release);
        }
    }

    private void onCrashNotice(PeerMessage.CrashNotice notice) {
        List<Fingerprint> requests =
                notice.fingerprints().stream().map(Fingerprint::new).toList();
        suspects.recordCrash(notice.endpoint(), requests, process.loop().nowNanos());
    }

    private void onSuspectRelease(PeerMessage.SuspectRelease release) {
        Fingerprint request = new Fingerprint(release.fingerprint());
        arbiter(release.service()).release(request);
        if (release.completed()) {
            suspects.clear(request);
            // A completed suspect did not cause the crash, so the other entry hosts need not isolate it any more.
            process.presentHosts(Role.ENTRY).forEach(host -> process.send(host, release));
        }
    }

    private SuspectArbiter arbiter(String service) {
        return arbiters.computeIfAbsent(service, key -> new SuspectArbiter(suspects, SUSPECT_GRANT_MILLIS));
    }
}
