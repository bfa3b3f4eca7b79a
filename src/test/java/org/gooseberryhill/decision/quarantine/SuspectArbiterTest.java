package org.gooseberryhill.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Fingerprint;
import org.junit.jupiter.api.Test;

class SuspectArbiterTest {
    private static final List<String> ENDPOINTS = List.of("e1", "e2");
    private static final Fingerprint ONE = new Fingerprint("one");
    private static final Fingerprint TWO = new Fingerprint("two");

    private final CrashSuspects suspects = new CrashSuspects(60_000, 100);
    private final SuspectArbiter arbiter = new SuspectArbiter(suspects, 1000);

    @Test
    void noTwoSuspectsShareAnEndpoint() {
        assertThat(arbiter.tryAcquire(ONE, ENDPOINTS, 0)).contains("e1");
        assertThat(arbiter.tryAcquire(TWO, ENDPOINTS, 0)).contains("e2");
        assertThat(arbiter.tryAcquire(new Fingerprint("three"), ENDPOINTS, 0)).isEmpty();
    }

    /** The caller resends a running suspect through a second host; it must not crash two endpoints at once. */
    @Test
    void aSuspectRunsAtOneEndpointAtATime() {
        arbiter.tryAcquire(ONE, ENDPOINTS, 0);

        assertThat(arbiter.tryAcquire(ONE, ENDPOINTS, 0)).isEmpty();
        arbiter.release(ONE);
        assertThat(arbiter.tryAcquire(ONE, ENDPOINTS, 0)).isPresent();
    }

    /**
     * Guards against a third crash: a host that has not heard of the second one asks for a permit and would use it.
     */
    @Test
    void aRequestWhoseSecondCrashWasReportedToTheArbiterGetsNoEndpoint() {
        suspects.recordCrash("e3", List.of(ONE), 0);
        assertThat(arbiter.tryAcquire(ONE, ENDPOINTS, 0)).isPresent();
        suspects.recordCrash("e1", List.of(ONE), 0);
        arbiter.release(ONE);

        assertThat(arbiter.tryAcquire(ONE, ENDPOINTS, 0)).isEmpty();
    }

    @Test
    void theGrantOfALostHostExpires() {
        arbiter.tryAcquire(ONE, ENDPOINTS, 0);

        assertThat(arbiter.tryAcquire(ONE, ENDPOINTS, TimeUnit.MILLISECONDS.toNanos(1001)))
                .isPresent();
    }
}
