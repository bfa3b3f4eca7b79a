package org.gooseberryhill.process;

import java.nio.file.Path;
import java.util.Optional;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.link.Address;

/**
 * Settings that all processes have. Immutable.
 *
 * @param self the id, role, availability zone and peer address of this host
 * @param keyValueAddress the address of the key-value store
 * @param hostListAddress the address of the platform's host list
 * @param platformTimeoutMillis timeout of calls to the platform
 * @param hostListPeriodMillis interval between reads of the host list
 * @param leaseMillis time to live of a lease after its last renewal
 * @param stopGraceMillis how long requests are still accepted after a planned stop was requested
 * @param stopBoundMillis time after which a planned stop ends even if requests are in progress
 * @param timelineFolder the folder of the timeline file, for a system embedded in another program; if empty, the
 *     timeline goes to the log
 */
public record HostSettings(
        Host self,
        Address keyValueAddress,
        Address hostListAddress,
        int platformTimeoutMillis,
        long hostListPeriodMillis,
        long leaseMillis,
        long stopGraceMillis,
        long stopBoundMillis,
        Optional<Path> timelineFolder) {}
