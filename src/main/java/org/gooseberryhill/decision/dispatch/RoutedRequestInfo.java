package org.gooseberryhill.decision.dispatch;

import io.vavr.Lazy;
import java.util.Optional;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.route.Route;

/**
 * The data of a routed request that is known when it arrives. Immutable.
 *
 * @param id identifies the request
 * @param route its route
 * @param service the service that was selected for it among the targets of the route
 * @param caller on whose behalf it is sent
 * @param prompt the prompt; present for a token generation request
 * @param beganAt the version that began the stream; present if the request takes up a stream that has begun
 * @param lazyFingerprint equal for equal requests; computed only once some request has crashed endpoints, as it takes a
 *     digest of the whole body
 * @param arrivedNanos the time of arrival, in nanoseconds
 * @param deadlineNanos the time at which the caller stops waiting or the timeout of the route ends, whichever is
 *     earlier, in nanoseconds
 */
public record RoutedRequestInfo(
        String id,
        Route route,
        String service,
        Caller caller,
        Optional<Prompt> prompt,
        Optional<ServiceVersion> beganAt,
        Lazy<Fingerprint> lazyFingerprint,
        long arrivedNanos,
        long deadlineNanos) {
    /** Returns the fingerprint, which is equal for equal requests; computed on first use. */
    public Fingerprint fingerprint() {
        return lazyFingerprint.get();
    }
}
