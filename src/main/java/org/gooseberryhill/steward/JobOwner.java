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
import org.gooseberryhill.decision.job.JobBoard;
import org.gooseberryhill.decision.job.JobRecord;
import org.gooseberryhill.decision.job.JobState;
import org.gooseberryhill.decision.job.OwnedJob;
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
import org.gooseberryhill.process.LeaseKeeper;
import org.gooseberryhill.timeline.EventKind;

/**
 * Manages the jobs that this host owns: claims them, hands out their items and commits their chunks. For the control
 * thread.
 *
 * <p>Invariant: each commit carries the claim as its fence. When the lease is lost, all jobs are stopped at once, and
 * the next owner continues from the committed chunks.
 */
final class JobOwner {
    private static final Logger LOG = LogManager.getLogger(JobOwner.class);
    private static final long HOUSEKEEPING_MILLIS = 250;
    private static final long RECORD_CHECK_MILLIS = 15_000;
    private static final int MAX_CHUNKS = 10_000;
    private static final long HOLDER_CHECK_MILLIS = 1000;

    /** Longer than a request and its reply can be in transit. */
    private static final long MISSING_AGE_MILLIS = 2 * HostProcess.ASK_TIMEOUT_MILLIS;

    private final HostProcess process;
    private final LeaseKeeper lease;
    private final StewardSettings settings;
    private final JobBoard board;
    private final WorkOffers offers = new WorkOffers();
    private final JobSegments segments;
    private final Set<JobKey> claiming = new HashSet<>();
    private boolean handingOver;

    JobOwner(HostProcess process, LeaseKeeper lease, StewardSettings settings) {
        this.process = process;
        this.lease = lease;
        this.settings = settings;
        this.board = new JobBoard(settings.dispatchOrder());
        this.segments = new JobSegments(process, this::jobRefused, this::jobAdvanced);
    }

    void start() {
        lease.onLost(this::dropAll);
        process.onMembershipChange(this::takeBackFromLost);
        process.loop().every(HOUSEKEEPING_MILLIS, this::keepHouse);
        process.loop().every(RECORD_CHECK_MILLIS, this::checkRecords);
        process.loop().every(HOLDER_CHECK_MILLIS, this::askHolders);
    }

    Map<String, Long> waitingWork() {
        return board.waitingWork(process.loop().nowNanos());
    }

    boolean owns(JobKey key) {
        return board.find(key).isPresent();
    }

    List<WorkItem> take(HostId steward, PeerMessage.ItemsAsk question) {
        long now = process.loop().nowNanos();
        List<WorkItem> items = board.take(question.service(), question.max(), steward, now, System.currentTimeMillis());
        if (!board.waitingWork(now).containsKey(question.service())) {
            offers.drained(question.service());
        }
        return items;
    }

