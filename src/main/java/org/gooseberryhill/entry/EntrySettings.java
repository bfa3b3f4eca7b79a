package org.gooseberryhill.entry;

import org.gooseberryhill.decision.online.OnlinePolicies;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.link.Address;

/**
 * Settings of the entry program. Immutable.
 *
 * @param httpAddress where callers are served
 * @param httpLimits bounds of connections
 * @param maxBodyBytes the largest body of an online request
 * @param maxItems the most items of a job
 * @param maxItemBytes the largest item of a job
 * @param defaultDeadlineMillis how long an online request may take when its caller does not say
 * @param endpointSilenceMillis how long an endpoint may be silent inside an answer
 * @param policies the decisions about online requests
 */
public record EntrySettings(
        Address httpAddress,
        HttpLimits httpLimits,
        int maxBodyBytes,
        int maxItems,
        int maxItemBytes,
        long defaultDeadlineMillis,
        int endpointSilenceMillis,
        OnlinePolicies policies) {}
