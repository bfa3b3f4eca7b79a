package org.gooseberryhill.decision.continuation;

import java.util.Map;
import java.util.Set;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * What hosts have seen of the registered software versions, as kept in the key-value store for hosts that start. Immutable.
 *
 * @param sinceMillis the time since which each version is contained, in epoch milliseconds
 * @param registered the versions that were registered when the record was written
 * @param goneAtMillis when versions were last seen that were registered before, in epoch milliseconds
 */
public record VersionRecord(long sinceMillis, Set<ServiceVersion> registered, Map<ServiceVersion, Long> goneAtMillis) {}
