package org.gooseberryhill.entry;

import org.gooseberryhill.decision.online.OnlinePolicies;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.link.Address;

/**
 * Settings of the entry program. Immutable.
 *
 * @param httpAddress the address of the HTTP server for callers
 * @param httpLimits limits of the HTTP connections
 * @param maxBodyBytes the maximum size of an online request's body
 * @param maxItems the maximum number of items in a job
 * @param maxItemBytes the maximum size of a job's item
 * @param defaultDeadlineMillis the time limit of an online request whose caller sets none
 * @param endpointSilenceMillis the maximum time without a byte from an endpoint during an exchange
 * @param policies the policies for routing, admission and retries of online requests
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
