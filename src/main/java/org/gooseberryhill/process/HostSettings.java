package org.gooseberryhill.process;

import java.nio.file.Path;
import java.util.Optional;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.link.Address;

/**
 * What a process learns from its settings. Immutable.
 *
 * @param self its identity, role, availability zone and peer address
 * @param keyValueAddress the key-value service
 * @param hostListAddress the platform's host list
 * @param platformTimeoutMillis how long a call to the platform may take
 * @param hostListPeriodMillis how often the host list is read
 * @param leaseMillis how long a lease lasts after its last renewal
 * @param stopGraceMillis how long requests are still taken in after a planned stop was asked for
 * @param stopBoundMillis after which a planned stop ends even with requests in progress
 * @param timelineFolder where the time line is written, for a system inside another program; else it goes to the log
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
