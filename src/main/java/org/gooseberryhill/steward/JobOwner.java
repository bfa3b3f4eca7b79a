package org.gooseberryhill.steward;

import java.util.Arrays;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.decision.job.ItemEnd;
import org.gooseberryhill.decision.job.ItemOutcome;
import org.gooseberryhill.decision.job.JobRecord;
import org.gooseberryhill.decision.job.JobState;
import org.gooseberryhill.decision.job.OwnedJob;
import org.gooseberryhill.decision.job.OwnedJobs;
import org.gooseberryhill.decision.job.WorkItem;
import org.gooseberryhill.decision.job.WorkOffers;
import org.gooseberryhill.decision.membership.HostState;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.process.LeaseManager;
import org.gooseberryhill.timeline.EventKind;

/**
 * Manages the jobs that this host owns: claims them, hands out their items and commits their chunks. Confined to the
 * control thread.
 *
 * <p>Invariant: each commit succeeds only if the claim still has the creation revision that serves as this owner's
 * fencing token. When the lease is lost, all jobs are stopped at once, and the next owner continues from the committed
 * chunks.
 */
final class JobOwner {
    private static final Logger LOG = LogManager.getLogger(JobOwner.class);
    private static final long HOUSEKEEPING_PERIOD_MILLIS = 250;
    private static final long RECORD_CHECK_PERIOD_MILLIS = 15_000;
    private static final int MAX_CHUNKS = 10_000;
    private static final long HOLDER_CHECK_PERIOD_MILLIS = 1000;

    /** Age from which a hand-out can count as missing: longer than a request and its reply can be in transit. */
    private static final long MIN_MISSING_HANDOUT_AGE_MILLIS = 2 * HostProcess.ASK_TIMEOUT_MILLIS;

    private final HostProcess process;
    private final LeaseManager leaseManager;
    private final StewardSettings settings;
    private final OwnedJobs ownedJobs;
    private final WorkOffers workOffers = new WorkOffers();
    private final JobSegments segments;
    private final Set<JobKey> pendingClaims = new HashSet<>();
    private boolean handingOver;

    JobOwner(HostProcess process, LeaseManager leaseManager, StewardSettings settings) {
        this.process = process;
        this.leaseManager = leaseManager;
        this.settings = settings;
        this.ownedJobs = new OwnedJobs(settings.dispatchOrder());
        this.segments = new JobSegments(process, this::onClaimOrRecordChanged, this::onJobAdvanced);
    }

    void start() {
        leaseManager.addLossListener(this::stopAll);
        process.onMembershipChange(this::reclaimFromLostStewards);
        process.loop().every(HOUSEKEEPING_PERIOD_MILLIS, this::runHousekeeping);
        process.loop().every(RECORD_CHECK_PERIOD_MILLIS, this::checkRecords);
        process.loop().every(HOLDER_CHECK_PERIOD_MILLIS, this::reclaimMissingItems);
    }

    /** Returns the services with waiting items, each with its earliest due time in epoch milliseconds. */
    Map<String, Long> waitingWork() {
        return ownedJobs.waitingWork(process.loop().nowNanos());
    }

    boolean owns(JobKey key) {
        return ownedJobs.find(key).isPresent();
    }

    List<WorkItem> handOutItems(HostId steward, PeerMessage.ItemsRequest request) {
        long now = process.loop().nowNanos();
        List<WorkItem> items =
                ownedJobs.handOut(request.service(), request.max(), steward, now, System.currentTimeMillis());
        if (!ownedJobs.waitingWork(now).containsKey(request.service())) {
            workOffers.recordNoneWaiting(request.service());
        }
        return items;
    }

    void onItemReport(PeerMessage.ItemReport report) {
        Optional<OwnedJob> owned = JobKey.parse(report.job()).flatMap(ownedJobs::find);
        if (owned.isEmpty()) {
            return;
        }
        OwnedJob job = owned.get();
        ItemOutcome outcome = new ItemOutcome(
                report.index(), report.fence(), report.handout(), report.kind(), report.text(), report.tokens());
        if (report.kind() != ItemEnd.COMPLETED) {
            process.timeline()
                    .event(EventKind.ITEM_REPORTED)
                    .job(report.job())
                    .with("item", report.index())
                    .with("end", report.kind())
                    .write();
        }
        job.report(outcome, process.loop().nowNanos()).ifPresent(result -> segments.commit(job, result));
        if (job.hasWaiting(process.loop().nowNanos())) {
            offerWork(job);
        }
    }

