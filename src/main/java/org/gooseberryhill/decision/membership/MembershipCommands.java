package org.gooseberryhill.decision.membership;

import java.util.List;
import org.gooseberryhill.host.Host;

/** Sends the probes that {@link Membership} decides on. Implemented over the network and, in tests, in memory. */
public interface MembershipCommands {
    /** Sends a heartbeat to a host. Its reply has to be passed to {@link Membership#recordContact}. */
    void probe(Host target, long incarnation, List<Rumor> rumors);

    /** Asks another host to probe the target. Success has to be passed to {@link Membership#recordIndirectReply}. */
    void probeIndirectly(Host helper, Host target);
}
