package org.gooseberryhill.decision.promptpart;

import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.directory.EndpointKey;

/**
 * Allows one request with suspected parts to run. Immutable.
 *
 * @param parts the suspected parts
 * @param endpoint the only endpoint where it may run; empty if it may run at any
 */
public record IsolationPermit(Set<PromptPartKey> parts, Optional<EndpointKey> endpoint) {}
