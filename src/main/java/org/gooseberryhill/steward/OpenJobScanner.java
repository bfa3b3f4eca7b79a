package org.gooseberryhill.steward;

import java.util.List;
import java.util.Optional;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.HostProcess;

/**
 * Finds open jobs whose owner was lost or was never notified of them. Confined to the control thread.
 *
 * <p>Two stewards of the whole fleet read the index of open jobs and notify the owner of each job, which claims the job
 * unless it already has.
 */
final class OpenJobScanner {
    private static final int SCANNERS = 2;
    private static final int PAGE_SIZE = 1000;

    private final HostProcess process;
    private final StewardSettings settings;
    private final JobOwner jobs;

    OpenJobScanner(HostProcess process, StewardSettings settings, JobOwner jobs) {
        this.process = process;
        this.settings = settings;
        this.jobs = jobs;
    }

    void start() {
        process.loop().every(settings.jobScanPeriodMillis(), this::scan);
    }

    private void scan() {
        List<Host> stewards = process.presentHosts(Role.STEWARD);
        boolean isScanner =
                Ownership.rank("job-scan", stewards).stream().limit(SCANNERS).anyMatch(process::isSelf);
        if (isScanner) {
            readPage(Keys.OPEN_JOBS, stewards);
        }
    }

    private void readPage(String fromKey, List<Host> stewards) {
        process.keyValue()
                .readPrefix(Keys.OPEN_JOBS, fromKey, PAGE_SIZE)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    if (failure != null) {
                        return;
                    }
                    result.entries().forEach(entry -> notifyOwner(entry, stewards));
                    if (result.more()) {
                        String lastKey = result.entries()
                                .get(result.entries().size() - 1)
                                .key();
                        readPage(lastKey + "\0", stewards);
                    }
                }));
    }

    private void notifyOwner(KeyValueStore.Entry entry, List<Host> stewards) {
        Optional<JobKey> key = JobKey.parse(entry.key().substring(Keys.OPEN_JOBS.length()));
        Optional<Host> owner = key.flatMap(found -> Ownership.ownerOfJob(found, stewards));
        if (owner.isEmpty()) {
            return;
        }
        if (process.isSelf(owner.get())) {
            jobs.claim(key.get());
        } else {
            process.send(owner.get(), new PeerMessage.JobNotice(key.get().path(), false));
        }
    }
}