    void onJobNotice(PeerMessage.JobNotice notice) {
        JobKey.parse(notice.job()).ifPresent(key -> {
            if (notice.cancelled()) {
                stop(key, "cancelled");
            } else {
                claim(key);
            }
        });
    }

    /** Claims a job, unless this host already owns it or is claiming it. */
    void claim(JobKey key) {
        Optional<Long> leaseId = leaseManager.usableLease();
        if (handingOver || leaseId.isEmpty() || owns(key) || !pendingClaims.add(key)) {
            return;
        }
        Transaction write = Transaction.builder()
                .ifAbsent(Keys.jobClaim(key))
                .putUnderLease(Keys.jobClaim(key), process.claimValue(), leaseId.get())
                .build();
        process.keyValue()
                .write(write)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    if (failure == null && result.succeeded()) {
                        load(key, result.revision());
                    } else {
                        findOwnClaim(key);
                    }
                }));
    }

    /** Gives up all jobs at a planned stop. Returns false, and keeps the jobs, while chunks are being committed. */
    boolean handOver() {
        handingOver = true;
        if (segments.commitsInProgress() > 0) {
            return false;
        }
        ownedJobs.jobs().forEach(job -> ownedJobs.remove(job.key()));
        return true;
    }

    /**
     * Checks whether this host holds the claim although its creation was refused or not answered: the answer, also that
     * of an earlier try, may have been lost. A claim unknown to its holder would block the job for all hosts until the
     * lease ends.
     */
    private void findOwnClaim(JobKey key) {
        process.keyValue()
                .read(Keys.jobClaim(key))
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    Optional<KeyValueStore.Entry> own = failure != null
                            ? Optional.empty()
                            : result.first().filter(entry -> Arrays.equals(process.claimValue(), entry.value()));
                    if (own.isPresent()) {
                        load(key, own.get().createRevision());
                    } else {
                        pendingClaims.remove(key);
                    }
                }));
    }

    private void load(JobKey key, long fence) {
        process.keyValue()
                .read(Keys.job(key))
                .thenCombine(
                        process.keyValue().readPrefix(Keys.chunks(key), Keys.chunks(key), MAX_CHUNKS),
                        (record, chunks) -> toOwnedJob(key, fence, record, chunks))
                .whenComplete((job, failure) -> process.loop().execute(() -> {
                    pendingClaims.remove(key);
                    if (failure == null
                            && job.isPresent()
                            && leaseManager.usableLease().isPresent()
                            && !handingOver) {
                        startOwning(job.get());
                    } else {
                        releaseClaim(key, fence);
                    }
                }));
    }

    private static Optional<OwnedJob> toOwnedJob(
            JobKey key, long fence, KeyValueStore.ReadResult record, KeyValueStore.ReadResult chunks) {
        BitSet committed = new BitSet();
        String prefix = Keys.chunks(key);
        chunks.entries()
                .forEach(entry -> committed.set(Integer.parseInt(entry.key().substring(prefix.length()))));
        return record.first()
                .flatMap(entry -> Json.read(entry.value(), JobRecord.class)
                        .toJavaOptional()
                        .filter(found -> found.state() == JobState.RUNNING)
                        .map(found -> new OwnedJob(key, found, entry.modRevision(), fence, committed)));
    }

    private void startOwning(OwnedJob job) {
        try (CloseableThreadContext.Instance ignored =
                CloseableThreadContext.put("job", job.key().path())) {
            LOG.info("claimed the job with fence {}", job.fence());
        }
        process.timeline()
                .event(EventKind.JOB_OWNED)
                .job(job.key().path())
                .with("fence", job.fence())
                .write();
        ownedJobs.add(job);
        onJobAdvanced(job);
    }

    private void onJobAdvanced(OwnedJob job) {
        if (job.isStopped()) {
            return;
        }
        if (job.isComplete()) {
            segments.finish(job);
            ownedJobs.remove(job.key());
            return;
        }
        segments.loadChunks(job);
        if (job.hasWaiting(process.loop().nowNanos())) {
            offerWork(job);
        }
    }

    private void onClaimOrRecordChanged(OwnedJob job) {
        stop(job.key(), "its record or claim has changed");
        // Claiming reads the record again: a cancelled job stays stopped, a running one continues under a new claim.
        claim(job.key());
    }

    private void stop(JobKey key, String reason) {
        ownedJobs.remove(key).ifPresent(job -> {
            process.timeline()
                    .event(EventKind.JOB_STOPPED)
                    .job(key.path())
                    .with("reason", reason)
                    .write();
            PeerMessage cancel = new PeerMessage.JobItemsCancel(key.path(), job.fence());
            process.presentHosts(Role.STEWARD).forEach(host -> process.send(host, cancel));
            releaseClaim(key, job.fence());
        });
    }

    private void stopAll() {
        ownedJobs.jobs().forEach(job -> stop(job.key(), "the lease was lost"));
    }

    private void releaseClaim(JobKey key, long fence) {
        process.keyValue()
                .write(Transaction.builder()
                        .ifCreatedAt(Keys.jobClaim(key), fence)
                        .delete(Keys.jobClaim(key))
                        .build());
    }

    private void offerWork(OwnedJob job) {
        if (!workOffers.recordWaiting(job.record().service(), process.loop().nowNanos())) {
            return;
        }
        PeerMessage notice =
                new PeerMessage.WorkNotice(job.record().service(), job.record().dueMillis());
        process.presentHosts(Role.STEWARD).stream()
                .filter(host -> !host.leaving())
                .forEach(host -> process.send(host, notice));
    }

    private void reclaimFromLostStewards() {
        for (OwnedJob job : ownedJobs.jobs()) {
            job.holders().stream().filter(this::isLost).forEach(ownedJobs::reclaimFromSteward);
        }
    }

    private boolean isLost(HostId steward) {
        boolean self = steward.equals(process.settings().self().id());
        Optional<HostState> state = process.membership().stateOf(steward);
        return !self && (state.isEmpty() || state.get() == HostState.DEAD);
    }

    private void runHousekeeping() {
        long now = process.loop().nowNanos();
        for (OwnedJob job : ownedJobs.jobs()) {
            job.reclaimOlderThan(settings.maxHandoutMillis(), now);
            segments.loadChunks(job);
            if (job.hasWaiting(now)) {
                offerWork(job);
            }
        }
        releaseReassignedJobs();
    }

    /**
     * Releases jobs that the membership assigns to another host, so that a new host takes over the jobs assigned to it
     * over time.
     */
    private void releaseReassignedJobs() {
        List<Host> stewards = process.presentHosts(Role.STEWARD);
        for (OwnedJob job : ownedJobs.jobs()) {
            boolean isOwner = Ownership.ownerOfJob(job.key(), stewards)
                    .filter(process::isSelf)
                    .isPresent();
            if (!isOwner && job.runningItems() == 0 && segments.commitsInProgress() == 0) {
                stop(job.key(), "the job is assigned to another host");
            }
        }
    }

    /**
     * Queries the stewards for the hand-outs that they hold and reclaims the items of missing ones: items or reports
     * may be lost in transit.
     */
    private void reclaimMissingItems() {
        for (OwnedJob job : ownedJobs.jobs()) {
            for (HostId holder : job.holders()) {
                presentSteward(holder)
                        .ifPresent(host -> process.ask(
                                        host,
                                        new PeerMessage.HeldHandoutsRequest(
                                                job.key().path(), job.fence()))
                                .whenComplete((reply, failure) -> process.loop().execute(() -> {
                                    if (reply instanceof PeerMessage.HeldHandouts held) {
                                        long now = process.loop().nowNanos();
                                        job.reclaimMissing(
                                                holder,
                                                Set.copyOf(held.handouts()),
                                                MIN_MISSING_HANDOUT_AGE_MILLIS,
                                                now);
                                    }
                                })));
            }
        }
    }

    private Optional<Host> presentSteward(HostId id) {
        return process.presentHosts(Role.STEWARD).stream()
                .filter(host -> host.id().equals(id))
                .findFirst();
    }

    /**
     * Detects changed job records, since the notice of a cancellation may be lost. Without this check, only the commit
     * of the next chunk would detect the change.
     */
    private void checkRecords() {
        for (OwnedJob job : ownedJobs.jobs()) {
            process.keyValue()
                    .readRevision(Keys.job(job.key()))
                    .whenComplete((revision, failure) -> process.loop().execute(() -> {
                        boolean changed = failure == null && revision != job.recordRevision();
                        if (changed && !job.isStopped()) {
                            onClaimOrRecordChanged(job);
                        }
                    }));
        }
    }
}
