package org.gooseberryhill.decision.membership;

import java.util.List;
import org.gooseberryhill.host.Host;

/** What the membership wants sent. Implemented by a process with sockets, by a test with a list. */
public interface MembershipCommands {
    /** Sends a heartbeat to a host; the answer comes back as {@link Membership#heard}. */
    void probe(Host target, long incarnation, List<Rumor> rumors);

    /** Asks another host to probe the target. */
    void probeThrough(Host helper, Host target);
}