    void report(PeerMessage.ItemReport report) {
        Optional<OwnedJob> owned = JobKey.parse(report.job()).flatMap(board::find);
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

    void noticed(PeerMessage.JobNotice notice) {
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
        Optional<Long> usable = lease.usable();
        if (handingOver || usable.isEmpty() || owns(key) || !claiming.add(key)) {
            return;
        }
        Transaction write = Transaction.builder()
                .ifAbsent(Keys.owner(key))
                .putUnderLease(Keys.owner(key), process.claimValue(), usable.get())
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
        if (segments.committing() > 0) {
            return false;
        }
        board.jobs().forEach(job -> board.remove(job.key()));
        return true;
    }

    /**
     * Checks whether this host holds the claim although its creation was refused or not answered: the answer, also that
     * of an earlier try, may have been lost. A claim unknown to its holder would block the job for all hosts until the
     * lease ends.
     */
    private void findOwnClaim(JobKey key) {
        process.keyValue()
                .read(Keys.owner(key))
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    Optional<KeyValueStore.Entry> own = failure != null
                            ? Optional.empty()
                            : result.first().filter(entry -> Arrays.equals(process.claimValue(), entry.value()));
                    if (own.isPresent()) {
                        load(key, own.get().createRevision());
                    } else {
                        claiming.remove(key);
                    }
                }));
    }

    private void load(JobKey key, long fence) {
        process.keyValue()
                .read(Keys.job(key))
                .thenCombine(
                        process.keyValue().readPrefix(Keys.chunks(key), Keys.chunks(key), MAX_CHUNKS),
                        (record, chunks) -> owned(key, fence, record, chunks))
                .whenComplete((job, failure) -> process.loop().execute(() -> {
                    claiming.remove(key);
                    if (failure == null && job.isPresent() && lease.usable().isPresent() && !handingOver) {
                        begin(job.get());
                    } else {
                        releaseClaim(key, fence);
                    }
                }));
    }

    private static Optional<OwnedJob> owned(
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

    private void begin(OwnedJob job) {
        try (CloseableThreadContext.Instance ignored =
                CloseableThreadContext.put("job", job.key().path())) {
            LOG.info("claimed the job with fence {}", job.fence());
        }
        process.timeline()
                .event(EventKind.JOB_OWNED)
                .job(job.key().path())
                .with("fence", job.fence())
                .write();
        board.add(job);
        jobAdvanced(job);
    }

    private void jobAdvanced(OwnedJob job) {
        if (job.isStopped()) {
            return;
        }
        if (job.isComplete()) {
            segments.finish(job);
            board.remove(job.key());
            return;
        }
        segments.loadMore(job);
        if (job.hasWaiting(process.loop().nowNanos())) {
            offerWork(job);
        }
    }

    private void jobRefused(OwnedJob job) {
        stop(job.key(), "its record or claim has changed");
        // Claiming reads the record again: a cancelled job stays stopped, a running one continues under a new claim.
        claim(job.key());
    }

    private void stop(JobKey key, String reason) {
        board.remove(key).ifPresent(job -> {
            process.timeline()
                    .event(EventKind.JOB_STOPPED)
                    .job(key.path())
                    .with("reason", reason)
                    .write();
            PeerMessage cancel = new PeerMessage.ItemsCancel(key.path(), job.fence());
            process.present(Role.STEWARD).forEach(host -> process.tell(host, cancel));
            releaseClaim(key, job.fence());
        });
    }

    private void dropAll() {
        board.jobs().forEach(job -> stop(job.key(), "the lease is gone"));
    }

    private void releaseClaim(JobKey key, long fence) {
        process.keyValue()
                .write(Transaction.builder()
                        .ifCreatedAt(Keys.owner(key), fence)
                        .delete(Keys.owner(key))
                        .build());
    }

    private void offerWork(OwnedJob job) {
        if (!offers.waiting(job.record().service(), process.loop().nowNanos())) {
            return;
        }
        PeerMessage notice =
                new PeerMessage.WorkNotice(job.record().service(), job.record().dueMillis());
        process.present(Role.STEWARD).stream()
                .filter(host -> !host.leaving())
                .forEach(host -> process.tell(host, notice));
    }

    private void takeBackFromLost() {
        for (OwnedJob job : board.jobs()) {
            job.holders().stream().filter(this::isLost).forEach(board::stewardLost);
        }
    }

    private boolean isLost(HostId steward) {
        boolean self = steward.equals(process.settings().self().id());
        Optional<HostState> state = process.membership().stateOf(steward);
        return !self && (state.isEmpty() || state.get() == HostState.DEAD);
    }

    private void keepHouse() {
        long now = process.loop().nowNanos();
        for (OwnedJob job : board.jobs()) {
            job.takeBackOlderThan(settings.maxHandoutMillis(), now);
            segments.loadMore(job);
            if (job.hasWaiting(now)) {
                offerWork(job);
            }
        }
        handOverForeign();
    }

    /** Releases jobs that the membership assigns to another host, so that a new host takes over its share over time. */
    private void handOverForeign() {
        List<Host> stewards = process.present(Role.STEWARD);
        for (OwnedJob job : board.jobs()) {
            boolean own = Ownership.ownerOfJob(job.key(), stewards)
                    .filter(process::isSelf)
                    .isPresent();
            if (!own && job.running() == 0 && segments.committing() == 0) {
                stop(job.key(), "another host is its owner now");
            }
        }
    }

    /**
     * Queries the stewards for the hand-outs they hold and reclaims missing ones: items or reports may be lost in
     * transit.
     */
    private void askHolders() {
        for (OwnedJob job : board.jobs()) {
            for (HostId holder : job.holders()) {
                hostOf(holder)
                        .ifPresent(host -> process.ask(
                                        host,
                                        new PeerMessage.ItemsHeldAsk(job.key().path(), job.fence()))
                                .whenComplete((reply, failure) -> process.loop().execute(() -> {
                                    if (reply instanceof PeerMessage.ItemsHeld held) {
                                        long now = process.loop().nowNanos();
                                        job.takeBackMissing(
                                                holder, Set.copyOf(held.handouts()), MISSING_AGE_MILLIS, now);
                                    }
                                })));
            }
        }
    }

    private Optional<Host> hostOf(HostId id) {
        return process.present(Role.STEWARD).stream()
                .filter(host -> host.id().equals(id))
                .findFirst();
    }

    /**
     * Detects changed job records, since the notice of a cancellation may be lost. Without this check, the commit of
     * the next chunk would detect the change.
     */
    private void checkRecords() {
        for (OwnedJob job : board.jobs()) {
            process.keyValue()
                    .readRevision(Keys.job(job.key()))
                    .whenComplete((revision, failure) -> process.loop().execute(() -> {
                        boolean changed = failure == null && revision != job.recordRevision();
                        if (changed && !job.isStopped()) {
                            jobRefused(job);
                        }
                    }));
        }
    }
}
