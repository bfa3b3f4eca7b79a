package org.gooseberryhill.entry;

import java.util.Optional;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.HostProcess;

/**
 * Notifies a job's owner of a change at once, which the owner would otherwise detect later. Stateless; must be called
 * on the control thread.
 */
final class JobOwnerNotifier {
    private JobOwnerNotifier() {}

    static void notifyOwner(HostProcess process, JobKey job, boolean cancelled) {
        Optional<Host> owner = Ownership.ownerOfJob(job, process.presentHosts(Role.STEWARD));
        owner.ifPresent(host -> process.send(host, new PeerMessage.JobNotice(job.path(), cancelled)));
    }
}
