package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.junit.jupiter.api.Test;

/** Tests requests that were moved away from a merely silent endpoint. */
class SilentEndpointFailoverTest {
    private static final Route RESUMABLE = DispatchFixture.route(RouteKind.STREAM, true, 2);

    /**
     * Guards against an answer that is aborted because no other endpoint is free once its silent endpoint was given up.
     */
    @Test
    void aStreamMovedFromItsSilentEndpointWaitsWhileNoOtherEndpointIsFree() {
        for (boolean hasPartialAnswer : List.of(true, false)) {
            DispatchFixture twoEndpoints = new DispatchFixture(2);
            RoutedRequest request = twoEndpoints.arrive(RESUMABLE);
            EndpointKey silentEndpoint = sent(twoEndpoints.dispatch(request));
            EndpointKey otherEndpoint = DispatchFixture.key(silentEndpoint.id().equals("e0") ? "e1" : "e0");
            if (hasPartialAnswer) {
                request.answerStarted();
            }
            assertThat(twoEndpoints.core.canFailOver(request, twoEndpoints.nowNanos))
                    .isTrue();
            twoEndpoints.fleet.attemptEnded(otherEndpoint, AttemptEnd.BUSY, twoEndpoints.nowNanos);

            assertThat(twoEndpoints.failed(request, AttemptEnd.SILENT)).isInstanceOf(DispatchDecision.Wait.class);
            twoEndpoints.advanceMillis(50);
            assertThat(sent(twoEndpoints.core.dispatchAfterWait(request, twoEndpoints.nowNanos)))
                    .isEqualTo(otherEndpoint);
            assertThat(twoEndpoints.failed(request, AttemptEnd.BUSY)).isInstanceOf(DispatchDecision.Wait.class);
            twoEndpoints.advanceMillis(50);
            assertThat(sent(twoEndpoints.core.dispatchAfterWait(request, twoEndpoints.nowNanos)))
                    .isEqualTo(otherEndpoint);
        }
    }

    private static EndpointKey sent(DispatchDecision decision) {
        assertThat(decision).isInstanceOf(DispatchDecision.Send.class);
        return ((DispatchDecision.Send) decision).endpoint().key();
    }
}
