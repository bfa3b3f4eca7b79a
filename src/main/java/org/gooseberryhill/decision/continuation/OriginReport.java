package org.gooseberryhill.decision.continuation;

import java.util.Set;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * What one host knows of the version that began a stream. Immutable.
 *
 * @param origins the versions that were recorded for the stream; several if they contradict each other
 * @param registered the versions of the service that the stream may have begun at
 */
public record OriginReport(Set<ServiceVersion> origins, RegisteredVersions registered) {}
