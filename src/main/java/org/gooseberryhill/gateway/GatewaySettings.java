package org.gooseberryhill.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroups;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.http.ConnectionLimits;
import org.gooseberryhill.link.Address;

/**
 * Settings of the gateway program. Immutable.
 *
 * @param self identity, role, availability zone and peer address of this host
 * @param callersAddress address at which callers are served
 * @param readinessAddress address at which the load balancer checks whether this host accepts new connections
 * @param metricsAddress address at which metrics are served, if any
 * @param seeds peer addresses of some hosts, which may include this host and lost ones
 * @param stopBoundMillis time after which a planned stop ends even with requests in progress
 * @param storeTimeoutMillis timeout of a call to the key-value store
 * @param storeValueBytes size of the largest value that the key-value store takes
 * @param resultRetentionMillis time for which a finished batch is kept
 * @param connectionLimits limits of the connections from callers
 * @param submissionCopies number of hosts that must store a submission on disk for it to survive all tolerated losses
 * @param memoryLimitBytes memory at which the process is killed, if it is known
 * @param zoneCrossingPriceMillis what sending a request to another zone costs beyond the time, in milliseconds of wait; empty if
 *     zones make no difference
 */
public record GatewaySettings(
        Host self,
        Address callersAddress,
        Address readinessAddress,
        Optional<Address> metricsAddress,
        List<Address> seeds,
        long stopBoundMillis,
        int storeTimeoutMillis,
        int storeValueBytes,
        long resultRetentionMillis,
        ConnectionLimits connectionLimits,
        int submissionCopies,
        Optional<Long> memoryLimitBytes,
        Optional<Long> zoneCrossingPriceMillis) {
    /** Returns how endpoints are divided into groups; all hosts have to use the same way. */
    Function<Collection<EndpointEntry>, EndpointGroups> groupPartition() {
        return zoneCrossingPriceMillis.isPresent() ? EndpointGroups::of : EndpointGroups::spanningZones;
    }

    /** Returns these settings, with the values that may change while the process runs taken from newer ones. */
    GatewaySettings reloaded(GatewaySettings newer) {
        return new GatewaySettings(
                self,
                callersAddress,
                readinessAddress,
                metricsAddress,
                newer.seeds,
                newer.stopBoundMillis,
                newer.storeTimeoutMillis,
                storeValueBytes,
                resultRetentionMillis,
                connectionLimits,
                newer.submissionCopies,
                memoryLimitBytes,
                newer.zoneCrossingPriceMillis);
    }
}
