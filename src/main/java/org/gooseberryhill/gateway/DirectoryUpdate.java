package org.gooseberryhill.gateway;

import java.util.Collection;
import org.gooseberryhill.directory.EndpointEntry;

/**
 * The endpoints after a change of the registrations. Immutable.
 *
 * @param entries all endpoints
 * @param passed the entries that were replaced or removed since the update before, even if they were added since then
 */
record DirectoryUpdate(Collection<EndpointEntry> entries, Collection<EndpointEntry> passed) {}
