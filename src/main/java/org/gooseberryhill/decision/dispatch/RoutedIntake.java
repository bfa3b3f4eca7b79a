package org.gooseberryhill.decision.dispatch;

import java.util.Optional;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.route.Route;

/**
 * What is known of a routed request when it arrives. Immutable.
 *
 * @param id names the request
 * @param route its route
 * @param service the service among the route's targets that it was drawn for
 * @param prompt present for a request for tokens
 * @param fingerprint equal for equal requests
 * @param arrivedNanos when it arrived
 * @param deadlineNanos when its caller stops waiting, or the route's timeout is over
 */
public record RoutedIntake(
        String id,
        Route route,
        String service,
        Optional<Prompt> prompt,
        Fingerprint fingerprint,
        long arrivedNanos,
        long deadlineNanos) {}
