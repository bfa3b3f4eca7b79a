package org.gooseberryhill.decision.promptpart;

import java.util.Set;
import org.gooseberryhill.directory.EndpointKey;

/**
 * Allows one request with suspected parts to run at an endpoint. Immutable.
 *
 * @param parts the suspected parts
 * @param endpoint the endpoint
 */
public record IsolationPermit(Set<PromptPartKey> parts, EndpointKey endpoint) {}
