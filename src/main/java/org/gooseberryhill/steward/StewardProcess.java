package org.gooseberryhill.steward;

import java.io.Closeable;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.quarantine.SuspectArbiter;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.process.HostSettings;
import org.gooseberryhill.process.LeaseKeeper;
import org.gooseberryhill.process.MessageHandler;

/** The program {@code gooseberry-steward}. Thread-safe. */
public final class StewardProcess implements Closeable {
    private static final long STOP_CHECK_MILLIS = 200;
    private static final long SUSPECT_GRANT_MILLIS = 30_000;

    private final HostProcess process;
    private final LeaseKeeper lease;
    private final BatchDriver batch;
    private final JobOwner jobs;
    private final JobScan jobScan;
    private final OrderDriver orders;
    private final Map<String, SuspectArbiter> arbiters = new HashMap<>();
    private boolean releasing;
    private boolean released;

    /** A process that is not started yet. */
    public StewardProcess(HostSettings hostSettings, StewardSettings settings, long seed) {
        process = new HostProcess(hostSettings, seed);
        lease = new LeaseKeeper(process);
        jobs = new JobOwner(process, lease, settings);
        batch = new BatchDriver(process, settings);
        orders = new OrderDriver(process, lease, settings, batch);
        jobScan = new JobScan(process, settings, jobs);
        process.roleHandler(this::handle);
        process.heartbeatWork(jobs::waitingWork, batch::heardWork);
    }

    /** Starts working. */
    public void start() {
        // Before the process: its first changes of membership and configuration must find the listeners there.
        process.loop().execute(() -> {
            lease.start();
            jobs.start();
            jobScan.start();
            batch.start();
            orders.start();
        });
        process.start();
        process.loop().every(STOP_CHECK_MILLIS, this::advanceStop);
    }

    /** The common part of the process. */
    public HostProcess process() {
        return process;
    }

    /** Items in flight at endpoints, and ends of items that their owners have not taken yet; from any thread. */
    public int inProgress() {
        CompletableFuture<Integer> answer = new CompletableFuture<>();
        process.loop().execute(() -> answer.complete(batch.inProgress()));
        return answer.join();
    }

    @Override
    public void close() {
        process.close();
    }

    private void advanceStop() {
        if (process.stop().phase() == PlannedStop.Phase.SERVING) {
            return;
        }
        // Batch items go on elsewhere from where they were, so a stop needs not wait for them to end here.
        batch.yieldAll();
        if (!releasing && jobs.handOver()) {
            releasing = true;
            lease.release(() -> released = true);
        }
        process.advanceStop(batch.inProgress() + (released ? 0 : 1), false);
    }

    private CompletableFuture<PeerMessage> handle(HostId from, PeerMessage message) {
        if (message instanceof PeerMessage.OnlineLoad load) {
            return MessageHandler.reply(batch.onlineReported(from, load));
        }
        if (message instanceof PeerMessage.ItemsAsk question) {
            return MessageHandler.reply(new PeerMessage.Items(jobs.take(from, question)));
        }
        if (message instanceof PeerMessage.SuspectPermitAsk question) {
            Optional<String> endpoint = arbiter(question.service())
                    .ask(
                            new Fingerprint(question.fingerprint()),
                            question.endpoints(),
                            process.loop().nowNanos());
            return MessageHandler.reply(new PeerMessage.SuspectPermit(endpoint));
        }
        if (message instanceof PeerMessage.ItemsHeldAsk question) {
            return MessageHandler.reply(new PeerMessage.ItemsHeld(batch.held(question.job(), question.fence())));
        }
        take(from, message);
        return MessageHandler.reply(new PeerMessage.Ack());
    }

    private void take(HostId from, PeerMessage message) {
        if (message instanceof PeerMessage.ItemReport report) {
            jobs.report(report);
        } else if (message instanceof PeerMessage.JobNotice notice) {
            jobs.noticed(notice);
        } else if (message instanceof PeerMessage.WorkNotice notice) {
            batch.noticed(from, notice);
        } else if (message instanceof PeerMessage.ItemsCancel cancel) {
            batch.cancel(cancel.job(), cancel.fence());
        } else if (message instanceof PeerMessage.SuspectRelease release) {
            released(release);
        }
    }

    private void released(PeerMessage.SuspectRelease release) {
        arbiter(release.service()).release(new Fingerprint(release.fingerprint()));
        if (release.completed()) {
            // A suspect that completed crashes nothing: the other entries need not run it apart any more.
            process.present(Role.ENTRY).forEach(host -> process.tell(host, release));
        }
    }

    private SuspectArbiter arbiter(String service) {
        return arbiters.computeIfAbsent(service, key -> new SuspectArbiter(SUSPECT_GRANT_MILLIS));
    }
}
