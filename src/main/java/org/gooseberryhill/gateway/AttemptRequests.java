package org.gooseberryhill.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.gooseberryhill.decision.dispatch.RoutedRequestInfo;
import org.gooseberryhill.dialect.AttemptMetadata;
import org.gooseberryhill.dialect.TrafficDialect;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.http.ExchangeOptions;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.ForwardedHeaders;
import org.gooseberryhill.http.HttpCall;

/** Creates the requests that the attempts of one routed request send to endpoints. Immutable except for the body's array. */
final class AttemptRequests {
    /** A connection that has been idle for longer may be closing: a request that is not repeatable takes a new one. */
    private static final int MAX_IDLE_MILLIS_UNREPEATABLE = 1500;

    /** Connecting within a region takes milliseconds; an attempt that takes longer counts as lost. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final TrafficDialect dialect;
    private final HttpCall call;
    private final byte[] body;

    AttemptRequests(TrafficDialect dialect, HttpCall call, byte[] body) {
        this.dialect = dialect;
        this.call = call;
        this.body = body;
    }

    /**
     * Creates the request of an attempt.
     *
     * @param lastEventId the event after which the endpoint continues the stream
     * @param remainingMillis how long the caller still waits
     */
    ExchangeRequest to(
            EndpointEntry endpoint, RoutedRequestInfo info, Optional<Long> lastEventId, long remainingMillis) {
        HttpHeaders headers = ForwardedHeaders.ofRequest(call.headers());
        dialect.addAttemptMetadata(
                headers,
                new AttemptMetadata(
                        endpoint.id(),
                        OptionalLong.of(Math.max(1, remainingMillis)),
                        lastEventId,
                        Optional.empty(),
                        info.caller().attribution()));
        return new ExchangeRequest(
                endpoint.address(), call.method(), call.target(), headers, body, options(info, remainingMillis));
    }

    private ExchangeOptions options(RoutedRequestInfo info, long remainingMillis) {
        boolean repeatable = info.route().isRepeatable();
        return new ExchangeOptions(
                (int) Math.max(1, remainingMillis),
                (int) Math.max(1, Math.min(CONNECT_TIMEOUT_MILLIS, remainingMillis)),
                repeatable ? Integer.MAX_VALUE : MAX_IDLE_MILLIS_UNREPEATABLE,
                true,
                new RequestIdMatcher(dialect, info.id()),
                0);
    }
}
