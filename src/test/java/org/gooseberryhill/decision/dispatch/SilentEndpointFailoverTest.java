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

    /** Guards against an answer that is cut because no other endpoint is free once its silent endpoint was given up. */
    @Test
    void aStreamMovedFromItsSilentEndpointWaitsWhileNoOtherEndpointIsFree() {
        for (boolean begun : List.of(true, false)) {
            DispatchFixture pair = new DispatchFixture(2);
            RoutedRequest request = pair.arrive(RESUMABLE);
            EndpointKey silent = sent(pair.dispatch(request));
            EndpointKey other = DispatchFixture.key(silent.id().equals("e0") ? "e1" : "e0");
            if (begun) {
                request.answerStarted();
            }
            assertThat(pair.core.canFailOver(request, pair.nowNanos)).isTrue();
            pair.fleet.attemptEnded(other, AttemptEnd.BUSY, pair.nowNanos);

            assertThat(pair.failed(request, AttemptEnd.SILENT)).isInstanceOf(DispatchDecision.Wait.class);
            pair.advanceMillis(50);
            assertThat(sent(pair.core.dispatchAfterWait(request, pair.nowNanos)))
                    .isEqualTo(other);
            assertThat(pair.failed(request, AttemptEnd.BUSY)).isInstanceOf(DispatchDecision.Wait.class);
            pair.advanceMillis(50);
            assertThat(sent(pair.core.dispatchAfterWait(request, pair.nowNanos)))
                    .isEqualTo(other);
        }
    }

    private static EndpointKey sent(DispatchDecision decision) {
        assertThat(decision).isInstanceOf(DispatchDecision.Send.class);
        return ((DispatchDecision.Send) decision).endpoint().key();
    }
}
